/** @file
 * State machine for the runs at an upstream that does not answer a request
 * with the outcome of a task. The upstream is ordered to start and stop runs,
 * ends a run whose lease has expired, and lists the running and the ended
 * runs. An order without an answer may still be carried out much later.
 *
 * A run occupies its resources until it is known to be over: its end was
 * listed, the upstream has restarted, or its lease has surely expired. */
#ifndef CORE_RUNNER_H
#define CORE_RUNNER_H

#include <uthash.h>

#include "base/counter.h"
#include "base/tab.h"
#include "core/clock.h"
#include "wire/msg.h"

/** Maximum number of runs at one upstream at a time. */
#define RN_MAX_RUNS 4096
/** Maximum number of rows read from one of the upstream's lists. */
#define RN_MAX_ROWS 512

/** Identity of a run. */
struct rn_id {
    uint64_t job;    /**< The caller's name for the job. */
    uint32_t task;   /**< Number of the task in the job. */
    uint32_t number; /**< Rises with each start of the task. */
};

/** Result of an order. */
enum rn_reply {
    RN_DONE,
    RN_NO_ANSWER,      /**< The order was sent, but no answer came; it may be
                            carried out later. */
    RN_UNREACHED,      /**< The order was not sent: no connection. */
    RN_OLD_NUMBER,     /**< The task already has or had a run with this number
                            or a higher one. */
    RN_LATE,           /**< The lease in the order has expired already. */
    RN_NO_ROOM,        /**< The run exceeds the upstream's free capacity. */
    RN_FENCED,         /**< The upstream has seen a higher fence. */
    RN_NOT_NOW,        /**< The upstream accepts no orders for now. */
    RN_NOT_UNDERSTOOD, /**< The upstream rejects the order as malformed. */
    RN_OTHER_INSTANCE, /**< The upstream has restarted since. */
};

/** Outcome of a run, as the upstream lists it. */
enum rn_outcome {
    RN_OUTCOME_DONE,
    RN_OUTCOME_FAILED,
    RN_OUTCOME_STOPPED,
    RN_OUTCOME_LOST
};

/** A run that is listed as running. */
struct rn_running {
    struct rn_id id;
    uint32_t percent; /**< Progress. */
};

/** A run that is listed as ended. */
struct rn_ended {
    uint64_t seq; /**< Number of the end at this instance, from 1. */
    struct rn_id id;
    enum rn_outcome outcome;
};

/** Answer of an upstream to a poll. */
struct rn_view {
    uint64_t clock_ms;  /**< The upstream's monotonic clock, 0 if missing. */
    uint64_t born_ms;   /**< Start time of this instance, in milliseconds since
                             1970; 0 if missing. */
    uint8_t is_partial; /**< A list may lack rows, so nothing is concluded from
                             a run that is in neither. */
    uint32_t running_count;
    uint32_t ended_count;
    struct rn_running running[RN_MAX_ROWS];
    struct rn_ended ended[RN_MAX_ROWS];
};

/** Maximum number of suspects reported for one crash. */
#define RN_MAX_SUSPECTS 32

/** A run that was there when the upstream crashed. */
struct rn_suspect {
    struct rn_id id;
    tab_handle task;
    uint64_t age_us;   /**< From its first start order to the crash. */
    uint8_t has_begun; /**< Its start was acknowledged, or it was listed. */
};

/** Kind of an action. */
enum rn_act_type {
    RN_START, /**< Order the upstream to start a run. */
    RN_STOP,  /**< Order the upstream to stop a run. */
    RN_POLL,  /**< Renew the leases and request the lists of runs. */
    RN_END,   /**< The run of a task is over. */
    RN_READY, /**< The upstream has become usable. */
    RN_GONE,  /**< The upstream has become unusable. */
    RN_CRASH, /**< The upstream has crashed with runs. RN_END follows for each
                   of them. */
    RN_RESTART, /**< The upstream has started again. */
};

