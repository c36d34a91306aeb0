/** @file
 * Time as the core sees it: handed in with each event. */
#ifndef CORE_CLOCK_H
#define CORE_CLOCK_H

#include <stdint.h>

/** Microseconds in a millisecond. */
#define US_PER_MS 1000ull
/** Microseconds in a second. */
#define US_PER_S 1000000ull

/** The time of an event. */
struct now {
    uint64_t us;   /**< Monotonic, also through a suspended machine. */
    uint32_t wall; /**< Seconds since 1970; only for the age of keys. */
};

/** Time between heartbeats. */
#define HEARTBEAT_INTERVAL_US (500 * US_PER_MS)
/** A connection silent for this long is replaced. */
#define LINK_TIMEOUT_US (1500 * US_PER_MS)
/** A process silent for this long is taken for dead. */
#define PEER_TIMEOUT_US (3 * US_PER_S)

/** Bounds by which processes watch each other. */
struct timing {
    uint64_t heartbeat_us;      /**< Between heartbeats. */
    uint64_t link_timeout_us;   /**< A connection silent for this is replaced,
                               and   nothing new is sent to its process. */
    uint64_t orphan_timeout_us; /**< An agent ends the restartable tasks of an
                             entry that it has not heard for this; 0: never. */
    uint64_t
        echo_timeout_us; /**< The same for an entry that does not hear it. */
    uint64_t agent_timeout_us; /**< An agent silent for this is lost. */
    uint64_t quiesce_us; /**< After this nothing restartable can run at a lost
                            agent any more. */
    uint64_t
        exit_quiesce_us; /**< The same once its process is known to be gone. */
};

/** Bounds for callers that keep their keys: outcomes may be asked for later,
 * so a process is given time. */
void Timing_Init(struct timing *timing);

/** Bounds for callers that submit again `resubmit_us` after a broken
 * connection, to any entry: what an entry left behind has to end before.
 * `lease_us` is the longest lease at an upstream. */
void Timing_Derive(struct timing *timing, uint64_t resubmit_us,
                   uint64_t lease_us);

/** A process acts only on a configuration known within this time to be the
 * newest. */
#define CONFIG_MAX_AGE_US (3 * US_PER_S)
/** Allowance for clocks that run at different speeds. */
#define CLOCK_DRIFT_MARGIN_US (100 * US_PER_MS)

#endif
