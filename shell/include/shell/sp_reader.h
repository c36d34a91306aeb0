/** @file
 * Incremental reader of what a PUSH socket of nng sends over TCP: a header of
 * 8 bytes, then messages, each behind its length in 8 bytes. */
#ifndef SHELL_SP_READER_H
#define SHELL_SP_READER_H

#include <stddef.h>
#include <stdint.h>

/** Bytes of the header that each side sends first. */
#define SP_HEADER_SIZE 8

/** The header of a PULL socket, which answers a PUSH socket's. */
extern const unsigned char sp_pull_header[SP_HEADER_SIZE];

/** What is read next. */
enum sp_state {
    SP_HEADER,
    SP_LENGTH,
    SP_MESSAGE,
    SP_INVALID /**< No header of a PUSH socket, a message that is larger than
                    allowed, or no memory. Nothing more can be read. */
};

/** A reader of one connection. */
struct sp_reader {
    enum sp_state state;
    size_t max_size;              /**< Of a message. */
    unsigned char head[8];        /**< Header or length that is being read. */
    size_t head_size;             /**< Bytes of it. */
    size_t size;                  /**< Of the message that is being read. */
    unsigned char *buffer;        /**< What has been read of it. */
    size_t used;                  /**< Bytes in the buffer. */
    size_t room;                  /**< Size of the buffer. */
    int is_complete;              /**< A message has been read. */
    const unsigned char *message; /**< That message. */
    size_t message_size;
};

/** Initialise a reader of messages up to `max_size` bytes. */
void Sp_Init(struct sp_reader *reader, size_t max_size);

/** Free the buffer. */
void Sp_Finish(struct sp_reader *reader);

/** Free the complete message, which is in `data` of Sp_Read() or the buffer.
 * To be called before the next Sp_Read(). */
void Sp_DropMessage(struct sp_reader *reader);

/** Read `size` bytes at `data`, up to the end of a message. Returns the number
 * of bytes used; `is_complete` says whether it was reached. The buffer grows
 * with what has been read, not with the length that was announced. */
size_t Sp_Read(struct sp_reader *reader, const void *data, size_t size);

#endif
