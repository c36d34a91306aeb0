/*
 * At-most-once execution with keys that carry the registry version at which
 * they were issued. Processes: the owner, new owners that take over, agents,
 * and a registry, on a network that loses, duplicates, delays and reorders
 * messages. docs/MODEL.md describes the scope and maps each step to the code.
 *
 * A sent message is never removed: it may be delivered at any later time, any
 * number of times, or never. An undelivered message is therefore equivalent to
 * one that was not sent, and an answer in flight to one that its receiver has
 * not processed yet. A crashed process takes no further step, and a paused one
 * none for a while; only the restart of an agent, which loses its memory, is an
 * explicit event. An entry that restarts is one more new owner. An entry may
 * know any registry version from that of the key up to the latest, and may
 * send a START to any agent that one of these versions lists.
 *
 * Macro and inline parameters: s node, l incarnation on a node, a agent,
 * e entry, x epoch, u task, k key, t attempt, m index of a START.
 */

#ifndef SLOTS
#define SLOTS 2			/* nodes, one agent on each */
#endif
#define INCARNATIONS 2			/* maximum incarnations of an agent on a node */
#ifndef RESTARTS
#define RESTARTS 1		/* total agent restarts */
#endif
#ifndef REMOVALS
#define REMOVALS 1		/* rows removed while their agent still runs */
#endif
#ifndef NEW_OWNERS
#define NEW_OWNERS 2
#endif
#ifndef RAISES
#define RAISES 0		/* 1: a refused new owner may raise its epoch */
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef KEYS
#define KEYS 1			/* 2: the second key is issued later */
#endif
#ifndef TASKS
#define TASKS 1			/* total tasks, distributed over the keys */
#endif
#ifndef ONE_COPY
#define ONE_COPY 0		/* 1: the network duplicates no message */
#endif
#ifndef EXPIRY
#define EXPIRY 0		/* 1: records are dropped by watermark */
#endif

#define AGENTS	(SLOTS * INCARNATIONS)
#define ENTRIES	(1 + NEW_OWNERS)
#define EPOCHS	(1 + NEW_OWNERS * (1 + RAISES))

/* Epoch 0 is the owner's. Epochs of new owners are ordered by (n, entry). */
#define EPOCH(e, n)	((e) + ((n) - 1) * NEW_OWNERS)
#define MY_EPOCH(e)	((e) == 0 -> 0 : EPOCH(e, epoch_number[e]))
#define OWNER_OF(x)	((x) == 0 -> 0 : (((x) - 1) % NEW_OWNERS) + 1)
#define CLAIMED(x)	(epoch_number[OWNER_OF(x)] >= 1 + ((x) - 1) / NEW_OWNERS)

#define AGENT(s, l)	((s) * INCARNATIONS + (l))
#define CURRENT(s)	AGENT(s, incarnation[s])
#define SLOT_OF(a)	((a) / INCARNATIONS)
#define KEY_OF(u)	((u) % KEYS)
#define ISSUED(k)	((k) + 1)	/* time at which the key was issued */
#define START_INDEX(u, x, t)	(((u) * EPOCHS + (x)) * ATTEMPTS + (t))
#define TASK_INDEX(e, u)	((e) * TASKS + (u))
#define REPORT_INDEX(x, a)	((x) * AGENTS + (a))
#define BIT(set, b)	(((set) >> (b)) & 1)

/* Decision of an agent on a START. */
#define STARTED		1
#define NOT_RUN		2
#define OLD_EPOCH	3
#define WRONG_INC	4
#define KEY_EXPIRED	5
#define NO_ANSWER	6
#define MAY_RUN		7	/* no rule refuses it */

/* Registry: its version, and the versions at which rows were added and removed. */
byte version;
byte registered_at[AGENTS];
byte removed_at[AGENTS];
byte restarts, removals;

/* Agents: memory of the current incarnation on each node. */
byte incarnation[SLOTS];
byte own_version[SLOTS];	/* 0: registration not confirmed yet */
byte epoch_seen[SLOTS];
byte record[SLOTS];		/* bit set of the tasks started */
byte refused[SLOTS * TASKS];	/* 1 + highest (epoch, attempt) refused, or 0 */
byte agent_watermark[SLOTS];