/** What shows that a run is over; runner/end.c states what each proves. */
enum rn_evidence {
    RN_REFUSED,   /**< Its start orders were refused. */
    RN_ELSEWHERE, /**< Another upstream is at the address. */
    RN_LISTED,    /**< The upstream lists its end. */
    RN_UNLISTED, /**< The upstream lists it neither as running nor as ended. */
    RN_RESTARTED, /**< The upstream has restarted, and does not have it. */
    RN_CRASHED,   /**< No process listens at the upstream's address. */
    RN_LAPSED,    /**< Its lease has ended. */
};

/** One action. Pointers in it are valid only during the call of the sink. */
struct rn_act {
    enum rn_act_type type;
    tab_handle run; /**< RN_START, RN_STOP: to be passed to Rn_OnStarted() or
                         Rn_OnStopped(). */
    struct rn_id id;
    uint64_t fence;        /**< RN_START, RN_STOP, RN_POLL: `runner.fence`. */
    uint64_t lease_end_ms; /**< End of the leases on the upstream's clock, 0 to
                                leave them unchanged. */
    uint64_t leased_until_us;  /**< RN_START, RN_POLL: when the latest lease at
                                    the upstream ends. */
    struct bytes input;        /**< RN_START. */
    uint64_t last_ended;       /**< RN_POLL: highest `rn_ended.seq` read; the
                                    upstream may remove ends up to it. */
    uint32_t poll;             /**< RN_POLL: to be passed to Rn_OnPoll(). */
    uint32_t wait_ms;          /**< RN_POLL: longest time that the upstream may
                                    delay its answer until a run ends. */
    tab_handle task;           /**< RN_END. */
    enum code code;            /**< RN_END: outcome of the task. */
    enum rn_evidence evidence; /**< RN_END. */
    uint32_t run_us; /**< RN_END: time since the first start order. */
    const struct rn_suspect *suspects; /**< RN_CRASH. */
    uint32_t suspect_count;            /**< RN_CRASH. */
    uint64_t ago_us;                   /**< RN_CRASH: time since the crash. */
    uint32_t young_count; /**< RN_CRASH: the first of the suspects, which began
                               shortly before the crash. */
    uint64_t earlier_born_ms; /**< RN_RESTART: start time of the instance
                                 before `runner.born_ms`. */
    uint32_t unsettled_count; /**< RN_RESTART: runs that either instance may
                                   have. */
};

/** Receiver of the actions. */
struct rn_sink {
    void (*emit)(void *context, const struct rn_act *act);
    /** The time at which the lease of a task's run must end; a lease holds for
     * all runs of an upstream. `task` is 0 for a run of an earlier process.
     * NULL for no limit. */
    uint64_t (*run_limit)(void *context, tab_handle task);
    void *context;
};

/** Longest time after which an order without an answer may still be carried
 * out. The users' platform specifies 2 to 12 s. */
#define RN_MAX_ORDER_DELAY_US (12 * US_PER_S)

/** State of a run. */
enum rn_state {
    RN_STARTING, /**< The start has been ordered. */
    RN_RUNNING,
    RN_STOPPING, /**< The stop is ordered repeatedly until it is
                      acknowledged. */
    RN_STOPPED,  /**< The stop has been acknowledged, but the end is not listed
                      yet. */
};

/** Maximum number of tasks refused between two ticks. */
#define RN_MAX_UNSTARTED 1024

