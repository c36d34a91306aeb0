/*
 * At most once with keys stamped by the registry version: owner, takers,
 * agents, registry, and a network that loses, repeats, delays and reorders.
 * docs/MODEL.md says what is modelled and ties each step to the code.
 *
 * A message, once sent, stays in its place: it may be delivered at any later
 * moment, any number of times, or never. So a message that is not delivered
 * and one that is not sent are the same, and so are an answer on its way and
 * one that its receiver has not used. A process that crashed or is paused
 * takes no further step, or none for a while: only the restart of an agent,
 * which loses its memory, is an event. An entry that restarts is one more
 * taker. An entry may hold any registry version from the key's own to the
 * latest, and may send a START to any agent that one of them lists.
 */

#ifndef SLOTS
#define SLOTS 2			/* nodes with an agent */
#endif
#define LIVES 2			/* incarnations of one agent, at most */
#ifndef RESTARTS
#define RESTARTS 1		/* agent restarts in all */
#endif
#ifndef REMOVALS
#define REMOVALS 1		/* rows removed while the agent lives on */
#endif
#ifndef TAKERS
#define TAKERS 2
#endif
#ifndef RAISES
#define RAISES 0		/* 1: a refused taker may go above the other */
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef KEYS
#define KEYS 1			/* 2: the second is issued later */
#endif
#ifndef TASKS
#define TASKS 1			/* tasks in all, shared among the keys */
#endif
#ifndef ONE_COPY
#define ONE_COPY 0		/* 1: the network repeats nothing by itself */
#endif
#ifndef EXPIRY
#define EXPIRY 0		/* 1: memories are dropped by watermark */
#endif

#define AGENTS	(SLOTS * LIVES)
#define ENTRIES	(1 + TAKERS)
#define EPOCHS	(1 + TAKERS * (1 + RAISES))

/* Epoch 0 is the owner's; those of takers are ordered (n, incarnation). */
#define EPOCH(e, n)	((e) + ((n) - 1) * TAKERS)
#define MY_EPOCH(e)	((e) == 0 -> 0 : EPOCH(e, round[e]))
#define HOLDER(x)	((x) == 0 -> 0 : (((x) - 1) % TAKERS) + 1)
#define TAKEN(x)	(round[HOLDER(x)] >= 1 + ((x) - 1) / TAKERS)

#define AGENT(s, l)	((s) * LIVES + (l))
#define CURRENT(s)	AGENT(s, life[s])
#define SLOT_OF(a)	((a) / LIVES)
#define KEY_OF(u)	((u) % KEYS)
#define ISSUED(k)	((k) + 1)	/* time of issue */
#define MSG(u, x, t)	(((u) * EPOCHS + (x)) * ATTEMPTS + (t))
#define JOB(e, u)	((e) * TASKS + (u))
#define RPT(x, a)	((x) * AGENTS + (a))
#define BIT(set, b)	(((set) >> (b)) & 1)

/* Verdicts of an agent on a START. */
#define STARTED		1
#define NOT_RUN		2
#define OLD_EPOCH	3
#define WRONG_INC	4
#define KEY_EXPIRED	5
#define SILENT		6
#define FREE		7

/* Registry: a version number, and the history of its rows. */
byte version;
byte registered_at[AGENTS];
byte lost_at[AGENTS];
byte restarts, removals;

/* Agents: the memory of the living incarnation of each slot. */
byte life[SLOTS];
byte own_r[SLOTS];		/* 0: registration not confirmed */
byte epoch_seen[SLOTS];
byte record[SLOTS];		/* tasks started */
byte refused[SLOTS * TASKS];	/* 1 + highest (epoch, attempt) refused */
byte agent_mark[SLOTS];

/* Entries: 0 is the owner. */
byte round[ENTRIES];		/* n of a taker's epoch, 0: none */
byte entry_mark[ENTRIES];
byte attempt[ENTRIES * TASKS];	/* attempts used at that epoch */
byte earlier[ENTRIES];		/* tasks sent at an earlier epoch */
byte forgot[ENTRIES];

byte rv[KEYS];			/* 0: not issued */

