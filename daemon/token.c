/* Bearer tokens. Only their hashes are stored; they are compared in constant
 * time. */
#include <sodium.h>
#include <string.h>

#include "control.h"

/* Size of a hash; in text, each byte is two hexadecimal digits. */
#define HASH_BYTES 32

static void
hash_token(const char *token, char *hex)
{
    unsigned char hash[HASH_BYTES];
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)token,
                       strlen(token), NULL, 0);
    sodium_bin2hex(hex, CFG_HASH_SIZE, hash, sizeof(hash));
}

/* Parses the first of the comma-separated "name:hash" pairs at `at`. Both are
 * set to "" if either is too long. Returns the start of the next pair, or NULL
 * if there is no pair. */
static const char *
next_pair(const char *at, char *name, char *hash)
{
    const char *colon = strchr(at, ':');
    if (!colon) {
        return NULL;
    }
    size_t size = (size_t)(colon - at);
    size_t hash_size = strcspn(colon + 1, ",");
    name[0] = '\0';
    hash[0] = '\0';
    if (size < WIRE_NAME_SIZE && hash_size < CFG_HASH_SIZE) {
        memcpy(name, at, size);
        name[size] = '\0';
        memcpy(hash, colon + 1, hash_size);
        hash[hash_size] = '\0';
    }
    at = colon + 1 + hash_size;
    return *at == ',' ? at + 1 : at;
}

const char *
Token_Operator(const struct control *control, const char *token)
{
    static char operator_name[WIRE_NAME_SIZE];
    char name[WIRE_NAME_SIZE];
    char hash[CFG_HASH_SIZE];
    char hex[CFG_HASH_SIZE];
    int matched = 0;
    const char *at = control->settings->operator_token_hashes;
    hash_token(token, hex);
    while ((at = next_pair(at, name, hash))) {
        if (strlen(hash) == CFG_HASH_SIZE - 1 &&
            sodium_memcmp(hash, hex, CFG_HASH_SIZE - 1) == 0 && token[0]) {
            memcpy(operator_name, name, sizeof(operator_name));
            matched = 1;
        }
    }
    return matched ? operator_name : NULL;
}

int
Token_CheckTeam(const struct control *control, const char *token, char *team,
                size_t size)
{
    char hex[CFG_HASH_SIZE];
    const struct cfg_team *owner = NULL;
    int has_tokens = 0;
    hash_token(token, hex);
    for (uint32_t i = 0; i < control->config.team_count; i++) {
        const struct cfg_team *candidate = &control->config.teams[i];
        has_tokens |= candidate->token_hash[0] != '\0';
        if (candidate->token_hash[0] &&
            sodium_memcmp(candidate->token_hash, hex, CFG_HASH_SIZE - 1) ==
                0) {
            owner = candidate;
        }
    }
    if (!has_tokens) {
        return 0;
    }
    if (!owner || !token[0] ||
        (team[0] != '\0' && strcmp(team, owner->name) != 0)) {
        return -1;
    }
    strncpy(team, owner->name, size - 1);
    return 0;
}
