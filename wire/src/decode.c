#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "scan.h"
#include "unpack.h"

void *
Unpk_AllocArray(struct arena *arena, size_t count, size_t size)
{
    if (arena->count == arena->capacity) {
        uint32_t capacity = arena->capacity ? 2 * arena->capacity : 8;
        void **blocks = realloc(arena->blocks, capacity * sizeof(void *));
        if (!blocks) {
            return NULL;
        }
        arena->blocks = blocks;
        arena->capacity = capacity;
    }
    void *block = calloc(count ? count : 1, size);
    if (block) {
        arena->blocks[arena->count++] = block;
    }
    return block;
}

static void
arena_finish(struct arena *arena)
{
    for (uint32_t i = 0; i < arena->count; i++) {
        free(arena->blocks[i]);
    }
    free(arena->blocks);
}

/* Messages of a frame, all decoded before the first one is visited. */
struct batch {
    struct msg *items;
    uint32_t count;
    uint32_t capacity;
};

static struct msg *
batch_add(struct batch *batch)
{
    if (batch->count == batch->capacity) {
        uint32_t capacity = batch->capacity ? 2 * batch->capacity : 16;
        struct msg *items = realloc(batch->items, capacity * sizeof(*items));
        if (!items) {
            return NULL;
        }
        batch->items = items;
        batch->capacity = capacity;
    }
    return &batch->items[batch->count++];
}

static int
decode_body(const char *data, size_t size, msgpack_zone *zone,
            struct frame_header *header, struct batch *batch,
            struct arena *arena, struct err *err)
{
    size_t offset = 0;
    int first = 1;
    while (offset < size) {
        msgpack_object object;
        msgpack_unpack_return result =
            msgpack_unpack(data, size, &offset, zone, &object);
        if (result != MSGPACK_UNPACK_SUCCESS &&
            result != MSGPACK_UNPACK_EXTRA_BYTES) {
            return Err_Set(
                err, CODE_BAD_FRAME,
                "frame is truncated or not MessagePack: %zu bytes after "
                "the signature",
                size);
        }
        if (first) {
            first = 0;
            if (Unpk_Header(&object, header, err)) {
                return -1;
            }
            continue;
        }
        struct msg *msg = batch_add(batch);
        if (!msg || Unpk_Msg(&object, msg, arena)) {
            return Err_Set(err, CODE_BAD_FRAME,
                           "message %u of the frame cannot be decoded",
                           batch->count);
        }
    }
    return first ? Err_Set(err, CODE_BAD_FRAME, "empty") : 0;
}

static int
check_mac(const unsigned char *data, size_t size,
          const struct key_secret *secret, struct err *err)
{
    unsigned char mac[KEY_MAC_SIZE];
    if (size <= KEY_MAC_SIZE || size > FRAME_MAX_SIZE) {
        return Err_Set(err, CODE_BAD_FRAME,
                       "frame has %zu bytes, allowed are %d to %u", size,
                       KEY_MAC_SIZE + 1, FRAME_MAX_SIZE);
    }
    crypto_generichash(mac, sizeof(mac), data + KEY_MAC_SIZE,
                       size - KEY_MAC_SIZE, secret->bytes, KEY_SECRET_SIZE);
    if (sodium_memcmp(mac, data, sizeof(mac)) != 0) {
        return Err_Set(err, CODE_BAD_MAC, "frame signature does not match");
    }
    return 0;
}

int
Frame_Decode(const void *data, size_t size, const struct key_secret *secret,
             frame_visit *visit, void *context, struct err *err)
{
    struct frame_header header;
    struct batch batch = {0};
    struct arena arena = {0};
    msgpack_zone zone;
    if (check_mac(data, size, secret, err)) {
        return -1;
    }
    if (Scan_CheckSizes((const unsigned char *)data + KEY_MAC_SIZE,
                        size - KEY_MAC_SIZE)) {
        return Err_Set(
            err, CODE_BAD_FRAME,
            "frame declares sizes beyond its %zu bytes, or has a type "
            "that no message uses",
            size);
    }
    if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE)) {
        return Err_Set(err, CODE_NO_MEMORY, "out of memory decoding a frame");
    }
    int status =
        decode_body((const char *)data + KEY_MAC_SIZE, size - KEY_MAC_SIZE,
                    &zone, &header, &batch, &arena, err);
    for (uint32_t i = 0; status == 0 && i < batch.count; i++) {
        visit(context, &header, &batch.items[i]);
    }
    msgpack_zone_destroy(&zone);
    arena_finish(&arena);
    free(batch.items);
    return status;
}
