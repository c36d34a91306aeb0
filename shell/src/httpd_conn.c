/* Connections of clients, with TLS or without. libwebsockets is used for TCP
 * only: its HTTP role, version 4.1.6, never returns to the loop when a request
 * with a body arrives behind another one, does not read chunked bodies, and
 * keeps a buffer of 16 KB for each connection without a request. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/log.h"
#include "httpd_impl.h"
#include "shell/http_request.h"

/* Longest name of a header that is used. */
#define FIELD_SIZE 48
/* Bytes read of requests behind the one in progress, from which no more is
 * read until that one is answered. Below, a client that leaves is noticed at
 * once. */
#define MAX_AHEAD (64u << 10)
/* Bytes of an answer that are sent at a time. */
#define SEND_PIECE (64u << 10)
/* Time in which a client has to finish the handshake of TLS. */
#define HANDSHAKE_TIMEOUT_S 10
/* Time in which a client has to send the head of its first request, and one
 * that keeps its connection the next. */
#define HEAD_TIMEOUT_S 30
#define IDLE_TIMEOUT_S 60
/* Time that a client has to read its last answer, while what it still sends is
 * dropped: closing at once would reset the connection and lose the answer. */
#define LINGER_S 5

/* A connection. */
struct peer {
    struct lws *wsi;
    struct httpd *httpd;
    struct intake_item item;
    struct hq_reader reader;
    struct tls tls;  /* Unused without httpd.tls. */
    tab_handle conn; /* The request that is being read or answered, or 0. */
    unsigned char *ahead; /* Read after the end of that request. */
    size_t ahead_size;
    uint8_t is_evicted;  /* No longer in the budget; being closed. */
    uint8_t is_complete; /* That request is complete, and not answered. */
    uint8_t is_paused;   /* Nothing is read from the socket. */
    uint8_t is_last;     /* The client asked to close the connection. */
    uint8_t is_closing;  /* The last answer has been sent. */
    uint8_t drops_input; /* A request was refused before it was read, or is not
                            HTTP: the rest has no meaning. */
    /* The header being read. */
    char field[FIELD_SIZE];
    size_t field_size;
    size_t value_size;
    uint8_t is_value; /* Its value is being read. */
    uint8_t has_head; /* The head is complete: what follows are trailers. */
    char *target;     /* HS_HEADER_SIZE bytes for the value, or NULL. */
};

/* Data that lws keeps for each connection. */
struct session {
    struct peer *peer;
};

static struct conn *
get_conn(const struct peer *peer)
{
    return Tab_Get(&peer->httpd->conns, peer->conn);
}

