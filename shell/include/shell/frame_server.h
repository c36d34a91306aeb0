/** @file
 * Receives the frames of other processes on the internal address. A connection
 * is proved once it has sent a frame that the handler accepts. Until then it
 * counts in a budget, from which a crowd without the key of the cluster evicts
 * its own connections and not those of our processes. */
#ifndef SHELL_FRAME_SERVER_H
#define SHELL_FRAME_SERVER_H

#include "base/counter.h"
#include "shell/loop.h"

/** Called for each frame. Returns 0 if it is authentic. */
typedef int fs_handler(void *context, const void *frame, size_t size);

/** A server of frames. */
struct frame_server {
    struct loop *loop;
    struct lws_vhost *vhost;
    fs_handler *handler;
    void *context;
    struct counters *counters;
    struct intake unproved; /**< Budget for connections that are not proved. */
};

/** Listen on "ip:port". The budget is a part of that for clients, which the
 * caller has initialised in the loop. Errors: CODE_BAD_SETTING for an invalid
 * address, CODE_SYSTEM when the server cannot listen. */
int Fs_Init(struct frame_server *server, struct loop *loop, const char *addr,
            fs_handler *handler, void *context, struct counters *counters,
            struct err *err);

#endif
