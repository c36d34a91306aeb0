/** @file
 * The configuration and its changes as JSON: in the table service, between
 * our processes and towards operators. */
#ifndef SHELL_CONFIG_JSON_H
#define SHELL_CONFIG_JSON_H

#include <jansson.h>

#include "core/config.h"

/** Format of the stored configuration; another one is kept out. */
#define CJ_FORMAT 1

/** A change with its operations. */
struct cj_change {
    struct cfg_change header;
    uint32_t count;
    struct cfg_op ops[CFG_MAX_OPS];
};

/** Write a configuration; token hashes only when `secrets` is set. */
json_t *Cj_Write(const struct config *config, int secrets);

/** Read a stored configuration and check it. CODE_BAD_FIELD. */
int Cj_Read(struct config *config, const json_t *root, struct err *err);

/** Write a change that made `version`. */
json_t *Cj_WriteChange(const struct cj_change *change, uint64_t version);

/** Read a written change. */
int Cj_ReadChange(struct cj_change *change, const json_t *root,
                  struct err *err);

/** Read an operator's list of operations. `now_s` is the time for
 * "expires_in_s". CODE_BAD_FIELD. */
int Cj_ReadOps(struct cj_change *change, const json_t *list, int64_t now_s,
               struct err *err);

/** Write one exception. */
json_t *Cj_WriteException(const struct cfg_exception *exception);

/** What differs between two configurations. */
json_t *Cj_WriteDifference(const struct config *before,
                           const struct config *after);

#endif
