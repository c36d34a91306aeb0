/*
 * Acceptance of configuration changes: a store, entries and one agent, on a
 * network that loses, delays and reorders messages. docs/MODEL.md describes
 * the scope.
 *
 * Time is modelled as ages: tick increases every age up to F, the freshness
 * bound, and the number of ticks is unlimited. A paused or partitioned process,
 * an unavailable store and a lost message are steps that are not taken; tick
 * waits for none of them. A request is answered at the time it is sent, since
 * an answer to an earlier request proves less. Entry 0 accepts changes. Entry 1
 * is the entry under observation: it acts, and the agent derives its freshness
 * from it. The other entries confirm that entry 1's configuration is the
 * newest.
 */

#ifndef F
#define F 2			/* freshness bound in ticks; age F is stale */
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef COMMITS
#define COMMITS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1		/* total entry restarts */
#endif
#ifndef AGENT_REMOVALS
#define AGENT_REMOVALS 0	/* 1: the agent's row may be removed */
#endif
#ifndef MEMBER_CHANGES
#define MEMBER_CHANGES 0	/* total changes of the set of entries */
#endif
#ifndef DELAYS
#define DELAYS 0		/* 1: store answers to entry 1 are delayed */
#endif
#ifndef WRITES
#define WRITES 0		/* 1: entry 0 writes a change; its answer is lost */
#endif
#ifndef AGENTS
#define AGENTS 1		/* 0: no agent, only entry 1 is observed */
#endif
#define INITIAL_ENTRIES	7	/* bit set: entries 0, 1 and 2 are registered */
#define AGENT	128
#define NONE	255
#define HAS(set, b)	(((set) >> (b)) & 1)

/* Store: a single row, whose version each commit increments. */
byte store;
byte changes[COMMITS + 1];	/* bit set of the changes in a version */
byte config_version[COMMITS + 1];	/* configuration version, without membership */
byte members_at[COMMITS + 1];		/* bit set of the members in a version */
byte member_changes, restarts;
byte last_member_change;	/* version of the latest membership change */

/* Entry 0's own write, a compare-and-set on the version. */
bool write_started, write_settled;
byte write_base = NONE;		/* version that the write in flight expects */

/* Entries. */
byte version[ENTRIES];
bool has_read[ENTRIES];		/* has read the store since its start */
bool entry_2_ended;		/* entry 2 has ended */
byte store_answer = NONE, store_answer_age;	/* in flight to entry 1 */

/* Freshness of entry 1. */
byte fresh_age;
byte confirmed[ENTRIES];	/* version in the latest confirmation */
byte confirmed_age[ENTRIES];

/* Agent. */
byte agent_version, agent_fresh_age;	/* agent_version: configuration version */
byte offered = NONE, offered_age;	/* version that entry 1 has and the agent not */
bool queued, agent_queued;

/* Acceptance at entry 0. */
byte target = NONE;
byte acked[ENTRIES];		/* highest version acknowledged by an entry */
byte agent_acked;
byte since_majority = NONE;
byte since_removal = F, removal_version;
byte accepted;

byte candidate_age;

#define OLDER(age)	age = ((age) < F -> (age) + 1 : (age))
#define COUNT(set)	(HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + \
			 HAS(set, 3) + HAS(set, 4))
#define MAJORITY(set)	(COUNT(set) / 2 + 1)
#if ENTRIES > 3
#define FOURTH(x)	(x)
#else
#define FOURTH(x)	0
#endif
#define MEMBERS_AT_1	members_at[version[1]]
#define CONFIRMED_BY(j, age)	(HAS(MEMBERS_AT_1, j) && \
			 SAME_OR_OLDER(confirmed[j]) && \
			 EVIDENCE_AGE(confirmed_age[j]) <= (age) && \
			 confirmed[j] != NONE)
#define CONFIRMATIONS(age)	((has_read[1] && HAS(MEMBERS_AT_1, 1)) + \
			 CONFIRMED_BY(0, age) + CONFIRMED_BY(2, age) + \
			 FOURTH(CONFIRMED_BY(ENTRIES - 1, age)))
