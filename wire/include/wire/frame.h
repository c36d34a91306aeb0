/** @file
 * Frames: signed batches of messages in MessagePack.
 *
 * A frame consists of a signature of KEY_MAC_SIZE bytes, a header and the
 * messages. The header is one array: version, sender, receiver, role, node,
 * address, data centre. Each message is one array that begins with its type.
 */
#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <msgpack.h>
#include <stddef.h>

#include "base/err.h"
#include "wire/msg.h"

/** Largest frame that a receiver accepts, in bytes. */
#define FRAME_MAX_SIZE (8u << 20)

/** A frame being encoded. */
struct frame_out {
    msgpack_sbuffer buffer;
    uint32_t count; /**< Messages added. */
};

/** Begin a frame with its header. Release it with Frame_Finish(). */
void Frame_Init(struct frame_out *frame, const struct frame_header *header);

/** Free the buffer of a frame. */
void Frame_Finish(struct frame_out *frame);

/** Encode a message and append it to the frame. */
void Frame_Add(struct frame_out *frame, const struct msg *msg);

/** Sign the frame. Its buffer is then ready to be sent; no more messages may
 * be added. */
void Frame_Sign(struct frame_out *frame, const struct key_secret *secret);

/** Called for each message of a decoded frame. All pointers, also those within
 * the message, are valid only during the call. */
typedef void frame_visit(void *context, const struct frame_header *header,
                         const struct msg *msg);

/** Check the signature of a frame and decode it, then call `visit` for each
 * message in order. `visit` is not called at all unless the whole frame is
 * well formed. Returns 0, or -1 with `err` set to CODE_BAD_MAC,
 * CODE_BAD_VERSION, CODE_BAD_FRAME or CODE_NO_MEMORY. */
int Frame_Decode(const void *data, size_t size,
                 const struct key_secret *secret, frame_visit *visit,
                 void *context, struct err *err);

#endif
