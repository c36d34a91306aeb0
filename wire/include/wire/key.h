/** @file
 * Idempotency keys. Entries issue them. A key is self-contained: it holds the
 * number of the key range that it belongs to (its issuer number), the registry
 * version known to the entry that issued it and its time of issue, and is
 * signed. */
#ifndef WIRE_KEY_H
#define WIRE_KEY_H

#include <stdint.h>

#include "base/err.h"

/** Size of the secret shared by all processes of a deployment, in bytes. */
#define KEY_SECRET_SIZE 32
/** Size of the signature of a key or a frame, in bytes. */
#define KEY_MAC_SIZE 16
/** Size of the binary form of a key with its signature, in bytes. */
#define KEY_RAW_SIZE 40
/** Size of the text form of a key, including its terminator. */
#define KEY_TEXT_SIZE 56

/** Secret shared by all processes of a deployment; signs keys and frames. */
struct key_secret {
    unsigned char bytes[KEY_SECRET_SIZE];
};

/** An idempotency key. */
struct key {
    uint64_t issuer;           /**< Number of its key range. */
    uint64_t registry_version; /**< Registry version known at issue. */
    uint32_t seq;              /**< Sequence number in the range. */
    uint32_t issued_s;         /**< Time of issue, seconds since 1970. */
};

/** Derive the shared secret from a passphrase. */
void Key_Derive(struct key_secret *secret, const char *passphrase);

/** Sign a key and write its text form: "k", then 54 base64url characters. */
void Key_Format(const struct key *key, const struct key_secret *secret,
                char text[KEY_TEXT_SIZE]);

/** Parse the text form of a key. Returns -1 with CODE_BAD_KEY if it is
 * malformed or not signed with `secret`. */
int Key_Parse(struct key *key, const struct key_secret *secret,
              const char *text, struct err *err);

/** Return nonzero if both keys are the same. */
static inline int
Key_Equal(const struct key *a, const struct key *b)
{
    return a->issuer == b->issuer && a->seq == b->seq &&
           a->registry_version == b->registry_version &&
           a->issued_s == b->issued_s;
}

#endif
