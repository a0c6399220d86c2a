/*
 * Acceptance of one configuration revision and the right to serve without a fresh store confirmation
 * (docs/design.md section 6.1). Revision 1 is committed over revision 0. Instance O applies the change; instance X is
 * the one that may still hold revision 0. Three instances are registered at the start, two more may register.
 *
 * Time: one tick is the freshness bound B; an observation is valid while its age is at most one tick. A partition is the
 * absence of polls or pulls, so that every partition is covered. Ages count from the request, so that a reply that arrives
 * late, or a report that others relayed, has the effect of one taken in at once; with -DIN_FLIGHT the replies to X travel
 * for any time. O's view is the truth: the rule only weakens with more acknowledgements and higher known sequences, so that an
 * O that is behind accepts later. A dead instance is one that does nothing more after its registration ended. The search
 * ends where X can no longer start work under revision 0 or O can no longer accept.
 */
#define N 5
#define INITIAL 3
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
#define WAIT 0
#else
#define WAIT 2
#endif
#define BIT(i) (1 << (i))
#define IN(m, i) (((m) >> (i)) & 1)
#define COUNT(m) (IN(m, 0) + IN(m, 1) + IN(m, 2) + IN(m, 3) + IN(m, 4))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

bit committed, accepted;
bit oread;               /* O read the registration log after the commit */
byte left;               /* masks over instances: registration ended; takes no new work, may answer peers */
byte revs;               /* revision 1 is in force */
byte heard;              /* knows that revision 1 exists */
byte reports = 7;        /* polled after its registration, so that it reports its revision */
byte cold;               /* adopted revision 0 from a majority of peers, without a store read since its registration */
byte last = INITIAL;     /* length of the registration log */
byte mem[MAXLOG + 1];    /* members after each row */
byte seq[N];             /* registration sequence; 0 if none */
byte known[N];           /* length of the log that the instance knows */
byte sat = NONE;         /* ticks since the required majorities held */
byte cage = EXPIRED;     /* X: age of its confirmation */
byte age[N];             /* X: age of the report of revision 0 from each instance */
byte behind;             /* X: highest log length that a report named */
#ifdef IN_FLIGHT
byte q = NONE, qage, qknown; bit qrev, qheard, qreports;   /* X: one pull in flight */
bit polling, prev; byte page;                              /* X: one poll in flight */
#else
hidden byte q = NONE, qage, qknown, qrev, qheard, qreports;
#endif
hidden byte i, j, m, n, lowest, ok;

#define RUNS(k) (seq[k] > 0)
#define ACK (revs & reports)
#define MEMBERS(k) mem[known[k]]

inline older(a) { if :: a < EXPIRED -> a++ :: else fi }

inline append(mask) { mem[last + 1] = mask; last++ }

inline poll(k) {
	if :: committed -> revs = revs | BIT(k); heard = heard | BIT(k) :: else fi;
	reports = reports | BIT(k);
	if :: k == X -> cage = 0 :: else fi
}

/* Reads the log to its end. Rows that end a registration count only after a store read of the configuration. */
inline readlog(k) {
	ok = 0; n = known[k];
	do
	:: n < last -> if :: (mem[n] & ~mem[n + 1]) -> ok = 1 :: else fi; n++
	:: else -> break
	od;
#ifndef NO_CONFIRM_BEFORE_ENDS
	if :: ok -> poll(k) :: else fi;
#endif
	known[k] = last;
	if :: k == O && committed && !accepted -> oread = 1 :: else fi
}

/* ok: the acknowledged members are a majority of each prefix that a missing member may decide by. */
inline required() {
	m = MEMBERS(O); lowest = NONE; ok = (m != 0); i = 0;
	do
	:: i < N ->
		if
		:: IN(m, i) && !IN(ACK, i) && MAX(known[i], seq[i]) < lowest -> lowest = MAX(known[i], seq[i])
		:: else
		fi; i++
	:: else -> break
	od;
	i = 0; n = 0; j = 0;
	do
	:: i < N && lowest < NONE ->
		if
#ifndef PLAIN_MAJORITY
		:: IN(m, i) && n > 0 && seq[i] > lowest && 2 * j <= n -> ok = 0
#endif
		:: else
		fi;
		n = n + IN(m, i); j = j + (IN(m, i) && IN(ACK, i)); i++
	:: else -> break
	od;
	if :: lowest < NONE && 2 * j <= n -> ok = 0 :: else fi
}