/* Entries: entry 0 is the owner, the others are new owners. */
byte epoch_number[ENTRIES];	/* n of the epoch; 0: has not taken over */
byte entry_watermark[ENTRIES];
byte attempt[ENTRIES * TASKS];	/* attempts used at the present epoch */
byte sent_earlier[ENTRIES];	/* bit set of tasks sent at an earlier epoch */
byte forgot[ENTRIES];

byte key_version[KEYS];		/* registry version in the key; 0: not issued */

/* Network. */
byte start_to[TASKS * EPOCHS * ATTEMPTS];	/* 1 + agent; 0: not sent */
bool not_run[TASKS * EPOCHS * ATTEMPTS];	/* the answer says "not run" */
#if ONE_COPY
bool arrived[TASKS * EPOCHS * ATTEMPTS];
bool resent[TASKS * EPOCHS * ATTEMPTS];
#endif
byte report[EPOCHS * AGENTS];	/* 0: none, or 128 + watermark * 16 + record */

/* Ghost variables: what really ran, for the assertions. */
byte start_count[TASKS];
byte started_by[ENTRIES];

hidden byte verdict, new_watermark;

/* ---- Rules; each MUT_ macro defines a mutant without one of them ---- */

#ifdef MUT_START_WITHOUT_INCARNATION
#define OTHER_INCARNATION(s, a)	false
#else
#define OTHER_INCARNATION(s, a)	((a) != CURRENT(s))
#endif
#ifdef MUT_FENCE_WITHOUT_INCARNATION
#define FENCE_FOR(s, a)		true
#else
#define FENCE_FOR(s, a)		((a) == CURRENT(s))
#endif
#ifdef MUT_NO_EPOCH_CHECK
#define EPOCH_BELOW(s, x)	false
#else
#define EPOCH_BELOW(s, x)	((x) + 1 < epoch_seen[s])
#endif
#if defined(MUT_NO_FENCE_CHECK) || defined(MUT_FENCE_LOWERS_EPOCH)
#define FENCE_BELOW(s, x)	false
#else
#define FENCE_BELOW(s, x)	((x) + 1 < epoch_seen[s])
#endif
#ifdef MUT_FENCE_LOWERS_EPOCH
#define ADOPTS(s, x)		true
#else
#define ADOPTS(s, x)		((x) + 1 > epoch_seen[s])
#endif
#ifdef MUT_AGENT_NO_WATERMARK
#define AGENT_EXPIRED(s, u)	false
#else
#define AGENT_EXPIRED(s, u)	(ISSUED(KEY_OF(u)) <= agent_watermark[s])
#endif
#ifdef MUT_START_UNREGISTERED
#define UNREGISTERED(s)		false
#else
#define UNREGISTERED(s)		(own_version[s] == 0)
#endif
#ifdef MUT_NO_KEY_TOO_OLD
#define KEY_TOO_OLD(s, u)	false
#else
#define KEY_TOO_OLD(s, u)	(key_version[KEY_OF(u)] < own_version[s])
#endif
#ifdef MUT_NO_REFUSAL_RECORD
#define REFUSED_BEFORE(s, u, x, t)	false
#else
#define REFUSED_BEFORE(s, u, x, t)	\
	((x) * ATTEMPTS + (t) + 1 <= refused[(s) * TASKS + (u)])
#endif

/* The answer proves that the attempt has not run and never will. */
#if ONE_COPY && !defined(MUT_RESENT_COUNTS_AS_ONE)
#define MEANS_NOT_RUN(v, m)	((v) == NOT_RUN || (v) == OLD_EPOCH || \
	((v) == WRONG_INC && !resent[m]))
#elif ONE_COPY || defined(MUT_WRONG_INCARNATION_IS_NOT_RUN)
#define MEANS_NOT_RUN(v, m)	\
	((v) == NOT_RUN || (v) == OLD_EPOCH || (v) == WRONG_INC)
#elif defined(MUT_EXPIRED_IS_NOT_RUN)
#define MEANS_NOT_RUN(v, m)	\
	((v) == NOT_RUN || (v) == OLD_EPOCH || (v) == KEY_EXPIRED)
#else
#define MEANS_NOT_RUN(v, m)	((v) == NOT_RUN || (v) == OLD_EPOCH)
#endif

