#include "shell/httpc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/log.h"
#include "shell/httpd.h"

/* An idle connection is closed after this time. */
#define IDLE_TIMEOUT_S 20
/* Time from the start of a call until the timeout of lws for the answer, 5 s,
 * is replaced by that of the call. */
#define RESPONSE_TIMER_US 2000000
#define READ_BUFFER_SIZE 16384
/* Limit of the body of an answer, in bytes. */
#define MAX_REPLY (16u << 20)

/* A persistent connection and the call in progress on it. */
struct hc_conn {
    struct httpc *httpc;
    struct lws_vhost *vhost;
    char name[16];
    int busy;
    int is_closing; /* Timed out, and lws has not destroyed `wsi` yet. */
    int sequence;
    struct lws *wsi;
    hc_done *done;
    void *context;
    unsigned char *body; /* LWS_PRE bytes, then the request's body. */
    size_t body_size;
    char token[HS_HEADER_SIZE];
    char key[HS_HEADER_SIZE];
    const char *extra_name;
    char extra_value[HS_HEADER_SIZE];
    int status;
    int sent;
    int refused;
    unsigned char *reply;
    size_t reply_size;
    uint32_t timeout_ms;
    lws_sorted_usec_list_t timeout_timer;
    lws_sorted_usec_list_t response_timer;
};

static void
finish_call(struct hc_conn *conn, int status)
{
    if (!conn->busy) {
        return;
    }
    struct hc_result result = {
        .status = status,
        .sent = conn->sent,
        .refused = conn->refused,
        .body = {conn->reply, (uint32_t)conn->reply_size},
    };
    unsigned char *reply = conn->reply;
    hc_done *done = conn->done;
    lws_sul_schedule(conn->httpc->loop->lws, 0, &conn->timeout_timer, NULL,
                     LWS_SET_TIMER_USEC_CANCEL);
    lws_sul_schedule(conn->httpc->loop->lws, 0, &conn->response_timer, NULL,
                     LWS_SET_TIMER_USEC_CANCEL);
    free(conn->body);
    conn->body = NULL;
    conn->reply = NULL;
    conn->reply_size = 0;
    conn->busy = 0;
    conn->wsi = NULL;
    done(conn->context, &result);
    free(reply);
}

static void
on_timeout(lws_sorted_usec_list_t *sul)
{
    struct hc_conn *conn =
        lws_container_of(sul, struct hc_conn, timeout_timer);
    if (conn->wsi) {
        /* lws would queue a new call until this connection is closed, so it
         * takes no call before that. */
        conn->is_closing = 1;
        lws_set_timeout(conn->wsi, PENDING_TIMEOUT_CLOSE_SEND,
                        LWS_TO_KILL_ASYNC);
    }
    finish_call(conn, 0);
}

/* lws waits 5 s for an answer; replaces that by the timeout of the call. */
static void
on_response_timer(lws_sorted_usec_list_t *sul)
{
    struct hc_conn *conn =
        lws_container_of(sul, struct hc_conn, response_timer);
    if (conn->wsi) {
        lws_set_timeout(conn->wsi, PENDING_TIMEOUT_AWAITING_SERVER_RESPONSE,
                        (int)(conn->timeout_ms / 1000 + 1));
    }
}

static int
add_header(struct lws *wsi, const char *name, const char *value,
           unsigned char **p, unsigned char *end)
{
    return lws_add_http_header_by_name(wsi, (const unsigned char *)name,
                                       (const unsigned char *)value,
                                       (int)strlen(value), p, end);
}

