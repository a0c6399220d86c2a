//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	maxCaseTime = 110 * time.Second
)

// cases are the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"deadly-part":         deadlyPart,
	"switching-protocols": switchingProtocols,
	"last-tenant":         lastTenant,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(exitCannot)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	r := &record{out: out, started: time.Now()}
	os.Exit(run(r, os.Args[1], os.Args[2]))
}

func run(r *record, name, program string) int {
	play, ok := cases[name]
	if !ok {
		r.printf("no case has the name %s", name)
		return exitCannot
	}
	w, err := newWorld(r, program)
	if err != nil {
		r.printf("cannot run: %v", err)
		return exitCannot
	}
	defer w.close()
	time.AfterFunc(maxCaseTime, func() {
		r.printf("cannot run: it takes too long")
		w.close()
		os.Exit(exitCannot)
	})
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stops
		w.close()
		os.Exit(exitCannot)
	}()
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("cannot run: %v", err)
		return exitCannot
	case broken:
		r.printf("result: the rule was broken")
		return exitBroken
	default:
		r.printf("result: the rule held")
		return exitHeld
	}
}