/* Network. */
byte start_to[TASKS * EPOCHS * ATTEMPTS];	/* 1 + agent */
bool not_run[TASKS * EPOCHS * ATTEMPTS];	/* answer to that START */
#if ONE_COPY
bool arrived[TASKS * EPOCHS * ATTEMPTS];
bool resent[TASKS * EPOCHS * ATTEMPTS];
#endif
byte report[EPOCHS * AGENTS];	/* 0, or 128 + mark * 16 + record */

/* Ghosts. */
byte runs[TASKS];
byte started_by[ENTRIES];

hidden byte verdict, w;

/* ---- the rules, and the mutants that leave one out ---- */

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
#define AGENT_EXPIRED(s, u)	(ISSUED(KEY_OF(u)) <= agent_mark[s])
#endif
#ifdef MUT_START_UNREGISTERED
#define UNREGISTERED(s)		false
#else
#define UNREGISTERED(s)		(own_r[s] == 0)
#endif
#ifdef MUT_NO_KEY_TOO_OLD
#define KEY_TOO_OLD(s, u)	false
#else
#define KEY_TOO_OLD(s, u)	(rv[KEY_OF(u)] < own_r[s])
#endif
#ifdef MUT_NO_REFUSAL_RECORD
#define REFUSED_BEFORE(s, u, x, t)	false
#else
#define REFUSED_BEFORE(s, u, x, t)	\
	((x) * ATTEMPTS + (t) + 1 <= refused[(s) * TASKS + (u)])
#endif

/* Answers that say that the attempt has not run and never will. */
#if ONE_COPY && !defined(MUT_RESENT_COUNTS_AS_ONE)
#define TRULY_NOT_RUN(v, m)	((v) == NOT_RUN || (v) == OLD_EPOCH || \
	((v) == WRONG_INC && !resent[m]))
#elif ONE_COPY || defined(MUT_WRONG_INCARNATION_IS_NOT_RUN)
#define TRULY_NOT_RUN(v, m)	\
	((v) == NOT_RUN || (v) == OLD_EPOCH || (v) == WRONG_INC)
#elif defined(MUT_EXPIRED_IS_NOT_RUN)
#define TRULY_NOT_RUN(v, m)	\
	((v) == NOT_RUN || (v) == OLD_EPOCH || (v) == KEY_EXPIRED)
#else
#define TRULY_NOT_RUN(v, m)	((v) == NOT_RUN || (v) == OLD_EPOCH)
#endif

/* Who has to report before a taker may start tasks of key k. */
#ifdef MUT_COLLECT_ONCE
#define COLLECT_AT(k)		rv[0]
#else
#define COLLECT_AT(k)		rv[k]
#endif
#define REGISTERED(a, v)	(registered_at[a] != 0 && registered_at[a] <= (v))
#define LOST(a, v)		(lost_at[a] != 0 && lost_at[a] <= (v))
#if defined(MUT_IGNORE_LOSSES)
#define MUST_REPORT(e, k, a)	(REGISTERED(a, rv[k]) && lost_at[a] == 0)
#elif defined(MUT_OLD_REGISTRY)
byte view[ENTRIES];
#define MUST_REPORT(e, k, a)	(REGISTERED(a, rv[k]) && \
	REGISTERED(a, view[e]) && !LOST(a, rv[k]))
#else
#define MUST_REPORT(e, k, a)	(REGISTERED(a, COLLECT_AT(k)) && \
	!LOST(a, COLLECT_AT(k)))
#endif
#ifdef MUT_KEEP_REPORTS
#define REPORT(e, a)	(report[RPT(MY_EPOCH(e), a)] | report[RPT(EPOCH(e, 1), a)])
#else
#define REPORT(e, a)	report[RPT(MY_EPOCH(e), a)]
#endif
#ifdef MUT_IGNORE_REPORTED_WATERMARK
#define DROPPED(e, u, a)	false
#else
#define DROPPED(e, u, a)	(REPORT(e, a) != 0 && \
	ISSUED(KEY_OF(u)) <= (REPORT(e, a) - 128) / 16)
#endif
/* What agent a says about task u lets taker e start it. */
#define CLEAR(e, u, a)	(!(MUST_REPORT(e, KEY_OF(u), a)) || \
	(REPORT(e, a) != 0 && !BIT(REPORT(e, a), u) && !DROPPED(e, u, a)))
