#include "shell/httpd.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/log.h"
#include "httpd_impl.h"

#define MAX_CONNS 20000
/* Set in each connection's identifier. It distinguishes connections from the
 * handles of forwarded jobs, which are conn_id values too. */
#define CONN_BIT (1ull << 63)
/* Bits of a connection's identifier that hold the server's. */
#define SERVER_ID_SHIFT 60
#define SERVER_ID_MASK (7ull << SERVER_ID_SHIFT)
/* Retry-After of a request that was refused for lack of memory. */
#define RETRY_AFTER_S 1
/* Shortest time between two log lines about refused requests. */
#define LOG_INTERVAL_US US_PER_S

int
Hs_OwnsConn(const struct httpd *httpd, conn_id id)
{
    return (id & SERVER_ID_MASK) >> SERVER_ID_SHIFT == httpd->server_id;
}

static struct conn *
get_conn(const struct httpd *httpd, conn_id id)
{
    if (!Hs_OwnsConn(httpd, id)) {
        return NULL;
    }
    return Tab_Get(&httpd->conns, id & ~(CONN_BIT | SERVER_ID_MASK));
}

static void
free_body(struct httpd *httpd, struct conn *conn)
{
    free(conn->body);
    conn->body = NULL;
    conn->body_size = 0;
    conn->body_capacity = 0;
    if (conn->item) {
        Intake_Release(&httpd->loop->intake, conn->item);
    }
}

void
Hsi_WaitForClient(struct httpd *httpd, struct lws *wsi,
                  struct intake_item *item, int seconds)
{
    Intake_SetWaiting(&httpd->loop->intake, item, 0);
    Intake_SetWaiting(&httpd->loop->intake, item, 1);
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, seconds);
}

struct conn *
Hsi_Begin(struct httpd *httpd, struct lws *wsi)
{
    struct conn *conn = Tab_Add(&httpd->conns);
    if (!conn) {
        return NULL;
    }
    CTR_INC(httpd->counters, http_requests);
    conn->wsi = wsi;
    conn->httpd = httpd;
    conn->received_us = Loop_Now().us;
    conn->request.conn = Tab_Handle(&httpd->conns, conn) | CONN_BIT |
                         (uint64_t)httpd->server_id << SERVER_ID_SHIFT;
    return conn;
}

void
Hsi_Drop(struct httpd *httpd, tab_handle *handle)
{
    struct conn *conn = Tab_Get(&httpd->conns, *handle);
    if (conn) {
        free_body(httpd, conn);
        free(conn->reply);
        Tab_Remove(&httpd->conns, conn);
    }
    *handle = 0;
}

/* Logs at most one line per LOG_INTERVAL_US, as a crowd may cause many. */
static void
log_refusal(struct httpd *httpd, const struct conn *conn, enum code code)
{
    const struct intake *intake = &httpd->loop->intake;
    httpd->refusals++;
    if (conn->received_us - httpd->refusal_logged_us < LOG_INTERVAL_US) {
        return;
    }
    httpd->refusal_logged_us = conn->received_us;
    LOG_WARN("http",
             "Requests refused before they were read. code=%s count=%u "
             "path=%.64s body_bytes=%zu intake_bytes=%llu connections=%u",
             Code_Name(code), httpd->refusals, conn->request.path,
             conn->body_size, (unsigned long long)intake->bytes,
             intake->items);
    httpd->refusals = 0;
}

void
Hsi_Refuse(struct httpd *httpd, struct conn *conn, enum code code)
{
    char body[96];
    if (conn->is_refused) {
        return;
    }
    log_refusal(httpd, conn, code);
    Ctr_CountCode(httpd->counters, code);
    conn->is_refused = 1;
    free_body(httpd, conn);
    int size = snprintf(body, sizeof(body),
                        "{\"code\":%d,\"name\":\"%s\",\"run\":\"not run\"}",
                        (int)code, Code_Name(code));
    struct hs_reply reply = {
        .status = Code_HttpStatus(code),
        .type = "application/json",
        .body = {body, (uint32_t)size},
        .retry_after_s = Code_HttpStatus(code) == 503 ? RETRY_AFTER_S : 0,
    };
    Hs_Reply(httpd, conn->request.conn, &reply);
}

