/*
 * Bills of one owner (docs/design.md section 6.4). The owner seals batches of bills, writes one or more batches into an
 * immutable row that is inserted only if it is absent, and copies the batches to two holders. A bill is released (the
 * caller receives the end marker of its answer) when it is in the store or at a holder. Replies may be lost and writes may
 * arrive late, the owner and the holders may fail at any step, and the store may be unavailable at any time. When the
 * owner has failed, each holder writes its copies and may group them into other rows than the owner. Each batch contains
 * one bill; sets of batches are masks.
 */
#ifndef BILLS
#define BILLS 3
#endif
#define HOLDERS 2
#define BIT(i) (1 << (i))
#define IN(m, i) (((m) >> (i)) & 1)
#define ALL (BIT(BILLS) - 1)
#define BELOW(i) (BIT(i) - 1)

byte ownerRow[BILLS + 1];              /* first batch -> content of row <incarnation>/<first>; 0 if absent */
byte holderRow[8];                     /* first batch + 4 * holder -> content of row <incarnation>/<first>.<holder> */
byte stored;                           /* batches in any row */
byte sealed, firstUnwritten, pendingRow;   /* owner: sealed batches, first batch not known to be written, and content of
                                              the row being written */
byte released;                         /* batches whose bill was released */
byte delayedRow, delayedFirst;         /* content and first batch of one write of the owner that may still arrive */
byte copies[HOLDERS];                  /* holder: batches it has a copy of */
byte holderPendingRow[HOLDERS];        /* holder: content of the row being written */
bit ownerAlive = 1, holderAlive[HOLDERS], storeAvailable = 1;
byte allowedLosses;                    /* batches whose last copy was lost in a way that the design allows */
hidden byte scratch;                   /* used within one step */

inline insertRow(row, content) {
	if :: row == 0 -> row = content; stored = stored | content :: else fi
}

#define LOWEST_BATCH(m) ((m) & 1 -> 0 : ((m) & 2 -> 1 : ((m) & 4 -> 2 : 3)))
/* Batches that are stored, held by the owner or by a holder, or in a write that may still arrive. */
#define RECOVERABLE (stored | (ownerAlive -> ALL : 0) | (holderAlive[0] -> copies[0] : 0) | \
	(holderAlive[1] -> copies[1] : 0) | (delayedRow & ALL))
#ifdef LITERAL
/* The literal text of section 6.4: no bill is lost while the store is available. */
#define ALLOW_LOSSES allowedLosses = allowedLosses | (storeAvailable -> 0 : ALL & ~RECOVERABLE)
#else
/* A batch may be lost if the owner and all holders that had a copy failed before one of them wrote it. */
#define STILL_HELD ((holderAlive[0] -> everCopied[0] : 0) | (holderAlive[1] -> everCopied[1] : 0))
#define ALLOW_LOSSES allowedLosses = allowedLosses | ((everCopied[0] | everCopied[1]) & ~STILL_HELD & ~RECOVERABLE)
#endif
byte everCopied[HOLDERS];              /* holder: batches it has ever had a copy of */

/* The owner learns that its pending row is in the store. */
inline confirmWritten() {
	released = released | pendingRow;
	do
	:: firstUnwritten < BILLS && IN(pendingRow, firstUnwritten) -> firstUnwritten++
	:: else -> break
	od;
	pendingRow = 0
}

/* Copies to a holder, its failure, and its writes after the owner has failed. */
#define HOLDER_ACTIONS(h) \
	:: d_step { ownerAlive && holderAlive[h] && (sealed & ~BELOW(firstUnwritten) & ~copies[h]) -> \
		scratch = BIT(LOWEST_BATCH(sealed & ~BELOW(firstUnwritten) & ~copies[h])); \
		copies[h] = copies[h] | scratch; everCopied[h] = everCopied[h] | scratch; released = released | scratch } \
	:: d_step { ownerAlive && holderAlive[h] && (sealed & ~BELOW(firstUnwritten) & ~copies[h]) -> /* reply lost */ \
		scratch = BIT(LOWEST_BATCH(sealed & ~BELOW(firstUnwritten) & ~copies[h])); \
		copies[h] = copies[h] | scratch; everCopied[h] = everCopied[h] | scratch } \
	:: d_step { ownerAlive && holderAlive[h] && (copies[h] & BELOW(DROP_LIMIT)) -> \
		copies[h] = copies[h] & ~BELOW(DROP_LIMIT) } \
	:: d_step { holderAlive[h] -> holderAlive[h] = 0; holderPendingRow[h] = 0; ALLOW_LOSSES; copies[h] = 0 } \
	:: d_step { TAKEOVER && holderAlive[h] && copies[h] && holderPendingRow[h] == 0 -> \
		holderPendingRow[h] = copies[h] } \
	:: d_step { TAKEOVER && holderAlive[h] && copies[h] && holderPendingRow[h] == 0 -> \
		holderPendingRow[h] = BIT(LOWEST_BATCH(copies[h])) } \
	:: d_step { storeAvailable && holderAlive[h] && holderPendingRow[h] -> \
		scratch = LOWEST_BATCH(holderPendingRow[h]) + HOLDER_KEY(h); \
		insertRow(HOLDER_ROW(scratch), holderPendingRow[h]); \
		copies[h] = copies[h] & ~holderPendingRow[h]; holderPendingRow[h] = 0 } \
	:: d_step { storeAvailable && holderAlive[h] && holderPendingRow[h] -> /* reply lost */ \
		scratch = LOWEST_BATCH(holderPendingRow[h]) + HOLDER_KEY(h); insertRow(HOLDER_ROW(scratch), holderPendingRow[h]) }