#if SLOTS == 2
#define ALL_CLEAR(e, u)	(CLEAR(e, u, 0) && CLEAR(e, u, 1) && \
	CLEAR(e, u, 2) && CLEAR(e, u, 3))
#else
#define ALL_CLEAR(e, u)	(CLEAR(e, u, 0) && CLEAR(e, u, 1) && \
	CLEAR(e, u, 2) && CLEAR(e, u, 3) && CLEAR(e, u, 4) && CLEAR(e, u, 5))
#endif

#if defined(MUT_START_BEFORE_REPORTS)
#define MAY_START(e, u)	((e) == 0 || round[e] > 0)
#elif defined(MUT_HANDOVER_RAISES_EPOCH)
/* Entry 2 is the successor, with the owner's table and a higher epoch. */
bool handed_over;
#define MAY_START(e, u)	(((e) == 0 && !handed_over) || \
	((e) == 1 && round[e] > 0 && ALL_CLEAR(e, u)) || \
	((e) == 2 && handed_over && attempt[JOB(0, u)] == 0))
#else
#define MAY_START(e, u)	((e) == 0 || (round[e] > 0 && ALL_CLEAR(e, u)))
#endif

#ifdef MUT_OWNER_NO_WATERMARK
#define ENTRY_EXPIRED(e, u)	false
#define FORGOTTEN(e, u)		(ISSUED(KEY_OF(u)) <= entry_mark[e])
#else
#define ENTRY_EXPIRED(e, u)	(ISSUED(KEY_OF(u)) <= entry_mark[e])
#define FORGOTTEN(e, u)		false
#endif

#define LAST(e, u)	MSG(u, MY_EPOCH(e), attempt[JOB(e, u)] - 1)
#if defined(MUT_RETRY_UNCERTAIN)
#define MAY_RETRY(e, u)	(not_run[LAST(e, u)] || lost_at[start_to[LAST(e, u)] - 1] != 0)
#elif defined(MUT_ANSWER_OF_ANY_ATTEMPT)
#define MAY_RETRY(e, u)	(not_run[LAST(e, u)] || \
	(attempt[JOB(e, u)] > 1 && not_run[LAST(e, u) - 1]))
#else
#define MAY_RETRY(e, u)	not_run[LAST(e, u)]
#endif

/* The entry may answer its submission as not run. */
#ifdef MUT_NOT_RUN_WHILE_UNANSWERED
#define MAY_SAY_NOT_RUN(e, u)	(attempt[JOB(e, u)] > 0 || BIT(earlier[e], u))
#else
#define MAY_SAY_NOT_RUN(e, u)	((attempt[JOB(e, u)] > 0 && not_run[LAST(e, u)]) || \
	(attempt[JOB(e, u)] == 0 && BIT(earlier[e], u) && ALL_CLEAR(e, u)))
#endif

/* ---- agent ---- */

inline run_task(s, u, x)
{
#ifdef SANE_NO_START
	assert(false);
#endif
#ifdef SANE_NO_TAKEOVER
	assert(x == 0);
#endif
#ifdef SANE_NO_SECOND_TAKEOVER
	assert(x == 0 || started_by[1] == 0 || HOLDER(x) == 1);
#endif
	record[s] = record[s] | (1 << u);
	started_by[HOLDER(x)] = started_by[HOLDER(x)] | (1 << u);
	runs[u]++;
	assert(runs[u] <= 1);
	assert(!MAY_SAY_NOT_RUN(HOLDER(x), u))
}

inline judge_start(s, u, x, t)
{
	verdict = (OTHER_INCARNATION(s, start_to[MSG(u, x, t)] - 1) -> WRONG_INC :
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
		(UNREGISTERED(s) -> SILENT :
		(KEY_TOO_OLD(s, u) -> NOT_RUN :
		(REFUSED_BEFORE(s, u, x, t) -> NOT_RUN : FREE)))))))
}

