/** @file
 * JSON form of the configuration and of changes to it, as stored in the table
 * service, exchanged between processes and shown to operators. */
#ifndef SHELL_CONFIG_JSON_H
#define SHELL_CONFIG_JSON_H

#include <jansson.h>

#include "core/config.h"

/** Format number of a stored configuration. Cj_Read() rejects any other. */
#define CJ_FORMAT 1

/** A configuration change with its operations. */
struct cj_change {
    struct cfg_change header; /**< Identifier, author and time. */
    uint32_t count;           /**< Used elements of `ops`. */
    struct cfg_op ops[CFG_MAX_OPS];
};

/** Return a configuration as a new JSON object. Without `secrets`, the token
 * hash of a team is replaced by "has_token". */
json_t *Cj_Write(const struct config *config, int secrets);

/** Parse a stored configuration and check it with Cfg_Check(). Returns -1 and
 * CODE_BAD_FIELD when a part is missing or invalid; `config` is then
 * unusable. */
int Cj_Read(struct config *config, const json_t *root, struct err *err);

/** Return as a new JSON object the change that produced the configuration
 * `version`. */
json_t *Cj_WriteChange(const struct cj_change *change, uint64_t version);

/** Parse the output of Cj_WriteChange(). Error: CODE_BAD_FIELD. */
int Cj_ReadChange(struct cj_change *change, const json_t *root,
                  struct err *err);

/** Parse a list of operations into `change->ops`; the header is left as it
 * is. `now_s`, in Unix seconds, is added to "expires_in_s". Error:
 * CODE_BAD_FIELD. */
int Cj_ReadOps(struct cj_change *change, const json_t *list, int64_t now_s,
               struct err *err);

/** Return an exception as a new JSON object. */
json_t *Cj_WriteException(const struct cfg_exception *exception);

/** Return a new JSON object with the changed defaults and teams and the added
 * and removed exceptions between two configurations. */
json_t *Cj_WriteDifference(const struct config *before,
                           const struct config *after);

#endif
