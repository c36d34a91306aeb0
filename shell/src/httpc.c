#include "shell/httpc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/log.h"
#include "shell/http_reply.h"
#include "shell/httpd.h"
#include "shell/tls.h"

/* lws is used for TCP only. Its HTTP client, version 4.1.6, writes to freed
 * memory if it reuses a connection that the server has reset; it doesn't open
 * connections with TLS for other protocols. */

/* An idle connection is closed after this time. */
#define IDLE_TIMEOUT_S 20
#define HEAD_SIZE 1024
#define BUFFER_SIZE 4096
/* Shortest time between two log lines about dropped answers. */
#define LOG_INTERVAL_US US_PER_S

/* A persistent connection and the call in progress on it. */
struct hc_conn {
    struct httpc *httpc;
    struct lws *wsi; /* NULL if there is no connection. */
    char addr[WIRE_ADDR_SIZE];
    int has_tls;
    struct tls tls;
    int busy;      /* A call is in progress. */
    int is_reused; /* It found the connection open. */
    int is_closed; /* lws has closed the connection. */
    int sent;
    int refused;
    uint64_t end_us; /* Time at which the call times out. */
    hc_done *done;
    void *context;
    unsigned char *request; /* LWS_PRE bytes, then head and body. */
    size_t request_size;
    struct hr_reader reply;
    struct intake_item item; /* Memory of the reply, in loop.replies. */
    /* For the next step of a call, its timeout or that of the idle
     * connection. */
    lws_sorted_usec_list_t timer;
};

static void
set_timer(struct hc_conn *conn, void (*fire)(lws_sorted_usec_list_t *sul),
          lws_usec_t us)
{
    lws_sul_schedule(conn->httpc->loop->lws, 0, &conn->timer, fire, us);
}

static void
close_conn(struct hc_conn *conn)
{
    if (conn->wsi) {
        lws_set_opaque_user_data(conn->wsi, NULL);
        lws_set_timeout(conn->wsi, PENDING_TIMEOUT_CLOSE_SEND,
                        LWS_TO_KILL_ASYNC);
        conn->wsi = NULL;
    }
}

static void
on_idle(lws_sorted_usec_list_t *sul)
{
    close_conn(lws_container_of(sul, struct hc_conn, timer));
}

static void
release_reply(struct hc_conn *conn)
{
    struct intake *replies = &conn->httpc->loop->replies;
    Intake_SetWaiting(replies, &conn->item, 0);
    Intake_Release(replies, &conn->item);
}

static void
finish_call(struct hc_conn *conn, int status)
{
    struct hr_reader reply = conn->reply;
    struct hc_result result = {
        .status = status,
        .sent = conn->sent,
        .refused = conn->refused,
        .body = {reply.body, reply.body_size},
    };
    free(conn->request);
    conn->request = NULL;
    Hr_Init(&conn->reply);
    release_reply(conn);
    conn->busy = 0;
    set_timer(conn, on_idle, IDLE_TIMEOUT_S * LWS_US_PER_SEC);
    conn->done(conn->context, &result);
    Hr_Finish(&reply);
}

static void
on_failure(lws_sorted_usec_list_t *sul)
{
    struct hc_conn *conn = lws_container_of(sul, struct hc_conn, timer);
    close_conn(conn);
    finish_call(conn, 0);
}

/* Ends the call without an answer. That is reported in a later iteration of
 * the loop, as lws may be opening or closing the connection now. */
static void
fail_call(struct hc_conn *conn)
{
    set_timer(conn, on_failure, 1);
}

static void
log_dropped_reply(const struct hc_conn *conn)
{
    struct loop *loop = conn->httpc->loop;
    uint64_t now_us = Loop_Now().us;
    if (now_us - loop->reply_logged_us < LOG_INTERVAL_US) {
        return;
    }
    loop->reply_logged_us = now_us;
    LOG_WARN("http",
             "Answer of another server is dropped: answers in progress take "
             "all memory for them. address=%s bytes=%u limit_bytes=%llu",
             conn->addr, conn->reply.body_size,
             (unsigned long long)loop->replies.max_bytes);
}

/* Frees what has been read at once, so that other answers can go on. */
static void
drop_reply(struct hc_conn *conn)
{
    log_dropped_reply(conn);
    Hr_Finish(&conn->reply);
    Hr_Init(&conn->reply);
    conn->reply.state = HR_INVALID;
    release_reply(conn);
}

static void
evict(struct intake_item *item, enum intake_reason reason)
{
    struct hc_conn *conn = lws_container_of(item, struct hc_conn, item);
    (void)reason;
    drop_reply(conn);
    close_conn(conn);
    fail_call(conn);
}

/* Counts what the reader has allocated. */
static int
reserve_reply(struct hc_conn *conn)
{
    uint64_t room = conn->reply.body_room;
    if (room <= conn->item.bytes ||
        Intake_Reserve(&conn->httpc->loop->replies, &conn->item,
                       room - conn->item.bytes) == 0) {
        return 0;
    }
    drop_reply(conn);
    return -1;
}

static void
on_reply(struct hc_conn *conn)
{
    if (!conn->reply.is_persistent) {
        close_conn(conn);
    }
    finish_call(conn, conn->reply.status);
}

