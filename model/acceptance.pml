/*
 * Acceptance of a configuration: store, entries, one agent, and a network
 * that loses, delays and reorders. docs/MODEL.md says what is modelled.
 *
 * Time is kept as ages: tick makes every age older, up to F, the freshness
 * bound; there is no last tick. A process that is paused or cut off, a store
 * that is away and a message that is lost are steps that are not taken, and
 * tick waits for nobody. Questions are answered when they are sent: an answer
 * to an older question shows less. Entry 0 accepts changes, entry 1 is looked
 * at: it acts, and the agent takes its freshness from it. The other entries
 * vouch for it.
 */

#ifndef F
#define F 2			/* freshness bound; an age of F is stale */
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef COMMITS
#define COMMITS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1		/* restarts of entries in all */
#endif
#ifndef LOSSES
#define LOSSES 0		/* 1: the agent's row may be removed */
#endif
#ifndef STEPS
#define STEPS 0			/* changes of the set of entries */
#endif
#ifndef DELAYS
#define DELAYS 0		/* 1: the store's answers to entry 1 take time */
#endif
#ifndef WRITES
#define WRITES 0		/* 1: entry 0 writes, and answers are lost */
#endif
#ifndef AGENTS
#define AGENTS 1		/* 0: the entry alone is looked at */
#endif
#define FIRST	7		/* entries 0, 1, 2 are registered at first */
#define AGENT	128
#define NONE	255
#define HAS(set, b)	(((set) >> (b)) & 1)

/* Store: one row; every commit raises its version. */
byte store;
byte content[COMMITS + 1];	/* changes held at a version */
byte conf[COMMITS + 1];		/* version of the configuration alone */
byte view[COMMITS + 1];		/* members at a version */
byte steps, restarts, step_at;

/* Entry 0's own write, under compare-and-set. */
bool asked, settled;
byte base = NONE;		/* in flight, on this version */

/* Entries. */
byte ver[ENTRIES];
bool knows[ENTRIES];		/* has read the store since it started */
bool dead;			/* entry 2 had ended when 3 took its place */
byte answer = NONE, answer_age;	/* store's, on its way to entry 1 */

/* Entry 1's freshness. */
byte fresh;
byte said[ENTRIES];		/* answer on its way: version */
byte said_age[ENTRIES];

/* Agent. */
byte aver, afresh;		/* aver: of the configuration alone */
byte told = NONE, told_age;
bool queued, aqueued;

/* Acceptance at entry 0. */
byte target = NONE;
byte known[ENTRIES];		/* highest version acknowledged */
byte aknown;
byte since_majority = NONE;
byte since_loss = F, loss_at;
byte accepted;

byte now_at;

#define OLDER(age)	age = ((age) < F -> (age) + 1 : (age))
#define COUNT(set)	(HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + \
			 HAS(set, 3) + HAS(set, 4))
#define MAJORITY(set)	(COUNT(set) / 2 + 1)
#if ENTRIES > 3
#define FOURTH(x)	(x)
#else
#define FOURTH(x)	0
#endif
#define MINE	view[ver[1]]
#define VOUCHED(j, age)	(HAS(MINE, j) && SAME_OR_OLDER(said[j]) && \
			 FROM(said_age[j]) <= (age) && \
			 said[j] != NONE)
#define VOUCHES(age)	((knows[1] && HAS(MINE, 1)) + VOUCHED(0, age) + \
			 VOUCHED(2, age) + FOURTH(VOUCHED(ENTRIES - 1, age)))
#ifdef MUT_IGNORANT_ACTS
#define MAY_ASK	true
#else
#define MAY_ASK	knows[1]
#endif
#define BY_MAJORITY(age)	(MAY_ASK && VOUCHES(age) >= MAJORITY(MINE))

#ifdef MUT_IGNORANT_VOUCHES
#define MAY_VOUCH(j)	true
#else
#define MAY_VOUCH(j)	knows[j]
#endif
#ifdef MUT_AGE_FROM_ARRIVAL
#define FROM(age)	0
#else
#define FROM(age)	(age)
#endif
#ifdef MUT_AGENT_COUNTS_OWN_QUESTION
#define EVIDENCE	0
#else
#define EVIDENCE	fresh
#endif
#ifdef MUT_OLDER_APPLIED
#define NEWER(a, b)	true
#else
#define NEWER(a, b)	((a) > (b))
#endif
#ifdef MUT_CHECK_WHEN_QUEUED
#define MAY_ACT	queued
#define AGENT_MAY_ACT	aqueued
#else
#define MAY_ACT	(fresh < F)
#define AGENT_MAY_ACT	(afresh < F)
#endif
#ifdef MUT_NEWER_VOUCHES
#define SAME_OR_OLDER(v)	true
#else
#define SAME_OR_OLDER(v)	((v) <= ver[1])
#endif
#define ACKED(j)	(HAS(view[ver[0]], j) && known[j] >= target)
#define ACKS	((ver[0] >= target) + ACKED(1) + ACKED(2) + \
		 FOURTH(ACKED(ENTRIES - 1)))