inline on_start(s, u, x, t)
{
	judge_start(s, u, x, t);
#if ONE_COPY
	arrived[MSG(u, x, t)] = !resent[MSG(u, x, t)];
#endif
	if
	:: verdict != WRONG_INC && x + 1 > epoch_seen[s] -> epoch_seen[s] = x + 1
	:: else
	fi;
	if
	:: verdict == FREE ->	/* no slot, leaving, configuration not fresh */
		refused[s * TASKS + u] = x * ATTEMPTS + t + 1;
		verdict = NOT_RUN
	:: verdict == FREE ->
		run_task(s, u, x);
		verdict = STARTED
	:: verdict != FREE
	fi;
	if
	:: verdict == STARTED -> assert(runs[u] == 1)
	:: TRULY_NOT_RUN(verdict, MSG(u, x, t)) ->
		not_run[MSG(u, x, t)] = true;
		assert(!BIT(started_by[HOLDER(x)], u) ||
			!MAY_SAY_NOT_RUN(HOLDER(x), u))
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
		/* A later copy says more, which only holds the taker back. */
		if
		:: report[RPT(x, a)] == 0 ->
			report[RPT(x, a)] = 128 + agent_mark[s] * 16 + record[s]
		:: else
		fi
	:: else
	fi
}

inline drop_records(s)
{
	if
	:: agent_mark[s] == 0 -> w = 1
#if KEYS > 1
	:: w = KEYS
#endif
	fi;
	agent_mark[s] = w;
	record[s] = (w == KEYS -> 0 : record[s] & 2);
	refused[s * TASKS] = 0;
#if TASKS > 1
	refused[s * TASKS + 1] = (w == KEYS -> 0 : refused[s * TASKS + 1])
#endif
}

#if ONE_COPY
#define ARRIVES(m)	!arrived[m]
#else
#define ARRIVES(m)	true
#endif
#define ON_START(u, x, t) \
	:: atomic { start_to[MSG(u, x, t)] != 0 && ARRIVES(MSG(u, x, t)) && \
		SLOT_OF(start_to[MSG(u, x, t)] - 1) == s -> on_start(s, u, x, t) }
#define ON_FENCE(x, l) \
	:: d_step { TAKEN(x) && registered_at[AGENT(s, l)] != 0 -> \
		on_fence(s, x, AGENT(s, l)) }

#if ATTEMPTS == 1
#define EACH_ATTEMPT(F, u, x)	F(u, x, 0)
#elif ATTEMPTS == 2
#define EACH_ATTEMPT(F, u, x)	F(u, x, 0) F(u, x, 1)
#else
#define EACH_ATTEMPT(F, u, x)	F(u, x, 0) F(u, x, 1) F(u, x, 2)
#endif
#if TAKERS * (1 + RAISES) == 1
#define EACH_EPOCH(F, u)	EACH_ATTEMPT(F, u, 0) EACH_ATTEMPT(F, u, 1)
#define EACH_FENCE(F, l)	F(1, l)
#elif TAKERS * (1 + RAISES) == 2
#define EACH_EPOCH(F, u)	EACH_ATTEMPT(F, u, 0) EACH_ATTEMPT(F, u, 1) \
	EACH_ATTEMPT(F, u, 2)
#define EACH_FENCE(F, l)	F(1, l) F(2, l)
#elif TAKERS * (1 + RAISES) == 3
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

	/* The write to the registry; a row of the same node is replaced. */
	:: d_step { registered_at[CURRENT(s)] == 0 &&
		(s == 0 || registered_at[AGENT(s - 1, 0)] != 0) ->
		version++;
		registered_at[CURRENT(s)] = version;
		if
		:: life[s] > 0 && lost_at[CURRENT(s) - 1] == 0 ->
			lost_at[CURRENT(s) - 1] = version
		:: else
		fi;
#ifndef MUT_START_UNREGISTERED
		own_r[s] = version
#endif
		}
#ifdef MUT_START_UNREGISTERED
	/* The answer to the write. Before it, a START is not even refused. */
	:: d_step { own_r[s] == 0 && registered_at[CURRENT(s)] != 0 ->
		own_r[s] = registered_at[CURRENT(s)] }
#endif
	:: d_step { life[s] + 1 < LIVES && restarts < RESTARTS &&
		registered_at[CURRENT(s)] != 0 ->
		restarts++;
		life[s]++;
		own_r[s] = 0;
		epoch_seen[s] = 0;
		record[s] = 0;
		refused[s * TASKS] = 0;
#if TASKS > 1
		refused[s * TASKS + 1] = 0;
#endif
		agent_mark[s] = 0 }
	:: d_step { removals < REMOVALS && registered_at[CURRENT(s)] != 0 &&
		lost_at[CURRENT(s)] == 0 ->
		removals++;
		version++;
#ifdef MUT_REREGISTER_RAISES
		registered_at[CURRENT(s)] = version
#else
		lost_at[CURRENT(s)] = version
#endif
		}
