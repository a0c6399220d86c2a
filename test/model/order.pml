/*
 * Orders under one idempotency key (docs/design.md section 6.5). Each call runs at its own instance, may be paused at any
 * step and may end at any step. Writes to the order row are conditional. The reply to a write may be lost, and a claim
 * whose reply was lost may arrive later. A send to the backend server may be delayed for any time. The claim window is a
 * flag that may be cleared at any step, because only the order of its end and the send matters. The last call has a
 * different request digest from the others.
 */
#ifndef CALLS
#define CALLS 3
#endif
#ifndef CHECKS
#define CHECKS 1             /* 1: the backend server checks fencing tokens; 0: it ignores them */
#endif
#ifndef MAXFENCE
#define MAXFENCE 3
#endif
#ifdef RAISE_UNCHECKED       /* mutant: takes over a claim although the backend server ignores fencing tokens */
#define MAY_RAISE_FENCE 1
#else
#define MAY_RAISE_FENCE CHECKS
#endif
#define NONE 255
#define DIGEST(c) ((c) == CALLS - 1 && CALLS > 2)

mtype = { absent, claimed, abandoned, finished };
mtype rowState = absent;                                 /* the order row */
byte rowHolder, rowFence; bit rowDigest;

byte executions; byte executedCall = NONE; byte serverFence;   /* state of the backend server */
bit resultRecorded;            /* the backend server recorded a result */
byte delayedClaim[CALLS];      /* fencing token of a claim insert that may still arrive; 0 if none */
byte delayedSend[CALLS];       /* fencing token of a send that may still arrive; 0 if none */
bit windowOpen[CALLS];         /* the claim window has not ended: the call may send */
bit toldNotRun[CALLS];         /* the caller was told not_run */

#ifdef SERVER_REPLAYS          /* the backend server also answers a send by replaying the recorded result */
#define REPLAYS 1
#else
#define REPLAYS 0
#endif

inline execute(byCall, sentFence) {
	if
	:: CHECKS && sentFence < serverFence -> skip       /* refused: stale fence */
	:: CHECKS && sentFence >= serverFence && REPLAYS && resultRecorded -> skip
	:: else ->
		executions++; resultRecorded = 1; executedCall = byCall;
		if :: CHECKS -> serverFence = sentFence :: else fi;
		assert(executions <= 1);
		assert(!toldNotRun[byCall]);
		assert(DIGEST(byCall) == rowDigest)
	fi
}

inline setRow(newState, byCall, newFence) {
	rowState = newState; rowHolder = byCall; rowFence = newFence; rowDigest = DIGEST(byCall)
}

/* The caller is told not_run only if the call never sent; otherwise it is told unknown. */
#ifdef FORGET_SEND
#define MAY_HAVE_SENT 0
#else
#define MAY_HAVE_SENT sent
#endif
inline reportNotRun(byCall) {
	if
	:: !MAY_HAVE_SENT -> toldNotRun[byCall] = 1; assert(executedCall != byCall && delayedSend[byCall] == 0)
	:: else
	fi
}

/* Delivers or drops delayed claims and sends, and ends claim windows, at any time. */
proctype network() {
	byte callNo;
end:	do
	:: d_step { callNo < CALLS && delayedClaim[callNo] && rowState == absent ->
		setRow(claimed, callNo, 1); delayedClaim[callNo] = 0 }
	:: d_step { callNo < CALLS && delayedClaim[callNo] -> delayedClaim[callNo] = 0 }
	:: d_step { callNo < CALLS && delayedSend[callNo] -> execute(callNo, delayedSend[callNo]); delayedSend[callNo] = 0 }
	:: d_step { callNo < CALLS && delayedSend[callNo] -> delayedSend[callNo] = 0 }
	:: d_step { callNo < CALLS && windowOpen[callNo] -> windowOpen[callNo] = 0 }
	:: d_step { callNo = (callNo + 1) % CALLS }
	od
}

