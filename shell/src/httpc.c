#include "shell/httpc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "shell/httpd.h"

/* A kept connection that is idle this long is closed. */
#define KEEP_WARM_S 20
#define PATIENCE_US 2000000
#define READ_SIZE 16384
#define MAX_REPLY (16u << 20)

struct hc_conn {
    struct httpc *httpc;
    struct lws_vhost *vhost;
    char name[16];
    int busy;
    int is_closing; /* Its connection was given up and is not gone yet. */
    int sequence;
    struct lws *wsi;
    hc_done *done;
    void *context;
    unsigned char *body; /* LWS_PRE bytes, then the request's body. */
    size_t body_size;
    char token[HS_HEADER_SIZE];
    char key[HS_HEADER_SIZE];
    const char *extra_name;
    char extra[HS_HEADER_SIZE];
    int status;
    int sent;
    int refused;
    unsigned char *reply;
    size_t reply_size;
    uint32_t timeout_ms;
    lws_sorted_usec_list_t timeout;
    lws_sorted_usec_list_t response_timer;
};

static void
finish_call(struct hc_conn *lane, int status)
{
    if (!lane->busy) {
        return;
    }
    struct hc_result result = {
        .status = status,
        .sent = lane->sent,
        .refused = lane->refused,
        .body = {lane->reply, (uint32_t)lane->reply_size},
    };
    unsigned char *reply = lane->reply;
    hc_done *done = lane->done;
    lws_sul_schedule(lane->httpc->loop->lws, 0, &lane->timeout, NULL,
                     LWS_SET_TIMER_USEC_CANCEL);
    lws_sul_schedule(lane->httpc->loop->lws, 0, &lane->response_timer, NULL,
                     LWS_SET_TIMER_USEC_CANCEL);
    free(lane->body);
    lane->body = NULL;
    lane->reply = NULL;
    lane->reply_size = 0;
    lane->busy = 0;
    lane->wsi = NULL;
    done(lane->context, &result);
    free(reply);
}

static void
on_timeout(lws_sorted_usec_list_t *sul)
{
    struct hc_conn *lane = lws_container_of(sul, struct hc_conn, timeout);
    if (lane->wsi) {
        /* A new call would be queued behind the connection until it closes:
         * the lane rests. */
        lane->is_closing = 1;
        lws_set_timeout(lane->wsi, PENDING_TIMEOUT_CLOSE_SEND,
                        LWS_TO_KILL_ASYNC);
    }
    finish_call(lane, 0);
}

