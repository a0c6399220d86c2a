package worker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Duty is one periodic job of an instance.
type Duty struct {
	Name string
	// Interval returns the wait between the end of one run and the start of the next.
	Interval func() time.Duration
	// Timeout bounds one run.
	Timeout time.Duration
	Run     func(ctx context.Context) error
}

// Every returns an interval function for a constant wait.
func Every(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

type dutyState struct {
	duty    Duty
	timer   *time.Timer
	running bool
	again   bool
}

// Duties runs periodic duties on a small pool. A duty never runs twice at the same time.
type Duties struct {
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	slots   chan struct{}
	running sync.WaitGroup

	mu     *lockorder.Mutex
	states map[string]*dutyState
	closed bool
}

// NewDuties returns a scheduler that runs at most size duties at the same time.
func NewDuties(size int, log *slog.Logger) *Duties {
	ctx, cancel := context.WithCancel(context.Background())
	return &Duties{
		log:    log,
		ctx:    ctx,
		cancel: cancel,
		slots:  make(chan struct{}, size),
		mu:     lockorder.New(lockorder.RankDuties),
		states: map[string]*dutyState{},
	}
}

// Add schedules the duty; its first run starts at once.
func (d *Duties) Add(duty Duty) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[duty.Name] = &dutyState{duty: duty}
	d.startLocked(d.states[duty.Name])
}

// Trigger runs the named duty as soon as a slot is free. If it is running, it runs once more afterwards.
func (d *Duties) Trigger(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.states[name]
	if !ok {
		return
	}
	if state.running {
		state.again = true
		return
	}
	if state.timer != nil {
		state.timer.Stop()
	}
	d.startLocked(state)
}

// startLocked starts one run of the duty. The caller holds the lock.
func (d *Duties) startLocked(state *dutyState) {
	if d.closed || state.running {
		return
	}
	state.running = true
	d.running.Go(func() { d.run(state) })
}

func (d *Duties) run(state *dutyState) {
	select {
	case d.slots <- struct{}{}:
	case <-d.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, state.duty.Timeout)
	err := state.duty.Run(ctx)
	cancel()
	<-d.slots
	if err != nil && d.ctx.Err() == nil {
		d.log.Warn("periodic duty failed", "duty", state.duty.Name, "error", err.Error())
	}
	interval := state.duty.Interval()

	d.mu.Lock()
	defer d.mu.Unlock()
	state.running = false
	if d.closed {
		return
	}
	if state.again {
		state.again = false
		d.startLocked(state)
		return
	}
	state.timer = time.AfterFunc(interval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.startLocked(state)
	})
}

// Stop cancels running duties and waits for them.
func (d *Duties) Stop() {
	d.mu.Lock()
	d.closed = true
	for _, state := range d.states {
		if state.timer != nil {
			state.timer.Stop()
		}
	}
	d.mu.Unlock()
	d.cancel()
	d.running.Wait()
}
