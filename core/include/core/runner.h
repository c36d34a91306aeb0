/** @file
 * Runs at an upstream that is given orders, not calls: it starts and stops
 * what it is told to, under leases, and lists what has ended. An order that
 * gets no answer may still be carried out, long after.
 *
 * A run takes its room until it is known to be over: its end was listed, the
 * upstream has begun a new life, or its lease has surely run out. */
#ifndef CORE_RUNNER_H
#define CORE_RUNNER_H

#include <uthash.h>

#include "base/counter.h"
#include "base/tab.h"
#include "core/clock.h"
#include "wire/msg.h"

/** Most runs at once at one upstream. */
#define RN_MAX_RUNS 4096
/** Most rows of one list that are taken in. */
#define RN_MAX_ROWS 512

/** Name of a run. */
struct rn_id {
    uint64_t job;    /**< The caller's name for the job. */
    uint32_t task;   /**< Number of the task in the job. */
    uint32_t number; /**< Rises with each start of the task. */
};

/** What became of an order. */
enum rn_reply {
    RN_DONE,
    RN_NO_ANSWER,  /**< It may be carried out at any later time. */
    RN_UNREACHED,  /**< It did not leave this machine. */
    RN_OLD_NUMBER, /**< A run of that number or a higher one was there. */
    RN_LATE,       /**< Its lease would have been over already. */
    RN_NO_ROOM,    /**< It does not fit in the upstream's capacity. */
    RN_FENCED,     /**< The upstream has seen a higher fence. */
    RN_NOT_NOW,    /**< The upstream takes nothing for now. */
    RN_NOT_UNDERSTOOD,
    RN_OTHER_INSTANCE, /**< The upstream has started again. */
};

/** How a run ended. */
enum rn_outcome {
    RN_OUTCOME_DONE,
    RN_OUTCOME_FAILED,
    RN_OUTCOME_STOPPED,
    RN_OUTCOME_LOST
};

/** A run that goes on. */
struct rn_running {
    struct rn_id id;
    uint32_t percent;
};

/** A run that has ended. */
struct rn_ended {
    uint64_t seq; /**< Place in the list of this life, from 1. */
    struct rn_id id;
    enum rn_outcome outcome;
};

/** What an upstream says of its runs. */
struct rn_view {
    uint64_t clock_ms; /**< Its own clock, 0 when it was not told. */
    uint64_t born_ms;  /**< Its start, since 1970; 0 when it was not told. */
    uint32_t running_count;
    uint32_t ended_count;
    struct rn_running running[RN_MAX_ROWS];
    struct rn_ended ended[RN_MAX_ROWS];
};

/** Kind of an action. */
enum rn_act_type {
    RN_START, /**< Order a start. */
    RN_STOP,  /**< Order a stop. */
    RN_POLL,  /**< Renew the leases and ask for the lists. */
    RN_END,   /**< A task's run is over. */
    RN_READY, /**< The upstream can be used. */
    RN_GONE,  /**< It cannot be used. */
};

/** One action; pointers are valid only in the call. */
struct rn_act {
    enum rn_act_type type;
    tab_handle run; /**< RN_START, RN_STOP: given back with the reply. */
    struct rn_id id;
    uint64_t fence;
    uint64_t lease_end_ms; /**< End of the leases, on the upstream's clock; 0
                            to leave them as they are. */
    struct bytes input;    /**< RN_START. */
    uint64_t last_ended;   /**< RN_POLL: ends up to here may be forgotten. */
    uint32_t poll;         /**< RN_POLL: given back with the view. */
    uint32_t wait_ms;      /**< RN_POLL: the answer may wait for an end. */
    tab_handle task;       /**< RN_END. */
    enum code code;        /**< RN_END. */
    uint32_t run_us;       /**< RN_END. */
};

/** Where actions go. */
struct rn_sink {
    void (*emit)(void *context, const struct rn_act *act);
    void *context;
};

/** An order without an answer may be carried out for this long; the users'
 * platform names 2 to 12 s. */
#define RN_MAX_ORDER_DELAY_US (12 * US_PER_S)

/** State of a run. */
enum rn_state {
    RN_STARTING, /**< The start is ordered. */
    RN_RUNNING,
    RN_STOPPING, /**< The stop is ordered until it is acknowledged. */
    RN_STOPPED,  /**< Acknowledged; the end is not listed yet. */
};

