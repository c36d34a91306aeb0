#include "shell/httpd.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/log.h"

#define MAX_CONNS 20000
/* Set in each connection's identifier. It distinguishes connections from the
 * handles of forwarded jobs, which are conn_id values too. */
#define CONN_BIT (1ull << 63)
/* Bits of a connection's identifier that hold the server's. */
#define SERVER_ID_SHIFT 60
#define SERVER_ID_MASK (7ull << SERVER_ID_SHIFT)
/* Longest body, in bytes, that is sent in one write with the headers: a few
 * times the usual answer. */
#define MAX_INLINE_BODY 512
#define MAX_HEADER_SIZE 1024

/* A connection with a request in progress. */
struct conn {
    struct tab_row row;
    struct lws *wsi;
    struct hs_request request;
    unsigned char *body;
    size_t body_size;
    size_t body_capacity;
    unsigned char *reply; /* LWS_PRE bytes, then the body. */
    size_t reply_size;
    int status;
    char type[48];
    uint32_t retry_after_s;
    int headers_sent;
    int too_large;
    int has_left;         /* httpd.closed has been called. */
    uint64_t received_us; /* When the request's headers arrived. */
    unsigned char user[HS_USER_SIZE];
};

/* Data that lws keeps for each connection. `conn` is 0 when no request is in
 * progress. */
struct session {
    tab_handle conn;
};

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
reset_conn(struct conn *conn)
{
    free(conn->body);
    free(conn->reply);
    conn->body = NULL;
    conn->reply = NULL;
    conn->body_size = 0;
    conn->body_capacity = 0;
}

static void
drop_conn(struct httpd *httpd, struct session *session)
{
    struct conn *conn = Tab_Get(&httpd->conns, session->conn);
    if (conn) {
        reset_conn(conn);
        Tab_Remove(&httpd->conns, conn);
    }
    session->conn = 0;
}

static enum hs_method
read_path(struct lws *wsi, struct hs_request *request)
{
    static const struct {
        enum lws_token_indexes token;
        enum hs_method method;
    } methods[] = {
        {WSI_TOKEN_GET_URI, HS_GET},
        {WSI_TOKEN_POST_URI, HS_POST},
        {WSI_TOKEN_PUT_URI, HS_PUT},
        {WSI_TOKEN_DELETE_URI, HS_DELETE},
    };
    for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
        if (lws_hdr_copy(wsi, request->path, sizeof(request->path),
                         methods[i].token) > 0) {
            return methods[i].method;
        }
    }
    return HS_OTHER;
}

static void
read_headers(const struct httpd *httpd, struct lws *wsi,
             struct hs_request *request)
{
    static const char name[] = "idempotency-key:";
    char auth[HS_HEADER_SIZE + 8];
    request->method = read_path(wsi, request);
    if (lws_hdr_copy(wsi, request->query, sizeof(request->query),
                     WSI_TOKEN_HTTP_URI_ARGS) <= 0) {
        request->query[0] = '\0';
    }
    if (lws_hdr_custom_copy(wsi, request->key, sizeof(request->key), name,
                            sizeof(name) - 1) <= 0) {
        request->key[0] = '\0';
    }
    if (lws_hdr_copy(wsi, request->host, sizeof(request->host),
                     WSI_TOKEN_HOST) <= 0) {
        request->host[0] = '\0';
    }
    if (!httpd->extra_name ||
        lws_hdr_custom_copy(wsi, request->extra_value,
                            sizeof(request->extra_value), httpd->extra_name,
                            (int)strlen(httpd->extra_name)) <= 0) {
        request->extra_value[0] = '\0';
    }
    if (lws_hdr_copy(wsi, auth, sizeof(auth), WSI_TOKEN_HTTP_AUTHORIZATION) >
            7 &&
        strncasecmp(auth, "Bearer ", 7) == 0) {
        snprintf(request->token, sizeof(request->token), "%.*s",
                 HS_HEADER_SIZE - 1, auth + 7);
    }
}

