/** @file
 * Decoding of headers and messages, internal to the wire library. */
#ifndef UNPACK_H
#define UNPACK_H

#include "wire/frame.h"

/** Allocations that decoded messages point to, freed once all messages of the
 * frame have been visited. */
struct arena {
    void **blocks;
    uint32_t count;    /**< Blocks in use. */
    uint32_t capacity; /**< Allocated elements of `blocks`. */
};

/** Allocate `count` zeroed elements of `size` bytes, owned by the arena.
 * Returns NULL if there is not enough memory. */
void *Unpk_AllocArray(struct arena *arena, size_t count, size_t size);

/** Decode one message. Its byte strings point into `object`, its arrays into
 * `arena`. Returns -1 if it is malformed. */
int Unpk_Msg(const msgpack_object *object, struct msg *msg,
             struct arena *arena);

/** Decode the header of a frame. Returns -1 with CODE_BAD_VERSION or
 * CODE_BAD_FRAME if it is not valid. */
int Unpk_Header(const msgpack_object *object, struct frame_header *header,
                struct err *err);

#endif
