/** @file
 * HTTP/1.1 client with persistent connections, on the connections of
 * libwebsockets. Each carries one call at a time. */
#ifndef SHELL_HTTPC_H
#define SHELL_HTTPC_H

#include <stdint.h>

#include "shell/loop.h"
#include "wire/msg.h"

/** Largest number of concurrent calls of a client. */
#define HC_MAX_CALLS 128

/** Outcome of a call; valid only during the callback. */
struct hc_result {
    int status;        /**< HTTP status, 0 if no complete answer came. */
    int sent;          /**< The request may have reached the server. */
    int refused;       /**< Nothing listens at the address. */
    struct bytes body; /**< Body of the answer. */
};

/** Called exactly once for each call that Hc_Call() accepted; it may start
 * calls. */
typedef void hc_done(void *context, const struct hc_result *result);

/** Parameters of a call. All but `extra_name` are copied by Hc_Call(). */
struct hc_call {
    const char *addr; /**< "ip:port". */
    const char *method;
    const char *path;
    struct bytes body;
    const char *token;       /**< Bearer token or NULL. */
    const char *key;         /**< Idempotency-Key or NULL. */
    const char *extra_name;  /**< Name of another header, ending in ":", or
                                  NULL. Must stay valid during the call. */
    const char *extra_value; /**< Value of that header, or NULL. */
    uint32_t timeout_ms;
    int tls; /**< 1: use TLS and accept any certificate. */
    hc_done *done;
    void *context;
};

struct hc_conn;

/** An HTTP client. */
struct httpc {
    struct loop *loop;
    struct lws_vhost *vhost;
    uint32_t conn_count;
    struct hc_conn *conns;
};

/** Initialise a client for at most `max_calls` concurrent calls. Error:
 * CODE_NO_MEMORY. */
int Hc_Init(struct httpc *httpc, struct loop *loop, uint32_t max_calls,
            struct err *err);

/** Free the client, after Loop_Finish(). Calls in progress get no callback. */
void Hc_Finish(struct httpc *httpc);

/** Start a call. The callback runs after this has returned, from the loop.
 * Returns -1, without a callback, when all connections are in use, the
 * address, the path or a value of a header is invalid or memory is exhausted.
 */
int Hc_Call(struct httpc *httpc, const struct hc_call *call);

#endif