/* Returns 0 when the header is missing, -1 when it is invalid. */
static long
content_length(struct lws *wsi)
{
    char text[24];
    if (lws_hdr_copy(wsi, text, sizeof(text), WSI_TOKEN_HTTP_CONTENT_LENGTH) <=
        0) {
        return 0;
    }
    char *end;
    long size = strtol(text, &end, 10);
    return *end || size < 0 ? -1 : size;
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

/* Calls the handler. Returns -1 if the connection is to be closed instead,
 * because the client has left: it has sent its request elsewhere by now. */
static int
dispatch(struct httpd *httpd, struct session *session, struct conn *conn)
{
    if (has_client_left(conn->wsi)) {
        CTR_INC(httpd->counters, requests_abandoned);
        LOG_INFO("http",
                 "Request was read after its client had left and is %s. "
                 "path=%.64s",
                 httpd->handle_abandoned ? "handled" : "dropped",
                 conn->request.path);
        if (!httpd->handle_abandoned) {
            drop_conn(httpd, session);
            return -1;
        }
    }
    if (conn->too_large) {
        Hs_ReplyJson(httpd, conn->request.conn, 413,
                     "{\"code\":1004,\"name\":\"BODY_TOO_LARGE\","
                     "\"run\":\"not run\"}");
        return 0;
    }
    conn->request.body.data = conn->body;
    conn->request.body.size = (uint32_t)conn->body_size;
    httpd->handler(httpd->context, &conn->request);
    return 0;
}

static int
on_request(struct httpd *httpd, struct lws *wsi, struct session *session)
{
    drop_conn(httpd, session);
    struct conn *conn = Tab_Add(&httpd->conns);
    if (!conn) {
        return -1;
    }
    CTR_INC(httpd->counters, http_requests);
    session->conn = Tab_Handle(&httpd->conns, conn);
    conn->wsi = wsi;
    conn->received_us = Loop_Now().us;
    conn->request.conn = session->conn | CONN_BIT |
                         (uint64_t)httpd->server_id << SERVER_ID_SHIFT;
    read_headers(httpd, wsi, &conn->request);
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    long size = content_length(wsi);
    if (size < 0 || size > (long)httpd->max_body) {
        conn->too_large = 1;
        return dispatch(httpd, session, conn);
    }
    return size == 0 ? dispatch(httpd, session, conn) : 0;
}

static int
on_body(struct httpd *httpd, struct session *session, const void *data,
        size_t size)
{
    struct conn *conn = Tab_Get(&httpd->conns, session->conn);
    if (!conn || conn->too_large) {
        return 0;
    }
    if (conn->body_size + size > httpd->max_body) {
        conn->too_large = 1;
        return 0;
    }
    if (conn->body_size + size > conn->body_capacity) {
        size_t capacity = 2 * (conn->body_size + size);
        unsigned char *body = realloc(conn->body, capacity);
        if (!body) {
            return -1;
        }
        conn->body = body;
        conn->body_capacity = capacity;
    }
    memcpy(conn->body + conn->body_size, data, size);
    conn->body_size += size;
    return 0;
}

/* Returns the end of the headers, NULL when they exceed the buffer. */
static unsigned char *
write_headers(struct lws *wsi, const struct conn *conn, unsigned char *start,
              unsigned char *end)
{
    unsigned char *p = start;
    char retry[16];
    if (lws_add_http_common_headers(wsi, (unsigned int)conn->status,
                                    conn->type, conn->reply_size, &p, end)) {
        return NULL;
    }
    if (conn->retry_after_s) {
        int size = snprintf(retry, sizeof(retry), "%u", conn->retry_after_s);
        if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_RETRY_AFTER,
                                         (unsigned char *)retry, size, &p,
                                         end)) {
            return NULL;
        }
    }
    return lws_finalize_http_header(wsi, &p, end) ? NULL : p;
}

