/*
 * The log of configuration revisions (docs/design.md section 6.1): rows are inserted if absent, documents are written
 * before and addressed by digest. Two operators apply changes concurrently on the base that they read; a reply may be
 * lost, a write may arrive late, and the same change may be applied again. An instance polls; a read may be stale by any
 * number of rows, and an instance may start again with nothing.
 */
#define REVISIONS 3
#define OPERATORS 2
#ifndef INSTANCES
#define INSTANCES 1
#endif
#define EMPTY 0

byte row[REVISIONS + 2];        /* change id of each row; EMPTY if there is none */
byte first[REVISIONS + 2];      /* change id that was first seen in force at each revision at any instance */
byte documents;                 /* documents in the object store, by digest; a change's digest is its id */
byte inflight[OPERATORS], target[OPERATORS];   /* an insert that may still arrive */
bit accepted[8];                /* change id -> an operator was told that it is committed */
bit refused[8];                 /* change id -> an operator was told that nothing was committed */
byte head;

inline insert(r, id) {
#ifdef OVERWRITE
	row[r] = id; if :: r > head -> head = r :: else fi
#else
	if
	:: row[r] == EMPTY && r == head + 1 -> row[r] = id; head = r
	:: else
	fi
#endif
}

proctype operator(byte me) {
	byte base, id, tries;
	id = me + 1;
again:
	base = head;                                   /* the base that the operator read */
	if :: base >= REVISIONS -> goto end :: else fi;
#ifndef ROW_BEFORE_DOCUMENT
	documents = documents | (1 << id);
#endif
retry:
	if
	:: d_step { row[base + 1] == EMPTY -> insert(base + 1, id) }; goto committed
	:: d_step { inflight[me] == 0 -> inflight[me] = id; target[me] = base + 1 }; goto ambiguous   /* reply lost */
	:: d_step { row[base + 1] != EMPTY -> skip }; goto ambiguous
	:: d_step { tries == 0 && inflight[me] == 0 -> refused[id] = 1 }; goto end           /* store unavailable, no effect */
	fi;
ambiguous:
#ifdef NO_READ_BACK
	goto committed;
#endif
	if
	:: row[base + 1] == id -> goto committed
	:: row[base + 1] != EMPTY && row[base + 1] != id -> goto conflict
	:: row[base + 1] == EMPTY && tries < 2 -> tries++; goto retry   /* the same row with the same change id */
	:: goto end                                            /* unknown */
	fi;
conflict:
	/* Merged on the new base under a new change id. */
	refused[id] = 1; tries = 0;
	if :: id + OPERATORS < 7 -> id = id + OPERATORS; goto drain :: else -> goto end fi;
drain:
	inflight[me] == 0; goto again;
committed:
	accepted[id] = 1;
#ifdef ROW_BEFORE_DOCUMENT
	documents = documents | (1 << id);
#endif
	tries = 0;
	if :: id + OPERATORS < 7 -> id = id + OPERATORS; goto drain :: skip fi;
end:	skip
}

/* Inserts whose reply was lost arrive now, later or never. */
proctype network() {
end:	do
	:: d_step { inflight[0] -> insert(target[0], inflight[0]); inflight[0] = 0 }
	:: d_step { inflight[1] -> insert(target[1], inflight[1]); inflight[1] = 0 }
	:: d_step { inflight[0] -> inflight[0] = 0 }
	:: d_step { inflight[1] -> inflight[1] = 0 }
	od
}

proctype instance() {
	byte current, upto, before;
end:	do
	:: d_step { upto = head } ;                    /* what the read shows; the reply may be late */
		if
		:: upto > 0 -> upto--                  /* stale by one row */
		:: skip
		fi;
		d_step {
			before = current;
#ifdef ADOPT_STALE
			current = upto;
#else
			if :: upto > current -> current = upto :: else fi;
#endif
			assert(current >= before);
			if
			:: current > 0 ->
				assert(documents & (1 << row[current]));
				assert(first[current] == EMPTY || first[current] == row[current]);
				first[current] = row[current]
			:: else
			fi; upto = 0; before = 0 }
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
	/* Answers to operators are true at every later time: committed changes are in the log, refused ones are not. */
end:	do
	:: d_step { true ->
		k = 1;
		do
		:: k < 7 ->
			assert(!accepted[k] || row[1] == k || row[2] == k || row[3] == k || row[4] == k);
			assert(!refused[k] || (row[1] != k && row[2] != k && row[3] != k && row[4] != k));
			k++
		:: else -> k = 0; break
		od }
	od
}
