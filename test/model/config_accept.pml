/*
 * Acceptance of one configuration revision, and the right to serve without a fresh confirmation from the store
 * (docs/design.md section 6.1). Revision 1 is committed after revision 0. Instance O applies the change; instance X may
 * still be at revision 0. Three instances are registered at the start, two more may register.
 *
 * Time: one tick is the freshness bound B; an observation is valid while its age is at most one tick. Every partition is
 * covered, because a partition is the absence of polls or pulls. Ages are counted from the request, so that a delayed
 * reply or a relayed report has the same effect as one that is handled at once; with -DIN_FLIGHT the replies to X may be
 * delayed for any time. O evaluates the acceptance rule on the true state of the other instances: more acknowledgements
 * and higher known sequences only make the rule easier to meet, so that an O with an older view accepts later. A failed
 * instance is one that does nothing more after its registration ended. The search stops at states where X can no longer
 * start work under revision 0, or where O can no longer accept.
 */
#define INSTANCES 5
#define INITIAL_MEMBERS 3
#ifndef MAXLOG
#define MAXLOG 5
#endif
#define O 0
#ifndef X
#define X 2
#endif
#define EXPIRED 2
#define NONE 255
#ifdef NO_WAIT
#define WAIT_TICKS 0
#else
#define WAIT_TICKS 2
#endif
#define BIT(i) (1 << (i))
#define IN(mask, i) (((mask) >> (i)) & 1)
#define COUNT(mask) (IN(mask, 0) + IN(mask, 1) + IN(mask, 2) + IN(mask, 3) + IN(mask, 4))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

bit committed, accepted;
bit logReadByO;                     /* O read the registration log after the commit */
/* Masks over instances. */
byte registrationEnded;             /* the instance accepts no new work but may answer peers */
byte atRevision1;                   /* revision 1 is in force at the instance */
byte knowsRevision1;                /* the instance knows that revision 1 exists */
byte reporting = 7;                 /* the instance polled after its registration, so that it reports its revision */
byte coldStarted;                   /* the instance adopted revision 0 from a majority of peers, before any store read
                                       since its registration */
byte logLength = INITIAL_MEMBERS;   /* length of the registration log */
byte membersAt[MAXLOG + 1];         /* log length -> mask of the members after that row */
byte sequence[INSTANCES];           /* registration sequence; 0 if not registered */
byte knownLength[INSTANCES];        /* length of the log that the instance knows */
byte ticksSinceMajorities = NONE;   /* ticks since the required majorities were first reached; NONE before */
byte confirmationAge = EXPIRED;     /* X: age of its last confirmation from the store */
byte reportAge[INSTANCES];          /* X: age of the last report of revision 0 from each instance */
byte reportedLength;                /* X: highest log length that a report named */
#ifdef IN_FLIGHT
/* X: one pull in flight. */
byte pullPeer = NONE, pullAge, pullKnownLength; bit pullAtRevision1, pullKnowsRevision1, pullReporting;
/* X: one poll in flight; pollCommitted: the store had revision 1 at the read. */
bit pollInFlight, pollCommitted; byte pollAge;
#else
hidden byte pullPeer = NONE, pullAge, pullKnownLength, pullAtRevision1, pullKnowsRevision1, pullReporting;
#endif
hidden byte i, acknowledgedCount, memberMask, n, lowestKnown, ok;   /* used within one step */

#define REGISTERED(k) (sequence[k] > 0)
#define ACKNOWLEDGED (atRevision1 & reporting)
#define KNOWN_MEMBERS(k) membersAt[knownLength[k]]

inline incrementAge(a) { if :: a < EXPIRED -> a++ :: else fi }

inline appendRow(newMembers) { membersAt[logLength + 1] = newMembers; logLength++ }

inline pollStore(k) {
	if :: committed -> atRevision1 = atRevision1 | BIT(k); knowsRevision1 = knowsRevision1 | BIT(k) :: else fi;
	reporting = reporting | BIT(k);
	if :: k == X -> confirmationAge = 0 :: else fi
}

/* Reads the log to its end. Rows that end a registration are adopted only after a store read of the configuration. */
inline readLog(k) {
	ok = 0; n = knownLength[k];
	do
	:: n < logLength -> if :: (membersAt[n] & ~membersAt[n + 1]) -> ok = 1 :: else fi; n++
	:: else -> break
	od;
#ifndef NO_CONFIRM_BEFORE_ENDS
	if :: ok -> pollStore(k) :: else fi;
#endif
	knownLength[k] = logLength;
	if :: k == O && committed && !accepted -> logReadByO = 1 :: else fi
}

