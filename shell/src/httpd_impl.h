/* Internals of the HTTP server. httpd.c has the requests in progress,
 * httpd_conn.c the connections. */
#ifndef SHELL_HTTPD_IMPL_H
#define SHELL_HTTPD_IMPL_H

#include "shell/httpd.h"

/* Longest body, in bytes, that is sent in one write with the headers: a few
 * times the usual answer. */
#define HSI_MAX_INLINE_BODY 512
#define HSI_MAX_HEADER_SIZE 1024
/* Time without a byte of an unfinished body after which a connection is
 * closed. */
#define HSI_BODY_TIMEOUT_S 30
/* Time without progress in which a client has to read a part of its answer. */
#define HSI_ANSWER_TIMEOUT_S 30

/* A connection with a request in progress. */
struct conn {
    struct tab_row row;
    struct lws *wsi;
    struct hs_request request;
    struct intake_item *item; /* Of the connection. */
    struct httpd *httpd;
    unsigned char *body;
    size_t body_size;
    size_t body_capacity;
    size_t body_declared; /* Its length by the header, 0 if unknown. */
    unsigned char *reply; /* LWS_PRE bytes, then the body. */
    size_t reply_size;    /* Bytes of the body that have not been sent. */
    size_t reply_sent;
    int status;
    char type[48];
    uint32_t retry_after_s;
    int headers_sent;
    int is_refused; /* Answered before it was read: the rest is dropped, and
                       the connection is closed after the answer. */
    int has_left;   /* httpd.closed has been called. */
    uint64_t received_us; /* When the request's headers arrived. */
    unsigned char user[HS_USER_SIZE];
};

/* Adds a request whose headers arrive now. Returns NULL if there is no
 * memory. */
struct conn *Hsi_Begin(struct httpd *httpd, struct lws *wsi);

/* Frees the request with this handle and sets the handle to 0. */
void Hsi_Drop(struct httpd *httpd, tab_handle *handle);

/* Checks the length that the headers declare. A request that is too long is
 * refused. */
void Hsi_SetLength(struct httpd *httpd, struct conn *conn, uint64_t size);

/* Appends to the body, unless the request is refused or has to be. */
void Hsi_AddBody(struct httpd *httpd, struct conn *conn, const void *data,
                 size_t size);

/* Answers a request that has not been read completely, with a code of
 * CODE_NOT_RUN. */
void Hsi_Refuse(struct httpd *httpd, struct conn *conn, enum code code);

/* Calls the handler for a complete request. Returns -1 if the connection is to
 * be closed instead, because the client has left: it has sent its request
 * elsewhere by now. */
int Hsi_Dispatch(struct httpd *httpd, tab_handle *handle);

/* Calls httpd.closed for a request whose connection is being closed. */
void Hsi_NotifyClosed(struct httpd *httpd, tab_handle handle);

/* The answer of a request has been written: calls httpd.sent and drops the
 * request. Returns 1 if the connection is to be closed. */
int Hsi_Complete(struct httpd *httpd, tab_handle *handle);

/* It is the turn of a connection's client from now on, for so many seconds at
 * most. */
void Hsi_WaitForClient(struct httpd *httpd, struct lws *wsi,
                       struct intake_item *item, int seconds);

/* Evicts a request or a connection, see intake.h. */
void Hsi_EvictConn(struct conn *conn);

/* The protocols of libwebsockets for a server. */
extern const struct lws_protocols hsi_protocols[];

#endif
