/** @file
 * HTTP/1.1 client on libwebsockets, with connections kept open.
 *
 * A lane carries one call at a time on one kept connection. */
#ifndef SHELL_HTTPC_H
#define SHELL_HTTPC_H

#include <stdint.h>

#include "shell/loop.h"
#include "wire/msg.h"

/** Most calls at once. */
#define HC_MAX_CALLS 128

/** Outcome of a call; valid only in the callback. */
struct hc_result {
    int status;  /**< HTTP status, 0 when there was no answer. */
    int sent;    /**< The request may have reached the server. */
    int refused; /**< Nothing listens at the address. */
    struct bytes body;
};

/** Called once for each call. */
typedef void hc_done(void *context, const struct hc_result *result);

/** One call. */
struct hc_call {
    const char *addr; /**< "ip:port". */
    const char *method;
    const char *path;
    struct bytes body;
    const char *token;      /**< Bearer token or NULL. */
    const char *key;        /**< Idempotency-Key or NULL. */
    const char *extra_name; /**< One more header, ending in ":", or NULL. */
    const char *extra;      /**< Its value, or NULL. */
    uint32_t timeout_ms;
    int tls; /**< Use TLS; any certificate is taken. */
    hc_done *done;
    void *context;
};

struct hc_conn;

/** The client. */
struct httpc {
    struct loop *loop;
    uint32_t conn_count;
    struct hc_conn *conns;
};

/** Make a client with up to `lanes` calls at once. */
int Hc_Init(struct httpc *httpc, struct loop *loop, uint32_t lanes,
            struct err *err);

/** Free it, after the loop; calls in progress get no callback. */
void Hc_Finish(struct httpc *httpc);

/** Begin a call. The callback may come before this returns. -1 when all
 * lanes are taken; then there is no callback. */
int Hc_Call(struct httpc *httpc, const struct hc_call *call);

#endif
