#include "wire/key.h"

#include <sodium.h>
#include <string.h>

#define KEY_PREFIX 'k'
#define BODY_SIZE (KEY_RAW_SIZE - KEY_MAC_SIZE)

static void
put_be(unsigned char *out, uint64_t value, int size)
{
    for (int i = size - 1; i >= 0; i--) {
        out[i] = (unsigned char)value;
        value >>= 8;
    }
}

static uint64_t
get_be(const unsigned char *in, int size)
{
    uint64_t value = 0;
    for (int i = 0; i < size; i++) {
        value = (value << 8) | in[i];
    }
    return value;
}

static void
compute_mac(const unsigned char *body, const struct key_secret *secret,
            unsigned char *mac)
{
    crypto_generichash(mac, KEY_MAC_SIZE, body, BODY_SIZE, secret->bytes,
                       KEY_SECRET_SIZE);
}

void
Key_Derive(struct key_secret *secret, const char *passphrase)
{
    crypto_generichash(secret->bytes, KEY_SECRET_SIZE,
                       (const unsigned char *)passphrase, strlen(passphrase),
                       NULL, 0);
}

void
Key_Format(const struct key *key, const struct key_secret *secret,
           char text[KEY_TEXT_SIZE])
{
    unsigned char raw[KEY_RAW_SIZE];
    put_be(raw, key->issuer, 8);
    put_be(raw + 8, key->registry_version, 8);
    put_be(raw + 16, key->seq, 4);
    put_be(raw + 20, key->issued_s, 4);
    compute_mac(raw, secret, raw + BODY_SIZE);
    /* base64url may begin with '-': without the prefix, such a key would be
     * parsed as an option on a command line. */
    text[0] = KEY_PREFIX;
    sodium_bin2base64(text + 1, KEY_TEXT_SIZE - 1, raw, sizeof(raw),
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

int
Key_Parse(struct key *key, const struct key_secret *secret, const char *text,
          struct err *err)
{
    unsigned char raw[KEY_RAW_SIZE];
    unsigned char mac[KEY_MAC_SIZE];
    size_t size;
    if (text[0] != KEY_PREFIX ||
        sodium_base642bin(raw, sizeof(raw), text + 1, strlen(text + 1), NULL,
                          &size, NULL,
                          sodium_base64_VARIANT_URLSAFE_NO_PADDING) ||
        size != sizeof(raw)) {
        return Err_Set(
            err, CODE_BAD_KEY,
            "malformed idempotency key: expected %d characters that "
            "begin with k",
            KEY_TEXT_SIZE - 1);
    }
    compute_mac(raw, secret, mac);
    if (sodium_memcmp(mac, raw + BODY_SIZE, KEY_MAC_SIZE) != 0) {
        return Err_Set(err, CODE_BAD_KEY,
                       "idempotency key has an invalid signature");
    }
    key->issuer = get_be(raw, 8);
    key->registry_version = get_be(raw + 8, 8);
    key->seq = (uint32_t)get_be(raw + 16, 4);
    key->issued_s = (uint32_t)get_be(raw + 20, 4);
    return 0;
}