static int
add_headers(struct hc_conn *conn, struct lws *wsi, unsigned char **p,
            size_t size)
{
    unsigned char *end = *p + size - 1;
    char text[HS_HEADER_SIZE + 8];
    if (conn->body_size) {
        snprintf(text, sizeof(text), "%zu", conn->body_size);
        if (add_header(wsi, "content-length:", text, p, end) ||
            add_header(wsi, "content-type:", "application/json", p, end)) {
            return -1;
        }
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    if (conn->token[0]) {
        snprintf(text, sizeof(text), "Bearer %s", conn->token);
        if (add_header(wsi, "authorization:", text, p, end)) {
            return -1;
        }
    }
    if (conn->extra_name && conn->extra_value[0] &&
        add_header(wsi, conn->extra_name, conn->extra_value, p, end)) {
        return -1;
    }
    if (conn->key[0] &&
        add_header(wsi, "idempotency-key:", conn->key, p, end)) {
        return -1;
    }
    return 0;
}

static int
append_reply(struct hc_conn *conn, const void *data, size_t size)
{
    if (conn->reply_size + size > MAX_REPLY) {
        return -1;
    }
    unsigned char *reply = realloc(conn->reply, conn->reply_size + size + 1);
    if (!reply) {
        return -1;
    }
    memcpy(reply + conn->reply_size, data, size);
    conn->reply = reply;
    conn->reply_size += size;
    return 0;
}

static int
read_reply(struct lws *wsi)
{
    char buffer[LWS_PRE + READ_BUFFER_SIZE];
    char *p = buffer + LWS_PRE;
    int size = READ_BUFFER_SIZE;
    return lws_http_client_read(wsi, &p, &size) < 0 ? -1 : 0;
}

static int
write_body(struct hc_conn *conn, struct lws *wsi)
{
    if (!conn->body_size || !conn->body) {
        return 0;
    }
    int wrote = lws_write(wsi, conn->body + LWS_PRE, conn->body_size,
                          LWS_WRITE_HTTP_FINAL);
    lws_client_http_body_pending(wsi, 0);
    conn->body_size = 0;
    return wrote < 0 ? -1 : 0;
}

static int
callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t len)
{
    struct hc_conn *conn = wsi ? lws_get_opaque_user_data(wsi) : NULL;
    if (!conn) {
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
    if (conn->is_closing) {
        if (reason == LWS_CALLBACK_WSI_DESTROY) {
            conn->is_closing = 0;
        }
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        conn->sent = 1;
        return add_headers(conn, wsi, (unsigned char **)in, len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body(conn, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        conn->status = (int)lws_http_client_http_response(wsi);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return append_reply(conn, in, len);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_reply(wsi);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        lws_set_opaque_user_data(wsi, NULL);
        finish_call(conn, conn->status);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        /* lws reports a refused connection by this text only. */
        conn->refused = !conn->sent &&
                        reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR && in &&
                        strcmp(in, "Unable to connect") == 0;
        lws_set_opaque_user_data(wsi, NULL);
        finish_call(conn, 0);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

static const struct lws_protocols protocols[] = {
    {"http-client", callback, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

int
Hc_Init(struct httpc *httpc, struct loop *loop, uint32_t max_calls,
        struct err *err)
{
    memset(httpc, 0, sizeof(*httpc));
    httpc->loop = loop;
    httpc->conn_count = max_calls;
    httpc->conns = calloc(max_calls, sizeof(struct hc_conn));
    if (!httpc->conns) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory for %u connections",
                       max_calls);
    }
    return 0;
}

void
Hc_Finish(struct httpc *httpc)
{
    for (uint32_t i = 0; i < httpc->conn_count; i++) {
        free(httpc->conns[i].body);
        free(httpc->conns[i].reply);
    }
    free(httpc->conns);
}

/* lws queues a call behind a busy connection of the same virtual host, so each
 * connection has a virtual host of its own. */
static struct lws_vhost *
make_vhost(struct loop *loop, struct hc_conn *conn, int index, int tls)
{
    struct lws_context_creation_info info = {0};
    snprintf(conn->name, sizeof(conn->name), "lane%d", index);
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = conn->name;
    info.protocols = protocols;
    info.timeout_secs = 30;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    if (tls) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    }
    return lws_create_vhost(loop->lws, &info);
}

static struct hc_conn *
find_idle_conn(struct httpc *httpc, int tls)
{
    for (uint32_t i = 0; i < httpc->conn_count; i++) {
        struct hc_conn *conn = &httpc->conns[i];
        if (conn->busy || conn->is_closing) {
            continue;
        }
        if (!conn->vhost) {
            conn->httpc = httpc;
            conn->vhost = make_vhost(httpc->loop, conn, (int)i, tls);
        }
        return conn->vhost ? conn : NULL;
    }
    return NULL;
}

static int
set_call(struct hc_conn *conn, const struct hc_call *call)
{
    conn->body = malloc(LWS_PRE + call->body.size + 1);
    if (!conn->body) {
        return -1;
    }
    if (call->body.size) {
        memcpy(conn->body + LWS_PRE, call->body.data, call->body.size);
    }
    conn->body_size = call->body.size;
    conn->done = call->done;
    conn->context = call->context;
    conn->status = 0;
    conn->sent = 0;
    conn->refused = 0;
    snprintf(conn->token, sizeof(conn->token), "%s",
             call->token ? call->token : "");
    snprintf(conn->key, sizeof(conn->key), "%s", call->key ? call->key : "");
    conn->extra_name = call->extra_name;
    snprintf(conn->extra_value, sizeof(conn->extra_value), "%s",
             call->extra_value ? call->extra_value : "");
    conn->busy = 1;
    return 0;
}

int
Hc_Call(struct httpc *httpc, const struct hc_call *call)
{
    char host[64];
    int port;
    struct hc_conn *conn = find_idle_conn(httpc, call->tls);
    if (!conn || Addr_Split(call->addr, host, sizeof(host), &port) ||
        set_call(conn, call)) {
        return -1;
    }
    struct lws_client_connect_info info = {0};
    info.context = httpc->loop->lws;
    info.vhost = conn->vhost;
    info.address = host;
    info.host = host;
    info.origin = host;
    info.port = port;
    info.path = call->path;
    info.method = call->method;
    info.protocol = "http-client";
    info.local_protocol_name = "http-client";
    info.alpn = "http/1.1";
    info.keep_warm_secs = IDLE_TIMEOUT_S;
    info.ssl_connection = LCCSCF_PIPELINE;
    if (call->tls) {
        info.ssl_connection |= LCCSCF_USE_SSL | LCCSCF_ALLOW_SELFSIGNED |
                               LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
    }
    info.opaque_user_data = conn;
    lws_sul_schedule(httpc->loop->lws, 0, &conn->timeout_timer, on_timeout,
                     (lws_usec_t)(call->timeout_ms * US_PER_MS));
    conn->timeout_ms = call->timeout_ms;
    lws_sul_schedule(httpc->loop->lws, 0, &conn->response_timer,
                     on_response_timer, RESPONSE_TIMER_US);
    conn->wsi = lws_client_connect_via_info(&info);
    if (!conn->wsi) {
        finish_call(conn, 0);
    }
    return 0;
}