#define SUPPORTS(k) ((k) == X -> IN(reports, X) : (IN(MEMBERS(X), k) && age[k] < EXPIRED))
#define SUPPORT (SUPPORTS(0) + SUPPORTS(1) + SUPPORTS(2) + SUPPORTS(3) + SUPPORTS(4))
#define MAJORITY (known[X] >= behind && IN(MEMBERS(X), X) && 2 * SUPPORT > COUNT(MEMBERS(X)))
#ifdef NO_FRESHNESS
#define RIGHT 1
#else
#define RIGHT (cage < EXPIRED || MAJORITY)
#endif
#define STARTS_OLD (seq[X] > 0 && !IN(left, X) && !IN(revs, X) && !IN(heard, X) && IN(reports | cold, X) && RIGHT)

inline drop() { q = NONE; qage = 0; qknown = 0; qrev = 0; qheard = 0; qreports = 0 }

inline pulled() {
#ifdef AGE_FROM_REPLY
	qage = 0;
#endif
	behind = MAX(behind, qknown);
	if
	:: qreports && qrev -> heard = heard | BIT(X)
	:: qreports && !qrev && qage < age[q] -> age[q] = qage
	:: else
	fi
}

/* X takes the rows of the registration log that the peer knows, and with them the peer's newest revision. */
inline adopts() {
	if :: qknown > known[X] -> known[X] = qknown :: else fi;
#ifndef NO_REVISION_WITH_ROWS
	if :: qheard -> heard = heard | BIT(X) :: else fi
#endif
}

/* Actions of any instance k but X. */
#define OTHERS(k) \
	:: d_step { k != X && RUNS(k) && IN(mem[last], k) && !IN(left, k) && last < MAXLOG -> left = left | BIT(k); append(mem[last] & ~BIT(k)) } \
	:: d_step { k != X && RUNS(k) && (!IN(reports, k) || (committed && !IN(revs, k))) -> poll(k) } \
	:: d_step { k != X && RUNS(k) && known[k] < last -> readlog(k) } \
	PULLS(k)

#define REQUEST(k) \
	q = k; qage = 0; qknown = known[k]; qrev = IN(revs, k); qheard = IN(heard, k); \
	qreports = IN(reports, k) && IN(MEMBERS(k), k)
#define CAN_PULL(k) (k != X && RUNS(k) && RUNS(X) && IN(MEMBERS(X), k))
#ifdef IN_FLIGHT
#define PULLS(k) :: d_step { CAN_PULL(k) && q == NONE -> REQUEST(k) }
#else
#define PULLS(k) \
	:: d_step { CAN_PULL(k) -> REQUEST(k); pulled(); drop() } \
	:: d_step { CAN_PULL(k) && known[k] > known[X] -> REQUEST(k); adopts(); pulled(); drop() }
#endif

/* Registrations during the run. A new instance read the log, and with its endings the configuration, before its insert. */
#define REGISTERS(k) \
	:: d_step { seq[k] == 0 && (k == 3 || seq[3] > 0) && last < MAXLOG -> \
		readlog(k); reports = reports & ~BIT(k); \
		append(mem[last] | BIT(k)); seq[k] = last; known[k] = last; \
		if :: k == X -> FORGET :: else fi; REPORTS_EARLY(k) }
#ifdef SERVE_BEFORE_REGISTERED
#define FORGET cage = 0; reports = reports | BIT(X)
#else
#define FORGET cage = EXPIRED
#endif

/* A start without the store: the registered set, reports of revision 0 from a majority of it. */
#define TELLS(k, f) (f != k && IN(MEMBERS(k), f) && IN(reports, f) && !IN(revs, f))
#define TOLD(k) (TELLS(k, 0) + TELLS(k, 1) + TELLS(k, 2) + TELLS(k, 3) + TELLS(k, 4))
#define HEARD_BY_X (SUPPORT - IN(reports, X))
#define STARTS_COLD(k) \
	:: d_step { RUNS(k) && !IN(reports | cold | revs | heard, k) && IN(MEMBERS(k), k) && \
		((k == X && known[X] >= behind && 2 * HEARD_BY_X > COUNT(MEMBERS(X))) || (k != X && 2 * TOLD(k) > COUNT(MEMBERS(k)))) -> \
		cold = cold | BIT(k); COLD_REPORTS(k) }
