/** @file
 * An upstream that takes orders: its heartbeats, the orders of the runner and
 * their replies. */
#ifndef DAEMON_ORDERS_H
#define DAEMON_ORDERS_H

#include <jansson.h>

#include "core/agent.h"
#include "core/runner.h"
#include "platform/upstream.h"
#include "shell/httpc.h"
#include "shell/httpd.h"

/** Orders to one upstream. */
struct orders {
    const struct settings *settings;
    struct agent *core;
    struct counters *counters;
    struct httpd httpd;
    struct httpc http;
    struct runner runner;
    struct pf_beat heartbeat; /**< The latest. */
    char address[WIRE_ADDR_SIZE];
    int has_heartbeat;            /**< A heartbeat has come. */
    double avg_reply_ms;          /**< Time that replies took of late. */
    void (*ready)(void *context); /**< Called when it can be used. */
    void *context;
};

/** Listen for the upstream and make the client. */
int Orders_Init(struct orders *orders, struct loop *loop,
                const struct settings *settings, struct agent *core,
                struct counters *counters, struct err *err);

/** Free it, after the loop. */
void Orders_Finish(struct orders *orders);

/** What the next process of this node has to know of the upstream. */
json_t *Orders_SaveUpstream(const struct orders *orders);

/** Take in what the process before this one wrote: the upstream need not be
 * waited for if it still lives the same life. */
void Orders_RestoreUpstream(struct orders *orders, const json_t *note);

/** Run a task. */
void Orders_Run(struct orders *orders, const struct act_run *run);

/** Stop a task. */
void Orders_Stop(struct orders *orders, tab_handle task);

/** Time has passed. */
void Orders_OnTick(struct orders *orders, struct now now);

#endif