/* The functions below return -1 if the connection is to be closed. */

static int
read_reply(struct hc_conn *conn, const void *data, size_t size)
{
    if (!conn->busy || !conn->sent ||
        Hr_Read(&conn->reply, data, size) != size || reserve_reply(conn)) {
        return -1;
    }
    switch (conn->reply.state) {
    case HR_COMPLETE:
        on_reply(conn);
        return 0;
    case HR_INVALID:
        return -1;
    default:
        return 0;
    }
}

/* `data` begins with LWS_PRE bytes that are not sent. */
static int
send_bytes(struct hc_conn *conn, unsigned char *data, size_t size)
{
    return lws_write(conn->wsi, data + LWS_PRE, size, LWS_WRITE_RAW) < 0 ? -1
                                                                         : 0;
}

static int
send_tls(struct hc_conn *conn)
{
    unsigned char data[LWS_PRE + BUFFER_SIZE];
    size_t size;
    while ((size = Tls_TakeOutput(&conn->tls, data + LWS_PRE, BUFFER_SIZE))) {
        if (send_bytes(conn, data, size)) {
            return -1;
        }
    }
    return 0;
}

static int
write_request(struct hc_conn *conn)
{
    if (!conn->busy || conn->sent) {
        return 0;
    }
    if (conn->has_tls && !Tls_IsReady(&conn->tls)) {
        return 0;
    }
    conn->sent = 1;
    if (conn->has_tls) {
        return Tls_Write(&conn->tls, conn->request + LWS_PRE,
                         conn->request_size) ||
                       send_tls(conn)
                   ? -1
                   : 0;
    }
    return send_bytes(conn, conn->request, conn->request_size);
}

static int
begin_tls(struct hc_conn *conn)
{
    Tls_Finish(&conn->tls);
    return Tls_Connect(&conn->tls) || send_tls(conn) ? -1 : 0;
}

static int
read_tls(struct hc_conn *conn, const void *data, size_t size)
{
    char text[BUFFER_SIZE];
    int got;
    if (Tls_OnReceived(&conn->tls, data, size) || send_tls(conn) ||
        write_request(conn)) {
        return -1;
    }
    while ((got = Tls_Read(&conn->tls, text, sizeof(text))) > 0) {
        if (read_reply(conn, text, (size_t)got)) {
            return -1;
        }
    }
    return got;
}

static void reopen(lws_sorted_usec_list_t *sul);

static void
on_close(struct hc_conn *conn)
{
    conn->wsi = NULL;
    conn->is_closed = 1;
    if (!conn->busy) {
        return;
    }
    if (conn->sent && Hr_OnClose(&conn->reply) == 0) {
        on_reply(conn);
    }
    else if (!conn->sent && conn->is_reused) {
        /* The server has closed the idle connection. */
        set_timer(conn, reopen, 1);
    }
    else {
        fail_call(conn);
    }
}

