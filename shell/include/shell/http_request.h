/** @file
 * Incremental reader of HTTP/1.1 requests on http-parser, whose header cannot
 * be included beside that of libwebsockets. */
#ifndef SHELL_HTTP_REQUEST_H
#define SHELL_HTTP_REQUEST_H

#include <stddef.h>
#include <stdint.h>

/** Bytes of all headers of a request. */
#define HQ_MAX_HEAD 16384

/** The length of a body whose headers do not tell it, as a chunked one's. */
#define HQ_NO_LENGTH UINT64_MAX

/** Called for the parts of a request in their order. `url`, `field`, `value`
 * and `body` may be called several times for parts of the same text. A result
 * other than 0 makes the request invalid. */
struct hq_events {
    int (*begin)(void *context);
    int (*url)(void *context, const char *data, size_t size);
    int (*field)(void *context, const char *data, size_t size);
    int (*value)(void *context, const char *data, size_t size);
    /** The head is complete. `method` is its name in capitals. */
    int (*head)(void *context, const char *method, uint64_t length);
    int (*body)(void *context, const char *data, size_t size);
    /** The request is complete. `is_last` if the client asks to close the
     * connection after the answer. */
    int (*complete)(void *context, int is_last);
};

struct http_parser;

/** A reader of the requests of one connection. */
struct hq_reader {
    struct http_parser *parser;
    const struct hq_events *events;
    void *context;
    int is_invalid; /**< What was read is not HTTP/1, or a limit was exceeded.
                         Nothing more can be read. */
};

/** Initialise the reader. Returns -1 if there is no memory. */
int Hq_Init(struct hq_reader *reader, const struct hq_events *events,
            void *context);

/** Free the reader. */
void Hq_Finish(struct hq_reader *reader);

/** Read `size` bytes at `data`, up to the end of a request. Returns the number
 * of bytes used. After a complete request nothing is read until
 * Hq_Resume(). */
size_t Hq_Read(struct hq_reader *reader, const void *data, size_t size);

/** Continue with the next request. */
void Hq_Resume(struct hq_reader *reader);

/** The text of an HTTP status, such as "OK" for 200. */
const char *Hq_StatusText(int status);

#endif