/* Agents that must report before a new owner may start tasks of key k. */
#ifdef MUT_COLLECT_ONCE
#define COLLECT_AT(k)		key_version[0]
#else
#define COLLECT_AT(k)		key_version[k]
#endif
#define REGISTERED(a, v)	(registered_at[a] != 0 && registered_at[a] <= (v))
#define REMOVED(a, v)		(removed_at[a] != 0 && removed_at[a] <= (v))
#if defined(MUT_IGNORE_LOSSES)
#define MUST_REPORT(e, k, a)	(REGISTERED(a, key_version[k]) && removed_at[a] == 0)
#elif defined(MUT_OLD_REGISTRY)
byte view[ENTRIES];
#define MUST_REPORT(e, k, a)	(REGISTERED(a, key_version[k]) && \
	REGISTERED(a, view[e]) && !REMOVED(a, key_version[k]))
#else
#define MUST_REPORT(e, k, a)	(REGISTERED(a, COLLECT_AT(k)) && \
	!REMOVED(a, COLLECT_AT(k)))
#endif
#ifdef MUT_KEEP_REPORTS
#define REPORT(e, a)	(report[REPORT_INDEX(MY_EPOCH(e), a)] | \
	report[REPORT_INDEX(EPOCH(e, 1), a)])
#else
#define REPORT(e, a)	report[REPORT_INDEX(MY_EPOCH(e), a)]
#endif
#ifdef MUT_IGNORE_REPORTED_WATERMARK
#define BELOW_REPORTED_WATERMARK(e, u, a)	false
#else
#define BELOW_REPORTED_WATERMARK(e, u, a)	(REPORT(e, a) != 0 && \
	ISSUED(KEY_OF(u)) <= (REPORT(e, a) - 128) / 16)
#endif
/* The report of agent a, if it must report, allows entry e to start task u. */
#define ALLOWS_START(e, u, a)	(!(MUST_REPORT(e, KEY_OF(u), a)) || \
	(REPORT(e, a) != 0 && !BIT(REPORT(e, a), u) && !BELOW_REPORTED_WATERMARK(e, u, a)))
#if SLOTS == 2
#define ALL_ALLOW_START(e, u)	(ALLOWS_START(e, u, 0) && ALLOWS_START(e, u, 1) && \
	ALLOWS_START(e, u, 2) && ALLOWS_START(e, u, 3))
#else
#define ALL_ALLOW_START(e, u)	(ALLOWS_START(e, u, 0) && ALLOWS_START(e, u, 1) && \
	ALLOWS_START(e, u, 2) && ALLOWS_START(e, u, 3) && \
	ALLOWS_START(e, u, 4) && ALLOWS_START(e, u, 5))
#endif

#if defined(MUT_START_BEFORE_REPORTS)
#define MAY_START(e, u)	((e) == 0 || epoch_number[e] > 0)
#elif defined(MUT_HANDOVER_RAISES_EPOCH)
/* Entry 2 is the successor: it has the owner's table and a higher epoch. */
bool handed_over;
#define MAY_START(e, u)	(((e) == 0 && !handed_over) || \
	((e) == 1 && epoch_number[e] > 0 && ALL_ALLOW_START(e, u)) || \
	((e) == 2 && handed_over && attempt[TASK_INDEX(0, u)] == 0))
#else
#define MAY_START(e, u)	((e) == 0 || (epoch_number[e] > 0 && ALL_ALLOW_START(e, u)))
#endif

#ifdef MUT_OWNER_NO_WATERMARK
#define ENTRY_EXPIRED(e, u)	false
#define TABLE_DROPPED(e, u)		(ISSUED(KEY_OF(u)) <= entry_watermark[e])
#else
#define ENTRY_EXPIRED(e, u)	(ISSUED(KEY_OF(u)) <= entry_watermark[e])
#define TABLE_DROPPED(e, u)		false
#endif

#define LAST(e, u)	START_INDEX(u, MY_EPOCH(e), attempt[TASK_INDEX(e, u)] - 1)
#if defined(MUT_RETRY_UNCERTAIN)
#define MAY_RETRY(e, u)	(not_run[LAST(e, u)] || removed_at[start_to[LAST(e, u)] - 1] != 0)
#elif defined(MUT_ANSWER_OF_ANY_ATTEMPT)
#define MAY_RETRY(e, u)	(not_run[LAST(e, u)] || \
	(attempt[TASK_INDEX(e, u)] > 1 && not_run[LAST(e, u) - 1]))
#else
#define MAY_RETRY(e, u)	not_run[LAST(e, u)]
#endif

