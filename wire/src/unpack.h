/** @file
 * Internals of decoding, shared by the files of the package. */
#ifndef UNPACK_H
#define UNPACK_H

#include "wire/frame.h"

/** Arrays that messages point to, freed when the frame has been visited. */
struct arena {
    void **blocks;
    uint32_t count;
    uint32_t capacity;
};

/** Memory for `count` rows of `size` bytes, NULL for lack of it. */
void *Unpk_AllocArray(struct arena *arena, size_t count, size_t size);

/** Decode one message. Returns -1 when it is not valid. */
int Unpk_Msg(const msgpack_object *object, struct msg *msg,
             struct arena *arena);

/** Decode a frame's head. CODE_BAD_VERSION, CODE_BAD_FRAME. */
int Unpk_Header(const msgpack_object *object, struct frame_header *head,
                struct err *err);

#endif
