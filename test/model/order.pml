/*
 * Orders under one idempotency key (docs/design.md section 6.5). Each call runs at an instance of its own, may be paused
 * at any step and may end at any step. Writes are conditional; a reply may be lost, and a claim whose reply was lost may
 * arrive later. A send may travel for any time. The window of a claim is a flag that any tick may clear, because only the
 * order of its end and the send matters. The last call has another digest than the others.
 */
#ifndef CALLS
#define CALLS 3
#endif
#ifndef CHECKS
#define CHECKS 1             /* 1: the backend server checks fences; 0: it ignores them */
#endif
#ifndef MAXFENCE
#define MAXFENCE 3
#endif
#ifdef RAISE_UNCHECKED       /* takes over a claim although the backend server ignores fences */
#define RAISES 1
#else
#define RAISES CHECKS
#endif
#define NONE 255
#define DIGEST(c) ((c) == CALLS - 1 && CALLS > 2)

mtype = { absent, claimed, abandoned, finished };
mtype rowState = absent;
byte rowHolder, rowFence; bit rowDigest;

byte executions; byte ranFor = NONE; byte serverFence;   /* the backend server */
bit answered;                                            /* it recorded a result */
byte claimLate[CALLS];      /* fence of an insert that may still arrive; 0 if none */
byte sendLate[CALLS];       /* fence of a send that may still arrive; 0 if none */
bit inWindow[CALLS];
bit notRun[CALLS];          /* the caller was told not_run */

#ifdef SERVER_REPLAYS        /* the backend server also replays a recorded result to a send */
#define REPLAYS 1
#else
#define REPLAYS 0
#endif

inline execute(c, f) {
	if
	:: CHECKS && f < serverFence -> skip       /* refused as stale */
	:: CHECKS && f >= serverFence && REPLAYS && answered -> skip
	:: else ->
		executions++; answered = 1; ranFor = c;
		if :: CHECKS -> serverFence = f :: else fi;
		assert(executions <= 1);
		assert(!notRun[c]);
		assert(DIGEST(c) == rowDigest)
	fi
}

inline setRow(s, c, f) { rowState = s; rowHolder = c; rowFence = f; rowDigest = DIGEST(c) }

/* A call that may have sent answers unknown instead. */
#ifdef FORGET_SEND
#define SENT 0
#else
#define SENT sent
#endif
inline refuse(c) {
	if
	:: !SENT -> notRun[c] = 1; assert(ranFor != c && sendLate[c] == 0)
	:: else
	fi
}

proctype network() {
	byte c;
end:	do
	:: d_step { c < CALLS && claimLate[c] && rowState == absent -> setRow(claimed, c, 1); claimLate[c] = 0 }
	:: d_step { c < CALLS && claimLate[c] -> claimLate[c] = 0 }
	:: d_step { c < CALLS && sendLate[c] -> execute(c, sendLate[c]); sendLate[c] = 0 }
	:: d_step { c < CALLS && sendLate[c] -> sendLate[c] = 0 }
	:: d_step { c < CALLS && inWindow[c] -> inWindow[c] = 0 }
	:: d_step { c = (c + 1) % CALLS }
	od
}

proctype call(byte me) {
	byte fence; bit mine, sent;
	/* Claim: the window starts before the write. */
	d_step { inWindow[me] = 1; fence = 1 };
	if
#ifdef SKIP_CLAIM
	:: goto send
#endif
	:: d_step { rowState == absent -> setRow(claimed, me, 1) }; goto send
	:: d_step { rowState == absent -> setRow(claimed, me, 1) }; goto ambiguous      /* reply lost */
	:: d_step { rowState == absent -> claimLate[me] = 1 }; goto ambiguous           /* reply lost, not yet arrived */
	:: rowState != absent -> goto follow
	:: d_step { true -> refuse(me) }; goto end                             /* store unavailable, no effect */
	fi;
ambiguous:
#ifdef SKIP_READ_BACK
	goto send;
#endif
	if
	:: d_step { rowState == claimed && rowHolder == me && rowFence == fence -> claimLate[me] = 0 }; goto send
	:: rowState != absent && !(rowHolder == me && rowFence == fence) -> goto follow
	:: d_step { true -> refuse(me) }; goto settle                          /* not readable, or absent: nothing is sent */
	fi;
settle:	/* The claim is marked abandoned later; an absent row is inserted as abandoned. */
	if
	:: d_step { rowState == claimed && rowHolder == me && rowFence == fence -> setRow(abandoned, me, fence) }; goto end
	:: d_step { rowState == absent -> setRow(abandoned, me, fence) }; goto end
	:: goto end
	fi;
send:
	if
#ifdef IGNORE_WINDOW
	:: d_step { true -> assert(inWindow[me]); sent = 1 }
#else
	:: d_step { inWindow[me] -> sent = 1 }
	:: d_step { !inWindow[me] -> refuse(me) }; goto settle
#endif
	fi;
	/* A pause between this check and the kernel's send is covered by a send that travels for any time. */
#ifdef ABANDON_AFTER_SEND
	if :: d_step { rowState == claimed && rowHolder == me -> sendLate[me] = fence; setRow(abandoned, me, fence) }; goto end :: skip fi;
#endif
	if
	:: d_step { skip; execute(me, fence) }; 
		if
		:: d_step { ranFor != NONE -> if :: rowState != finished -> rowState = finished :: else fi }; goto end
		:: goto noAnswer                                               /* answer lost */
		:: ranFor == NONE -> goto noAnswer                             /* stale fence */
		fi
	:: sendLate[me] == 0 -> sendLate[me] = fence; goto noAnswer
	fi;
noAnswer:
	if
	:: CHECKS -> goto follow
	:: goto end                                                            /* unknown */
	fi;
follow:
	if
#ifndef SKIP_DIGEST
	:: d_step { rowDigest != DIGEST(me) -> refuse(me) }; goto end
	:: rowDigest == DIGEST(me) -> skip
#else
	:: true -> skip
#endif
	fi;
	if
	:: rowState == finished -> goto end                                    /* replayed */
	:: d_step { rowState == abandoned && rowFence < MAXFENCE -> fence = rowFence + 1; setRow(claimed, me, fence); inWindow[me] = 1 }; goto send
	:: d_step { rowState == abandoned && rowFence < MAXFENCE -> fence = rowFence + 1; setRow(claimed, me, fence); inWindow[me] = 1 }; goto ambiguous
	:: goto end                                                            /* deadline: unknown */
	:: RAISES && rowState == claimed && rowFence < MAXFENCE -> goto raise
	fi;
raise:	/* The higher fence is written to the row, then raised at the backend server, which answers in one step. */
	if
	:: d_step { rowState == claimed && rowFence < MAXFENCE -> fence = rowFence + 1; setRow(claimed, me, fence) }
	:: goto end
	fi;
	if
	:: goto end                                                            /* no answer before the deadline */
#ifdef RAISE_ROW_ONLY
	:: d_step { true -> inWindow[me] = 1 }; goto send
#else
	:: d_step { fence > serverFence -> serverFence = fence; mine = CHECKS && answered }
	:: fence <= serverFence -> goto end
#endif
	fi;
	if
	:: d_step { mine -> rowState = finished }; goto end
	:: d_step { !mine -> inWindow[me] = 1 }; goto send
	fi;
end:	skip
}

init {
	byte k;
	atomic {
		run network();
		do
		:: k < CALLS -> run call(k); k++
		:: else -> break
		od; k = 0
	}
}