#ifdef MUT_IGNORANT_ACTS
#define MAY_COUNT	true
#else
#define MAY_COUNT	has_read[1]
#endif
#define BY_MAJORITY(age)	(MAY_COUNT && \
			 CONFIRMATIONS(age) >= MAJORITY(MEMBERS_AT_1))

#ifdef MUT_IGNORANT_VOUCHES
#define MAY_CONFIRM(j)	true
#else
#define MAY_CONFIRM(j)	has_read[j]
#endif
#ifdef MUT_AGE_FROM_ARRIVAL
#define EVIDENCE_AGE(age)	0
#else
#define EVIDENCE_AGE(age)	(age)
#endif
#ifdef MUT_AGENT_COUNTS_OWN_QUESTION
#define AGENT_EVIDENCE	0
#else
#define AGENT_EVIDENCE	fresh_age
#endif
#ifdef MUT_OLDER_APPLIED
#define NEWER(a, b)	true
#else
#define NEWER(a, b)	((a) > (b))
#endif
#ifdef MUT_CHECK_WHEN_QUEUED
#define MAY_ACT	queued
#define AGENT_MAY_ACT	agent_queued
#else
#define MAY_ACT	(fresh_age < F)
#define AGENT_MAY_ACT	(agent_fresh_age < F)
#endif
#ifdef MUT_NEWER_VOUCHES
#define SAME_OR_OLDER(v)	true
#else
#define SAME_OR_OLDER(v)	((v) <= version[1])
#endif
#define ACKED(j)	(HAS(members_at[version[0]], j) && acked[j] >= target)
#define ACK_COUNT	((version[0] >= target) + ACKED(1) + ACKED(2) + \
		 FOURTH(ACKED(ENTRIES - 1)))
#define ALL_ENTRIES	(ACK_COUNT == COUNT(members_at[version[0]]))
#ifdef MUT_ACCEPT_WITHOUT_MAJORITY
#define REACHED	true
#else
#define REACHED	(ACK_COUNT >= MAJORITY(members_at[version[0]]))
#endif
#ifdef MUT_ACCEPT_WITHOUT_LAPSE
#define LAPSED	true
#else
#define LAPSED	(since_majority == F)
#endif
#ifdef MUT_ACCEPT_BY_ENTRIES_ALONE
#define AGENTS_ACKED	true
#else
#define AGENTS_ACKED	(!(members_at[version[0]] & AGENT) || \
			 agent_acked >= config_version[target])
#endif
/* A removed member may act until its freshness expires. */
#ifdef MUT_LOSS_FORGOTTEN
#define REMOVAL_LAPSED	true
#else
#define REMOVAL_LAPSED	(since_removal == F)
#endif
/* An entry that has not seen the removal may still renew that freshness. */
#define BEHIND(j)	(HAS(members_at[version[0]], j) && acked[j] < removal_version)
#ifdef MUT_LOSS_AS_SEEN_HERE
#define REMOVAL_KNOWN	true
#else
#define REMOVAL_KNOWN	(!BEHIND(1) && !BEHIND(2) && \
			 !FOURTH(BEHIND(ENTRIES - 1)))
#endif
#ifdef MUT_ACCEPT_ON_COMMIT
#define ACCEPTABLE	true
#else
#define ACCEPTABLE	(since_majority != NONE && (LAPSED || \
			 (ALL_ENTRIES && AGENTS_ACKED && REMOVAL_LAPSED)))
#endif
/* The set of entries changes by one member, and again only after that change
 * is accepted. */
#ifdef MUT_STEPS_OVERLAP
#define MEMBER_CHANGE_ALLOWED	true
#else
#define MEMBER_CHANGE_ALLOWED	(accepted >= last_member_change)
#endif

inline commit(set, members, is_config) {
	changes[store + 1] = set;
	config_version[store + 1] = config_version[store] + is_config;
	members_at[store + 1] = members;
	store++
}

inline refresh() {
	candidate_age = 0;
	do
	:: candidate_age < fresh_age && !BY_MAJORITY(candidate_age) -> candidate_age++
	:: candidate_age < fresh_age && BY_MAJORITY(candidate_age) ->
		fresh_age = candidate_age; break
	:: candidate_age >= fresh_age -> break
	od;
	candidate_age = 0
}

