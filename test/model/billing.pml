/*
 * Bills of one owner (docs/design.md section 6.4). The owner seals batches, writes them grouped into immutable rows that
 * are inserted if absent, and copies them to two holders; a bill is released (its end marker goes out) when it is in the
 * store or at a holder. Replies may be lost and writes may arrive late, the owner and the holders may be lost at any step,
 * and the store may be unavailable at any time. A holder whose owner is gone writes its copies, grouped in its own way.
 * Each batch holds one bill; sets of batches are masks.
 */
#ifndef BILLS
#define BILLS 3
#endif
#define HOLDERS 2
#define BIT(i) (1 << (i))
#define IN(m, i) (((m) >> (i)) & 1)
#define ALL (BIT(BILLS) - 1)
#define BELOW(i) (BIT(i) - 1)

byte ownerRow[BILLS + 1];    /* content of row <incarnation>/<first>; 0 if absent */
byte holderRow[8];           /* content of row <incarnation>/<first>.<holder>, at first + 4 * holder */
byte stored;                 /* batches in any row */
byte sealed, first, frozen;  /* owner: batches sealed, first one not known to be written, content of the row being written */
byte released;
byte late, lateFirst;        /* one write of the owner that may still arrive */
byte copies[HOLDERS];
byte hfrozen[HOLDERS];       /* holder: content of the row being written */
bit owner = 1, holder[HOLDERS], store = 1;
byte excused;                /* batches whose last place was lost, in a way that the design allows */
hidden byte k;

inline put(row, content) {
	if :: row == 0 -> row = content; stored = stored | content :: else fi
}

#define LOWEST(m) ((m) & 1 -> 0 : ((m) & 2 -> 1 : ((m) & 4 -> 2 : 3)))
#define PLACES (stored | (owner -> ALL : 0) | (holder[0] -> copies[0] : 0) | (holder[1] -> copies[1] : 0) | (late & ALL))
#ifdef LITERAL
/* As section 6.4 is written: nothing is lost while the store is available. */
#define EXCUSE excused = excused | (store -> 0 : ALL & ~PLACES)
#else
/* Owner and all holders that had the copy are lost before one of them wrote the batch. */
#define KEPT ((holder[0] -> had[0] : 0) | (holder[1] -> had[1] : 0))
#define EXCUSE excused = excused | ((had[0] | had[1]) & ~KEPT & ~PLACES)
#endif
byte had[HOLDERS];           /* batches that each holder has had */

inline written() {
	released = released | frozen;
	do
	:: first < BILLS && IN(frozen, first) -> first++
	:: else -> break
	od;
	frozen = 0
}

#define HOLDS(h) \
	:: d_step { owner && holder[h] && (sealed & ~BELOW(first) & ~copies[h]) -> \
		k = BIT(LOWEST(sealed & ~BELOW(first) & ~copies[h])); copies[h] = copies[h] | k; had[h] = had[h] | k; released = released | k } \
	:: d_step { owner && holder[h] && (sealed & ~BELOW(first) & ~copies[h]) -> /* acknowledgement lost */ \
		k = BIT(LOWEST(sealed & ~BELOW(first) & ~copies[h])); copies[h] = copies[h] | k; had[h] = had[h] | k } \
	:: d_step { owner && holder[h] && (copies[h] & BELOW(DROPPED)) -> copies[h] = copies[h] & ~BELOW(DROPPED) } \
	:: d_step { holder[h] -> holder[h] = 0; hfrozen[h] = 0; EXCUSE; copies[h] = 0 } \
	:: d_step { TAKEOVER && holder[h] && copies[h] && hfrozen[h] == 0 -> hfrozen[h] = copies[h] } \
	:: d_step { TAKEOVER && holder[h] && copies[h] && hfrozen[h] == 0 -> hfrozen[h] = BIT(LOWEST(copies[h])) } \
	:: d_step { store && holder[h] && hfrozen[h] -> \
		k = LOWEST(hfrozen[h]) + HOLDER_KEY(h); \
		put(HOLDER_ROW(k), hfrozen[h]); copies[h] = copies[h] & ~hfrozen[h]; hfrozen[h] = 0 } \
	:: d_step { store && holder[h] && hfrozen[h] -> k = LOWEST(hfrozen[h]) + HOLDER_KEY(h); put(HOLDER_ROW(k), hfrozen[h]) }

#ifdef SAME_KEY          /* the holder writes under the owner's key and takes a row that is there for its own */
#define HOLDER_KEY(h) 0
#define HOLDER_ROW(k) ownerRow[k]
#else
#define HOLDER_KEY(h) (4 * (h))
#define HOLDER_ROW(k) holderRow[k]
#endif
#define TAKEOVER (!owner)
#ifdef DROP_BEFORE_WRITTEN
#define DROPPED (first + (frozen != 0))
#else
#define DROPPED first
#endif
#ifdef REGROUP           /* a row changes its content after an ambiguous write */
#define MAY_FREEZE (sealed & ~BELOW(first) & ~frozen)
#else
#define MAY_FREEZE (frozen == 0 && (sealed & ~BELOW(first)))
#endif

#define ROWS(k) (IN(ownerRow[0], k) + IN(ownerRow[1], k) + IN(ownerRow[2], k) + IN(ownerRow[3], k) + \
	IN(holderRow[0], k) + IN(holderRow[1], k) + IN(holderRow[2], k) + IN(holderRow[3], k) + \
	IN(holderRow[4], k) + IN(holderRow[5], k) + IN(holderRow[6], k) + IN(holderRow[7], k))
#ifdef NO_DEDUPLICATION
#define COUNTED(k) ROWS(k)
#else
#define COUNTED(k) (ROWS(k) > 0)
#endif

active proctype world() {
	d_step { holder[0] = 1; holder[1] = 1 };
end:	do
	:: d_step { owner && sealed != ALL -> sealed = (sealed << 1) | 1 }
	:: d_step { owner && MAY_FREEZE -> frozen = sealed & ~BELOW(first) }
	:: d_step { owner && store && frozen -> put(ownerRow[first], frozen); written() }
	:: d_step { owner && store && frozen -> put(ownerRow[first], frozen) }          /* reply lost */
	:: d_step { owner && frozen && !late -> late = frozen; lateFirst = first }        /* on its way */
	:: d_step { late && store -> put(ownerRow[lateFirst], late); late = 0; lateFirst = 0 }
	:: d_step { late -> k = late; late = 0; lateFirst = 0; EXCUSE }
#ifdef RELEASE_EARLY
	:: d_step { owner && (sealed & ~released) -> released = sealed }
#endif
	:: d_step { store -> store = 0 }
	:: d_step { !store -> store = 1 }
	:: d_step { owner -> owner = 0; frozen = 0; EXCUSE }
	HOLDS(0) HOLDS(1)
	:: d_step { released & ~excused & ~PLACES -> assert(false) }
	/* Recovery: owner gone, nothing on its way, all copies written. The roll-up then counts each released bill once. */
	:: d_step { !owner && !late && !(holder[0] && copies[0]) && !(holder[1] && copies[1]) ->
		k = 0;
		do
		:: k < BILLS ->
			assert(!IN(released & ~excused, k) || COUNTED(k) == 1); k++
		:: else -> break
		od;
		k = 0 }
	od
}
