/* Fuzzes the frame decoder. If bit 0 of the first byte is set, the rest of the
 * input gets a valid signature and reaches the decoder behind the signature
 * check; otherwise the signature is all zeros and only the check is reached.
 * Decoded messages are encoded again. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "wire/frame.h"

static void
encode_message(void *context, const struct frame_header *header,
               const struct msg *msg)
{
    struct frame_out *out = context;
    (void)header;
    Frame_Add(out, msg);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct key_secret secret = {{1}};
    struct frame_header header = {.from = 1, .role = ROLE_ENTRY};
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
    Frame_Init(&out, &header);
    Frame_Decode(bytes, length, &secret, encode_message, &out, &err);
    Frame_Finish(&out);
    free(bytes);
    return 0;
}