void
Hsi_SetLength(struct httpd *httpd, struct conn *conn, uint64_t size)
{
    if (size > httpd->max_body) {
        Hsi_Refuse(httpd, conn, CODE_BODY_TOO_LARGE);
        return;
    }
    conn->body_declared = (size_t)size;
}

/* Returns -1 if there is no memory for a body of `size` bytes. */
static int
grow_body(struct httpd *httpd, struct conn *conn, size_t size)
{
    size_t capacity = 2 * size;
    if (conn->body_declared >= size && conn->body_declared < capacity) {
        capacity = conn->body_declared;
    }
    if (conn->item && Intake_Reserve(&httpd->loop->intake, conn->item,
                                     capacity - conn->body_capacity)) {
        return -1;
    }
    unsigned char *body = realloc(conn->body, capacity);
    if (!body) {
        return -1;
    }
    conn->body = body;
    conn->body_capacity = capacity;
    return 0;
}

void
Hsi_AddBody(struct httpd *httpd, struct conn *conn, const void *data,
            size_t size)
{
    if (conn->is_refused || size == 0) {
        return;
    }
    size_t needed = conn->body_size + size;
    if (needed > httpd->max_body) {
        Hsi_Refuse(httpd, conn, CODE_BODY_TOO_LARGE);
        return;
    }
    if (needed > conn->body_capacity && grow_body(httpd, conn, needed)) {
        CTR_INC(httpd->counters, bodies_refused);
        Hsi_Refuse(httpd, conn, CODE_NO_MEMORY);
        return;
    }
    memcpy(conn->body + conn->body_size, data, size);
    conn->body_size = needed;
}

void
Hsi_EvictConn(struct conn *conn)
{
    CTR_INC(conn->httpd->counters, bodies_refused);
    Hsi_Refuse(conn->httpd, conn, CODE_NO_MEMORY);
}

/* Returns 1 if the client has closed or reset its connection. What it sent
 * before stays readable, so that a request may be read after that. */
static int
has_client_left(struct lws *wsi)
{
    struct pollfd network = {
        .fd = lws_get_socket_fd(lws_get_network_wsi(wsi)),
        .events = POLLRDHUP,
    };
    if (poll(&network, 1, 0) < 0) {
        LOG_WARN("http",
                 "Connection could not be checked and counts as open. "
                 "fault=\"%s\"",
                 strerror(errno));
        return 0;
    }
    return network.revents != 0;
}

int
Hsi_Dispatch(struct httpd *httpd, tab_handle *handle)
{
    struct conn *conn = Tab_Get(&httpd->conns, *handle);
    if (!conn->is_refused) {
        Intake_SetWaiting(&httpd->loop->intake, conn->item, 0);
    }
    if (has_client_left(conn->wsi)) {
        CTR_INC(httpd->counters, requests_abandoned);
        LOG_INFO("http",
                 "Request was read after its client had left and is %s. "
                 "path=%.64s",
                 httpd->handle_abandoned ? "handled" : "dropped",
                 conn->request.path);
        if (!httpd->handle_abandoned) {
            Hsi_Drop(httpd, handle);
            return -1;
        }
    }
    if (conn->is_refused) {
        return 0;
    }
    conn->request.body.data = conn->body;
    conn->request.body.size = (uint32_t)conn->body_size;
    httpd->handler(httpd->context, &conn->request);
    /* The handler has copied what it needs, and its answer may take long. */
    conn = Tab_Get(&httpd->conns, *handle);
    if (conn) {
        free_body(httpd, conn);
    }
    return 0;
}

void
Hsi_NotifyClosed(struct httpd *httpd, tab_handle handle)
{
    const struct conn *conn = Tab_Get(&httpd->conns, handle);
    if (conn && !conn->reply && !conn->has_left && httpd->closed) {
        httpd->closed(httpd->context, conn->request.conn, conn->user);
    }
}

int
Hsi_Complete(struct httpd *httpd, tab_handle *handle)
{
    const struct conn *conn = Tab_Get(&httpd->conns, *handle);
    conn_id id = conn->request.conn;
    unsigned char user[HS_USER_SIZE];
    memcpy(user, conn->user, sizeof(user));
    int must_close = conn->is_refused || httpd->close_after_reply;
    Hsi_Drop(httpd, handle);
    if (httpd->sent) {
        httpd->sent(httpd->context, id, user);
    }
    return must_close;
}