/* The entry may answer a submission of the task as "not run". */
#ifdef MUT_NOT_RUN_WHILE_UNANSWERED
#define MAY_SAY_NOT_RUN(e, u)	(attempt[TASK_INDEX(e, u)] > 0 || BIT(sent_earlier[e], u))
#else
#define MAY_SAY_NOT_RUN(e, u)	((attempt[TASK_INDEX(e, u)] > 0 && not_run[LAST(e, u)]) || \
	(attempt[TASK_INDEX(e, u)] == 0 && BIT(sent_earlier[e], u) && ALL_ALLOW_START(e, u)))
#endif

/* ---- Agent ---- */

inline run_task(s, u, x)
{
#ifdef ASSERT_NO_START
	assert(false);
#endif
#ifdef ASSERT_NO_TAKEOVER
	assert(x == 0);
#endif
#ifdef ASSERT_NO_SECOND_TAKEOVER
	assert(x == 0 || started_by[1] == 0 || OWNER_OF(x) == 1);
#endif
	record[s] = record[s] | (1 << u);
	started_by[OWNER_OF(x)] = started_by[OWNER_OF(x)] | (1 << u);
	start_count[u]++;
	assert(start_count[u] <= 1);
	assert(!MAY_SAY_NOT_RUN(OWNER_OF(x), u))
}