/* Returns 1 for a stream of HTTP/2, which sends the headers in a frame of
 * their own. */
static int
is_http2_stream(struct lws *wsi)
{
    return lws_get_network_wsi(wsi) != wsi;
}

/* Sends a short body with the headers: one write makes one packet and does not
 * wait for the next iteration of the loop. */
static int
send_headers(struct lws *wsi, struct conn *conn)
{
    unsigned char buffer[LWS_PRE + MAX_HEADER_SIZE + MAX_INLINE_BODY];
    unsigned char *start = buffer + LWS_PRE;
    unsigned char *end =
        write_headers(wsi, conn, start, start + MAX_HEADER_SIZE);
    if (!end) {
        return -1;
    }
    conn->headers_sent = 1;
    if (conn->reply_size <= MAX_INLINE_BODY && !is_http2_stream(wsi)) {
        memcpy(end, conn->reply + LWS_PRE, conn->reply_size);
        end += conn->reply_size;
        conn->reply_size = 0;
    }
    size_t size = (size_t)(end - start);
    return lws_write(wsi, start, size, LWS_WRITE_HTTP_HEADERS) == (int)size
               ? 0
               : -1;
}

static int
on_writable(struct httpd *httpd, struct lws *wsi, struct session *session)
{
    struct conn *conn = Tab_Get(&httpd->conns, session->conn);
    if (!conn || !conn->reply) {
        return 0;
    }
    if (!conn->headers_sent) {
        if (send_headers(wsi, conn)) {
            return -1;
        }
        if (conn->reply_size) {
            lws_callback_on_writable(wsi);
            return 0;
        }
    }
    if (conn->reply_size &&
        lws_write(wsi, conn->reply + LWS_PRE, conn->reply_size,
                  LWS_WRITE_HTTP_FINAL) < 0) {
        return -1;
    }
    conn_id id = conn->request.conn;
    unsigned char user[HS_USER_SIZE];
    memcpy(user, conn->user, sizeof(user));
    int must_close = conn->too_large || httpd->close_after_reply;
    drop_conn(httpd, session);
    if (httpd->sent) {
        httpd->sent(httpd->context, id, user);
    }
    if (must_close || lws_http_transaction_completed(wsi)) {
        return -1;
    }
    return 0;
}

static void
notify_closed(struct httpd *httpd, struct session *session)
{
    const struct conn *conn = Tab_Get(&httpd->conns, session->conn);
    if (conn && !conn->reply && !conn->has_left && httpd->closed) {
        httpd->closed(httpd->context, conn->request.conn, conn->user);
    }
}

static int
callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t len)
{
    struct lws_vhost *vhost = lws_get_vhost(wsi);
    struct httpd *httpd = vhost ? lws_get_vhost_user(vhost) : NULL;
    struct session *session = user;
    if (!httpd) {
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return on_request(httpd, wsi, session);
    case LWS_CALLBACK_HTTP_BODY:
        return on_body(httpd, session, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION: {
        struct conn *conn = Tab_Get(&httpd->conns, session->conn);
        lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
        return conn && !conn->reply ? dispatch(httpd, session, conn) : 0;
    }
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return on_writable(httpd, wsi, session);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (session) {
            notify_closed(httpd, session);
            drop_conn(httpd, session);
        }
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

static const struct lws_protocols protocols[] = {
    {"http", callback, sizeof(struct session), 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

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
    struct lws_context_creation_info info = {0};
    info.port = port;
    info.iface = httpd->listen;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.vhost_name = addr;
    info.protocols = protocols;
    info.user = httpd;
    info.keepalive_timeout = 60;
    info.timeout_secs = 30;
    info.ssl_cert_filepath = tls_cert;
    info.ssl_private_key_filepath = tls_key;
    if (tls_cert) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    }
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
        reset_conn(conn);
    }
    Tab_Finish(&httpd->conns);
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
