/** @file
 * Client of an upstream that speaks the protocol of the users' platform. The
 * upstream sends heartbeats to the agent; the agent sends it orders, that is
 * requests to start or stop a task or to poll its runs. The runner of the core
 * decides which order is sent when. */
#ifndef DAEMON_ORDERS_H
#define DAEMON_ORDERS_H

#include <jansson.h>

#include "core/agent.h"
#include "core/runner.h"
#include "heartbeat.h"
#include "platform/upstream.h"
#include "shell/call_queue.h"
#include "shell/httpc.h"
#include "shell/httpd.h"

/** State of the connection to one upstream. */
struct orders {
    const struct settings *settings;
    struct agent *core;
    struct counters *counters;
    struct httpd httpd; /**< Receives the heartbeats. */
    struct httpc http;  /**< Sends the orders. */
    struct call_queue queue;
    struct runner runner;
    struct pf_heartbeat heartbeat; /**< The upstream's latest; all 0 before the
                                        first. */
    uint64_t heartbeat_us;         /**< When it was received. */
    struct claimant claimant;      /**< What may take the upstream's place. */
    char address[WIRE_ADDR_SIZE];
    int has_heartbeat;   /**< A heartbeat was received or restored. */
    double avg_reply_ms; /**< Moving average of the time to a reply. */
    void (*save_upstream)(void *context); /**< Called when what is to be saved
                                               of the upstream has changed. */
    void *context;                        /**< Argument of `save_upstream`. */
};

/** Starts listening at the setting `listen_upstream` and initialises the
 * client. `settings`, `core` and `counters` must outlive it. Returns -1 and
 * sets `err` on failure. */
int Orders_Init(struct orders *orders, struct loop *loop,
                const struct settings *settings, struct agent *core,
                struct counters *counters, struct err *err);

/** Frees the server, the client and the runs. Call it after Loop_Finish(). */
void Orders_Finish(struct orders *orders);

/** Returns what the next process of this node has to know about the upstream:
 * id, address, service, start time, capacity, labels and the fence of the
 * orders sent. The caller owns the object. */
json_t *Orders_SaveUpstream(const struct orders *orders);

/** Restores the upstream from what an earlier process of this node saved. If
 * the upstream is still the same instance, this process need not wait for its
 * next heartbeat. Does nothing if a heartbeat was already received, or if a
 * field other than `labels` is missing. */
void Orders_RestoreUpstream(struct orders *orders, const json_t *saved);

/** Starts a task. Ag_OnTaskEnd() is called when its run has ended or could not
 * be started. */
void Orders_Run(struct orders *orders, const struct act_run *run);

/** Stops a task. Its end is reported as for Orders_Run(). */
void Orders_Stop(struct orders *orders, tab_handle task);

/** Drives the timeouts of the runner; call it on each tick. */
void Orders_OnTick(struct orders *orders, struct now now);

#endif
