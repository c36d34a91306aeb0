/** @file
 * Frames: a signed batch of messages in MessagePack.
 *
 * A frame is a 16-byte signature, then one array: version, sender, receiver,
 * role, node, address, data centre; then the messages, one array each. */
#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <msgpack.h>
#include <stddef.h>

#include "base/err.h"
#include "wire/msg.h"

/** Most bytes in a frame that a receiver takes. */
#define FRAME_MAX_SIZE (8u << 20)

/** A frame being filled. */
struct frame_out {
    msgpack_sbuffer buffer;
    uint32_t count; /**< Messages in it. */
};

/** Begin a frame. */
void Frame_Init(struct frame_out *frame, const struct frame_header *head);

/** Free its bytes. */
void Frame_Finish(struct frame_out *frame);

/** Add one message. */
void Frame_Add(struct frame_out *frame, const struct msg *msg);

/** Sign it; the bytes are then ready to send. */
void Frame_Sign(struct frame_out *frame, const struct key_secret *secret);

/** Called for each message of a frame; pointers are valid in the call. */
typedef void frame_visit(void *context, const struct frame_header *head,
                         const struct msg *msg);

/** Check and decode a frame. Nothing is visited unless the whole frame is
 * well formed. Errors: CODE_BAD_MAC, CODE_BAD_VERSION, CODE_BAD_FRAME. */
int Frame_Decode(const void *data, size_t size,
                 const struct key_secret *secret, frame_visit *visit,
                 void *context, struct err *err);

#endif