/*
 * Sets ok if the acknowledged members are a majority of every prefix of the registration log that an unacknowledged member
 * may still use as the membership. lowestKnown is the length of the shortest such prefix; n counts members.
 */
inline checkMajorities() {
	memberMask = KNOWN_MEMBERS(O); lowestKnown = NONE; ok = (memberMask != 0); i = 0;
	do
	:: i < INSTANCES ->
		if
		:: IN(memberMask, i) && !IN(ACKNOWLEDGED, i) && MAX(knownLength[i], sequence[i]) < lowestKnown ->
			lowestKnown = MAX(knownLength[i], sequence[i])
		:: else
		fi; i++
	:: else -> break
	od;
	i = 0; n = 0; acknowledgedCount = 0;
	do
	:: i < INSTANCES && lowestKnown < NONE ->
		if
#ifndef PLAIN_MAJORITY
		:: IN(memberMask, i) && n > 0 && sequence[i] > lowestKnown && 2 * acknowledgedCount <= n -> ok = 0
#endif
		:: else
		fi;
		n = n + IN(memberMask, i); acknowledgedCount = acknowledgedCount + (IN(memberMask, i) && IN(ACKNOWLEDGED, i)); i++
	:: else -> break
	od;
	if :: lowestKnown < NONE && 2 * acknowledgedCount <= n -> ok = 0 :: else fi
}

/* Instance k supports X at revision 0: k is X itself and reports, or X has a valid report of revision 0 from member k. */
#define SUPPORTS(k) ((k) == X -> IN(reporting, X) : (IN(KNOWN_MEMBERS(X), k) && reportAge[k] < EXPIRED))
#define SUPPORT_COUNT (SUPPORTS(0) + SUPPORTS(1) + SUPPORTS(2) + SUPPORTS(3) + SUPPORTS(4))
#define MAJORITY_SUPPORTS (knownLength[X] >= reportedLength && IN(KNOWN_MEMBERS(X), X) && \
	2 * SUPPORT_COUNT > COUNT(KNOWN_MEMBERS(X)))
#ifdef NO_FRESHNESS
#define MAY_SERVE 1
#else
#define MAY_SERVE (confirmationAge < EXPIRED || MAJORITY_SUPPORTS)
#endif
/* X may start work under revision 0. */
#define SERVES_REVISION_0 (sequence[X] > 0 && !IN(registrationEnded, X) && !IN(atRevision1, X) && \
	!IN(knowsRevision1, X) && IN(reporting | coldStarted, X) && MAY_SERVE)

inline clearPull() {
	pullPeer = NONE; pullAge = 0; pullKnownLength = 0; pullAtRevision1 = 0; pullKnowsRevision1 = 0; pullReporting = 0
}

/* X handles the report in the reply to its pull. */
inline handleReport() {
#ifdef AGE_FROM_REPLY
	pullAge = 0;
#endif
	reportedLength = MAX(reportedLength, pullKnownLength);
	if
	:: pullReporting && pullAtRevision1 -> knowsRevision1 = knowsRevision1 | BIT(X)
	:: pullReporting && !pullAtRevision1 && pullAge < reportAge[pullPeer] -> reportAge[pullPeer] = pullAge
	:: else
	fi
}

/* X adopts the registration rows that the peer knows, and with them learns the peer's newest revision. */
inline adoptRows() {
	if :: pullKnownLength > knownLength[X] -> knownLength[X] = pullKnownLength :: else fi;
#ifndef NO_REVISION_WITH_ROWS
	if :: pullKnowsRevision1 -> knowsRevision1 = knowsRevision1 | BIT(X) :: else fi
#endif
}

/* Actions of any instance k other than X. */
#define INSTANCE_ACTIONS(k) \
	:: d_step { k != X && REGISTERED(k) && IN(membersAt[logLength], k) && !IN(registrationEnded, k) && \
		logLength < MAXLOG -> \
		registrationEnded = registrationEnded | BIT(k); appendRow(membersAt[logLength] & ~BIT(k)) } \
	:: d_step { k != X && REGISTERED(k) && (!IN(reporting, k) || (committed && !IN(atRevision1, k))) -> pollStore(k) } \
	:: d_step { k != X && REGISTERED(k) && knownLength[k] < logLength -> readLog(k) } \
	PULL_ACTIONS(k)

/* X pulls from k; the reply contains the state of k at this step. */
#define SEND_PULL(k) \
	pullPeer = k; pullAge = 0; pullKnownLength = knownLength[k]; \
	pullAtRevision1 = IN(atRevision1, k); pullKnowsRevision1 = IN(knowsRevision1, k); \
	pullReporting = IN(reporting, k) && IN(KNOWN_MEMBERS(k), k)
