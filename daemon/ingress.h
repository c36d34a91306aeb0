/** @file
 * The platform's callers and balancer at an entry. */
#ifndef DAEMON_INGRESS_H
#define DAEMON_INGRESS_H

#include "control.h"

/** Servers for them. */
struct ingress {
    struct control *control;
    struct entry *core;
    struct counters *counters;
    struct httpd callers;
    struct httpd readiness;
    uint64_t refuse_from_us; /**< When new jobs are refused, 0 for not. */
    int is_stopping;
};

/** Listen as the settings say. */
int Ingress_Init(struct ingress *ingress, struct loop *loop,
                 struct control *control, struct err *err);

/** Free it, after the loop. */
void Ingress_Finish(struct ingress *ingress);

/** Answer a caller. */
void Ingress_Reply(struct ingress *ingress, conn_id conn,
                   const struct answer *answer);

/** Time has passed: the limits in force may have changed. */
void Ingress_OnTick(struct ingress *ingress);

/** Begin a graceful stop: no longer ready, each answer closes its
 * connection. Jobs are taken in until `until_us`. */
void Ingress_Drain(struct ingress *ingress, uint64_t until_us);

#endif