inline apply(i, v) {
	if
	:: NEWER(v, version[i]) ->
		assert(v >= version[i]);
		if
		:: i == 0 && (members_at[version[0]] & ~members_at[v]) ->
			since_removal = 0;
			removal_version = v
		:: else
		fi;
		version[i] = v;
		if
		:: i != 0 && v > acked[i] -> acked[i] = v
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
	OLDER(fresh_age);
	OLDER(agent_fresh_age);
	OLDER(store_answer_age);
	OLDER(offered_age);
	if
	:: offered_age == F -> offered = NONE
	:: else
	fi;
	for (i : 0 .. ENTRIES - 1) {
		OLDER(confirmed_age[i]);
#ifndef MUT_AGE_FROM_ARRIVAL
		if
		:: confirmed_age[i] == F -> confirmed[i] = NONE
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
	:: REMOVAL_KNOWN -> OLDER(since_removal)
	:: else
	fi
}

inline restart(j) {
	restarts++;
	version[j] = 0;
	has_read[j] = false;
	if
	:: j == 0 ->
		target = NONE;
		since_majority = NONE;
		since_removal = 0;
		removal_version = store;
		for (i : 1 .. ENTRIES - 1) { acked[i] = version[i] }
		i = 0;
		agent_acked = agent_version
	:: j == 1 ->
		fresh_age = F;
		queued = false;
		store_answer = NONE;
		store_answer_age = F;
		for (i : 0 .. ENTRIES - 1) { confirmed[i] = NONE; confirmed_age[i] = F }
		i = 0
	:: else
	fi
}

active proctype cluster() {
	byte i, j, v;
	atomic {
		members_at[0] = INITIAL_ENTRIES | (AGENTS -> AGENT : 0);
		fresh_age = F;
		agent_fresh_age = F;
		store_answer_age = F;
		offered_age = F;
		for (i : 0 .. ENTRIES - 1) {
			confirmed[i] = NONE;
			confirmed_age[i] = F;
			has_read[i] = (i < 3)
		}
		i = 0
	}
	do
	:: atomic { tick() }

	/* Store. */
	:: atomic { store < COMMITS ->		/* change written by another entry */
		commit(changes[store] | 2, members_at[store], 1) }
#if WRITES
	:: atomic { !write_started && has_read[0] ->
		write_started = true;
		write_base = version[0] }
#ifdef MUT_BLIND_WRITE
	:: atomic { write_base != NONE && store < COMMITS ->
		commit(changes[write_base] | 1, members_at[store], 1); write_base = NONE }
#else
	:: atomic { write_base != NONE && store < COMMITS && write_base == store ->
		commit(changes[store] | 1, members_at[store], 1); write_base = NONE }
	:: atomic { write_base != NONE && write_base != store -> write_base = NONE }
#endif
#endif
	:: atomic { AGENT_REMOVALS && (members_at[store] & AGENT) && store < COMMITS ->
		commit(changes[store], members_at[store] & ~AGENT, 0) }
#if MEMBER_CHANGES
	:: atomic { member_changes < MEMBER_CHANGES && store < COMMITS && MEMBER_CHANGE_ALLOWED ->
		if
#ifdef MUT_REPLACE_IN_ONE_STEP
		:: HAS(members_at[store], 2) && !HAS(members_at[store], 3) ->
			commit(changes[store], (members_at[store] & ~4) | 8, 0)
#endif
#ifdef REPLACE_DEAD
		:: HAS(members_at[store], 2) && !HAS(members_at[store], 3) ->
			commit(changes[store], (members_at[store] & ~4) | 8, 0);
			entry_2_ended = true;
			has_read[2] = false
#endif
#ifdef REMOVE_DEAD
		:: HAS(members_at[store], 2) ->
			commit(changes[store], members_at[store] & ~4, 0);
			entry_2_ended = true;
			has_read[2] = false
#else
		:: HAS(members_at[store], 2) ->
			commit(changes[store], members_at[store] & ~4, 0)
#endif
		:: !HAS(members_at[store], 3) ->
			commit(changes[store], members_at[store] | 8, 0)
		fi;
		member_changes++;
		last_member_change = store }
#endif

	/* Entries read the store and receive copies from each other. */
	:: atomic { select(j : 0 .. ENTRIES - 1);
		if
		:: j != 1 && !(j == 2 && entry_2_ended) ->
			apply(j, store);
			has_read[j] = true
		:: else
		fi;
		j = 0 }
#if !DELAYS
	:: atomic { fresh_age = 0; apply(1, store); has_read[1] = true }
#else
	:: atomic { store_answer = store; store_answer_age = 0 }
	:: atomic { store_answer != NONE ->
		if
		:: store_answer >= version[1] && EVIDENCE_AGE(store_answer_age) < fresh_age ->
			fresh_age = EVIDENCE_AGE(store_answer_age)
		:: else
		fi;
		apply(1, store_answer);
		has_read[1] = true;
		store_answer = NONE;
		store_answer_age = F }
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

	/* Entries confirm entry 1's version. */
	:: atomic { select(j : 0 .. ENTRIES - 1);
		if
		:: j != 1 && MAY_CONFIRM(j) ->
			confirmed[j] = version[j];
			confirmed_age[j] = 0;
			refresh()
		:: else
		fi;
		j = 0 }
	/* The agent queries entry 1, and applies a configuration from any entry. */
	:: atomic { fresh_age < F && (members_at[version[1]] & AGENT) ->
		if
		:: config_version[version[1]] <= agent_version && AGENT_EVIDENCE < agent_fresh_age ->
			agent_fresh_age = AGENT_EVIDENCE
		:: config_version[version[1]] > agent_version ->
			offered = config_version[version[1]]; offered_age = AGENT_EVIDENCE
		:: else
		fi }
	:: atomic { AGENTS -> select(v : 0 .. COMMITS);
		if
		:: v <= store && NEWER(config_version[v], agent_version) ->
			assert(config_version[v] >= agent_version);
			agent_version = config_version[v];
			if
			:: offered <= agent_version ->
				agent_fresh_age = (offered_age < agent_fresh_age ->
					offered_age : agent_fresh_age);
				offered = NONE;
				offered_age = F
			:: else
			fi;
			if
			:: agent_version > agent_acked -> agent_acked = agent_version
			:: else
			fi
		:: else
		fi;
		v = 0 }

	/* Entry 1 and the agent act. */
#ifdef MUT_CHECK_WHEN_QUEUED
	:: atomic { fresh_age < F && !queued -> queued = true }
	:: atomic { agent_fresh_age < F && !agent_queued -> agent_queued = true }
#endif
	:: atomic { MAY_ACT ->
		queued = false;
		assert(config_version[version[1]] >= config_version[accepted]);
#ifdef ASSERT_NO_ACT
		assert(accepted == 0)
#endif
	}
	:: atomic { AGENT_MAY_ACT ->
		agent_queued = false;
		assert(agent_version >= config_version[accepted]);
#ifdef ASSERT_NO_AGENT_ACT
		assert(accepted == 0)
#endif
	}

	/* Acceptance at entry 0. */
	:: atomic { has_read[0] && version[0] > accepted &&
		(target == NONE || version[0] > target) ->
		target = version[0];
		since_majority = NONE }
#ifdef MUT_LOST_ANSWER_IS_WRITTEN
	:: atomic { write_started && write_base == NONE && !write_settled && has_read[0] ->
		assert(changes[store] & 1); write_settled = true }
#else
	:: atomic { write_started && !write_settled && (changes[version[0]] & 1) &&
		target != NONE && ACCEPTABLE ->
		assert(changes[store] & 1); write_settled = true }
#endif
	:: atomic { target != NONE && since_majority == NONE && REACHED ->
		since_majority = 0 }
	:: atomic { target != NONE && target > accepted && ACCEPTABLE ->
#ifdef ASSERT_NO_LAPSE
		assert(since_majority != F || ALL_ENTRIES);
#endif
#ifdef ASSERT_NO_REPLACED
		assert(!entry_2_ended || target < last_member_change || acked[3] < target);
#endif
		accepted = target;
		assert(accepted <= store) }
	:: atomic { (changes[store] & changes[accepted]) !=
		changes[accepted] -> assert(false) }
	od
}
