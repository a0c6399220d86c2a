package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the resolution of CPU times in /proc. It is 100 on all Linux systems that Go supports.
const ticksPerSecond = 100

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the CPU time")
	}
	// The process name in parentheses may contain spaces. User and system time are the 12th and 13th field after it.
	const user, system = 11, 12
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= system {
		return 0, errors.New("/proc stat file has too few fields")
	}
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse the CPU time")
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the resident memory")
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.New("/proc statm file has too few fields")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "parse the resident memory")
}