inline decide_start(s, u, x, t)
{
	verdict = (OTHER_INCARNATION(s, start_to[START_INDEX(u, x, t)] - 1) -> WRONG_INC :
#if defined(MUT_KNOWN_STATE_LATE)
		(AGENT_EXPIRED(s, u) -> KEY_EXPIRED :
		(EPOCH_BELOW(s, x) -> OLD_EPOCH :
		(BIT(record[s], u) -> STARTED :
#elif defined(MUT_EPOCH_BEFORE_EXPIRY)
		(BIT(record[s], u) -> STARTED :
		(EPOCH_BELOW(s, x) -> OLD_EPOCH :
		(AGENT_EXPIRED(s, u) -> KEY_EXPIRED :
#else
		(BIT(record[s], u) -> STARTED :
		(AGENT_EXPIRED(s, u) -> KEY_EXPIRED :
		(EPOCH_BELOW(s, x) -> OLD_EPOCH :
#endif
		(UNREGISTERED(s) -> NO_ANSWER :
		(KEY_TOO_OLD(s, u) -> NOT_RUN :
		(REFUSED_BEFORE(s, u, x, t) -> NOT_RUN : MAY_RUN)))))))
}

inline on_start(s, u, x, t)
{
	decide_start(s, u, x, t);
#if ONE_COPY
	arrived[START_INDEX(u, x, t)] = !resent[START_INDEX(u, x, t)];
#endif
	if
	:: verdict != WRONG_INC && x + 1 > epoch_seen[s] -> epoch_seen[s] = x + 1
	:: else
	fi;
	if
	:: verdict == MAY_RUN ->	/* no free slot, leaving, or stale configuration */
		refused[s * TASKS + u] = x * ATTEMPTS + t + 1;
		verdict = NOT_RUN
	:: verdict == MAY_RUN ->
		run_task(s, u, x);
		verdict = STARTED
	:: verdict != MAY_RUN
	fi;
	if
	:: verdict == STARTED -> assert(start_count[u] == 1)
	:: MEANS_NOT_RUN(verdict, START_INDEX(u, x, t)) ->
		not_run[START_INDEX(u, x, t)] = true;
		assert(!BIT(started_by[OWNER_OF(x)], u) ||
			!MAY_SAY_NOT_RUN(OWNER_OF(x), u))
	:: else
	fi
}

inline on_fence(s, x, a)
{
	if
	:: FENCE_FOR(s, a) && !FENCE_BELOW(s, x) ->
		if
		:: ADOPTS(s, x) -> epoch_seen[s] = x + 1
		:: else
		fi;
		/* A later report could only list more tasks, which allows fewer starts. */
		if
		:: report[REPORT_INDEX(x, a)] == 0 ->
			report[REPORT_INDEX(x, a)] = 128 + agent_watermark[s] * 16 + record[s]
		:: else
		fi
	:: else
	fi
}

inline drop_records(s)
{
	if
	:: agent_watermark[s] == 0 -> new_watermark = 1
#if KEYS > 1
	:: new_watermark = KEYS
#endif
	fi;
	agent_watermark[s] = new_watermark;
	record[s] = (new_watermark == KEYS -> 0 : record[s] & 2);
	refused[s * TASKS] = 0;
#if TASKS > 1
	refused[s * TASKS + 1] = (new_watermark == KEYS -> 0 : refused[s * TASKS + 1])
#endif
}

#if ONE_COPY
#define ARRIVES(m)	!arrived[m]
#else
#define ARRIVES(m)	true
#endif
#define ON_START(u, x, t) \
	:: atomic { start_to[START_INDEX(u, x, t)] != 0 && ARRIVES(START_INDEX(u, x, t)) && \
		SLOT_OF(start_to[START_INDEX(u, x, t)] - 1) == s -> on_start(s, u, x, t) }
#define ON_FENCE(x, l) \
	:: d_step { CLAIMED(x) && registered_at[AGENT(s, l)] != 0 -> \
		on_fence(s, x, AGENT(s, l)) }

#if ATTEMPTS == 1
#define EACH_ATTEMPT(F, u, x)	F(u, x, 0)
#elif ATTEMPTS == 2
#define EACH_ATTEMPT(F, u, x)	F(u, x, 0) F(u, x, 1)
#else
#define EACH_ATTEMPT(F, u, x)	F(u, x, 0) F(u, x, 1) F(u, x, 2)
#endif
#if NEW_OWNERS * (1 + RAISES) == 1
#define EACH_EPOCH(F, u)	EACH_ATTEMPT(F, u, 0) EACH_ATTEMPT(F, u, 1)
#define EACH_FENCE(F, l)	F(1, l)
#elif NEW_OWNERS * (1 + RAISES) == 2
#define EACH_EPOCH(F, u)	EACH_ATTEMPT(F, u, 0) EACH_ATTEMPT(F, u, 1) \
	EACH_ATTEMPT(F, u, 2)
#define EACH_FENCE(F, l)	F(1, l) F(2, l)
#elif NEW_OWNERS * (1 + RAISES) == 3
#define EACH_EPOCH(F, u)	EACH_ATTEMPT(F, u, 0) EACH_ATTEMPT(F, u, 1) \
	EACH_ATTEMPT(F, u, 2) EACH_ATTEMPT(F, u, 3)
#define EACH_FENCE(F, l)	F(1, l) F(2, l) F(3, l)
#else
#define EACH_EPOCH(F, u)	EACH_ATTEMPT(F, u, 0) EACH_ATTEMPT(F, u, 1) \
	EACH_ATTEMPT(F, u, 2) EACH_ATTEMPT(F, u, 3) EACH_ATTEMPT(F, u, 4)
#define EACH_FENCE(F, l)	F(1, l) F(2, l) F(3, l) F(4, l)
#endif

proctype agent(byte s)
{
	do
	EACH_EPOCH(ON_START, 0)
#if TASKS > 1
	EACH_EPOCH(ON_START, 1)
#endif
	EACH_FENCE(ON_FENCE, 0)
	EACH_FENCE(ON_FENCE, 1)

	/* Registration; it replaces the row of an earlier incarnation. */
	:: d_step { registered_at[CURRENT(s)] == 0 &&
		(s == 0 || registered_at[AGENT(s - 1, 0)] != 0) ->
		version++;
		registered_at[CURRENT(s)] = version;
		if
		:: incarnation[s] > 0 && removed_at[CURRENT(s) - 1] == 0 ->
			removed_at[CURRENT(s) - 1] = version
		:: else
		fi;
#ifndef MUT_START_UNREGISTERED
		own_version[s] = version
#endif
		}
#ifdef MUT_START_UNREGISTERED
	/* The registration is confirmed. Until then, a START is not even refused. */
	:: d_step { own_version[s] == 0 && registered_at[CURRENT(s)] != 0 ->
		own_version[s] = registered_at[CURRENT(s)] }
#endif
	:: d_step { incarnation[s] + 1 < INCARNATIONS && restarts < RESTARTS &&
		registered_at[CURRENT(s)] != 0 ->
		restarts++;
		incarnation[s]++;
		own_version[s] = 0;
		epoch_seen[s] = 0;
		record[s] = 0;
		refused[s * TASKS] = 0;
#if TASKS > 1
		refused[s * TASKS + 1] = 0;
#endif
		agent_watermark[s] = 0 }
	:: d_step { removals < REMOVALS && registered_at[CURRENT(s)] != 0 &&
		removed_at[CURRENT(s)] == 0 ->
		removals++;
		version++;
#ifdef MUT_REREGISTER_RAISES
		registered_at[CURRENT(s)] = version
#else
		removed_at[CURRENT(s)] = version
#endif
		}
#if EXPIRY
	:: atomic { agent_watermark[s] < KEYS -> drop_records(s) }
#endif
#ifdef MUT_FORGET_EPOCH
	:: d_step { epoch_seen[s] != 0 -> epoch_seen[s] = 0 }
#endif
	od
}

/* ---- Entry ---- */

/* A registry version between the key's and the latest lists the agent. */
#define PLACE(u, a) \
	:: d_step { key_version[KEY_OF(u)] != 0 && MAY_START(e, u) && \
		!ENTRY_EXPIRED(e, u) && attempt[TASK_INDEX(e, u)] < ATTEMPTS && \
		(attempt[TASK_INDEX(e, u)] == 0 || TABLE_DROPPED(e, u) || MAY_RETRY(e, u)) && \
		registered_at[a] != 0 && !REMOVED(a, key_version[KEY_OF(u)]) -> \
		start_to[START_INDEX(u, MY_EPOCH(e), attempt[TASK_INDEX(e, u)])] = a + 1; \
		attempt[TASK_INDEX(e, u)]++ }
#if SLOTS == 2
#define EACH_AGENT(F, u)	F(u, 0) F(u, 1) F(u, 2) F(u, 3)
#else
#define EACH_AGENT(F, u)	F(u, 0) F(u, 1) F(u, 2) F(u, 3) F(u, 4) F(u, 5)
#endif
#if ONE_COPY
#define RESEND(u) \
	:: d_step { attempt[TASK_INDEX(e, u)] > 0 && !resent[LAST(e, u)] && \
		!not_run[LAST(e, u)] -> \
		resent[LAST(e, u)] = true; \
		arrived[LAST(e, u)] = false }
#else
#define RESEND(u)
#endif
#if EXPIRY
#define RAISE_WATERMARK \
	:: d_step { entry_watermark[e] < KEYS -> entry_watermark[e]++ }
#else
#define RAISE_WATERMARK
#endif

proctype owner()
{
	byte e = 0;

	do
	:: d_step { key_version[0] == 0 && version > 0 -> key_version[0] = version }
#if KEYS > 1
	:: d_step { key_version[0] != 0 && key_version[1] == 0 -> key_version[1] = version }
#endif
	EACH_AGENT(PLACE, 0)
	RESEND(0)
#if TASKS > 1
	EACH_AGENT(PLACE, 1)
	RESEND(1)
#endif
	RAISE_WATERMARK
#ifdef MUT_HANDOVER_RAISES_EPOCH
	/* Every START of the owner has an outcome. */
	:: d_step { !handed_over && epoch_number[2] == 0 && key_version[0] != 0 &&
		(attempt[TASK_INDEX(0, 0)] == 0 || start_count[0] > 0) ->
		handed_over = true;
		epoch_number[2] = 1 }
#endif
	od
}

proctype new_owner(byte e)
{
	do
#if defined(MUT_OLD_REGISTRY)
	:: d_step { epoch_number[e] == 0 && version > 0 -> epoch_number[e] = 1; view[e] = version }
#elif defined(MUT_HANDOVER_RAISES_EPOCH)
	:: d_step { e == 1 && epoch_number[e] == 0 && key_version[0] != 0 -> epoch_number[e] = 1 }
#else
	:: d_step { epoch_number[e] == 0 && key_version[0] != 0 -> epoch_number[e] = 1 }
#endif
#if RAISES
	:: d_step { epoch_number[e] == 1 ->
		epoch_number[e] = 2;
		sent_earlier[e] = (attempt[TASK_INDEX(e, 0)] > 0);
		attempt[TASK_INDEX(e, 0)] = 0;
#if TASKS > 1
		sent_earlier[e] = sent_earlier[e] | ((attempt[TASK_INDEX(e, 1)] > 0) << 1);
		attempt[TASK_INDEX(e, 1)] = 0
#endif
		}
#endif
	EACH_AGENT(PLACE, 0)
	RESEND(0)
#if TASKS > 1
	EACH_AGENT(PLACE, 1)
	RESEND(1)
#endif
	RAISE_WATERMARK
	od
}

init
{
	atomic {
		run owner();
		run new_owner(1);
#if NEW_OWNERS > 1
		run new_owner(2);
#endif
		run agent(0);
		run agent(1);
#if SLOTS > 2
		run agent(2);
#endif
	}
}
