package serverload

import (
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Reasons for which a message, or a server of it, is dropped.
const (
	dropMalformed    = "malformed"
	dropLength       = "array_length"
	dropRange        = "out_of_range"
	dropOrder        = "server_order"
	dropTooMany      = "too_many_servers"
	dropStale        = "old_sequence"
	dropOwn          = "own_incarnation"
	dropNoInstance   = "no_incarnation"
	dropManyReporter = "too_many_instances"
	dropNoRoom       = "no_room"
	dropUnknownList  = "unknown_list"
)

const (
	// maxReportServers and maxViewServers bound the servers of a report, and of sums and views.
	maxReportServers = 512
	maxViewServers   = 4096
	// maxIDBytes bounds the length of an identifier of a server or an instance.
	maxIDBytes = 256
	// maxLogSlowdown bounds the logarithm of observed over expected time, so that one absurd observation does not outweigh all others.
	maxLogSlowdown = 5
	// minSlowdown and maxSlowdown bound the slowdown of a server in a view.
	minSlowdown, maxSlowdown = 0.25, 4
)

// limits bound the numbers of a message. Those of sums hold maxReporters reports and those of a view the sums of 512 relays, so that
// messages made of accepted messages are accepted, and no sum comes near the range of an int64.
type limits struct {
	servers, running int
	pending          int64
	observations     float64
}

var (
	reportLimits = limits{servers: maxReportServers, running: 1 << 20, pending: 1 << 40, observations: 10_000}
	sumsLimits   = limits{servers: maxViewServers, running: 1 << 30, pending: 1 << 50, observations: 1 << 30}
	viewLimits   = limits{servers: maxViewServers, running: 1 << 39, pending: 1 << 59}
)

// ErrMalformed means that a message does not have the form of the protocol.
var ErrMalformed = errors.New("the message about loads is malformed")

// load is the usage of a server without evidence.
type load struct {
	running, streaming int
	pending            int64
}

func (l load) plus(other load) load {
	return load{l.running + other.running, l.streaming + other.streaming, l.pending + other.pending}
}

func (l load) minus(other load) load {
	return load{l.running - other.running, l.streaming - other.streaming, l.pending - other.pending}
}

// evidence is a decayed number of observations of a server's speed and the sum of their logarithms.
type evidence struct{ samples, logs float64 }

func (e evidence) plus(other evidence) evidence {
	return evidence{e.samples + other.samples, e.logs + other.logs}
}

// item is what a message says about one server.
type item struct {
	id       string
	load     load
	evidence evidence
}

// decodeUsage checks a message and returns its items, or the reason why it is dropped.
func decodeUsage(usage api.GatewayUsage, bounds limits) ([]item, string) {
	n := len(usage.Servers)
	if n > bounds.servers {
		return nil, dropTooMany
	}
	if len(usage.Running) != n || len(usage.Streaming) != n || len(usage.PendingWork) != n ||
		len(usage.SampleHundredths) != len(usage.LogSlowdownThousandths) ||
		len(usage.SampleHundredths) != 0 && len(usage.SampleHundredths) != n {
		return nil, dropLength
	}
	items := make([]item, n)
	for i, id := range usage.Servers {
		if id == "" || len(id) > maxIDBytes || i > 0 && id <= usage.Servers[i-1] {
			return nil, dropOrder
		}
		items[i] = item{id: id, load: load{usage.Running[i], usage.Streaming[i], usage.PendingWork[i]}}
		if len(usage.SampleHundredths) > 0 {
			items[i].evidence = evidence{float64(usage.SampleHundredths[i]) / 100, float64(usage.LogSlowdownThousandths[i]) / 1000}
		}
		if !items[i].inRange(bounds) {
			return nil, dropRange
		}
	}
	return items, ""
}

// inRange reports whether the numbers are possible. The roundings of the evidence may add up to 0.03.
func (i item) inRange(bounds limits) bool {
	return 0 <= i.load.streaming && i.load.streaming <= i.load.running && i.load.running <= bounds.running &&
		0 <= i.load.pending && i.load.pending <= bounds.pending &&
		0 <= i.evidence.samples && i.evidence.samples <= bounds.observations &&
		math.Abs(i.evidence.logs) <= maxLogSlowdown*i.evidence.samples+0.03
}

// appendEvidence adds the evidence about one server to a message.
func appendEvidence(usage *api.GatewayUsage, e evidence) {
	usage.SampleHundredths = append(usage.SampleHundredths, int64(math.Round(e.samples*100)))
	usage.LogSlowdownThousandths = append(usage.LogSlowdownThousandths, int64(math.Round(e.logs*1000)))
}

// trimEvidence removes the evidence of a message if there is none.
func trimEvidence(usage *api.GatewayUsage) {
	if !slices.ContainsFunc(usage.SampleHundredths, func(samples int64) bool { return samples != 0 }) {
		usage.SampleHundredths, usage.LogSlowdownThousandths = nil, nil
	}
}

// ownItems converts this instance's usage to the items of a report. If there are more servers than a report may hold, those with the
// fewest requests are left out.
func ownItems(own map[string]Usage) []item {
	items := make([]item, 0, len(own))
	for id, usage := range own {
		if i := ownItem(id, usage); id != "" && len(id) <= maxIDBytes && i != (item{id: id}) {
			items = append(items, i)
		}
	}
	if len(items) > maxReportServers {
		slices.SortFunc(items, func(a, b item) int { return b.load.running - a.load.running })
		items = items[:maxReportServers]
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return items
}

// ownItem limits the usage of one server to the range that other instances accept.
func ownItem(id string, usage Usage) item {
	i := item{id: id}
	i.load.running = min(max(0, usage.Running), reportLimits.running)
	i.load.streaming = min(max(0, usage.Streaming), i.load.running)
	i.load.pending = min(max(0, usage.PendingWork), reportLimits.pending)
	if usage.SpeedSamples <= 0 || float64(usage.SpeedSamples) > reportLimits.observations || math.IsNaN(usage.LogSlowdownSum) {
		return i
	}
	bound := maxLogSlowdown * float64(usage.SpeedSamples)
	i.evidence = evidence{float64(usage.SpeedSamples), min(max(-bound, usage.LogSlowdownSum), bound)}
	return i
}

// encodeReport converts items to a message.
func encodeReport(items []item) api.GatewayUsage {
	var usage api.GatewayUsage
	for _, i := range items {
		usage.Servers = append(usage.Servers, i.id)
		usage.Running = append(usage.Running, i.load.running)
		usage.Streaming = append(usage.Streaming, i.load.streaming)
		usage.PendingWork = append(usage.PendingWork, i.load.pending)
		appendEvidence(&usage, i.evidence)
	}
	trimEvidence(&usage)
	return usage
}

// decodeView checks a view and returns the servers with a load or a slowdown, or the reason why it is dropped.
func decodeView(loads api.GatewayLoads) (map[string]Server, string) {
	items, reason := decodeUsage(loads.Usage, viewLimits)
	if reason != "" {
		return nil, reason
	}
	if len(loads.SlowdownPercent) != 0 && len(loads.SlowdownPercent) != len(items) {
		return nil, dropLength
	}
	if loads.AgeMillis < 0 || loads.AgeMillis >= viewExpiry.Milliseconds() {
		return nil, dropRange
	}
	servers := make(map[string]Server, len(items))
	for i, item := range items {
		slowdown := 1.0
		if len(loads.SlowdownPercent) > 0 {
			slowdown = float64(loads.SlowdownPercent[i]) / 100
		}
		if slowdown < minSlowdown || slowdown > maxSlowdown {
			return nil, dropRange
		}
		if item.load == (load{}) && slowdown == 1 {
			continue
		}
		servers[item.id] = Server{item.load.running, item.load.streaming, item.load.pending, slowdown}
	}
	return servers, ""
}
