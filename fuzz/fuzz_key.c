/* Fuzzes the parser of the text form of keys. If bit 0 of the first byte is
 * set, the rest of the input is also taken as a struct key, which must survive
 * formatting, including signing, and parsing. */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "wire/key.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct key_secret secret = {{1}};
    struct key key = {0};
    struct key parsed;
    struct err err = {0};
    char text[2 * KEY_TEXT_SIZE] = "";
    if (size > 0 && size < sizeof(text)) {
        memcpy(text, data + 1, size - 1);
    }
    Key_Parse(&parsed, &secret, text, &err);
    if (size > sizeof(key) && data[0] & 1) {
        memcpy(&key, data + 1, sizeof(key));
        Key_Format(&key, &secret, text);
        if (Key_Parse(&parsed, &secret, text, &err) ||
            !Key_Equal(&key, &parsed)) {
            abort();
        }
    }
    return 0;
}
