/*
 * Leases and fencing numbers (docs/design.md section 6.8). Each instance may be paused at any step for any time. A tick
 * is a third of the TTL by every monotonic clock; a holder counts from the start of its last successful write, a waiter
 * from the read that first showed the row. A command may travel for any time; the engine checks fences.
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

byte holder = NONE, fence, version;     /* the lease row */
byte applied;                           /* highest fence applied */
byte owner[MAXFENCE + 1];                /* 1 + the instance that was granted each fence */
byte acting[INSTANCES];                 /* the holder believes by its clock that it may act */
byte since[INSTANCES];                  /* ticks since the start of the last successful write, or since the row was first seen */
byte writing[INSTANCES];                /* ticks since the start of the write in progress */

inline older(a) { if :: a < TTL -> a++ :: else fi }

/* Every fence is granted to one holder, and no two instances have the right at one time. */
inline granted() {
	fence = seenFence + 1; myFence = fence; seen = version; since[me] = writing[me]; acting[me] = 1;
	assert(owner[fence] == 0);
	owner[fence] = 1 + me
}
#define VALID(i) (acting[i] && since[i] < TTL)

proctype clock() {
	byte k;
end:	do
	:: d_step {
		k = 0;
		do
		:: k < INSTANCES -> older(since[k]); older(writing[k]); k++
		:: else -> k = 0; break
		od;
		assert(VALID(0) + VALID(1) + VALID(INSTANCES - 1) * (INSTANCES > 2) <= 1) }
	od
}

/* Each statement is a step at which the instance may stay paused. */
proctype instance(byte me) {
	byte myFence, seen, seenFence, seenHolder; bit known;
end:	do
	:: acting[me] ->       /* one command: the right is checked, then sent; the command may travel for any time */
		if
#ifdef IGNORE_TTL
		:: true ->
#else
		:: since[me] < TTL ->
#endif
			if
#ifdef ENGINE_IGNORES
			:: d_step { true -> assert(myFence >= applied); applied = myFence }
#else
			:: d_step { myFence >= applied -> applied = myFence }
			:: d_step { myFence < applied -> skip }
#endif
			:: skip                            /* lost */
			fi
		:: d_step { since[me] >= TTL -> acting[me] = 0; known = 0 }
		fi
	:: acting[me] && version < MAXVERSION ->  /* renewal */
		d_step { writing[me] = 0 };
		if
		:: d_step { version == seen -> version++; seen = version; since[me] = writing[me] }
		:: d_step { version == seen -> version++; acting[me] = 0; known = 0 }   /* reply lost; read-back failed */
		:: d_step { version != seen -> acting[me] = 0; known = 0 }
		:: skip
		fi
	:: !acting[me] ->      /* read */
		d_step {
			if
			:: known && seen == version -> skip
			:: else -> since[me] = 0; seen = version; known = 1
			fi; seenFence = fence; seenHolder = holder }
	:: d_step { !acting[me] && known && fence < MAXFENCE && version < MAXVERSION &&
#ifdef TAKE_EARLY
		true
#else
		(since[me] >= TTL || seenHolder == NONE || seenHolder == me)
#endif
		-> writing[me] = 0 };
		if
#ifdef NO_COMPARE
		:: d_step { true -> version++; holder = me; granted() }
#else
		:: d_step { version == seen -> version++; holder = me; granted() }
		:: d_step { version != seen -> known = 0 }
#endif
		:: d_step { version == seen -> version++; holder = me; fence = seenFence + 1; known = 0 }   /* reply lost */
		:: d_step { known = 0 }
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
