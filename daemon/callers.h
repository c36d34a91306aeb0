/** @file
 * HTTP server of an entry for callers and operators, in this project's own
 * protocol. ingress.h is its counterpart for the users' platform. */
#ifndef DAEMON_CALLERS_H
#define DAEMON_CALLERS_H

#include "control.h"

/** The server. */
struct callers {
    struct httpd httpd;
    struct control *control;
    struct entry *core;
    struct counters *counters;
    const struct key_secret *secret;
    int is_stopping; /**< /v1/health answers CODE_DRAINING. */
};

/** Starts listening at the setting `listen_http`, with TLS if a certificate
 * is set. `control` and `secret` must outlive the server. Returns -1 and sets
 * `err` on failure. */
int Callers_Init(struct callers *callers, struct loop *loop,
                 struct control *control, const struct key_secret *secret,
                 struct err *err);

/** Frees the server. Call it after Loop_Finish(). */
void Callers_Finish(struct callers *callers);

/** Sends the answer to a job or query to the caller on `conn`. An answer whose
 * connection is closed is counted in answers_late. */
void Callers_Reply(struct callers *callers, conn_id conn,
                   const struct answer *answer);

#endif
