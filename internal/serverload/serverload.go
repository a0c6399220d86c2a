// Package serverload shares between the instances how much each of them uses the backend servers, so that an instance with less than
// one request at most of them still knows their load. Instances report to a relay of their availability zone, which answers with the
// load from all others; relays pull each other's sums. Nothing is stored: a lost message is replaced by the next round.
package serverload

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/suspend"
)

const (
	// Interval is the pause between two rounds.
	Interval = 200 * time.Millisecond
	// RoundTimeout is the timeout of one round.
	RoundTimeout = 500 * time.Millisecond
	// callTimeout is the timeout of one message. A view of 1,100 servers takes about 30 ms on a link of 10 Mbit/s.
	callTimeout = 300 * time.Millisecond
	// viewExpiry is the age from which a view is not used: the requests that it shows have mostly ended by then.
	viewExpiry = 2 * time.Second
	// reportExpiry is the time for which a relay counts a report that no newer one replaces.
	reportExpiry = 2 * time.Second
	// sumsExpiry is the time for which the sums of a relay count when it does not answer. It is shorter than viewExpiry, so that a
	// relay that dies does not make the views of all instances expire.
	sumsExpiry = 800 * time.Millisecond
	// settledAge is the age from which a report does not set the age of the sums: its instance has most likely ended or moved. Together
	// with sumsExpiry and a round it stays below viewExpiry.
	settledAge = 2 * Interval
	// warmUp is the time for which a new relay collects reports before it answers with views.
	warmUp = 2 * Interval
	// relayExpiry is the time after its last round from which a relay refuses reports, for example because it was suspended.
	relayExpiry = time.Second
	// relayRetryDelay is how long a relay is not used after a failed report.
	relayRetryDelay = 3 * time.Second
	// maxWithdrawals bounds the relays that are asked to forget a report; the others forget it when it expires.
	maxWithdrawals = 4
	// evidenceRounds is the number of rounds between two pulls of the evidence about the speed of servers, which changes slowly.
	evidenceRounds = 10
)

// Usage is what one instance, or several together, use of one backend server.
type Usage struct {
	// Running counts the requests that were sent and have not ended, and Streaming those of them whose answer has begun.
	Running, Streaming int
	// PendingWork is the prompt work that is not prefilled yet, in weighted tokens.
	PendingWork int64
	// SpeedSamples and LogSlowdownSum are evidence since the last report: the number of observations and the sum of the natural
	// logarithms of observed over expected times. They let the fleet learn the relative speed of servers.
	SpeedSamples   int
	LogSlowdownSum float64
}

// Server is the state of a server in a View, without this instance's own part.
type Server struct {
	Running, Streaming int
	PendingWork        int64
	// Slowdown is the mean of observed over expected time at the server relative to the median of all servers; 1 while too little is
	// known.
	Slowdown float64
}

// View is an immutable picture of the load that the other instances put on the servers. A server that is missing has no load and a
// slowdown of 1.
type View struct {
	// At is the time of the oldest part of the view.
	At      time.Time
	Servers map[string]Server
}

// Age returns how old the view is.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.At) }

// Topology says which instances this one exchanges loads with.
type Topology struct {
	// Relay is set if this instance is a relay.
	Relay bool
	// Relays are the addresses to report to, the preferred one first, if this instance is not a relay.
	Relays []string
	// Others are the addresses of all other relays, if this instance is a relay.
	Others []string
}

// Options of a Table. All fields are required except Suspended.
type Options struct {
	// Own returns this instance's usage by server since the last call; servers with nothing to say are absent.
	Own func() map[string]Usage
	// Enabled reports whether loads are shared. While it returns false nothing is sent and there is no view.
	Enabled  func() bool
	Topology func() Topology
	// Transport sends messages to peers.
	Transport Transport
	// CountDropped counts a message, or a server of a message, that was dropped.
	CountDropped func(reason string)
	// Suspended returns how long the machine has been suspended; suspend.Total by default.
	Suspended func() time.Duration
	Log       *slog.Logger
}

// publishedView is a view and how long the machine had been suspended when it was made.
type publishedView struct {
	view            View
	suspendedBefore time.Duration
}

// Table holds the newest view and, on a relay, the reports and sums of which views are made. It is safe for concurrent use.
type Table struct {
	Options
	incarnation string
	published   atomic.Pointer[publishedView]

	mu *lockorder.Mutex
	// ledger is nil while this instance is not a relay.
	ledger   *ledger
	sequence int64
	// reportedTo holds the relays that may have a report of this instance.
	reportedTo []string
	// relaySince and lastRound are when this instance became a relay and when it last ran a round as one.
	relaySince, lastRound time.Time
	// avoidUntil holds when each relay to which a report failed may be used again.
	avoidUntil map[string]time.Time
	// failing holds the addresses of relays whose last message failed, to log only changes.
	failing map[string]bool
	// lists holds the last list of servers that each peer sent.
	lists map[string]serverList
}

// serverList is a list of servers and its fingerprint.
type serverList struct {
	fingerprint int64
	names       []string
}

// NewTable returns a table without a view.
func NewTable(incarnation string, options Options) *Table {
	if options.Suspended == nil {
		options.Suspended = suspend.Total
	}
	return &Table{
		Options: options, incarnation: incarnation, mu: lockorder.New(lockorder.RankServerLoads),
		avoidUntil: map[string]time.Time{}, failing: map[string]bool{}, lists: map[string]serverList{},
	}
}

// View returns the newest view, or nil if there is none younger than 2 s. Time in which the machine was suspended counts.
func (t *Table) View(now time.Time) *View {
	p := t.published.Load()
	if p == nil || p.view.Age(now)+t.Suspended()-p.suspendedBefore >= viewExpiry {
		return nil
	}
	return &p.view
}

// publish replaces the view.
func (t *Table) publish(servers map[string]Server, at time.Time) {
	t.published.Store(&publishedView{view: View{At: at, Servers: servers}, suspendedBefore: t.Suspended()})
}

// clock converts a time to one that also advances while the machine is suspended.
func (t *Table) clock(now time.Time) time.Time { return now.Add(t.Suspended()) }
