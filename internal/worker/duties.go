package worker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// Duty is a periodic background task of an instance, for example a lease renewal.
type Duty struct {
	Name string
	// Interval returns the time between the end of one run and the start of the next.
	Interval func() time.Duration
	// Timeout bounds one run.
	Timeout time.Duration
	Run     func(ctx context.Context) error
}

// Every returns an Interval function for a constant interval.
func Every(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

type scheduledDuty struct {
	duty     Duty
	timer    *time.Timer
	running  bool
	runAgain bool
}

// Duties schedules periodic duties and bounds how many run at the same time. Runs of the same duty never overlap.
type Duties struct {
	log        *slog.Logger
	ctx        context.Context
	cancel     context.CancelFunc
	slots      chan struct{}
	activeRuns sync.WaitGroup

	mu     *lockorder.Mutex
	states map[string]*scheduledDuty
	closed bool
}

// NewDuties returns a scheduler that runs at most maxConcurrent duties at the same time.
func NewDuties(maxConcurrent int, log *slog.Logger) *Duties {
	ctx, cancel := context.WithCancel(context.Background())
	return &Duties{
		log:    log,
		ctx:    ctx,
		cancel: cancel,
		slots:  make(chan struct{}, maxConcurrent),
		mu:     lockorder.New(lockorder.RankDuties),
		states: map[string]*scheduledDuty{},
	}
}

// Add schedules the duty. Its first run starts as soon as a slot is free.
func (d *Duties) Add(duty Duty) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[duty.Name] = &scheduledDuty{duty: duty}
	d.startLocked(d.states[duty.Name])
}

// Trigger runs the named duty as soon as a slot is free. If the duty is already running, it runs once more afterwards.
func (d *Duties) Trigger(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.states[name]
	if !ok {
		return
	}
	if state.running {
		state.runAgain = true
		return
	}
	if state.timer != nil {
		state.timer.Stop()
	}
	d.startLocked(state)
}

// startLocked starts one run of the duty, unless it is running already or the scheduler is stopped. The caller holds d.mu.
func (d *Duties) startLocked(state *scheduledDuty) {
	if d.closed || state.running {
		return
	}
	state.running = true
	d.activeRuns.Go(func() { d.run(state) })
}

func (d *Duties) run(state *scheduledDuty) {
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
	if state.runAgain {
		state.runAgain = false
		d.startLocked(state)
		return
	}
	state.timer = time.AfterFunc(interval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.startLocked(state)
	})
}

// Stop cancels the running duties, waits until they have returned, and starts no further runs.
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
	d.activeRuns.Wait()
}