#ifdef SAME_KEY          /* mutant: the holder writes under the owner's row key and treats an existing row as its own */
#define HOLDER_KEY(h) 0
#define HOLDER_ROW(index) ownerRow[index]
#else
#define HOLDER_KEY(h) (4 * (h))
#define HOLDER_ROW(index) holderRow[index]
#endif
#define TAKEOVER (!ownerAlive)
/* Holders drop the copies of the batches below this one. */
#ifdef DROP_BEFORE_WRITTEN
#define DROP_LIMIT (firstUnwritten + (pendingRow != 0))
#else
#define DROP_LIMIT firstUnwritten
#endif
#ifdef REGROUP           /* mutant: the content of a row changes after a write whose reply was lost */
#define MAY_START_ROW (sealed & ~BELOW(firstUnwritten) & ~pendingRow)
#else
#define MAY_START_ROW (pendingRow == 0 && (sealed & ~BELOW(firstUnwritten)))
#endif

/* Rows that contain a batch, and how often the roll-up counts its bill. */
#define ROW_COUNT(batch) ( \
	IN(ownerRow[0], batch) + IN(ownerRow[1], batch) + IN(ownerRow[2], batch) + IN(ownerRow[3], batch) + \
	IN(holderRow[0], batch) + IN(holderRow[1], batch) + IN(holderRow[2], batch) + IN(holderRow[3], batch) + \
	IN(holderRow[4], batch) + IN(holderRow[5], batch) + IN(holderRow[6], batch) + IN(holderRow[7], batch))
#ifdef NO_DEDUPLICATION
#define BILL_COUNT(batch) ROW_COUNT(batch)
#else
#define BILL_COUNT(batch) (ROW_COUNT(batch) > 0)
#endif

active proctype actions() {
	d_step { holderAlive[0] = 1; holderAlive[1] = 1 };
end:	do
	:: d_step { ownerAlive && sealed != ALL -> sealed = (sealed << 1) | 1 }
	:: d_step { ownerAlive && MAY_START_ROW -> pendingRow = sealed & ~BELOW(firstUnwritten) }
	:: d_step { ownerAlive && storeAvailable && pendingRow ->
		insertRow(ownerRow[firstUnwritten], pendingRow); confirmWritten() }
	:: d_step { ownerAlive && storeAvailable && pendingRow ->           /* reply lost */
		insertRow(ownerRow[firstUnwritten], pendingRow) }
	:: d_step { ownerAlive && pendingRow && !delayedRow -> delayedRow = pendingRow; delayedFirst = firstUnwritten }
	:: d_step { delayedRow && storeAvailable ->
		insertRow(ownerRow[delayedFirst], delayedRow); delayedRow = 0; delayedFirst = 0 }
	:: d_step { delayedRow -> scratch = delayedRow; delayedRow = 0; delayedFirst = 0; ALLOW_LOSSES }
#ifdef RELEASE_EARLY
	:: d_step { ownerAlive && (sealed & ~released) -> released = sealed }
#endif
	:: d_step { storeAvailable -> storeAvailable = 0 }
	:: d_step { !storeAvailable -> storeAvailable = 1 }
	:: d_step { ownerAlive -> ownerAlive = 0; pendingRow = 0; ALLOW_LOSSES }
	HOLDER_ACTIONS(0) HOLDER_ACTIONS(1)
	:: d_step { released & ~allowedLosses & ~RECOVERABLE -> assert(false) }
	/* Once the owner has failed, no write is delayed and all copies are written, the roll-up counts each released bill
	   exactly once. */
	:: d_step { !ownerAlive && !delayedRow && !(holderAlive[0] && copies[0]) && !(holderAlive[1] && copies[1]) ->
		scratch = 0;
		do
		:: scratch < BILLS ->
			assert(!IN(released & ~allowedLosses, scratch) || BILL_COUNT(scratch) == 1); scratch++
		:: else -> break
		od;
		scratch = 0 }
	od
}
