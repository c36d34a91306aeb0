/** @file
 * Incremental reader of HTTP/1.1 responses (RFC 9112). Responses to HEAD and
 * changes of the protocol (101) are not supported. */
#ifndef SHELL_HTTP_REPLY_H
#define SHELL_HTTP_REPLY_H

#include <stddef.h>
#include <stdint.h>

/** Length that is kept of a line of the head; only values that are shorter are
 * used. */
#define HR_LINE_SIZE 256

/** What is read next. */
enum hr_state {
    HR_STATUS_LINE,
    HR_HEADER,
    HR_BODY,          /**< `left` bytes. */
    HR_BODY_TO_CLOSE, /**< All until the connection is closed. */
    HR_CHUNK_SIZE,
    HR_CHUNK, /**< `left` bytes. */
    HR_CHUNK_END,
    HR_TRAILER,
    HR_COMPLETE,
    HR_INVALID, /**< Not HTTP/1, or a limit was exceeded. */
};

/** A response that is being read. */
struct hr_reader {
    enum hr_state state;
    int status;        /**< Status code. */
    int is_persistent; /**< The server keeps the connection open. */
    int has_length;
    int is_chunked;
    uint64_t left;
    uint32_t head_size; /**< Bytes of the lines read, line ends included. */
    uint32_t line_size;
    char line[HR_LINE_SIZE];
    unsigned char *body;
    uint32_t body_size;
    uint32_t body_room;
};

/** Initialises the reader for one response. */
void Hr_Init(struct hr_reader *reader);

/** Frees the body. */
void Hr_Finish(struct hr_reader *reader);

/** Reads `size` bytes at `data`, up to the end of the response. Returns the
 * number of bytes used; `state` says whether the response is complete. */
size_t Hr_Read(struct hr_reader *reader, const void *data, size_t size);

/** The connection was closed. Returns 0 if the response is complete, -1 if a
 * part is missing. */
int Hr_OnClose(struct hr_reader *reader);

#endif