#define ALL_ENTRIES	(ACKS == COUNT(view[ver[0]]))
#ifdef MUT_ACCEPT_WITHOUT_MAJORITY
#define REACHED	true
#else
#define REACHED	(ACKS >= MAJORITY(view[ver[0]]))
#endif
#ifdef MUT_ACCEPT_WITHOUT_LAPSE
#define LAPSED	true
#else
#define LAPSED	(since_majority == F)
#endif
#ifdef MUT_ACCEPT_BY_ENTRIES_ALONE
#define AGENTS_ACKED	true
#else
#define AGENTS_ACKED	(!(view[ver[0]] & AGENT) || \
			 aknown >= conf[target])
#endif
/* A member that was lost may go on until its freshness ends. */
#ifdef MUT_LOSS_FORGOTTEN
#define LOSS_OVER	true
#else
#define LOSS_OVER	(since_loss == F)
#endif
/* Its freshness may be renewed by an entry that does not know of the loss. */
#define BEHIND(j)	(HAS(view[ver[0]], j) && known[j] < loss_at)
#ifdef MUT_LOSS_AS_SEEN_HERE
#define LOSS_KNOWN	true
#else
#define LOSS_KNOWN	(!BEHIND(1) && !BEHIND(2) && \
			 !FOURTH(BEHIND(ENTRIES - 1)))
#endif
#ifdef MUT_ACCEPT_ON_COMMIT
#define ACCEPTABLE	true
#else
#define ACCEPTABLE	(since_majority != NONE && (LAPSED || \
			 (ALL_ENTRIES && AGENTS_ACKED && LOSS_OVER)))
#endif
/* The set of entries changes by one, and again when that is accepted. */
#ifdef MUT_STEPS_OVERLAP
#define STEP_ALLOWED	true
#else
#define STEP_ALLOWED	(accepted >= step_at)
#endif

inline commit(set, members, is_config) {
	content[store + 1] = set;
	conf[store + 1] = conf[store] + is_config;
	view[store + 1] = members;
	store++
}

inline refresh() {
	now_at = 0;
	do
	:: now_at < fresh && !BY_MAJORITY(now_at) -> now_at++
	:: now_at < fresh && BY_MAJORITY(now_at) -> fresh = now_at; break
	:: now_at >= fresh -> break
	od;
	now_at = 0
}

inline apply(i, v) {
	if
	:: NEWER(v, ver[i]) ->
		assert(v >= ver[i]);
		if
		:: i == 0 && (view[ver[0]] & ~view[v]) ->
			since_loss = 0;
			loss_at = v
		:: else
		fi;
		ver[i] = v;
		if
		:: i != 0 && v > known[i] -> known[i] = v
		:: else
		fi;
		if
		:: i == 1 -> refresh()
		:: else
		fi
	:: else
	fi
}

inline tick() {
	OLDER(fresh);
	OLDER(afresh);
	OLDER(answer_age);
	OLDER(told_age);
	if
	:: told_age == F -> told = NONE
	:: else
	fi;
	for (i : 0 .. ENTRIES - 1) {
		OLDER(said_age[i]);
#ifndef MUT_AGE_FROM_ARRIVAL
		if
		:: said_age[i] == F -> said[i] = NONE
		:: else
		fi
#endif
	}
	i = 0;
	if
	:: since_majority != NONE -> OLDER(since_majority)
	:: else
	fi;
	if
	:: LOSS_KNOWN -> OLDER(since_loss)
	:: else
	fi
}

inline restart(j) {
	restarts++;
	ver[j] = 0;
	knows[j] = false;
	if
	:: j == 0 ->
		target = NONE;
		since_majority = NONE;
		since_loss = 0;
		loss_at = store;
		for (i : 1 .. ENTRIES - 1) { known[i] = ver[i] }
		i = 0;
		aknown = aver
	:: j == 1 ->
		fresh = F;
		queued = false;
		answer = NONE;
		answer_age = F;
		for (i : 0 .. ENTRIES - 1) { said[i] = NONE; said_age[i] = F }
		i = 0
	:: else
	fi
}

