/** @file
 * Heartbeats that arrive at an agent for its upstream. One of another instance
 * than the known one is believed once that instance has answered a poll. */
#ifndef DAEMON_HEARTBEAT_H
#define DAEMON_HEARTBEAT_H

#include "base/counter.h"
#include "core/clock.h"
#include "platform/upstream.h"

struct orders;

/** The latest heartbeat of an instance that is not known to be the upstream's.
 * All 0 initially. */
struct claimant {
    struct pf_heartbeat heartbeat;
    uint64_t received_us;
    uint32_t number;      /**< Rises with each claimant. */
    uint8_t is_pending;   /**< It is neither taken nor dropped yet. */
    uint8_t is_asked;     /**< A poll of it is waiting for its answer. */
    uint8_t is_confirmed; /**< It has answered. */
};

/** Handle a heartbeat, or what an earlier process saved of one. Returns the
 * HTTP status of the response. */
int Hb_Receive(struct orders *orders, const struct pf_heartbeat *heartbeat);

/** Handle the leave of the upstream that calls itself `id`. */
void Hb_Leave(struct orders *orders, const char *id);

/** Drive the polls of a claimant; call it on each tick. */
void Hb_OnTick(struct orders *orders, struct now now);

#endif