/** One run. */
struct rn_run {
    struct tab_row row;
    struct rn_id id;
    tab_handle task; /**< 0 for a run that nobody here asked for. */
    enum rn_state state;
    uint8_t order_pending;    /**< An order waits for its reply. */
    uint8_t was_running;      /**< It is known to have run. */
    uint8_t start_unanswered; /**< An order to start it got no answer. */
    uint8_t tries;            /**< Starts or stops ordered in a row. */
    enum code code;           /**< How it ends when it is stopped. */
    struct bytes input;       /**< Owned; until the start is settled. */
    uint32_t estimate_ms;     /**< Expected run time, 0 when not known. */
    uint64_t ordered_us;      /**< When the start was ordered. */
    uint64_t renewed_us;      /**< When its lease was last renewed. */
    uint64_t due_us;   /**< When the stop is ordered again or, once it is
                             acknowledged, surely over. */
    uint64_t acked_us; /**< When the start or stop was acknowledged. */
    uint32_t percent;
    uint64_t progress_us; /**< When `percent` last rose. */
    UT_hash_handle hh;
};

/** How far this process knows the upstream. */
enum rn_phase {
    RN_UNKNOWN,       /**< Nothing is known of it. */
    RN_READING_CLOCK, /**< Its clock is being asked for. */
    RN_LISTING,       /**< Its runs are being asked for. */
    RN_CLEARING,      /**< Runs of before are being stopped. */
    RN_USABLE,
};

/** A question under way. */
struct rn_poll {
    uint32_t id; /**< 0 for none. */
    uint64_t sent_us;
};

/** The runs at one upstream. */
struct runner {
    struct rn_sink sink;
    struct counters *counters;
    uint64_t lease_us;
    uint64_t max_stop_us; /**< Longest time that a stop takes. */
    enum rn_phase phase;
    uint64_t born_ms;
    uint64_t clock_ms; /**< The upstream's clock when last told... */
    uint64_t clock_us; /**< ...and this process's clock then. */
    uint64_t fence;
    uint64_t last_ended;
    uint32_t last_poll;        /**< Number of the latest question. */
    struct rn_poll long_poll;  /**< The one that waits for an end. */
    struct rn_poll short_poll; /**< One that is answered at once. */
    uint8_t want_short_poll;
    uint32_t poll_failures;       /**< Questions in a row without an answer. */
    uint32_t unreached_orders;    /**< Orders in a row that did not leave. */
    uint64_t last_reply_us;       /**< When any order was last answered. */
    uint64_t late_order_until_us; /**< Until then a lost order may renew the
                                     leases. */
    uint64_t
        connection_refused_us; /**< When nothing listened at the upstream. */
    uint64_t next_poll_us;
    uint64_t fast_poll_until_us; /**< Until then answers may be lost: ask more
                                    often. */
    struct tab runs;
    struct rn_run *index;
};

/** Make a runner. `lease_us` is the longest lease that the upstream grants,
 * `stop_us` the longest time that a stop takes there. Returns -1 for lack of
 * memory. */
int Rn_Init(struct runner *runner, uint64_t lease_us, uint64_t stop_us,
            struct rn_sink sink, struct counters *counters);

/** Free what it owns. */
void Rn_Finish(struct runner *runner);

/** The upstream announced itself. */
void Rn_OnAnnounce(struct runner *runner, struct now now, uint64_t born_ms,
                   uint64_t clock_ms);

/** True when starts may be ordered. */
int Rn_IsUsable(const struct runner *runner);

/** Start a task. RN_END follows in any case, never from this call. */
void Rn_Start(struct runner *runner, struct now now, tab_handle task,
              const struct msg_start *start);

/** Stop a task. */
void Rn_Stop(struct runner *runner, struct now now, tab_handle task);

/** A start got its reply. */
void Rn_OnStarted(struct runner *runner, struct now now, tab_handle run,
                  enum rn_reply reply, uint64_t clock_ms);

/** A stop got its reply. */
void Rn_OnStopped(struct runner *runner, struct now now, tab_handle run,
                  enum rn_reply reply, uint64_t clock_ms);

/** A question got its reply; `view` counts with RN_DONE, and its clock with
 * RN_FENCED. */
void Rn_OnPoll(struct runner *runner, struct now now, uint32_t look,
               enum rn_reply reply, const struct rn_view *view);

/** Nothing listens where the upstream was. */
void Rn_OnConnectionRefused(struct runner *runner, struct now now);

/** Time has passed. */
void Rn_OnTick(struct runner *runner, struct now now);

#endif