#if EXPIRY
	:: atomic { agent_mark[s] < KEYS -> drop_records(s) }
#endif
#ifdef MUT_FORGET_EPOCH
	:: d_step { epoch_seen[s] != 0 -> epoch_seen[s] = 0 }
#endif
	od
}

/* ---- entry ---- */

/* The agent is listed by some registry version from the key's to the latest. */
#define PLACE(u, a) \
	:: d_step { rv[KEY_OF(u)] != 0 && MAY_START(e, u) && \
		!ENTRY_EXPIRED(e, u) && attempt[JOB(e, u)] < ATTEMPTS && \
		(attempt[JOB(e, u)] == 0 || FORGOTTEN(e, u) || MAY_RETRY(e, u)) && \
		registered_at[a] != 0 && !LOST(a, rv[KEY_OF(u)]) -> \
		start_to[MSG(u, MY_EPOCH(e), attempt[JOB(e, u)])] = a + 1; \
		attempt[JOB(e, u)]++ }
#if SLOTS == 2
#define EACH_AGENT(F, u)	F(u, 0) F(u, 1) F(u, 2) F(u, 3)
#else
#define EACH_AGENT(F, u)	F(u, 0) F(u, 1) F(u, 2) F(u, 3) F(u, 4) F(u, 5)
#endif
#if ONE_COPY
#define RESEND(u) \
	:: d_step { attempt[JOB(e, u)] > 0 && !resent[LAST(e, u)] && \
		!not_run[LAST(e, u)] -> \
		resent[LAST(e, u)] = true; \
		arrived[LAST(e, u)] = false }
#else
#define RESEND(u)
#endif
#if EXPIRY
#define FORGET \
	:: d_step { entry_mark[e] < KEYS -> entry_mark[e]++ }
#else
#define FORGET
#endif

proctype owner()
{
	byte e = 0;

	do
	:: d_step { rv[0] == 0 && version > 0 -> rv[0] = version }
#if KEYS > 1
	:: d_step { rv[0] != 0 && rv[1] == 0 -> rv[1] = version }
#endif
	EACH_AGENT(PLACE, 0)
	RESEND(0)
#if TASKS > 1
	EACH_AGENT(PLACE, 1)
	RESEND(1)
#endif
	FORGET
#ifdef MUT_HANDOVER_RAISES_EPOCH
	/* Everything sent by the owner is settled. */
	:: d_step { !handed_over && round[2] == 0 && rv[0] != 0 &&
		(attempt[JOB(0, 0)] == 0 || runs[0] > 0) ->
		handed_over = true;
		round[2] = 1 }
#endif
	od
}

proctype taker(byte e)
{
	do
#if defined(MUT_OLD_REGISTRY)
	:: d_step { round[e] == 0 && version > 0 -> round[e] = 1; view[e] = version }
#elif defined(MUT_HANDOVER_RAISES_EPOCH)
	:: d_step { e == 1 && round[e] == 0 && rv[0] != 0 -> round[e] = 1 }
#else
	:: d_step { round[e] == 0 && rv[0] != 0 -> round[e] = 1 }
#endif
#if RAISES
	:: d_step { round[e] == 1 ->
		round[e] = 2;
		earlier[e] = (attempt[JOB(e, 0)] > 0);
		attempt[JOB(e, 0)] = 0;
#if TASKS > 1
		earlier[e] = earlier[e] | ((attempt[JOB(e, 1)] > 0) << 1);
		attempt[JOB(e, 1)] = 0
#endif
		}
#endif
	EACH_AGENT(PLACE, 0)
	RESEND(0)
#if TASKS > 1
	EACH_AGENT(PLACE, 1)
	RESEND(1)
#endif
	FORGET
	od
}

init
{
	atomic {
		run owner();
		run taker(1);
#if TAKERS > 1
		run taker(2);
#endif
		run agent(0);
		run agent(1);
#if SLOTS > 2
		run agent(2);
#endif
	}
}