/* The library gives a server 5 s to answer; the call's own limit counts. */
static void
on_patience(lws_sorted_usec_list_t *sul)
{
    struct hc_conn *lane =
        lws_container_of(sul, struct hc_conn, response_timer);
    if (lane->wsi) {
        lws_set_timeout(lane->wsi, PENDING_TIMEOUT_AWAITING_SERVER_RESPONSE,
                        (int)(lane->timeout_ms / 1000 + 1));
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
add_headers(struct hc_conn *lane, struct lws *wsi, unsigned char **p,
            size_t room)
{
    unsigned char *end = *p + room - 1;
    char text[HS_HEADER_SIZE + 8];
    if (lane->body_size) {
        snprintf(text, sizeof(text), "%zu", lane->body_size);
        if (add_header(wsi, "content-length:", text, p, end) ||
            add_header(wsi, "content-type:", "application/json", p, end)) {
            return -1;
        }
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    if (lane->token[0]) {
        snprintf(text, sizeof(text), "Bearer %s", lane->token);
        if (add_header(wsi, "authorization:", text, p, end)) {
            return -1;
        }
    }
    if (lane->extra_name && lane->extra[0] &&
        add_header(wsi, lane->extra_name, lane->extra, p, end)) {
        return -1;
    }
    if (lane->key[0] &&
        add_header(wsi, "idempotency-key:", lane->key, p, end)) {
        return -1;
    }
    return 0;
}

static int
add_reply(struct hc_conn *lane, const void *data, size_t size)
{
    if (lane->reply_size + size > MAX_REPLY) {
        return -1;
    }
    unsigned char *reply = realloc(lane->reply, lane->reply_size + size + 1);
    if (!reply) {
        return -1;
    }
    memcpy(reply + lane->reply_size, data, size);
    lane->reply = reply;
    lane->reply_size += size;
    return 0;
}

static int
read_some(struct lws *wsi)
{
    char buffer[LWS_PRE + READ_SIZE];
    char *p = buffer + LWS_PRE;
    int size = READ_SIZE;
    return lws_http_client_read(wsi, &p, &size) < 0 ? -1 : 0;
}

static int
write_body(struct hc_conn *lane, struct lws *wsi)
{
    if (!lane->body_size || !lane->body) {
        return 0;
    }
    int wrote = lws_write(wsi, lane->body + LWS_PRE, lane->body_size,
                          LWS_WRITE_HTTP_FINAL);
    lws_client_http_body_pending(wsi, 0);
    lane->body_size = 0;
    return wrote < 0 ? -1 : 0;
}

static int
callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t len)
{
    struct hc_conn *lane = wsi ? lws_get_opaque_user_data(wsi) : NULL;
    if (!lane) {
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
    if (lane->is_closing) {
        if (reason == LWS_CALLBACK_WSI_DESTROY) {
            lane->is_closing = 0;
        }
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        lane->sent = 1;
        return add_headers(lane, wsi, (unsigned char **)in, len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body(lane, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        lane->status = (int)lws_http_client_http_response(wsi);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return add_reply(lane, in, len);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_some(wsi);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        lws_set_opaque_user_data(wsi, NULL);
        finish_call(lane, lane->status);
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        /* The library has no number for it, only this text. */
        lane->refused = !lane->sent &&
                        reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR && in &&
                        strcmp(in, "Unable to connect") == 0;
        lws_set_opaque_user_data(wsi, NULL);
        finish_call(lane, 0);
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
Hc_Init(struct httpc *httpc, struct loop *loop, uint32_t lanes,
        struct err *err)
{
    memset(httpc, 0, sizeof(*httpc));
    httpc->loop = loop;
    httpc->conn_count = lanes;
    httpc->conns = calloc(lanes, sizeof(struct hc_conn));
    if (!httpc->conns) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory for calls");
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

/* lws queues a call behind a busy connection of the same virtual host, so
 * each lane has its own. */
static struct lws_vhost *
make_vhost(struct loop *loop, struct hc_conn *lane, int index, int tls)
{
    struct lws_context_creation_info info = {0};
    snprintf(lane->name, sizeof(lane->name), "lane%d", index);
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = lane->name;
    info.protocols = protocols;
    info.timeout_secs = 30;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    if (tls) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    }
    return lws_create_vhost(loop->lws, &info);
}

static struct hc_conn *
free_lane(struct httpc *httpc, int tls)
{
    for (uint32_t i = 0; i < httpc->conn_count; i++) {
        struct hc_conn *lane = &httpc->conns[i];
        if (lane->busy || lane->is_closing) {
            continue;
        }
        if (!lane->vhost) {
            lane->httpc = httpc;
            lane->vhost = make_vhost(httpc->loop, lane, (int)i, tls);
        }
        return lane->vhost ? lane : NULL;
    }
    return NULL;
}

static int
fill_lane(struct hc_conn *lane, const struct hc_call *call)
{
    lane->body = malloc(LWS_PRE + call->body.size + 1);
    if (!lane->body) {
        return -1;
    }
    if (call->body.size) {
        memcpy(lane->body + LWS_PRE, call->body.data, call->body.size);
    }
    lane->body_size = call->body.size;
    lane->done = call->done;
    lane->context = call->context;
    lane->status = 0;
    lane->sent = 0;
    lane->refused = 0;
    snprintf(lane->token, sizeof(lane->token), "%s",
             call->token ? call->token : "");
    snprintf(lane->key, sizeof(lane->key), "%s", call->key ? call->key : "");
    lane->extra_name = call->extra_name;
    snprintf(lane->extra, sizeof(lane->extra), "%s",
             call->extra ? call->extra : "");
    lane->busy = 1;
    return 0;
}

int
Hc_Call(struct httpc *httpc, const struct hc_call *call)
{
    char host[64];
    int port;
    struct hc_conn *lane = free_lane(httpc, call->tls);
    if (!lane || Hs_SplitAddr(call->addr, host, sizeof(host), &port) ||
        fill_lane(lane, call)) {
        return -1;
    }
    struct lws_client_connect_info info = {0};
    info.context = httpc->loop->lws;
    info.vhost = lane->vhost;
    info.address = host;
    info.host = host;
    info.origin = host;
    info.port = port;
    info.path = call->path;
    info.method = call->method;
    info.protocol = "http-client";
    info.local_protocol_name = "http-client";
    info.alpn = "http/1.1";
    info.keep_warm_secs = KEEP_WARM_S;
    info.ssl_connection = LCCSCF_PIPELINE;
    if (call->tls) {
        info.ssl_connection |= LCCSCF_USE_SSL | LCCSCF_ALLOW_SELFSIGNED |
                               LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
    }
    info.opaque_user_data = lane;
    lws_sul_schedule(httpc->loop->lws, 0, &lane->timeout, on_timeout,
                     (lws_usec_t)(call->timeout_ms * US_PER_MS));
    lane->timeout_ms = call->timeout_ms;
    lws_sul_schedule(httpc->loop->lws, 0, &lane->response_timer, on_patience,
                     PATIENCE_US);
    lane->wsi = lws_client_connect_via_info(&info);
    if (!lane->wsi) {
        finish_call(lane, 0);
    }
    return 0;
}