static int
callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t len)
{
    struct hc_conn *conn = wsi ? lws_get_opaque_user_data(wsi) : NULL;
    if (!conn) {
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        lws_callback_on_writable(wsi);
        return conn->has_tls ? begin_tls(conn) : 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        return write_request(conn);
    case LWS_CALLBACK_RAW_RX:
        return conn->has_tls ? read_tls(conn, in, len)
                             : read_reply(conn, in, len);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        /* lws reports a refused connection by this text only. */
        conn->refused = in && strcmp(in, "Unable to connect") == 0;
        on_close(conn);
        return 0;
    case LWS_CALLBACK_RAW_CLOSE:
        on_close(conn);
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
    for (uint32_t i = 0; i < max_calls; i++) {
        httpc->conns[i].httpc = httpc;
    }
    return 0;
}

void
Hc_Finish(struct httpc *httpc)
{
    for (uint32_t i = 0; i < httpc->conn_count; i++) {
        free(httpc->conns[i].request);
        Hr_Finish(&httpc->conns[i].reply);
        Tls_Finish(&httpc->conns[i].tls);
    }
    free(httpc->conns);
}

static struct lws_vhost *
get_vhost(struct httpc *httpc)
{
    if (!httpc->vhost) {
        struct lws_context_creation_info info = {0};
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.vhost_name = protocols[0].name;
        info.protocols = protocols;
        info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
        httpc->vhost = lws_create_vhost(httpc->loop->lws, &info);
    }
    return httpc->vhost;
}

/* Returns a connection without a call: one that is open to the address of the
 * call if possible, else one that is not in use, else one to another address,
 * which is closed. Returns NULL if there is none. */
static struct hc_conn *
find_conn(struct httpc *httpc, const struct hc_call *call)
{
    struct hc_conn *unused = NULL;
    struct hc_conn *other = NULL;
    for (uint32_t i = 0; i < httpc->conn_count; i++) {
        struct hc_conn *conn = &httpc->conns[i];
        if (conn->busy) {
            continue;
        }
        if (!conn->wsi) {
            unused = unused ? unused : conn;
        }
        else if (conn->has_tls == call->tls &&
                 strcmp(conn->addr, call->addr) == 0) {
            return conn;
        }
        else {
            other = conn;
        }
    }
    if (!unused && other) {
        close_conn(other);
        return other;
    }
    return unused;
}

/* True if `text` can be a part of a line of the head. */
static int
is_printable(const char *text)
{
    for (; *text; text++) {
        if ((unsigned char)*text < ' ' || *text == 127) {
            return 0;
        }
    }
    return 1;
}

/* Appends a header line to `head` if it has a value. */
static int
add_header(char *head, const char *name, const char *value)
{
    size_t size = strlen(head);
    if (!value || !value[0]) {
        return 0;
    }
    int added =
        snprintf(head + size, HEAD_SIZE - size, "%s %s\r\n", name, value);
    return is_printable(value) && (size_t)added < HEAD_SIZE - size ? 0 : -1;
}

static int
write_head(char *head, const struct hc_call *call)
{
    char text[HS_HEADER_SIZE + 16] = "";
    int size = snprintf(head, HEAD_SIZE, "%s %s HTTP/1.1\r\n", call->method,
                        call->path);
    if (size >= HEAD_SIZE || !is_printable(call->path) ||
        strchr(call->path, ' ') || add_header(head, "Host:", call->addr)) {
        return -1;
    }
    if (call->token && call->token[0]) {
        snprintf(text, sizeof(text), "Bearer %s", call->token);
    }
    if (add_header(head, "Authorization:", text) ||
        add_header(head, "Idempotency-Key:", call->key) ||
        (call->extra_name &&
         add_header(head, call->extra_name, call->extra_value))) {
        return -1;
    }
    text[0] = '\0';
    if (call->body.size || strcmp(call->method, "POST") == 0) {
        snprintf(text, sizeof(text), "%u", call->body.size);
    }
    if (add_header(head, "Content-Length:", text) ||
        (call->body.size &&
         add_header(head, "Content-Type:", "application/json"))) {
        return -1;
    }
    size = (int)strlen(head);
    return snprintf(head + size, (size_t)(HEAD_SIZE - size), "\r\n") <
                   HEAD_SIZE - size
               ? 0
               : -1;
}

static int
set_request(struct hc_conn *conn, const struct hc_call *call)
{
    char head[HEAD_SIZE];
    if (write_head(head, call)) {
        return -1;
    }
    size_t head_size = strlen(head);
    conn->request = malloc(LWS_PRE + head_size + call->body.size);
    if (!conn->request) {
        return -1;
    }
    memcpy(conn->request + LWS_PRE, head, head_size);
    if (call->body.size) {
        memcpy(conn->request + LWS_PRE + head_size, call->body.data,
               call->body.size);
    }
    conn->request_size = head_size + call->body.size;
    return 0;
}

/* Opens a connection for the call. */
static void
open_conn(struct hc_conn *conn)
{
    struct lws_client_connect_info info = {0};
    char host[WIRE_ADDR_SIZE];
    conn->is_reused = 0;
    conn->is_closed = 0;
    if (Addr_Split(conn->addr, host, sizeof(host), &info.port) ||
        !(info.vhost = get_vhost(conn->httpc))) {
        fail_call(conn);
        return;
    }
    info.context = conn->httpc->loop->lws;
    info.address = host;
    info.host = host;
    info.origin = host;
    info.path = "";
    info.method = "RAW";
    info.local_protocol_name = protocols[0].name;
    info.opaque_user_data = conn;
    struct lws *wsi = lws_client_connect_via_info(&info);
    if (!wsi || conn->is_closed) {
        fail_call(conn);
        return;
    }
    conn->wsi = wsi;
}

/* Sets the timeout of the call. */
static void
set_timeout(struct hc_conn *conn)
{
    uint64_t now_us = Loop_Now().us;
    set_timer(conn, on_failure,
              conn->end_us > now_us ? (lws_usec_t)(conn->end_us - now_us) : 1);
}

static void
reopen(lws_sorted_usec_list_t *sul)
{
    struct hc_conn *conn = lws_container_of(sul, struct hc_conn, timer);
    set_timeout(conn);
    open_conn(conn);
}

int
Hc_Call(struct httpc *httpc, const struct hc_call *call)
{
    char host[WIRE_ADDR_SIZE];
    int port;
    struct hc_conn *conn;
    if (Addr_Split(call->addr, host, sizeof(host), &port) ||
        !(conn = find_conn(httpc, call)) || set_request(conn, call)) {
        return -1;
    }
    Hr_Init(&conn->reply);
    conn->item.evict = evict;
    Intake_SetWaiting(&httpc->loop->replies, &conn->item, 1);
    conn->busy = 1;
    conn->sent = 0;
    conn->refused = 0;
    conn->done = call->done;
    conn->context = call->context;
    conn->end_us = Loop_Now().us + call->timeout_ms * US_PER_MS;
    set_timeout(conn);
    if (conn->wsi) {
        conn->is_reused = 1;
        lws_callback_on_writable(conn->wsi);
        return 0;
    }
    conn->has_tls = call->tls;
    snprintf(conn->addr, sizeof(conn->addr), "%s", call->addr);
    open_conn(conn);
    return 0;
}
