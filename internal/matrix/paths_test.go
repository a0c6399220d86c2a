package matrix

import "time"

const (
	reasonPeers    = "the step does not call the table service; the rows of the steps that call it cover its outage"
	reasonPull     = "a pull has no effect that could outlast its reply, so a lost reply is the same as a partition"
	reasonTwoPulls = "a pull that arrives twice has no effect"
	reasonWindow   = "covered by the row of the send that follows: the step is only the moment between the check and the send"
)

// fleetRow returns a row that runs a whole fleet. Its fault starts at the nth call of an operation by an instance, counted from
// the time at which the fleet serves.
func fleetRow(path, step, instanceName, op string, nth int, setup func(*fleet) func(), priorFaults ...injection) Row {
	return Row{Path: path, Step: step, Check: func(r *Run) {
		for _, afterEffect := range []bool{false, true} {
			minAge := faultsFrom
			switch path {
			case "configuration":
				minAge = changeAfter - time.Second
			case "drain":
				minAge = drainAfter + balancerWait
				if op == "not-ready" {
					minAge = drainAfter
				}
			}
			r.SecondFaultOperations = fleetOperations
			faults := []*injection{{instance: instanceName, op: op, nth: nth, fault: r.Column, afterEffect: afterEffect, isCellFault: true, minAge: minAge}}
			for _, p := range priorFaults {
				p.minAge = max(p.minAge, faultsFrom)
				faults = append(faults, &p)
			}
			s := newFleet(newWorld(r, faults...), path == "membership", runLifetime(path, step))
			if path != "configuration" {
				s.operatorInstance = "b" // the change must be accepted while instance a is paused
			}
			var scenario func()
			if setup != nil {
				scenario = setup(s)
			}
			s.runScenario(scenario)
		}
	}}
}

// runLifetime returns the lifetime of the world. Peers need more time to write the bill copies of a stopped instance, and to
// end the registration of a dead instance.
func runLifetime(path, step string) time.Duration {
	switch {
	case path == "drain":
		return 120 * time.Second
	case step == "removal":
		return 160 * time.Second
	}
	return 75 * time.Second
}

// fleetOperations lists the calls and steps of fleet instances at which a second fault may start.
var fleetOperations = []string{"admit", "queue", "get:session", "put:session", "permit-first", "send-first", "chunk", "permit-resume",
	"send-resume", "permit-second", "send-second", "put:bill", "copy", "end", "put:document", "put:config", "get:config", "range:config",
	"get:document", "revision", "install", "digest", "accept", "put:instance", "get:instance", "range:instance", "list", "registrations",
	"not-ready", "close-admission", "finish"}

// localRow returns a fleet row of a step that makes no call.
func localRow(path, step, instanceName, op string, priorFaults ...injection) Row {
	return fleetRow(path, step, instanceName, op, 1, nil, priorFaults...).
		except(reasonNoCall, PartitionOneWay, PartitionBothWays, Slow, ReplyLost, Duplicate).except(reasonNoReading, StaleRead)
}

// exceptRead exempts the faults that cannot affect a read.
func (r Row) exceptRead() Row {
	return r.except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate)
}

// exceptPull exempts the faults that cannot affect a pull from a peer.
func (r Row) exceptPull() Row {
	return r.except(reasonPull, ReplyLost).except(reasonTwoPulls, Duplicate).except(reasonNoReading, StaleRead)
}

// peerUnreachable partitions instance c from the peer that it pulls from next. A round pulls from both other instances, so
// two such faults cut it off from all peers.
var peerUnreachable = injection{instance: "c", op: "digest", nth: 1, fault: PartitionBothWays}

func init() {
	// The first request after the start of the faults is not repeatable and its answer has five chunks, so the 8th chunk belongs
	// to the request after it.
	streamCut := injection{instance: "a", op: "chunk", nth: 8, fault: ReplyLost}
	insertReplyLost := injection{instance: "a", op: "put:config", nth: 1, fault: ReplyLost}
	documentUnreachable := injection{instance: "c", op: "get:document", nth: 1, fault: PartitionBothWays}
	modelRow := func(step, op string, prelude ...injection) Row {
		return fleetRow("model", step, "a", op, 1, nil, prelude...).except(reasonNoReading, StaleRead)
	}
	register(
		localRow("model", "admit", "a", "admit"),
		localRow("model", "queue", "a", "queue"),
		fleetRow("model", "read the session", "a", "get:session", 1, nil).exceptRead(),
		fleetRow("model", "insert the session", "a", "put:session", 1, nil),
		localRow("model", "choose and permit", "a", "permit-first"),
		modelRow("dispatch", "send-first").except(reasonOneSend, Duplicate),
		modelRow("stream", "chunk"),
		localRow("model", "permit to resume", "a", "permit-resume", streamCut),
		modelRow("resume", "send-resume", streamCut).except(reasonOneSend, Duplicate),
		localRow("model", "permit of the second step", "a", "permit-second"),
		modelRow("cascade second step", "send-second").except(reasonOneSend, Duplicate),
		fleetRow("model", "bill", "a", "put:bill", 1, nil),
		localRow("model", "end marker", "a", "end"),

		fleetRow("configuration", "write the document", "a", "put:document", 1, nil),
		fleetRow("configuration", "insert the revision", "a", "put:config", 1, nil),
		fleetRow("configuration", "read back", "a", "get:config", 1, nil, insertReplyLost).exceptRead(),
		fleetRow("configuration", "poll", "c", "range:config", 2, nil).exceptRead(),
		fleetRow("configuration", "poll without peers", "c", "range:config", 2, nil, peerUnreachable, peerUnreachable).exceptRead(),
		fleetRow("configuration", "fetch the document", "c", "get:document", 1, nil).exceptRead(),
		fleetRow("configuration", "fetch from a peer", "c", "revision", 1, nil, documentUnreachable).exceptPull(),
		localRow("configuration", "install", "c", "install"),
		fleetRow("configuration", "digest", "c", "digest", 2, nil).exceptPull(),
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
