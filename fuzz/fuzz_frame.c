/* Frames. The first byte says whether the rest is signed here, so that both
 * the signature check and the decoder behind it are met. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "wire/frame.h"

static void
visit(void *context, const struct frame_header *head, const struct msg *msg)
{
    struct frame_out *out = context;
    (void)head;
    Frame_Add(out, msg);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct key_secret secret = {{1}};
    struct frame_header head = {.from = 1, .role = ROLE_ENTRY};
    struct frame_out out;
    struct err err = {0};
    if (size < 1) {
        return 0;
    }
    size_t length = KEY_MAC_SIZE + size - 1;
    unsigned char *bytes = calloc(1, length);
    if (!bytes) {
        return 0;
    }
    memcpy(bytes + KEY_MAC_SIZE, data + 1, size - 1);
    if (data[0] & 1) {
        crypto_generichash(bytes, KEY_MAC_SIZE, data + 1, size - 1,
                           secret.bytes, KEY_SECRET_SIZE);
    }
    Frame_Init(&out, &head);
    Frame_Decode(bytes, length, &secret, visit, &out, &err);
    Frame_Finish(&out);
    free(bytes);
    return 0;
}
