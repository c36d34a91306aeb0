#include "wire/name.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Bytes of the digest, enough that two of the few thousand names of a fleet
 * hardly ever share one. */
#define DIGEST_SIZE 8
#define DIGEST_DIGITS ((size_t)2 * DIGEST_SIZE)

/* Returns the size of the longest beginning of up to `limit` bytes that does
 * not split a character of UTF-8. */
static size_t
beginning_size(const char *name, size_t limit)
{
    while (limit > 0 && ((unsigned char)name[limit] & 0xc0) == 0x80) {
        limit--;
    }
    return limit;
}

void
Name_Fit(char out[WIRE_NAME_SIZE], const char *name)
{
    unsigned char digest[crypto_generichash_BYTES_MIN];
    size_t size = strlen(name);
    memset(out, 0, WIRE_NAME_SIZE);
    if (size < WIRE_NAME_SIZE) {
        snprintf(out, WIRE_NAME_SIZE, "%s", name);
        return;
    }
    crypto_generichash(digest, sizeof(digest), (const unsigned char *)name,
                       size, NULL, 0);
    size = beginning_size(name, WIRE_NAME_SIZE - DIGEST_DIGITS - 2);
    int end = snprintf(out, WIRE_NAME_SIZE, "%.*s~", (int)size, name);
    sodium_bin2hex(out + end, DIGEST_DIGITS + 1, digest, DIGEST_SIZE);
}