static void
evict(struct intake_item *item, enum intake_reason reason)
{
    struct peer *peer = lws_container_of(item, struct peer, item);
    struct conn *conn = get_conn(peer);
    if (reason == INTAKE_MEMORY && conn && !conn->reply) {
        Hsi_EvictConn(conn);
        return;
    }
    /* Closed before the new connection is accepted, so that a burst of them
     * does not exceed the limit. No event of this one is being handled. With
     * output left it is closed in the next iteration. */
    CTR_INC(peer->httpd->counters, connections_evicted);
    peer->is_evicted = 1;
    Intake_Remove(&peer->httpd->loop->intake, &peer->item);
    shutdown(lws_get_socket_fd(peer->wsi), SHUT_RDWR);
    lws_set_timeout(peer->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

/* Events of the reader; a result other than 0 makes the request invalid. */

static int
on_begin(void *context)
{
    struct peer *peer = context;
    struct conn *conn = Hsi_Begin(peer->httpd, peer->wsi);
    if (!conn) {
        return -1;
    }
    conn->item = &peer->item;
    peer->conn = Tab_Handle(&peer->httpd->conns, conn);
    peer->field_size = 0;
    peer->is_value = 0;
    peer->has_head = 0;
    return 0;
}

static int
on_url(void *context, const char *data, size_t size)
{
    struct conn *conn = get_conn(context);
    size_t used = strlen(conn->request.path);
    if (used + size >= sizeof(conn->request.path)) {
        return -1;
    }
    memcpy(conn->request.path + used, data, size);
    return 0;
}

/* Decodes the percent signs of `text` in place. Returns -1 if that gives a NUL
 * or a sign is not followed by two digits. */
static int
decode(char *text)
{
    char *to = text;
    for (const char *from = text; *from; from++) {
        char digits[3] = {0};
        if (*from == '%') {
            strncpy(digits, from + 1, 2);
            if (strspn(digits, "0123456789abcdefABCDEF") != 2 ||
                strcmp(digits, "00") == 0) {
                return -1;
            }
            *to++ = (char)strtol(digits, NULL, 16);
            from += 2;
        }
        else {
            *to++ = *from;
        }
    }
    *to = '\0';
    return 0;
}

static int
split_url(struct hs_request *request)
{
    char *query = strchr(request->path, '?');
    if (query) {
        *query = '\0';
        memcpy(request->query, query + 1, strlen(query + 1) + 1);
    }
    return decode(request->path) || decode(request->query);
}

/* Returns the buffer for the value of a header, NULL if it is not used. */
static char *
find_target(const struct httpd *httpd, struct hs_request *request,
            const char *field)
{
    if (strcasecmp(field, "host") == 0) {
        return request->host;
    }
    if (strcasecmp(field, "idempotency-key") == 0) {
        return request->key;
    }
    if (strcasecmp(field, "authorization") == 0) {
        return request->token;
    }
    size_t size = strlen(field);
    if (httpd->extra_name &&
        strncasecmp(httpd->extra_name, field, size) == 0 &&
        strcmp(httpd->extra_name + size, ":") == 0) {
        return request->extra_value;
    }
    return NULL;
}

static int
on_field(void *context, const char *data, size_t size)
{
    struct peer *peer = context;
    if (peer->is_value) {
        peer->is_value = 0;
        peer->field_size = 0;
    }
    for (size_t i = 0; i < size; i++, peer->field_size++) {
        if (peer->field_size < FIELD_SIZE - 1) {
            peer->field[peer->field_size] = data[i];
        }
    }
    return 0;
}

/* A value that does not fit its buffer counts as missing. */
static int
on_value(void *context, const char *data, size_t size)
{
    struct peer *peer = context;
    if (!peer->is_value) {
        peer->is_value = 1;
        peer->value_size = 0;
        peer->target = NULL;
        if (peer->field_size < FIELD_SIZE && !peer->has_head) {
            peer->field[peer->field_size] = '\0';
            peer->target = find_target(peer->httpd, &get_conn(peer)->request,
                                       peer->field);
        }
        if (peer->target) {
            peer->target[0] = '\0';
        }
    }
    if (!peer->target) {
        return 0;
    }
    if (peer->value_size + size >= HS_HEADER_SIZE) {
        peer->target[0] = '\0';
        peer->target = NULL;
        return 0;
    }
    memcpy(peer->target + peer->value_size, data, size);
    peer->value_size += size;
    peer->target[peer->value_size] = '\0';
    return 0;
}

static enum hs_method
read_method(const char *name)
{
    static const struct {
        const char *name;
        enum hs_method method;
    } methods[] = {
        {"GET", HS_GET},
        {"POST", HS_POST},
        {"PUT", HS_PUT},
        {"DELETE", HS_DELETE},
    };
    for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
        if (strcmp(methods[i].name, name) == 0) {
            return methods[i].method;
        }
    }
    return HS_OTHER;
}

/* Leaves the token of "Bearer TOKEN". */
static void
read_token(char *value)
{
    static const char scheme[] = "Bearer ";
    if (strncasecmp(value, scheme, sizeof(scheme) - 1) == 0) {
        memmove(value, value + sizeof(scheme) - 1,
                strlen(value + sizeof(scheme) - 1) + 1);
    }
    else {
        value[0] = '\0';
    }
}

static int
on_head(void *context, const char *method, uint64_t length)
{
    struct peer *peer = context;
    struct conn *conn = get_conn(peer);
    peer->has_head = 1;
    conn->received_us = Loop_Now().us;
    conn->request.method = read_method(method);
    read_token(conn->request.token);
    if (split_url(&conn->request)) {
        return -1;
    }
    if (length != HQ_NO_LENGTH) {
        Hsi_SetLength(peer->httpd, conn, length);
    }
    lws_set_timeout(peer->wsi, PENDING_TIMEOUT_HTTP_CONTENT,
                    HSI_BODY_TIMEOUT_S);
    return 0;
}

static int
on_body(void *context, const char *data, size_t size)
{
    struct peer *peer = context;
    lws_set_timeout(peer->wsi, PENDING_TIMEOUT_HTTP_CONTENT,
                    HSI_BODY_TIMEOUT_S);
    Hsi_AddBody(peer->httpd, get_conn(peer), data, size);
    return 0;
}

static int
on_complete(void *context, int is_last)
{
    struct peer *peer = context;
    peer->is_complete = 1;
    peer->is_last = (uint8_t)is_last;
    return 0;
}

static const struct hq_events events = {
    .begin = on_begin,
    .url = on_url,
    .field = on_field,
    .value = on_value,
    .head = on_head,
    .body = on_body,
    .complete = on_complete,
};

/* Keeps what was read after the end of the request in progress. */
static int
keep_ahead(struct peer *peer, const unsigned char *data, size_t size)
{
    struct intake *intake = &peer->httpd->loop->intake;
    if (size == 0) {
        return 0;
    }
    if (Intake_Reserve(intake, &peer->item, size)) {
        return -1;
    }
    unsigned char *ahead = realloc(peer->ahead, peer->ahead_size + size);
    if (!ahead) {
        return -1;
    }
    memcpy(ahead + peer->ahead_size, data, size);
    peer->ahead = ahead;
    peer->ahead_size += size;
    if (peer->ahead_size >= MAX_AHEAD && !peer->is_paused) {
        peer->is_paused = 1;
        lws_rx_flow_control(peer->wsi, 0);
    }
    return 0;
}

/* Refuses what is not HTTP. */
static int
on_invalid(struct peer *peer)
{
    struct conn *conn = get_conn(peer);
    peer->drops_input = 1;
    if (!conn) {
        return -1;
    }
    Hsi_Refuse(peer->httpd, conn, CODE_BAD_HTTP);
    return 0;
}

/* Reads up to the end of a request, and calls its handler. Returns -1 if the
 * connection is to be closed. */
static int
read_request(struct peer *peer, const unsigned char *data, size_t size)
{
    if (peer->is_closing || peer->drops_input) {
        return 0;
    }
    if (peer->is_complete) {
        return keep_ahead(peer, data, size);
    }
    size_t used = Hq_Read(&peer->reader, data, size);
    if (peer->reader.is_invalid) {
        return on_invalid(peer);
    }
    const struct conn *conn = get_conn(peer);
    if (conn && conn->is_refused) {
        peer->drops_input = 1;
        return Hsi_Dispatch(peer->httpd, &peer->conn);
    }
    if (!peer->is_complete) {
        return 0;
    }
    lws_set_timeout(peer->wsi, NO_PENDING_TIMEOUT, 0);
    if (Hsi_Dispatch(peer->httpd, &peer->conn)) {
        return -1;
    }
    return keep_ahead(peer, data + used, size - used);
}

static int
write_raw(const struct peer *peer, unsigned char *data, size_t size)
{
    return lws_write(peer->wsi, data, size, LWS_WRITE_RAW) < 0 ? -1 : 0;
}

static int
send_tls(struct peer *peer)
{
    unsigned char data[LWS_PRE + 2 * TLS_PIECE];
    size_t size;
    while ((size = Tls_TakeOutput(&peer->tls, data + LWS_PRE,
                                  sizeof(data) - LWS_PRE))) {
        if (write_raw(peer, data + LWS_PRE, size)) {
            return -1;
        }
    }
    return 0;
}

/* LWS_PRE bytes before `data` may be overwritten. */
static int
send_bytes(struct peer *peer, unsigned char *data, size_t size)
{
    if (!peer->tls.ssl) {
        return write_raw(peer, data, size);
    }
    for (size_t sent = 0; sent < size; sent += TLS_PIECE) {
        size_t left = size - sent;
        if (Tls_Write(&peer->tls, data + sent,
                      left < TLS_PIECE ? left : TLS_PIECE) ||
            send_tls(peer)) {
            return -1;
        }
    }
    return 0;
}

/* Ends the connection: the client can read its last answer, and then gets the
 * end of the stream. */
static void
close_gracefully(struct peer *peer)
{
    peer->is_closing = 1;
    if (peer->tls.ssl) {
        Tls_Shutdown(&peer->tls);
        send_tls(peer);
    }
    shutdown(lws_get_socket_fd(peer->wsi), SHUT_WR);
    Hsi_WaitForClient(peer->httpd, peer->wsi, &peer->item, LINGER_S);
}

/* Reads what has been decrypted. A paused connection keeps the rest until that
 * is read. */
static int
read_decrypted(struct peer *peer)
{
    unsigned char data[TLS_PIECE];
    int got = 0;
    while (!peer->is_paused &&
           (got = Tls_Read(&peer->tls, data, sizeof(data))) > 0) {
        if (read_request(peer, data, (size_t)got)) {
            return -1;
        }
    }
    return got < 0 ? -1 : 0;
}

/* Passes on one piece of what was received. */
static int
decrypt(struct peer *peer, const unsigned char *data, size_t size)
{
    int was_ready = Tls_IsReady(&peer->tls);
    int status = Tls_OnReceived(&peer->tls, data, size);
    if (!was_ready && Tls_IsReady(&peer->tls)) {
        lws_set_timeout(peer->wsi, PENDING_TIMEOUT_USER_OK, HEAD_TIMEOUT_S);
    }
    if (status == 0) {
        status = read_decrypted(peer);
    }
    if (Intake_SetHeld(&peer->httpd->loop->intake, &peer->item,
                       (uint64_t)peer->tls.bytes)) {
        CTR_INC(peer->httpd->counters, connections_refused);
        status = -1;
    }
    return status;
}

static int
read_tls(struct peer *peer, const unsigned char *data, size_t size)
{
    int status = 0;
    for (size_t used = 0; used < size && status == 0; used += TLS_PIECE) {
        size_t left = size - used;
        status =
            decrypt(peer, data + used, left < TLS_PIECE ? left : TLS_PIECE);
    }
    /* A failure may have left an alert. */
    return send_tls(peer) ? -1 : status;
}

static int
read_ahead(struct peer *peer)
{
    unsigned char *data = peer->ahead;
    size_t size = peer->ahead_size;
    peer->ahead = NULL;
    peer->ahead_size = 0;
    Intake_Release(&peer->httpd->loop->intake, &peer->item);
    int status = size ? read_request(peer, data, size) : 0;
    free(data);
    if (status == 0 && peer->is_paused && peer->ahead_size < MAX_AHEAD) {
        peer->is_paused = 0;
        lws_rx_flow_control(peer->wsi, 1);
        status = peer->tls.ssl ? read_decrypted(peer) : 0;
    }
    return status;
}

/* The answer has been written. */
static int
next_request(struct peer *peer)
{
    struct httpd *httpd = peer->httpd;
    int must_close = Hsi_Complete(httpd, &peer->conn);
    peer->is_complete = 0;
    if (must_close || peer->is_last || peer->drops_input) {
        close_gracefully(peer);
        return 0;
    }
    Hq_Resume(&peer->reader);
    Hsi_WaitForClient(peer->httpd, peer->wsi, &peer->item, IDLE_TIMEOUT_S);
    return read_ahead(peer);
}

static int
write_head(const struct peer *peer, const struct conn *conn, char *out,
           size_t size)
{
    char retry[32] = "";
    int closes =
        conn->is_refused || peer->is_last || peer->httpd->close_after_reply;
    if (conn->retry_after_s) {
        snprintf(retry, sizeof(retry), "Retry-After: %u\r\n",
                 conn->retry_after_s);
    }
    int used = snprintf(
        out, size,
        "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
        "%s%s\r\n",
        conn->status, Hq_StatusText(conn->status), conn->type,
        conn->reply_size, retry, closes ? "Connection: close\r\n" : "");
    return used > 0 && (size_t)used < size ? used : -1;
}

/* Sends a short body with the headers: one write makes one packet and does not
 * wait for the next iteration of the loop. */
static int
send_head(struct peer *peer, struct conn *conn)
{
    unsigned char buffer[LWS_PRE + HSI_MAX_HEADER_SIZE + HSI_MAX_INLINE_BODY];
    int used =
        write_head(peer, conn, (char *)buffer + LWS_PRE, HSI_MAX_HEADER_SIZE);
    if (used < 0) {
        return -1;
    }
    size_t size = (size_t)used;
    conn->headers_sent = 1;
    if (conn->reply_size <= HSI_MAX_INLINE_BODY) {
        memcpy(buffer + LWS_PRE + size, conn->reply + LWS_PRE,
               conn->reply_size);
        size += conn->reply_size;
        conn->reply_size = 0;
    }
    return send_bytes(peer, buffer + LWS_PRE, size);
}

/* Sends as much of the body as the socket takes, so that libwebsockets keeps
 * one piece at most for a client that does not read. */
static int
send_body(struct peer *peer, struct conn *conn)
{
    while (conn->reply_size && !lws_partial_buffered(peer->wsi)) {
        size_t size =
            conn->reply_size < SEND_PIECE ? conn->reply_size : SEND_PIECE;
        if (send_bytes(peer, conn->reply + LWS_PRE + conn->reply_sent, size)) {
            return -1;
        }
        conn->reply_sent += size;
        conn->reply_size -= size;
    }
    return 0;
}

/* Called when libwebsockets has sent all that it was given. */
static int
on_writable(struct peer *peer)
{
    struct conn *conn = get_conn(peer);
    if (!conn || !conn->reply) {
        return 0;
    }
    if ((!conn->headers_sent && send_head(peer, conn)) ||
        send_body(peer, conn)) {
        return -1;
    }
    if (conn->reply_size || lws_partial_buffered(peer->wsi)) {
        Hsi_WaitForClient(peer->httpd, peer->wsi, &peer->item,
                          HSI_ANSWER_TIMEOUT_S);
        lws_callback_on_writable(peer->wsi);
        return 0;
    }
    return next_request(peer);
}

static int
add_to_budget(struct peer *peer)
{
    struct intake *intake = &peer->httpd->loop->intake;
    if (peer->httpd->tls && Tls_Accept(&peer->tls, peer->httpd->tls)) {
        return -1;
    }
    if (Intake_Add(intake, &peer->item)) {
        return -1;
    }
    if (Intake_SetHeld(intake, &peer->item, (uint64_t)peer->tls.bytes)) {
        Intake_Remove(intake, &peer->item);
        return -1;
    }
    return 0;
}

static int
on_open(struct httpd *httpd, struct lws *wsi, struct session *session)
{
    struct peer *peer = calloc(1, sizeof(*peer));
    if (!peer) {
        return -1;
    }
    if (Hq_Init(&peer->reader, &events, peer)) {
        free(peer);
        return -1;
    }
    peer->wsi = wsi;
    peer->httpd = httpd;
    peer->item.evict = evict;
    if (add_to_budget(peer)) {
        CTR_INC(httpd->counters, connections_refused);
        Tls_Finish(&peer->tls);
        Hq_Finish(&peer->reader);
        free(peer);
        return -1;
    }
    session->peer = peer;
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK,
                    httpd->tls ? HANDSHAKE_TIMEOUT_S : HEAD_TIMEOUT_S);
    return 0;
}