active proctype world() {
	byte i, j, v;
	atomic {
		view[0] = FIRST | (AGENTS -> AGENT : 0);
		fresh = F;
		afresh = F;
		answer_age = F;
		told_age = F;
		for (i : 0 .. ENTRIES - 1) {
			said[i] = NONE;
			said_age[i] = F;
			knows[i] = (i < 3)
		}
		i = 0
	}
	do
	:: atomic { tick() }

	/* Store. */
	:: atomic { store < COMMITS ->		/* change by another entry */
		commit(content[store] | 2, view[store], 1) }
#if WRITES
	:: atomic { !asked && knows[0] ->
		asked = true;
		base = ver[0] }
#ifdef MUT_BLIND_WRITE
	:: atomic { base != NONE && store < COMMITS ->
		commit(content[base] | 1, view[store], 1); base = NONE }
#else
	:: atomic { base != NONE && store < COMMITS && base == store ->
		commit(content[store] | 1, view[store], 1); base = NONE }
	:: atomic { base != NONE && base != store -> base = NONE }
#endif
#endif
	:: atomic { LOSSES && (view[store] & AGENT) && store < COMMITS ->
		commit(content[store], view[store] & ~AGENT, 0) }
#if STEPS
	:: atomic { steps < STEPS && store < COMMITS && STEP_ALLOWED ->
		if
#ifdef MUT_REPLACE_IN_ONE_STEP
		:: HAS(view[store], 2) && !HAS(view[store], 3) ->
			commit(content[store], (view[store] & ~4) | 8, 0)
#endif
#ifdef REPLACE_DEAD
		:: HAS(view[store], 2) && !HAS(view[store], 3) ->
			commit(content[store], (view[store] & ~4) | 8, 0);
			dead = true;
			knows[2] = false
#endif
#ifdef REMOVE_DEAD
		:: HAS(view[store], 2) ->
			commit(content[store], view[store] & ~4, 0);
			dead = true;
			knows[2] = false
#else
		:: HAS(view[store], 2) ->
			commit(content[store], view[store] & ~4, 0)
#endif
		:: !HAS(view[store], 3) ->
			commit(content[store], view[store] | 8, 0)
		fi;
		steps++;
		step_at = store }
#endif

	/* Entries read the store, and get copies from one another. */
	:: atomic { select(j : 0 .. ENTRIES - 1);
		if
		:: j != 1 && !(j == 2 && dead) ->
			apply(j, store);
			knows[j] = true
		:: else
		fi;
		j = 0 }
#if !DELAYS
	:: atomic { fresh = 0; apply(1, store); knows[1] = true }
#else
	:: atomic { answer = store; answer_age = 0 }
	:: atomic { answer != NONE ->
		if
		:: answer >= ver[1] && FROM(answer_age) < fresh ->
			fresh = FROM(answer_age)
		:: else
		fi;
		apply(1, answer);
		knows[1] = true;
		answer = NONE;
		answer_age = F }
#endif
	:: atomic { select(j : 0 .. ENTRIES - 1);
		select(v : 0 .. COMMITS);
		if
		:: v <= store -> apply(j, v)
		:: else
		fi;
		j = 0; v = 0 }
	:: atomic { restarts < RESTARTS ->
		select(j : 0 .. ENTRIES - 1);
		restart(j);
		j = 0 }

	/* Entries vouch for entry 1. */
	:: atomic { select(j : 0 .. ENTRIES - 1);
		if
		:: j != 1 && MAY_VOUCH(j) ->
			said[j] = ver[j];
			said_age[j] = 0;
			refresh()
		:: else
		fi;
		j = 0 }
	/* The agent asks entry 1, and applies what any entry has sent. */
	:: atomic { fresh < F && (view[ver[1]] & AGENT) ->
		if
		:: conf[ver[1]] <= aver && EVIDENCE < afresh ->
			afresh = EVIDENCE
		:: conf[ver[1]] > aver ->
			told = conf[ver[1]]; told_age = EVIDENCE
		:: else
		fi }
	:: atomic { AGENTS -> select(v : 0 .. COMMITS);
		if
		:: v <= store && NEWER(conf[v], aver) ->
			assert(conf[v] >= aver);
			aver = conf[v];
			if
			:: told <= aver ->
				afresh = (told_age < afresh -> told_age : afresh);
				told = NONE;
				told_age = F
			:: else
			fi;
			if
			:: aver > aknown -> aknown = aver
			:: else
			fi
		:: else
		fi;
		v = 0 }

	/* Acts. */
#ifdef MUT_CHECK_WHEN_QUEUED
	:: atomic { fresh < F && !queued -> queued = true }
	:: atomic { afresh < F && !aqueued -> aqueued = true }
#endif
	:: atomic { MAY_ACT ->
		queued = false;
		assert(conf[ver[1]] >= conf[accepted]);
#ifdef SANE_NO_ACT
		assert(accepted == 0)
#endif
	}
	:: atomic { AGENT_MAY_ACT ->
		aqueued = false;
		assert(aver >= conf[accepted]);
#ifdef SANE_NO_AGENT_ACT
		assert(accepted == 0)
#endif
	}

	/* Acceptance at entry 0. */
	:: atomic { knows[0] && ver[0] > accepted &&
		(target == NONE || ver[0] > target) ->
		target = ver[0];
		since_majority = NONE }
#ifdef MUT_LOST_ANSWER_IS_WRITTEN
	:: atomic { asked && base == NONE && !settled && knows[0] ->
		assert(content[store] & 1); settled = true }
#else
	:: atomic { asked && !settled && (content[ver[0]] & 1) &&
		target != NONE && ACCEPTABLE ->
		assert(content[store] & 1); settled = true }
#endif
	:: atomic { target != NONE && since_majority == NONE && REACHED ->
		since_majority = 0 }
	:: atomic { target != NONE && target > accepted && ACCEPTABLE ->
#ifdef SANE_NO_LAPSE
		assert(since_majority != F || ALL_ENTRIES);
#endif
#ifdef SANE_NO_REPLACED
		assert(!dead || target < step_at || known[3] < target);
#endif
		accepted = target;
		assert(accepted <= store) }
	:: atomic { (content[store] & content[accepted]) !=
		content[accepted] -> assert(false) }
	od
}
