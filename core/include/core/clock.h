/** @file
 * Time in the core, which reads no clock: the time is passed in with each
 * event. */
#ifndef CORE_CLOCK_H
#define CORE_CLOCK_H

#include <stdint.h>

/** Microseconds in a millisecond. */
#define US_PER_MS 1000ull
/** Microseconds in a second. */
#define US_PER_S 1000000ull

/** The time of an event. */
struct now {
    uint64_t us;   /**< Monotonic time; includes time in system suspend. */
    uint32_t wall; /**< Seconds since 1970; used for the age of keys only. */
};

/** Default interval between heartbeats. */
#define HEARTBEAT_INTERVAL_US (500 * US_PER_MS)
/** Default time without messages after which a connection is replaced. */
#define LINK_TIMEOUT_US (1500 * US_PER_MS)
/** Time without messages after which a process is considered dead. */
#define PEER_TIMEOUT_US (3 * US_PER_S)

/** Intervals and time-outs of failure detection between entries and agents. */
struct timing {
    /** Interval between heartbeats. */
    uint64_t heartbeat_us;
    /** A connection without messages for this long is replaced, and no new
     * work is sent to its process. */
    uint64_t link_timeout_us;
    /** An agent ends the restartable tasks of an entry from which it has
     * received nothing for this long; 0 to keep them. */
    uint64_t orphan_timeout_us;
    /** The same for an entry that has echoed no heartbeat which the agent sent
     * within this time: it may not be receiving them. */
    uint64_t echo_timeout_us;
    /** An entry considers an agent without messages for this long as lost. */
    uint64_t agent_timeout_us;
    /** After an agent has been silent for this long, no restartable task can
     * still be running there. */
    uint64_t quiesce_us;
    /** The same, counted from when its process is known to have ended. */
    uint64_t exit_quiesce_us;
    /** Longest lease that an agent grants its runs; 0 for the longest that its
     * upstream allows. */
    uint64_t lease_us;
    /** The lease of a restartable task's run ends at the latest this long
     * after a time at which its entry is known to have been alive; 0 for no
     * such limit. */
    uint64_t run_limit_us;
};

/** Set the time-outs for callers that keep their idempotency keys. They can
 * ask for an outcome later, so a silent process is given time to recover, and
 * an agent does not end the tasks of a silent entry. */
void Timing_Init(struct timing *timing);

/** Derive the time-outs for callers that submit a job again, to any entry,
 * `resubmit_us` after their connection broke: by then, the tasks that the
 * earlier entry started must have ended, even if their agent does not act.
 * `lease_us` is the longest lease that an upstream allows. */
void Timing_Derive(struct timing *timing, uint64_t resubmit_us,
                   uint64_t lease_us);

/** The longest lease that an agent grants at an upstream that allows at most
 * `longest_us`. */
uint64_t Timing_Lease(const struct timing *timing, uint64_t longest_us);

/** A process acts on its configuration only if it has been confirmed within
 * this time to be the newest. */
#define CONFIG_MAX_AGE_US (3 * US_PER_S)
/** Allowance for clocks of different processes that run at different rates. */
#define CLOCK_DRIFT_MARGIN_US (100 * US_PER_MS)

#endif
