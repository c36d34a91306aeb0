/** @file
 * HTTP/1.1 server on libwebsockets. A request is handed over whole; its
 * answer may come at any later time. */
#ifndef SHELL_HTTPD_H
#define SHELL_HTTPD_H

#include "base/counter.h"
#include "base/tab.h"
#include "core/act.h"
#include "shell/loop.h"

/** Largest body of a request. */
#define HS_MAX_BODY (16u << 20)
/** Room for a path with its query. */
#define HS_PATH_SIZE 256
/** Room for a header that is handed over. */
#define HS_HEADER_SIZE 128
/** Bytes that a handler may keep with a connection. */
#define HS_USER_SIZE 40

/** Methods that are handed over. */
enum hs_method { HS_GET, HS_POST, HS_PUT, HS_DELETE, HS_OTHER };

/** A whole request; valid only in the handler's call. */
struct hs_request {
    conn_id conn;
    enum hs_method method;
    char path[HS_PATH_SIZE];
    char query[HS_PATH_SIZE];
    char key[HS_HEADER_SIZE];   /**< Header Idempotency-Key, or "". */
    char token[HS_HEADER_SIZE]; /**< Bearer token, or "". */
    char host[HS_HEADER_SIZE];  /**< Header Host, or "". */
    char extra[HS_HEADER_SIZE]; /**< The server's extra header, or "". */
    struct bytes body;
};

/** Called for each request. */
typedef void hs_handler(void *context, const struct hs_request *request);

/** Called when an answer has been written to its connection. */
typedef void hs_sent(void *context, conn_id conn, const void *user);

/** Called when a connection closes before its request was answered. */
typedef void hs_closed(void *context, conn_id conn, const void *user);

/** The server. */
struct httpd {
    struct loop *loop;
    char listen[HS_HEADER_SIZE]; /**< Address without the port. */
    const char *extra;     /**< Name of a header that is handed over, ending in
                                ":"; NULL for none. */
    uint32_t max_body;     /**< Largest body, HS_MAX_BODY at first. */
    int close_after_reply; /**< Each answer closes its connection. */
    uint32_t server_id; /**< Tells this server's connections from others'. */
    hs_closed *closed;  /**< NULL for none. */
    struct lws_vhost *vhost;
    struct tab conns;
    hs_handler *handler;
    hs_sent *sent;
    void *context;
    struct counters *counters;
};

/** An answer. */
struct hs_reply {
    int status;
    const char *type; /**< Content type. */
    struct bytes body;
    uint32_t retry_after_s; /**< 0 for no such header. */
};

/** Listen on "ip:port". `tls_cert` and `tls_key` are files or NULL. */
int Hs_Init(struct httpd *httpd, struct loop *loop, const char *addr,
            const char *tls_cert, const char *tls_key, hs_handler *handler,
            hs_sent *sent, void *context, struct counters *counters,
            struct err *err);

/** True when a connection is one of this server's. */
int Hs_OwnsConn(const struct httpd *httpd, conn_id conn);

/** Free it, after the loop. */
void Hs_Finish(struct httpd *httpd);

/** Keep up to HS_USER_SIZE bytes with a connection for `sent`. */
void Hs_SetUser(struct httpd *httpd, conn_id conn, const void *user,
                size_t size);

/** Give back what was kept, and when the request came in. Returns -1 when the
 * connection is gone. */
int Hs_GetUser(const struct httpd *httpd, conn_id conn, void *user,
               size_t size, uint64_t *since_us);

/** Answer a request. Returns -1 when its connection is gone. */
int Hs_Reply(struct httpd *httpd, conn_id conn, const struct hs_reply *reply);

/** Answer with a JSON text. */
int Hs_ReplyJson(struct httpd *httpd, conn_id conn, int status,
                 const char *json);

/** Split "ip:port". Returns -1 when it is not one. */
int Hs_SplitAddr(const char *addr, char *host, size_t size, int *port);

#endif