static void
on_close(struct httpd *httpd, struct session *session)
{
    struct peer *peer = session->peer;
    if (!peer) {
        return;
    }
    session->peer = NULL;
    if (peer->is_complete) {
        Hsi_NotifyClosed(httpd, peer->conn);
    }
    Hsi_Drop(httpd, &peer->conn);
    if (!peer->is_evicted) {
        Intake_Remove(&httpd->loop->intake, &peer->item);
    }
    Tls_Finish(&peer->tls);
    Hq_Finish(&peer->reader);
    free(peer->ahead);
    free(peer);
}

static int
on_received(struct peer *peer, const unsigned char *data, size_t size)
{
    if (peer->is_evicted) {
        return -1;
    }
    return peer->tls.ssl ? read_tls(peer, data, size)
                         : read_request(peer, data, size);
}

static int
callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
         void *in, size_t len)
{
    struct lws_vhost *vhost = lws_get_vhost(wsi);
    struct httpd *httpd = vhost ? lws_get_vhost_user(vhost) : NULL;
    struct session *session = user;
    if (!httpd) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT:
        return on_open(httpd, wsi, session);
    case LWS_CALLBACK_RAW_RX:
        return session->peer ? on_received(session->peer, in, len) : -1;
    case LWS_CALLBACK_RAW_WRITEABLE:
        return session->peer ? on_writable(session->peer) : -1;
    case LWS_CALLBACK_RAW_CLOSE:
        if (session) {
            on_close(httpd, session);
        }
        return 0;
    default:
        return 0;
    }
}

const struct lws_protocols hsi_protocols[] = {
    {"http", callback, sizeof(struct session), 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};