/** A run and the state of its orders. */
struct rn_run {
    struct tab_row row;
    struct rn_id id;
    tab_handle task; /**< 0 for a run that this process did not start. */
    enum rn_state state;
    uint8_t order_pending;    /**< An order is waiting for its reply. */
    uint8_t start_pending;    /**< It is a start. */
    uint8_t was_running;      /**< The run has begun, or is taken to have. */
    uint8_t start_unanswered; /**< A start order got no answer. */
    uint8_t is_listed;        /**< The current instance has listed it. */
    uint8_t is_unsettled;     /**< The upstream has restarted, and either
                                   instance may have carried out its start. */
    uint8_t tries;            /**< Number of times that the start, or the stop,
                                   has been ordered. */
    enum code code;           /**< Code of RN_END once the run is stopped. */
    struct bytes input;       /**< Owned by the run; freed when the start is
                                   acknowledged. */
    uint32_t estimate_ms;     /**< Estimated run time, 0 if not known. */
    uint64_t ordered_us;      /**< When the start was first ordered. */
    uint64_t sent_fence;      /**< That of its latest order. */
    uint64_t sent_clock_ms;   /**< The upstream's clock as it was known when
                                   the start was last ordered. */
    uint64_t due_us;          /**< RN_STOPPING: when the stop is ordered again.
                                   RN_STOPPED: when the stop must be
                                   complete. */
    uint64_t acked_us;        /**< When the start or stop was acknowledged. */
    uint32_t percent;         /**< Progress listed last. */
    uint64_t progress_us;     /**< When `percent` last increased. */
    UT_hash_handle hh;
};

/** Phase of the connection to the upstream. */
enum rn_phase {
    RN_UNKNOWN,       /**< No announcement has been received, or the upstream
                           has become unreachable. */
    RN_READING_CLOCK, /**< Its clock is being requested. */
    RN_LISTING,       /**< Its lists of runs are being requested. */
    RN_CLEARING,      /**< Runs of earlier processes are being stopped. */
    RN_USABLE,
};

/** A poll that is waiting for its answer. */
struct rn_poll {
    uint32_t id; /**< 0 for none. */
    uint64_t sent_us;
    uint64_t fence;
};

/** State of one upstream and its runs. */
struct runner {
    struct rn_sink sink;
    struct counters *counters;
    uint64_t lease_us;
    uint64_t max_lease_us; /**< Longest lease that the upstream allows. */
    uint64_t max_stop_us;  /**< Longest time that a stop takes. */
    enum rn_phase phase;
    uint64_t born_ms;          /**< Start time of the upstream's instance, 0 if
                                    not known. */
    uint64_t answered_born_ms; /**< Start time of the instance that answered
                                    the latest poll, 0 if none has. */
    uint64_t crashed_born_ms;  /**< Start time of the instance whose crash was
                                    reported last. */
    uint64_t clock_ms;         /**< The upstream's clock as last received, 0 if
                                    not known. */
    uint64_t clock_us;         /**< This process's clock at that time. */
    uint64_t fence;           /**< Sent with orders; the upstream rejects those
                                   with a lower fence than it has seen. */
    uint64_t fence_step;      /**< By which it was raised last, 0 once a poll
                                   under it is answered. */
    uint64_t first_fence;     /**< The first fence chosen at this instance, or
                                   after it was unreachable. */
    uint64_t last_ended;      /**< Highest `rn_ended.seq` read. */
    uint32_t last_poll;       /**< Number of the latest poll. */
    struct rn_poll long_poll; /**< Its answer may be delayed until a run
                                   ends. */
    struct rn_poll short_poll; /**< It is answered at once. */
    uint8_t want_short_poll;   /**< A short poll is to be sent. */
    uint8_t is_used;           /**< A run was ordered at this instance. */
    uint8_t late_orders_are_refused; /**< By this instance, which has seen a
                                          higher fence. */
    uint32_t poll_failures;       /**< Consecutive polls without an answer. */
    uint64_t silent_from_us;      /**< When the first of them failed. */
    uint32_t unreached_orders;    /**< Consecutive orders that could not be
                                       sent. */
    uint64_t last_reply_us;       /**< When an order or a poll was last
                                       answered. */
    uint64_t late_order_until_us; /**< Until then an order without an answer
                                       may still renew the leases. */
    uint64_t late_start_until_us; /**< Until then a start without an answer may
                                       still be carried out, if not by this
                                       instance by the next one. */
    uint64_t refused_us; /**< When a connection to the upstream was refused
                              that nothing has confirmed or refuted since, 0
                              if none was. */
    uint64_t process_gone_us; /**< When it was last known that no process
                                   listens at its address. */
    uint64_t next_poll_us;
    uint64_t fast_poll_until_us; /**< Until then polls are more frequent, since
                                      answers are being lost. */
    uint64_t granted_us;      /**< When an order with a lease was last sent. */
    uint64_t leased_until_us; /**< When the latest lease ends at the latest. */
    struct tab runs;
    struct rn_run *index;                   /**< `runs` by id. */
    tab_handle unstarted[RN_MAX_UNSTARTED]; /**< Tasks that could not be
                                                 started and whose RN_END is
                                                 due. */
    uint32_t unstarted_count;
};