#ifdef COLD_START_COUNTS
#define COLD_REPORTS(k) reports = reports | BIT(k)
#else
#define COLD_REPORTS(k) skip
#endif
#ifdef REPORT_BEFORE_POLL
#define REPORTS_EARLY(k) reports = reports | BIT(k)
#else
#define REPORTS_EARLY(k) skip
#endif

/* Rows and revision pass between two instances other than X. */
#ifdef NO_REVISION_WITH_ROWS
#define RELAYS(k, f)
#else
#define RELAYS(k, f) \
	:: d_step { RUNS(k) && RUNS(f) && known[f] > known[k] -> known[k] = known[f]; \
		if :: IN(heard, f) -> heard = heard | BIT(k) :: else fi }
#endif

#define OVER (IN(heard, X) || IN(left, X) || (IN(left, O) && !accepted))

active proctype world() provided (!OVER) {
	d_step {
		mem[INITIAL] = 7;
		seq[0] = 1; seq[1] = 2; seq[2] = 3;
		known[0] = 3; known[1] = 3; known[2] = 3; known[3] = 3; known[4] = 3;
		age[3] = EXPIRED; age[4] = EXPIRED;
		if :: seq[X] > 0 -> cage = 0 :: else -> age[0] = EXPIRED; age[1] = EXPIRED; age[2] = EXPIRED fi
	}
	do
	:: d_step { !committed -> committed = 1 }
	:: d_step { true ->
		older(cage); older(age[0]); older(age[1]); older(age[2]); older(age[3]); older(age[4]);
#ifdef IN_FLIGHT
		if :: q != NONE -> older(qage) :: else fi;
		if :: polling -> older(page) :: else fi;
#endif
		if :: sat < 2 -> sat++ :: else fi }
	OTHERS(0) OTHERS(1) OTHERS(2) OTHERS(3) OTHERS(4)
	REGISTERS(3) REGISTERS(4) STARTS_COLD(3) STARTS_COLD(4)
	RELAYS(1, 0) RELAYS(3, 1) RELAYS(1, 3) RELAYS(0, 1)
#ifdef REMOVE_RUNNING
	:: d_step { IN(mem[last], 1) && last < MAXLOG -> append(mem[last] & ~BIT(1)) }
	:: d_step { IN(mem[last], X) && last < MAXLOG -> append(mem[last] & ~BIT(X)) }
#endif
	:: d_step { RUNS(X) && known[X] < last -> readlog(X) }
	:: d_step { RUNS(O) && committed && !accepted && !oread && known[O] == last -> oread = 1 }
#ifdef NO_READ_AFTER_COMMIT
	:: d_step { RUNS(O) && committed && !accepted && !oread -> oread = 1 }
#endif
#ifdef IN_FLIGHT
	:: d_step { q != NONE -> drop() }
	:: d_step { q != NONE -> pulled(); drop() }
	:: d_step { q != NONE -> adopts(); pulled(); drop() }
	:: d_step { !polling && RUNS(X) -> polling = 1; page = 0; prev = committed }
	:: d_step { polling -> polling = 0; page = 0; prev = 0 }
	:: d_step { polling ->
#ifdef AGE_FROM_REPLY
		page = 0;
#endif
		reports = reports | BIT(X);
		if
		:: prev -> revs = revs | BIT(X); heard = heard | BIT(X)
		:: !prev && page < cage -> cage = page
		:: else
		fi; polling = 0; page = 0; prev = 0 }
#else
	:: d_step { RUNS(X) && !committed && (cage > 0 || !IN(reports, X)) -> poll(X) }
#endif
#ifdef STALE_READ_CONFIRMS
	:: d_step { RUNS(X) && committed -> cage = 0 }
#endif
	:: d_step { RUNS(O) && oread && !accepted -> required();
		if
		:: ok && sat == NONE -> sat = 0
		:: else
		fi;
		if
#ifdef ACCEPT_AT_ONCE
		:: ok && (sat >= WAIT || !(MEMBERS(O) & ~ACK)) ->
#else
		:: ok && sat >= WAIT ->
#endif
			 accepted = 1; sat = NONE; oread = 0
		:: else
		fi }
#ifndef ACCEPT_AT_ONCE
	/* Without the wait only if the log, read after the last acknowledgement, shows no other instance. */
	:: d_step { RUNS(O) && oread && !accepted && !(MEMBERS(O) & ~ACK) ->
		readlog(O);
		if :: !(MEMBERS(O) & ~ACK) -> accepted = 1; sat = NONE; oread = 0 :: else fi }
#endif
	:: d_step { accepted && STARTS_OLD -> assert(false) }
	od
}
