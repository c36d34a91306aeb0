/** @file
 * HTTP/1.1 server on libwebsockets. The handler gets each request with its
 * complete body and may answer it at any later time. */
#ifndef SHELL_HTTPD_H
#define SHELL_HTTPD_H

#include "base/counter.h"
#include "base/tab.h"
#include "core/act.h"
#include "shell/loop.h"
#include "shell/tls.h"

/** Default limit of a request's body, in bytes. */
#define HS_MAX_BODY (16u << 20)
/** Size of the buffers for a path and for a query string. */
#define HS_PATH_SIZE 2048
/** Size of the buffer for a header's value. A host name has up to 253 bytes,
 * and a port may follow. */
#define HS_HEADER_SIZE 272
/** Bytes of user data that a handler may attach to a connection. */
#define HS_USER_SIZE 40

/** Request methods. */
enum hs_method { HS_GET, HS_POST, HS_PUT, HS_DELETE, HS_OTHER };

/** A request with its complete body; valid only during the handler's call. */
struct hs_request {
    conn_id conn;
    enum hs_method method;
    char path[HS_PATH_SIZE];
    char query[HS_PATH_SIZE];
    char key[HS_HEADER_SIZE];         /**< Value of Idempotency-Key, or "". */
    char token[HS_HEADER_SIZE];       /**< Bearer token, or "". */
    char host[HS_HEADER_SIZE];        /**< Value of Host, or "". */
    char extra_value[HS_HEADER_SIZE]; /**< Value of httpd.extra_name, or "". */
    struct bytes body;
};

/** Called for each request whose body is within the limit and, unless
 * httpd.handle_abandoned is set, whose client had not closed or reset the
 * connection before the call. A client that has ended its stream counts as one
 * that has left, even if it still reads. */
typedef void hs_handler(void *context, const struct hs_request *request);

/** Called when an answer has been written to its connection. `user` points to
 * the HS_USER_SIZE bytes of user data. */
typedef void hs_sent(void *context, conn_id conn, const void *user);

/** Called when a connection closes before Hs_Reply() was called for its
 * request. `user` points to the HS_USER_SIZE bytes of user data. */
typedef void hs_closed(void *context, conn_id conn, const void *user);

/** An HTTP server on one address. The members from `extra_name` to `closed`
 * may be set after Hs_Init(). */
struct httpd {
    struct loop *loop;
    char listen[HS_HEADER_SIZE]; /**< Address without the port. */
    const char *extra_name; /**< Lower-case name, ending in ":", of the header
                            for hs_request.extra_value; NULL for none. */
    uint32_t max_body;      /**< Limit of a request's body in bytes, at first
                                 HS_MAX_BODY. Larger ones are answered 413. */
    int close_after_reply;  /**< Each answer closes its connection. */
    int handle_abandoned;   /**< Requests of clients that have left are handled
                                 too: for requests that report something and
                                 order nothing. */
    uint32_t server_id;     /**< 0 to 7, unique among the servers of a process;
                                 part of each connection's identifier. */
    hs_closed *closed;      /**< NULL for none. */
    struct lws_vhost *vhost;
    SSL_CTX *tls; /**< NULL without TLS. */
    struct tab conns;
    hs_handler *handler;
    hs_sent *sent;
    void *context;
    struct counters *counters;
    uint32_t refusals; /**< Refused before they were read, since the latest log
                            line about them. */
    uint64_t refusal_logged_us; /**< When that line was written. */
};

/** An answer to a request. */
struct hs_reply {
    int status;
    const char *type; /**< Content type. */
    struct bytes body;
    uint32_t retry_after_s; /**< 0 for no such header. */
};

/** Listen on "ip:port". `tls_cert` and `tls_key` are file names, both NULL for
 * plain HTTP; `sent` may be NULL. Errors: CODE_BAD_SETTING for an invalid
 * address, CODE_NO_MEMORY, CODE_SYSTEM when the server cannot listen. */
int Hs_Init(struct httpd *httpd, struct loop *loop, const char *addr,
            const char *tls_cert, const char *tls_key, hs_handler *handler,
            hs_sent *sent, void *context, struct counters *counters,
            struct err *err);

/** True if `conn` was issued by this server, whether or not it is still
 * open. */
int Hs_OwnsConn(const struct httpd *httpd, conn_id conn);

/** Free the server, after Loop_Finish(). */
void Hs_Finish(struct httpd *httpd);

/** Close the connections with unanswered requests whose clients have left, and
 * call httpd.closed for each. The loop does the same, but an iteration that
 * begins late may handle other events first. */
void Hs_DropLeft(struct httpd *httpd);

/** Attach a copy of `size` bytes of user data, at most HS_USER_SIZE, to a
 * connection. Does nothing when the connection is closed. */
void Hs_SetUser(struct httpd *httpd, conn_id conn, const void *user,
                size_t size);

/** Copy `size` bytes of a connection's user data to `user`, and the time at
 * which the request's headers arrived to `since_us`. Returns -1 when the
 * connection is closed. */
int Hs_GetUser(const struct httpd *httpd, conn_id conn, void *user,
               size_t size, uint64_t *since_us);

/** Answer a request; the body is copied. Returns -1 when the connection is
 * closed, the request is already answered or memory is exhausted. */
int Hs_Reply(struct httpd *httpd, conn_id conn, const struct hs_reply *reply);

/** Answer a request with a JSON text, which is copied. Returns -1 as
 * Hs_Reply() does. */
int Hs_ReplyJson(struct httpd *httpd, conn_id conn, int status,
                 const char *json);

#endif
