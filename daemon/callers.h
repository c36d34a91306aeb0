/** @file
 * The interface of our own at an entry. */
#ifndef DAEMON_CALLERS_H
#define DAEMON_CALLERS_H

#include "control.h"

/** Server of callers and operators. */
struct callers {
    struct httpd httpd;
    struct control *control;
    struct entry *core;
    struct counters *counters;
    const struct key_secret *secret;
    int is_stopping;
};

/** Listen as the settings say. */
int Callers_Init(struct callers *callers, struct loop *loop,
                 struct control *control, const struct key_secret *secret,
                 struct err *err);

/** Free it, after the loop. */
void Callers_Finish(struct callers *callers);

/** Answer a caller. */
void Callers_Reply(struct callers *callers, conn_id conn,
                   const struct answer *answer);

#endif
