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
#define BEAT_INTERVAL_US (500 * US_PER_MS)
/** A connection silent for this long is replaced. */
#define LINK_SILENCE_US (1500 * US_PER_MS)
/** A process silent for this long is taken for dead. */
#define PEER_SILENCE_US (3 * US_PER_S)

/** A process acts only on a configuration known within this time to be the
 * newest. */
#define FRESH_US (3 * US_PER_S)
/** Allowance for clocks that run at different speeds. */
#define FRESH_MARGIN_US (100 * US_PER_MS)

#endif
