/** @file
 * JSON of the callers' HTTP interface: parses submissions, writes answers. */
#ifndef SHELL_API_H
#define SHELL_API_H

#include <jansson.h>

#include "base/err.h"
#include "wire/msg.h"

/** A submission parsed from JSON, with the memory that it refers to. */
struct api_job {
    struct submission sub;
    struct sub_task *tasks;
    json_t *root; /**< Parsed body; owns the inputs of the tasks. */
    int wait;     /**< The HTTP request is answered when the job has ended;
                       set unless the body has "wait" other than true. */
};

/** Longest deadline that a caller may set, from submission. */
#define API_MAX_DEADLINE_MS 3600000u
/** Deadline of a job whose body sets none. */
#define API_DEFAULT_DEADLINE_MS 30000u

/** Parse a job; `body` must stay until `job` is freed. On success the caller
 * frees `job` with Api_FreeJob(); on failure it is already freed. Errors:
 * CODE_BAD_JSON, CODE_BAD_FIELD, CODE_TOO_MANY_TASKS, CODE_DUPLICATE_TASK,
 * CODE_DEADLINE_PASSED, CODE_NO_MEMORY. */
int Api_ReadJob(struct api_job *job, struct bytes body, struct err *err);

/** Parse a single request to a service into a job of one task. Ownership and
 * errors are those of Api_ReadJob(). */
int Api_ReadRequest(struct api_job *job, struct bytes body, struct err *err);

/** Free what Api_ReadJob() or Api_ReadRequest() allocated. */
void Api_FreeJob(struct api_job *job);

/** Return the JSON text of an answer; the caller frees it. `key_text` is the
 * job's key, or NULL to leave it out. */
char *Api_WriteAnswer(const struct answer *answer, const char *key_text);

/** Return the JSON text of an error answer; the caller frees it. `detail` may
 * be NULL. */
char *Api_WriteError(enum code code, const char *detail);

#endif
