/* Connections below TLS, with the HTTP role of libwebsockets, which speaks
 * HTTP/2 too. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpd_impl.h"

/* Data that lws keeps for each connection. `conn` is 0 when no request is in
 * progress. */
struct session {
    tab_handle conn;
};

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

static void
evict(struct intake_item *item, enum intake_reason reason)
{
    struct conn *conn = lws_container_of(item, struct conn, own);
    (void)reason;
    Hsi_EvictConn(conn);
}

static int
on_request(struct httpd *httpd, struct lws *wsi, struct session *session)
{
    Hsi_Drop(httpd, &session->conn);
    struct conn *conn = Hsi_Begin(httpd, wsi);
    if (!conn) {
        return -1;
    }
    session->conn = Tab_Handle(&httpd->conns, conn);
    conn->own.evict = evict;
    if (Intake_Add(&httpd->loop->intake, &conn->own) == 0) {
        conn->item = &conn->own;
    }
    read_headers(httpd, wsi, &conn->request);
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    long size = content_length(wsi);
    if (!conn->item) {
        Hsi_Refuse(httpd, conn, CODE_NO_MEMORY);
        return 0;
    }
    Hsi_SetLength(httpd, conn, size < 0 ? UINT64_MAX : (uint64_t)size);
    if (size == 0 || conn->is_refused) {
        return Hsi_Dispatch(httpd, &session->conn);
    }
    lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, HSI_BODY_TIMEOUT_S);
    return 0;
}

static int
on_body(struct httpd *httpd, struct lws *wsi, const struct session *session,
        const void *data, size_t size)
{
    struct conn *conn = Tab_Get(&httpd->conns, session->conn);
    if (conn) {
        lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT, HSI_BODY_TIMEOUT_S);
        Hsi_AddBody(httpd, conn, data, size);
    }
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
    unsigned char buffer[LWS_PRE + HSI_MAX_HEADER_SIZE + HSI_MAX_INLINE_BODY];
    unsigned char *start = buffer + LWS_PRE;
    unsigned char *end =
        write_headers(wsi, conn, start, start + HSI_MAX_HEADER_SIZE);
    if (!end) {
        return -1;
    }
    conn->headers_sent = 1;
    if (conn->reply_size <= HSI_MAX_INLINE_BODY && !is_http2_stream(wsi)) {
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
    if (Hsi_Complete(httpd, &session->conn) ||
        lws_http_transaction_completed(wsi)) {
        return -1;
    }
    return 0;
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
        return on_body(httpd, wsi, session, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION: {
        struct conn *conn = Tab_Get(&httpd->conns, session->conn);
        lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
        return conn && !conn->reply ? Hsi_Dispatch(httpd, &session->conn) : 0;
    }
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return on_writable(httpd, wsi, session);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (session) {
            Hsi_NotifyClosed(httpd, session->conn);
            Hsi_Drop(httpd, &session->conn);
        }
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

const struct lws_protocols hsi_tls_protocols[] = {
    {"http", callback, sizeof(struct session), 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};
