/** @file
 * Idempotency keys. An entry issues them; the key alone tells which range it
 * belongs to, which registry the issuer knew, and how old it is. */
#ifndef WIRE_KEY_H
#define WIRE_KEY_H

#include <stdint.h>

#include "base/err.h"

/** Bytes of the secret that all our processes share. */
#define KEY_SECRET_SIZE 32
/** Bytes of a key's signature. */
#define KEY_MAC_SIZE 16
/** Bytes of a key before its text form. */
#define KEY_RAW_SIZE 40
/** Room for a key's text with its terminator. */
#define KEY_TEXT_SIZE 56

/** Secret shared by our processes. */
struct key_secret {
    unsigned char bytes[KEY_SECRET_SIZE];
};

/** An idempotency key. */
struct key {
    uint64_t issuer;           /**< Number of the range of keys. */
    uint64_t registry_version; /**< Registry version that the issuer knew. */
    uint32_t seq;              /**< Number within the range. */
    uint32_t issued_s;         /**< Time of issue, seconds since 1970. */
};

/** Derive the secret from a passphrase of the settings. */
void Key_Derive(struct key_secret *secret, const char *passphrase);

/** Text form of a signed key: a "k", then 54 characters of base64url. */
void Key_Format(const struct key *key, const struct key_secret *secret,
                char text[KEY_TEXT_SIZE]);

/** Read a key's text; CODE_BAD_KEY when it was not signed by `secret`. */
int Key_Parse(struct key *key, const struct key_secret *secret,
              const char *text, struct err *err);

/** True when both name the same key. */
static inline int
Key_Equal(const struct key *a, const struct key *b)
{
    return a->issuer == b->issuer && a->seq == b->seq &&
           a->registry_version == b->registry_version &&
           a->issued_s == b->issued_s;
}

#endif
