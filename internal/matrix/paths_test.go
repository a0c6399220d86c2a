package matrix

import "time"

const (
	reasonPeers    = "the step does not call the table service; its outage is in the rows of the steps that do"
	reasonPull     = "a pull has no effect that could outlive its reply; a lost reply is the same as a partition"
	reasonTwoPulls = "a pull that arrives twice has no effect"
	reasonWindow   = "covered by the send that follows: the step is the moment between check and send"
)

// siteRow returns a row whose fault hits the nth call of an operation by an instance once the site serves.
func siteRow(path, step, name, op string, nth int, prepare func(*site) func(), prelude ...injection) Row {
	return Row{Path: path, Step: step, Check: func(r *Run) {
		for _, late := range []bool{false, true} {
			from := armed
			switch path {
			case "configuration":
				from = changeAt - time.Second
			case "drain":
				from = drainAt + balancerWait
				if op == "not-ready" {
					from = drainAt
				}
			}
			r.Operations = siteOperations
			faults := []*injection{{instance: name, op: op, nth: nth, fault: r.Column, late: late, cell: true, from: from}}
			for _, p := range prelude {
				p.from = max(p.from, armed)
				faults = append(faults, &p)
			}
			s := newSite(newWorld(r, faults...), path == "membership", lifetimes(path, step))
			if path != "configuration" {
				s.operator = "b" // the change must be accepted while a is paused
			}
			var extra func()
			if prepare != nil {
				extra = prepare(s)
			}
			s.serve(extra)
		}
	}}
}

// lifetimes returns the length of a run: peers need time to write the copies of a stopped instance, and to end the
// registration of a dead one.
func lifetimes(path, step string) time.Duration {
	switch {
	case path == "drain":
		return 120 * time.Second
	case step == "removal":
		return 160 * time.Second
	}
	return 75 * time.Second
}

// siteOperations are the calls and steps of whole instances, for pairs of faults.
var siteOperations = []string{"admit", "queue", "get:session", "put:session", "permit-first", "send-first", "chunk", "permit-resume",
	"send-resume", "permit-second", "send-second", "put:bill", "copy", "end", "put:document", "put:config", "get:config", "range:config",
	"get:document", "revision", "install", "digest", "accept", "put:instance", "get:instance", "range:instance", "list", "registrations",
	"not-ready", "close-admission", "finish"}

// localRow is a site row of a step that makes no call.
func localRow(path, step, name, op string, prelude ...injection) Row {
	return siteRow(path, step, name, op, 1, nil, prelude...).
		except(reasonNoCall, PartitionOneWay, PartitionBothWays, Slow, ReplyLost, Duplicate).except(reasonNoReading, StaleRead)
}

// read exempts what cannot happen to a read.
func (r Row) read() Row { return r.except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate) }

// peer exempts what cannot happen to a pull from a peer.
func (r Row) peer() Row {
	return r.except(reasonPull, ReplyLost).except(reasonTwoPulls, Duplicate).except(reasonNoReading, StaleRead)
}

// noPeer cuts instance c from the peer of its next pull; a round pulls from both others.
var noPeer = injection{instance: "c", op: "digest", nth: 1, fault: PartitionBothWays}

func init() {
	// The first request after the start of the faults is not repeatable and has five chunks.
	cut := injection{instance: "a", op: "chunk", nth: 8, fault: ReplyLost}
	insertLost := injection{instance: "a", op: "put:config", nth: 1, fault: ReplyLost}
	noDocument := injection{instance: "c", op: "get:document", nth: 1, fault: PartitionBothWays}
	model := func(step, op string, prelude ...injection) Row {
		return siteRow("model", step, "a", op, 1, nil, prelude...).except(reasonNoReading, StaleRead)
	}
	register(
		localRow("model", "admit", "a", "admit"),
		localRow("model", "queue", "a", "queue"),
		siteRow("model", "read the session", "a", "get:session", 1, nil).read(),
		siteRow("model", "insert the session", "a", "put:session", 1, nil),
		localRow("model", "choose and permit", "a", "permit-first"),
		model("dispatch", "send-first").except(reasonOneSend, Duplicate),
		model("stream", "chunk"),
		localRow("model", "permit to resume", "a", "permit-resume", cut),
		model("resume", "send-resume", cut).except(reasonOneSend, Duplicate),
		localRow("model", "permit of the second step", "a", "permit-second"),
		model("cascade second step", "send-second").except(reasonOneSend, Duplicate),
		siteRow("model", "bill", "a", "put:bill", 1, nil),
		localRow("model", "end marker", "a", "end"),

		siteRow("configuration", "write the document", "a", "put:document", 1, nil),
		siteRow("configuration", "insert the revision", "a", "put:config", 1, nil),
		siteRow("configuration", "read back", "a", "get:config", 1, nil, insertLost).read(),
		siteRow("configuration", "poll", "c", "range:config", 2, nil).read(),
		siteRow("configuration", "poll without peers", "c", "range:config", 2, nil, noPeer, noPeer).read(),
		siteRow("configuration", "fetch the document", "c", "get:document", 1, nil).read(),
		siteRow("configuration", "fetch from a peer", "c", "revision", 1, nil, noDocument).peer(),
		localRow("configuration", "install", "c", "install"),
		siteRow("configuration", "digest", "c", "digest", 2, nil).peer(),
		localRow("configuration", "accept", "a", "accept"),
	)
	registerMutants(
		Mutant{"no permit before the send", red("model: choose and permit", PauseResume)},
		Mutant{"no permit on resume", red("model: permit to resume", PauseResume)},
		Mutant{"no permit on second", red("model: permit of the second step", PauseResume)},
		Mutant{"end marker before the bill", red("model: bill", Kill)},
		Mutant{"lost send counts as unsent", red("model: dispatch", ReplyLost)},
		Mutant{"cut stream is reported as success", red("model: stream", ReplyLost, PartitionBothWays)},
		Mutant{"accepted without 2B", red("configuration: poll without peers", PartitionBothWays, Slow)},
		Mutant{"revision may fall", red("configuration: poll", StaleRead)},
	)
}