#define CAN_PULL(k) (k != X && REGISTERED(k) && REGISTERED(X) && IN(KNOWN_MEMBERS(X), k))
#ifdef IN_FLIGHT
#define PULL_ACTIONS(k) :: d_step { CAN_PULL(k) && pullPeer == NONE -> SEND_PULL(k) }
#else
#define PULL_ACTIONS(k) \
	:: d_step { CAN_PULL(k) -> SEND_PULL(k); handleReport(); clearPull() } \
	:: d_step { CAN_PULL(k) && knownLength[k] > knownLength[X] -> SEND_PULL(k); adoptRows(); handleReport(); clearPull() }
#endif

/*
 * Registrations during the run. Before it inserts its row, a new instance reads the log, and also the configuration if a
 * row of the log ends a registration.
 */
#define REGISTRATION(k) \
	:: d_step { sequence[k] == 0 && (k == 3 || sequence[3] > 0) && logLength < MAXLOG -> \
		readLog(k); reporting = reporting & ~BIT(k); \
		appendRow(membersAt[logLength] | BIT(k)); sequence[k] = logLength; knownLength[k] = logLength; \
		if :: k == X -> SET_INITIAL_CONFIRMATION :: else fi; REPORT_AT_REGISTRATION(k) }
#ifdef SERVE_BEFORE_REGISTERED
#define SET_INITIAL_CONFIRMATION confirmationAge = 0; reporting = reporting | BIT(X)
#else
#define SET_INITIAL_CONFIRMATION confirmationAge = EXPIRED
#endif

/* A cold start without the store: k adopts revision 0 if a majority of the members that it knows reports revision 0. */
#define REPORTS_REVISION_0(k, peer) \
	(peer != k && IN(KNOWN_MEMBERS(k), peer) && IN(reporting, peer) && !IN(atRevision1, peer))
#define REVISION_0_REPORTS(k) (REPORTS_REVISION_0(k, 0) + REPORTS_REVISION_0(k, 1) + REPORTS_REVISION_0(k, 2) + \
	REPORTS_REVISION_0(k, 3) + REPORTS_REVISION_0(k, 4))
#define PEERS_SUPPORTING_X (SUPPORT_COUNT - IN(reporting, X))
#define COLD_START(k) \
	:: d_step { REGISTERED(k) && !IN(reporting | coldStarted | atRevision1 | knowsRevision1, k) && \
		IN(KNOWN_MEMBERS(k), k) && \
		((k == X && knownLength[X] >= reportedLength && 2 * PEERS_SUPPORTING_X > COUNT(KNOWN_MEMBERS(X))) || \
		(k != X && 2 * REVISION_0_REPORTS(k) > COUNT(KNOWN_MEMBERS(k)))) -> \
		coldStarted = coldStarted | BIT(k); REPORT_AT_COLD_START(k) }
#ifdef COLD_START_COUNTS
#define REPORT_AT_COLD_START(k) reporting = reporting | BIT(k)
#else
#define REPORT_AT_COLD_START(k) skip
#endif
#ifdef REPORT_BEFORE_POLL
#define REPORT_AT_REGISTRATION(k) reporting = reporting | BIT(k)
#else
#define REPORT_AT_REGISTRATION(k) skip
#endif

/* Instance k receives registration rows from a peer, and with them the peer's newest revision. */
#ifdef NO_REVISION_WITH_ROWS
#define RELAY(k, peer)
#else
#define RELAY(k, peer) \
	:: d_step { REGISTERED(k) && REGISTERED(peer) && knownLength[peer] > knownLength[k] -> \
		knownLength[k] = knownLength[peer]; \
		if :: IN(knowsRevision1, peer) -> knowsRevision1 = knowsRevision1 | BIT(k) :: else fi }
#endif

#define SEARCH_OVER (IN(knowsRevision1, X) || IN(registrationEnded, X) || (IN(registrationEnded, O) && !accepted))

