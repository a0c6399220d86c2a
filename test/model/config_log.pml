/*
 * The log of configuration revisions (docs/design.md section 6.1). A row is inserted only if it is absent; its document
 * is written before it and is addressed by its digest. Two operators concurrently apply changes to the base revision that
 * they read. The reply to an insert may be lost, an insert may arrive late, and the same change may be applied again. An
 * instance polls the log; a read may be stale by any number of rows, and an instance may restart with no state.
 */
#define REVISIONS 3
#define OPERATORS 2
#ifndef INSTANCES
#define INSTANCES 1
#endif
#define EMPTY 0

byte rowChange[REVISIONS + 2];      /* revision -> change id in its row; EMPTY if there is no row */
byte firstAdopted[REVISIONS + 2];   /* revision -> change id that the first instance to adopt it saw */
byte documents;                     /* documents in the object store: a mask over digests; a change's digest is its id */
byte delayedInsert[OPERATORS], delayedRevision[OPERATORS];   /* change id and revision of an insert that may still arrive */
bit toldCommitted[8];               /* change id -> an operator was told that the change is committed */
bit toldRefused[8];                 /* change id -> an operator was told that the change is not committed */
byte headRevision;                  /* newest revision in the log */

inline insertRow(atRevision, newChange) {
#ifdef OVERWRITE
	rowChange[atRevision] = newChange; if :: atRevision > headRevision -> headRevision = atRevision :: else fi
#else
	if
	:: rowChange[atRevision] == EMPTY && atRevision == headRevision + 1 ->
		rowChange[atRevision] = newChange; headRevision = atRevision
	:: else
	fi
#endif
}

proctype operator(byte me) {
	byte baseRevision, changeId, retries;
	changeId = me + 1;
readBase:
	baseRevision = headRevision;
	if :: baseRevision >= REVISIONS -> goto end :: else fi;
#ifndef ROW_BEFORE_DOCUMENT
	documents = documents | (1 << changeId);
#endif
writeRow:
	if
	:: d_step { rowChange[baseRevision + 1] == EMPTY -> insertRow(baseRevision + 1, changeId) }; goto committed
	:: d_step { delayedInsert[me] == 0 ->
		delayedInsert[me] = changeId; delayedRevision[me] = baseRevision + 1 }; goto readBack     /* delayed, no reply */
	:: d_step { rowChange[baseRevision + 1] != EMPTY -> skip }; goto readBack
	:: d_step { retries == 0 && delayedInsert[me] == 0 ->
		toldRefused[changeId] = 1 }; goto end                      /* store unavailable, nothing written */
	fi;
readBack:	/* It is not known whether the insert took effect: the row is read back. */
#ifdef NO_READ_BACK
	goto committed;
#endif
	if
	:: rowChange[baseRevision + 1] == changeId -> goto committed
	:: rowChange[baseRevision + 1] != EMPTY && rowChange[baseRevision + 1] != changeId -> goto conflict
	:: rowChange[baseRevision + 1] == EMPTY && retries < 2 ->
		retries++; goto writeRow                               /* the same row with the same change id */
	:: goto end                                            /* the outcome is unknown */
	fi;
conflict:
	/* The change is merged into the new base under a new change id. */
	toldRefused[changeId] = 1; retries = 0;
	if :: changeId + OPERATORS < 7 -> changeId = changeId + OPERATORS; goto awaitInsert :: else -> goto end fi;
awaitInsert:	/* Waits until no insert of this operator is delayed. */
	delayedInsert[me] == 0; goto readBase;
committed:
	toldCommitted[changeId] = 1;
#ifdef ROW_BEFORE_DOCUMENT
	documents = documents | (1 << changeId);
#endif
	retries = 0;
	if :: changeId + OPERATORS < 7 -> changeId = changeId + OPERATORS; goto awaitInsert :: skip fi;
end:	skip
}

/* A delayed insert arrives at any time or never. */
proctype network() {
end:	do
	:: d_step { delayedInsert[0] -> insertRow(delayedRevision[0], delayedInsert[0]); delayedInsert[0] = 0 }
	:: d_step { delayedInsert[1] -> insertRow(delayedRevision[1], delayedInsert[1]); delayedInsert[1] = 0 }
	:: d_step { delayedInsert[0] -> delayedInsert[0] = 0 }
	:: d_step { delayedInsert[1] -> delayedInsert[1] = 0 }
	od
}

proctype instance() {
	byte currentRevision, readRevision, previousRevision;
end:	do
	:: d_step { readRevision = headRevision } ;            /* the reply may be delayed */
		if
		:: readRevision > 0 -> readRevision--          /* the read is stale by one row */
		:: skip
		fi;
		d_step {
			previousRevision = currentRevision;
#ifdef ADOPT_STALE
			currentRevision = readRevision;
#else
			if :: readRevision > currentRevision -> currentRevision = readRevision :: else fi;
#endif
			assert(currentRevision >= previousRevision);
			if
			:: currentRevision > 0 ->
				assert(documents & (1 << rowChange[currentRevision]));
				assert(firstAdopted[currentRevision] == EMPTY || firstAdopted[currentRevision] == rowChange[currentRevision]);
				firstAdopted[currentRevision] = rowChange[currentRevision]
			:: else
			fi; readRevision = 0; previousRevision = 0 }
	od
}

init {
	byte k;
	atomic {
		run network(); run operator(0); run operator(1);
		do
		:: k < INSTANCES -> run instance(); k++
		:: else -> break
		od; k = 0
	};
	/* What operators were told stays true: committed changes are in the log, refused changes are not. */
end:	do
	:: d_step { true ->
		k = 1;
		do
		:: k < 7 ->
			assert(!toldCommitted[k] ||
				rowChange[1] == k || rowChange[2] == k || rowChange[3] == k || rowChange[4] == k);
			assert(!toldRefused[k] ||
				(rowChange[1] != k && rowChange[2] != k && rowChange[3] != k && rowChange[4] != k));
			k++
		:: else -> k = 0; break
		od }
	od
}