proctype call(byte me) {
	byte fence; bit hasResult, sent;
	/* The claim window starts before the claim is written. */
	d_step { windowOpen[me] = 1; fence = 1 };
	if
#ifdef SKIP_CLAIM
	:: goto send
#endif
	:: d_step { rowState == absent -> setRow(claimed, me, 1) }; goto send
	:: d_step { rowState == absent -> setRow(claimed, me, 1) }; goto readBack     /* reply lost */
	:: d_step { rowState == absent -> delayedClaim[me] = 1 }; goto readBack        /* delayed, no reply */
	:: rowState != absent -> goto followRow
	:: d_step { true -> reportNotRun(me) }; goto end                       /* store unavailable, nothing written */
	fi;
readBack:	/* The reply to the claim was lost: the row is read back. */
#ifdef SKIP_READ_BACK
	goto send;
#endif
	if
	:: d_step { rowState == claimed && rowHolder == me && rowFence == fence -> delayedClaim[me] = 0 }; goto send
	:: rowState != absent && !(rowHolder == me && rowFence == fence) -> goto followRow
	:: d_step { true -> reportNotRun(me) }; goto abandonClaim              /* unreadable or absent: nothing is sent */
	fi;
abandonClaim:	/* The claim is marked abandoned; if the row is absent, it is inserted as abandoned. */
	if
	:: d_step { rowState == claimed && rowHolder == me && rowFence == fence -> setRow(abandoned, me, fence) }; goto end
	:: d_step { rowState == absent -> setRow(abandoned, me, fence) }; goto end
	:: goto end
	fi;
send:
	if
#ifdef IGNORE_WINDOW
	:: d_step { true -> assert(windowOpen[me]); sent = 1 }
#else
	:: d_step { windowOpen[me] -> sent = 1 }
	:: d_step { !windowOpen[me] -> reportNotRun(me) }; goto abandonClaim
#endif
	fi;
	/* A pause between this check and the kernel's send has the same effect as a delayed send. */
#ifdef ABANDON_AFTER_SEND
	if
	:: d_step { rowState == claimed && rowHolder == me -> delayedSend[me] = fence; setRow(abandoned, me, fence) }; goto end
	:: skip
	fi;
#endif
	if
	:: d_step { skip; execute(me, fence) };
		if
		:: d_step { executedCall != NONE -> if :: rowState != finished -> rowState = finished :: else fi }; goto end
		:: goto noAnswer                                            /* response lost */
		:: executedCall == NONE -> goto noAnswer                    /* stale fence */
		fi
	:: delayedSend[me] == 0 -> delayedSend[me] = fence; goto noAnswer      /* delayed */
	fi;
noAnswer:	/* Without the check of fencing tokens the order cannot be sent again. */
	if
	:: CHECKS -> goto followRow
	:: goto end                                                            /* the caller is told unknown */
	fi;
followRow:	/* The row already exists: the call acts on its state. */
	if
#ifndef SKIP_DIGEST
	:: d_step { rowDigest != DIGEST(me) -> reportNotRun(me) }; goto end
	:: rowDigest == DIGEST(me) -> skip
#else
	:: true -> skip
#endif
	fi;
	if
	:: rowState == finished -> goto end                                    /* the result is replayed */
	:: d_step { rowState == abandoned && rowFence < MAXFENCE ->
		fence = rowFence + 1; setRow(claimed, me, fence); windowOpen[me] = 1 }; goto send
	:: d_step { rowState == abandoned && rowFence < MAXFENCE ->
		fence = rowFence + 1; setRow(claimed, me, fence); windowOpen[me] = 1 }; goto readBack  /* reply lost */
	:: goto end                                                            /* deadline: the caller is told unknown */
	:: MAY_RAISE_FENCE && rowState == claimed && rowFence < MAXFENCE -> goto raiseFence
	fi;
raiseFence:	/* The next fencing token is written to the row, then raised at the backend server, which answers in one step. */
	if
	:: d_step { rowState == claimed && rowFence < MAXFENCE -> fence = rowFence + 1; setRow(claimed, me, fence) }
	:: goto end
	fi;
	if
	:: goto end                                                            /* no answer before the deadline */
#ifdef RAISE_ROW_ONLY
	:: d_step { true -> windowOpen[me] = 1 }; goto send
#else
	:: d_step { fence > serverFence -> serverFence = fence; hasResult = CHECKS && resultRecorded }
	:: fence <= serverFence -> goto end
#endif
	fi;
	if
	:: d_step { hasResult -> rowState = finished }; goto end
	:: d_step { !hasResult -> windowOpen[me] = 1 }; goto send
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