/** Initialise a runner in memory provided by the caller. `lease_us` is the
 * longest lease to be granted, `max_lease_us` the longest that the upstream
 * allows, `stop_us` the longest time that a stop takes there. Returns -1 if
 * memory cannot be allocated. */
int Rn_Init(struct runner *runner, uint64_t lease_us, uint64_t max_lease_us,
            uint64_t stop_us, struct rn_sink sink, struct counters *counters);

/** Free the memory that the runner owns, but not `runner` itself. */
void Rn_Finish(struct runner *runner);

/** Continue after an earlier process that sent orders under fences up to
 * `fence`. Its starts may be late. */
void Rn_Restore(struct runner *runner, struct now now, uint64_t fence);

/** Handle an announcement of the upstream. `born_ms` is the start time of its
 * instance in milliseconds since 1970, `clock_ms` its monotonic clock. */
void Rn_OnAnnounce(struct runner *runner, struct now now, uint64_t born_ms,
                   uint64_t clock_ms);

/** Poll the upstream soon, although nothing is known to run there: something
 * else claims to be in its place. */
void Rn_Verify(struct runner *runner, struct now now);

/** True if starts may be ordered. */
int Rn_IsUsable(const struct runner *runner);

/** Start a run of a task. Its input is copied. RN_END follows, but not during
 * this call. If memory cannot be allocated or RN_MAX_RUNS is reached, no run
 * is started, and RN_END has CODE_NO_MEMORY. */
void Rn_Start(struct runner *runner, struct now now, tab_handle task,
              const struct msg_start *start);

/** Stop the run of a task, if it has one. RN_END follows. */
void Rn_Stop(struct runner *runner, struct now now, tab_handle task);

/** Handle the result of the RN_START of `run`. `clock_ms` is the upstream's
 * clock, 0 if the reply has none. */
void Rn_OnStarted(struct runner *runner, struct now now, tab_handle run,
                  enum rn_reply reply, uint64_t clock_ms);

/** Handle the result of the RN_STOP of `run`. `clock_ms` is the upstream's
 * clock, 0 if the reply has none. */
void Rn_OnStopped(struct runner *runner, struct now now, tab_handle run,
                  enum rn_reply reply, uint64_t clock_ms);

/** Handle the result of the RN_POLL with number `poll`. `view` is read if
 * `reply` is RN_DONE or RN_FENCED; with RN_FENCED only its times are used. */
void Rn_OnPoll(struct runner *runner, struct now now, uint32_t poll,
               enum rn_reply reply, const struct rn_view *view);

/** Handle a refused connection to the instance started at `born_ms`, for an
 * order that was sent at `sent_us`. If a second one is refused, sent after the
 * first refusal, and nothing was answered meanwhile, no process listens at the
 * address: the instance has ended with all its runs. One that is leaving may
 * refuse connections while its last runs end; these last until their leases
 * expire. A run is kept while a start of it may still reach the next instance.
 * To be called after Rn_OnStarted(), Rn_OnStopped() or Rn_OnPoll() of the same
 * order. */
void Rn_OnConnectionRefused(struct runner *runner, struct now now,
                            uint64_t born_ms, uint64_t sent_us,
                            int is_leaving);

/** Do what is due: repeat stop orders, end runs with expired leases, stop
 * stalled runs, poll. To be called every few tens of milliseconds. */
void Rn_OnTick(struct runner *runner, struct now now);

#endif
