/*
 * Leases and fencing tokens (docs/design.md section 6.8). Each instance may be paused at any step for any time. A tick is
 * a third of the TTL on every monotonic clock. The lease holder counts ticks from the start of its last successful write;
 * an instance that waits for the lease counts from the read that first showed the row in its present version. A command
 * may be delayed for any time; the engine checks its fencing token.
 */
#ifndef INSTANCES
#define INSTANCES 2
#endif
#ifndef MAXFENCE
#define MAXFENCE 3
#endif
#ifndef MAXVERSION
#define MAXVERSION 4
#endif
#define TTL 3
#define NONE 255

byte rowHolder = NONE, rowFence, rowVersion;    /* the lease row */
byte appliedFence;                      /* highest fencing token that the engine accepted */
byte grantedTo[MAXFENCE + 1];           /* fencing token -> 1 + the instance that it was granted to; 0 if none */
byte actingHolder[INSTANCES];           /* the instance acquired the lease and has not noticed its end */
byte elapsedTicks[INSTANCES];           /* holder: ticks since the start of its last successful write;
                                           others: ticks since the row version was first seen */
byte writeTicks[INSTANCES];             /* ticks since the start of the write in progress */

inline advance(ticks) { if :: ticks < TTL -> ticks++ :: else fi }

/* Every fencing token is granted to one holder only. */
inline recordGrant() {
	rowFence = seenFence + 1; ownFence = rowFence; seenVersion = rowVersion;
	elapsedTicks[me] = writeTicks[me]; actingHolder[me] = 1;
	assert(grantedTo[rowFence] == 0);
	grantedTo[rowFence] = 1 + me
}
#define HOLDS_LEASE(i) (actingHolder[i] && elapsedTicks[i] < TTL)

/* Advances all clocks by one tick; at most one instance may hold a valid lease. */
proctype clock() {
	byte k;
end:	do
	:: d_step {
		k = 0;
		do
		:: k < INSTANCES -> advance(elapsedTicks[k]); advance(writeTicks[k]); k++
		:: else -> k = 0; break
		od;
		assert(HOLDS_LEASE(0) + HOLDS_LEASE(1) + HOLDS_LEASE(INSTANCES - 1) * (INSTANCES > 2) <= 1) }
	od
}

/* Each statement is a step at which the instance may stay paused. */
proctype instance(byte me) {
	byte ownFence, seenVersion, seenFence, seenHolder; bit rowKnown;
end:	do
	:: actingHolder[me] ->       /* one command: the lease is checked, then the command is sent, and may be delayed */
		if
#ifdef IGNORE_TTL
		:: true ->
#else
		:: elapsedTicks[me] < TTL ->
#endif
			if
#ifdef ENGINE_IGNORES
			:: d_step { true -> assert(ownFence >= appliedFence); appliedFence = ownFence }
#else
			:: d_step { ownFence >= appliedFence -> appliedFence = ownFence }
			:: d_step { ownFence < appliedFence -> skip }
#endif
			:: skip                            /* command lost */
			fi
		:: d_step { elapsedTicks[me] >= TTL -> actingHolder[me] = 0; rowKnown = 0 }
		fi
	:: actingHolder[me] && rowVersion < MAXVERSION ->       /* renewal */
		d_step { writeTicks[me] = 0 };
		if
		:: d_step { rowVersion == seenVersion -> rowVersion++; seenVersion = rowVersion; elapsedTicks[me] = writeTicks[me] }
		:: d_step { rowVersion == seenVersion ->
			rowVersion++; actingHolder[me] = 0; rowKnown = 0 }   /* reply lost, and the read-back failed */
		:: d_step { rowVersion != seenVersion -> actingHolder[me] = 0; rowKnown = 0 }
		:: skip
		fi
	:: !actingHolder[me] ->      /* reads the row */
		d_step {
			if
			:: rowKnown && seenVersion == rowVersion -> skip
			:: else -> elapsedTicks[me] = 0; seenVersion = rowVersion; rowKnown = 1
			fi; seenFence = rowFence; seenHolder = rowHolder }
	/* Acquisition: an expired or free lease, or one that names this instance. */
	:: d_step { !actingHolder[me] && rowKnown && rowFence < MAXFENCE && rowVersion < MAXVERSION &&
#ifdef TAKE_EARLY
		true
#else
		(elapsedTicks[me] >= TTL || seenHolder == NONE || seenHolder == me)
#endif
		-> writeTicks[me] = 0 };
		if
#ifdef NO_COMPARE
		:: d_step { true -> rowVersion++; rowHolder = me; recordGrant() }
#else
		:: d_step { rowVersion == seenVersion -> rowVersion++; rowHolder = me; recordGrant() }
		:: d_step { rowVersion != seenVersion -> rowKnown = 0 }
#endif
		:: d_step { rowVersion == seenVersion ->
			rowVersion++; rowHolder = me; rowFence = seenFence + 1; rowKnown = 0 }   /* reply lost */
		:: d_step { rowKnown = 0 }
		fi
	od
}

init {
	byte k;
	atomic {
		run clock();
		do
		:: k < INSTANCES -> run instance(k); k++
		:: else -> break
		od }
}
