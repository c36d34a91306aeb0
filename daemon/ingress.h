/** @file
 * HTTP servers of an entry for the callers and the load balancer of the users'
 * platform. callers.h is the counterpart in this project's own protocol. */
#ifndef DAEMON_INGRESS_H
#define DAEMON_INGRESS_H

#include "control.h"

/** The servers. */
struct ingress {
    struct control *control;
    struct entry *core;
    struct counters *counters;
    struct httpd callers;
    struct httpd readiness;  /**< Readiness checks of the load balancer. */
    uint64_t refuse_from_us; /**< When new jobs are refused; 0 for never. */
    uint64_t event_us;       /**< When the latest event was handled. */
    int is_stopping;         /**< Readiness checks fail. */
};

/** Starts listening at the settings `listen_callers` and `listen_readiness`.
 * `control` must outlive the servers. Returns -1 and sets `err` on failure. */
int Ingress_Init(struct ingress *ingress, struct loop *loop,
                 struct control *control, struct err *err);

/** Frees the servers. Call it after Loop_Finish(). */
void Ingress_Finish(struct ingress *ingress);

/** Sends the answer to a job to the caller on `conn`. An answer whose
 * connection is closed is counted in answers_late. */
void Ingress_Reply(struct ingress *ingress, conn_id conn,
                   const struct answer *answer);

/** To be called before each event that may start tasks is handled. After a
 * pause of this process it drops the jobs of callers who have left meanwhile:
 * they have sent them to other entries. */
void Ingress_OnEvent(struct ingress *ingress, struct now now);

/** Applies the largest body allowed by the routes; call it on each tick. */
void Ingress_OnTick(struct ingress *ingress);

/** Begins a graceful stop: readiness checks fail and each answer closes its
 * connection. New jobs are accepted until `until_us`, then refused with
 * CODE_DRAINING. */
void Ingress_Drain(struct ingress *ingress, uint64_t until_us);

#endif