int
Hs_Init(struct httpd *httpd, struct loop *loop, const char *addr,
        const char *tls_cert, const char *tls_key, hs_handler *handler,
        hs_sent *sent, void *context, struct counters *counters,
        struct err *err)
{
    int port;
    memset(httpd, 0, sizeof(*httpd));
    httpd->loop = loop;
    httpd->handler = handler;
    httpd->sent = sent;
    httpd->context = context;
    httpd->counters = counters;
    httpd->max_body = HS_MAX_BODY;
    if (Addr_Split(addr, httpd->listen, sizeof(httpd->listen), &port)) {
        return Err_Set(err, CODE_BAD_SETTING,
                       "listen address: found \"%s\", allowed is ip:port",
                       addr);
    }
    if (Tab_Init(&httpd->conns, sizeof(struct conn), MAX_CONNS)) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory for %d connections",
                       MAX_CONNS);
    }
    if (tls_cert && !(httpd->tls = Tls_LoadServer(tls_cert, tls_key, err))) {
        return -1;
    }
    struct lws_context_creation_info info = {0};
    info.port = port;
    info.iface = httpd->listen;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 |
                   LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.vhost_name = addr;
    info.protocols = hsi_protocols;
    info.user = httpd;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = hsi_protocols[0].name;
    httpd->vhost = lws_create_vhost(loop->lws, &info);
    if (!httpd->vhost) {
        return Err_Set(err, CODE_SYSTEM, "cannot listen on %s", addr);
    }
    return 0;
}

void
Hs_Finish(struct httpd *httpd)
{
    uint32_t slot = 0;
    struct conn *conn;
    while ((conn = Tab_Next(&httpd->conns, &slot))) {
        free(conn->body);
        free(conn->reply);
    }
    Tab_Finish(&httpd->conns);
    SSL_CTX_free(httpd->tls);
}

void
Hs_DropLeft(struct httpd *httpd)
{
    uint32_t slot = 0;
    struct conn *conn;
    while ((conn = Tab_Next(&httpd->conns, &slot))) {
        if (conn->reply || conn->has_left || !has_client_left(conn->wsi)) {
            continue;
        }
        if (httpd->closed) {
            httpd->closed(httpd->context, conn->request.conn, conn->user);
        }
        conn->has_left = 1;
        lws_set_timeout(lws_get_network_wsi(conn->wsi),
                        PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void
Hs_SetUser(struct httpd *httpd, conn_id id, const void *user, size_t size)
{
    struct conn *conn = get_conn(httpd, id);
    if (conn && size <= sizeof(conn->user)) {
        memcpy(conn->user, user, size);
    }
}

int
Hs_GetUser(const struct httpd *httpd, conn_id id, void *user, size_t size,
           uint64_t *since_us)
{
    const struct conn *conn = get_conn(httpd, id);
    if (!conn || size > sizeof(conn->user)) {
        return -1;
    }
    memcpy(user, conn->user, size);
    *since_us = conn->received_us;
    return 0;
}

int
Hs_Reply(struct httpd *httpd, conn_id id, const struct hs_reply *reply)
{
    struct conn *conn = get_conn(httpd, id);
    if (!conn || conn->reply) {
        return -1;
    }
    conn->reply = malloc(LWS_PRE + reply->body.size + 1);
    if (!conn->reply) {
        return -1;
    }
    if (reply->body.size) {
        memcpy(conn->reply + LWS_PRE, reply->body.data, reply->body.size);
    }
    conn->reply_size = reply->body.size;
    conn->status = reply->status;
    conn->retry_after_s = reply->retry_after_s;
    strncpy(conn->type, reply->type, sizeof(conn->type) - 1);
    /* A socket whose buffers are full is not writable until the client reads
     * the answers before this one. */
    Hsi_WaitForClient(httpd, conn->wsi, conn->item, HSI_ANSWER_TIMEOUT_S);
    lws_callback_on_writable(conn->wsi);
    return 0;
}

int
Hs_ReplyJson(struct httpd *httpd, conn_id conn, int status, const char *json)
{
    struct hs_reply reply = {
        .status = status,
        .type = "application/json",
        .body = {json, (uint32_t)strlen(json)},
    };
    return Hs_Reply(httpd, conn, &reply);
}