active proctype actions() provided (!SEARCH_OVER) {
	d_step {
		membersAt[INITIAL_MEMBERS] = 7;
		sequence[0] = 1; sequence[1] = 2; sequence[2] = 3;
		knownLength[0] = 3; knownLength[1] = 3; knownLength[2] = 3; knownLength[3] = 3; knownLength[4] = 3;
		reportAge[3] = EXPIRED; reportAge[4] = EXPIRED;
		if
		:: sequence[X] > 0 -> confirmationAge = 0
		:: else -> reportAge[0] = EXPIRED; reportAge[1] = EXPIRED; reportAge[2] = EXPIRED
		fi
	}
	do
	:: d_step { !committed -> committed = 1 }
	:: d_step { true ->
		incrementAge(confirmationAge);
		incrementAge(reportAge[0]); incrementAge(reportAge[1]); incrementAge(reportAge[2]);
		incrementAge(reportAge[3]); incrementAge(reportAge[4]);
#ifdef IN_FLIGHT
		if :: pullPeer != NONE -> incrementAge(pullAge) :: else fi;
		if :: pollInFlight -> incrementAge(pollAge) :: else fi;
#endif
		if :: ticksSinceMajorities < 2 -> ticksSinceMajorities++ :: else fi }
	INSTANCE_ACTIONS(0) INSTANCE_ACTIONS(1) INSTANCE_ACTIONS(2) INSTANCE_ACTIONS(3) INSTANCE_ACTIONS(4)
	REGISTRATION(3) REGISTRATION(4) COLD_START(3) COLD_START(4)
	RELAY(1, 0) RELAY(3, 1) RELAY(1, 3) RELAY(0, 1)
#ifdef REMOVE_RUNNING
	:: d_step { IN(membersAt[logLength], 1) && logLength < MAXLOG -> appendRow(membersAt[logLength] & ~BIT(1)) }
	:: d_step { IN(membersAt[logLength], X) && logLength < MAXLOG -> appendRow(membersAt[logLength] & ~BIT(X)) }
#endif
	:: d_step { REGISTERED(X) && knownLength[X] < logLength -> readLog(X) }
	:: d_step { REGISTERED(O) && committed && !accepted && !logReadByO && knownLength[O] == logLength -> logReadByO = 1 }
#ifdef NO_READ_AFTER_COMMIT
	:: d_step { REGISTERED(O) && committed && !accepted && !logReadByO -> logReadByO = 1 }
#endif
#ifdef IN_FLIGHT
	:: d_step { pullPeer != NONE -> clearPull() }
	:: d_step { pullPeer != NONE -> handleReport(); clearPull() }
	:: d_step { pullPeer != NONE -> adoptRows(); handleReport(); clearPull() }
	:: d_step { !pollInFlight && REGISTERED(X) -> pollInFlight = 1; pollAge = 0; pollCommitted = committed }
	:: d_step { pollInFlight -> pollInFlight = 0; pollAge = 0; pollCommitted = 0 }
	:: d_step { pollInFlight ->
#ifdef AGE_FROM_REPLY
		pollAge = 0;
#endif
		reporting = reporting | BIT(X);
		if
		:: pollCommitted -> atRevision1 = atRevision1 | BIT(X); knowsRevision1 = knowsRevision1 | BIT(X)
		:: !pollCommitted && pollAge < confirmationAge -> confirmationAge = pollAge
		:: else
		fi; pollInFlight = 0; pollAge = 0; pollCommitted = 0 }
#else
	:: d_step { REGISTERED(X) && !committed && (confirmationAge > 0 || !IN(reporting, X)) -> pollStore(X) }
#endif
#ifdef STALE_READ_CONFIRMS
	:: d_step { REGISTERED(X) && committed -> confirmationAge = 0 }
#endif
	:: d_step { REGISTERED(O) && logReadByO && !accepted -> checkMajorities();
		if
		:: ok && ticksSinceMajorities == NONE -> ticksSinceMajorities = 0
		:: else
		fi;
		if
#ifdef ACCEPT_AT_ONCE
		:: ok && (ticksSinceMajorities >= WAIT_TICKS || !(KNOWN_MEMBERS(O) & ~ACKNOWLEDGED)) ->
#else
		:: ok && ticksSinceMajorities >= WAIT_TICKS ->
#endif
			 accepted = 1; ticksSinceMajorities = NONE; logReadByO = 0
		:: else
		fi }
#ifndef ACCEPT_AT_ONCE
	/* O accepts without the wait only if the log, read after the last acknowledgement, shows no unacknowledged member. */
	:: d_step { REGISTERED(O) && logReadByO && !accepted && !(KNOWN_MEMBERS(O) & ~ACKNOWLEDGED) ->
		readLog(O);
		if :: !(KNOWN_MEMBERS(O) & ~ACKNOWLEDGED) -> accepted = 1; ticksSinceMajorities = NONE; logReadByO = 0 :: else fi }
#endif
	:: d_step { accepted && SERVES_REVISION_0 -> assert(false) }
	od
}
