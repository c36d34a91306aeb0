#include "shell/api.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Stores "" when an optional field is missing. */
static int
get_name(const json_t *root, const char *field, char *out, int required,
         struct err *err)
{
    const json_t *value = json_object_get(root, field);
    out[0] = '\0';
    if (!value && !required) {
        return 0;
    }
    size_t size = json_string_length(value);
    if (!json_is_string(value) || size >= WIRE_NAME_SIZE ||
        (required && size == 0)) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "$.%s: allowed is a string of %d to %d bytes", field,
                       required ? 1 : 0, WIRE_NAME_SIZE - 1);
    }
    memcpy(out, json_string_value(value), size + 1);
    return 0;
}

static int
get_number(const json_t *object, const char *field, uint32_t default_value,
           uint32_t max, uint32_t *out, struct err *err)
{
    const json_t *value = json_object_get(object, field);
    *out = default_value;
    if (!value) {
        return 0;
    }
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < 0 || number > max) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "$.%s: allowed is an integer from 0 to %u", field, max);
    }
    *out = (uint32_t)number;
    return 0;
}

static int
get_priority(const json_t *root, enum priority *out, struct err *err)
{
    static const char *const names[] = {"urgent", "normal", "bulk"};
    const json_t *value = json_object_get(root, "priority");
    *out = PRIO_NORMAL;
    if (!value) {
        return 0;
    }
    const char *word = json_string_value(value);
    for (int i = 0; word && i < PRIO_COUNT; i++) {
        if (strcmp(word, names[i]) == 0) {
            *out = (enum priority)i;
            return 0;
        }
    }
    return Err_Set(err, CODE_BAD_FIELD,
                   "$.priority: allowed is urgent, normal or bulk");
}

static int
get_deadline(const json_t *root, struct submission *sub, struct err *err)
{
    if (get_number(root, "deadline_ms", API_DEFAULT_DEADLINE_MS,
                   API_MAX_DEADLINE_MS, &sub->deadline_ms, err)) {
        return -1;
    }
    if (sub->deadline_ms == 0) {
        return Err_Set(err, CODE_DEADLINE_PASSED,
                       "$.deadline_ms: found 0, allowed is 1 to %u",
                       API_MAX_DEADLINE_MS);
    }
    return 0;
}

static int
get_common_fields(struct api_job *job, struct err *err)
{
    struct submission *sub = &job->sub;
    const json_t *root = job->root;
    const json_t *wait = json_object_get(root, "wait");
    job->wait = wait ? json_is_true(wait) : 1;
    if (get_name(root, "service", sub->service, 1, err) ||
        get_name(root, "kind", sub->kind, 0, err) ||
        get_name(root, "team", sub->team, 0, err) ||
        get_number(root, "memory_mb", 0, 1u << 24, &sub->memory_mb, err) ||
        get_number(root, "cores", 0, 4096, &sub->cores, err) ||
        get_priority(root, &sub->priority, err)) {
        return -1;
    }
    return get_deadline(root, sub, err);
}

static int
get_input(const json_t *object, struct sub_task *task, struct err *err)
{
    const json_t *value = json_object_get(object, "input");
    if (value && !json_is_string(value)) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "input of task %u: allowed is a string", task->no);
    }
    task->input.data = value ? json_string_value(value) : "";
    task->input.size = (uint32_t)json_string_length(value);
    return 0;
}

static int
compare_task_numbers(const void *a, const void *b)
{
    uint32_t left = ((const struct sub_task *)a)->no;
    uint32_t right = ((const struct sub_task *)b)->no;
    return (left > right) - (left < right);
}

static int
check_task_numbers(struct api_job *job, struct err *err)
{
    uint32_t count = job->sub.task_count;
    qsort(job->tasks, count, sizeof(job->tasks[0]), compare_task_numbers);
    for (uint32_t i = 1; i < count; i++) {
        if (job->tasks[i].no == job->tasks[i - 1].no) {
            return Err_Set(err, CODE_DUPLICATE_TASK,
                           "task number %u occurs more than once",
                           job->tasks[i].no);
        }
    }
    return 0;
}

static int
get_tasks(struct api_job *job, struct err *err)
{
    const json_t *list = json_object_get(job->root, "tasks");
    size_t count = json_array_size(list);
    if (count > WIRE_MAX_TASKS) {
        return Err_Set(err, CODE_TOO_MANY_TASKS,
                       "$.tasks: found %zu tasks, allowed are 1 to %d", count,
                       WIRE_MAX_TASKS);
    }
    if (count == 0) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "$.tasks: allowed is an array of 1 to %d tasks",
                       WIRE_MAX_TASKS);
    }
    job->tasks = calloc(count, sizeof(job->tasks[0]));
    if (!job->tasks) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory for %zu tasks", count);
    }
    for (size_t i = 0; i < count; i++) {
        const json_t *object = json_array_get(list, i);
        struct sub_task *task = &job->tasks[i];
        if (!json_is_object(object) ||
            get_number(object, "no", (uint32_t)i + 1, WIRE_MAX_TASK_NO,
                       &task->no, err) ||
            get_number(object, "run_ms", 0, API_MAX_DEADLINE_MS, &task->run_ms,
                       err) ||
            get_input(object, task, err)) {
            /* Err_Set() keeps the error of a field. */
            return Err_Set(err, CODE_BAD_FIELD,
                           "$.tasks[%zu]: allowed is an object", i);
        }
    }
    job->sub.tasks = job->tasks;
    job->sub.task_count = (uint32_t)count;
    return check_task_numbers(job, err);
}

static int
parse_body(struct api_job *job, struct bytes body, struct err *err)
{
    json_error_t json_err;
    memset(job, 0, sizeof(*job));
    job->root = json_loadb(body.size ? body.data : "", body.size,
                           JSON_REJECT_DUPLICATES, &json_err);
    if (!job->root) {
        return Err_Set(err, CODE_BAD_JSON,
                       "invalid JSON at line %d, column %d: %s", json_err.line,
                       json_err.column, json_err.text);
    }
    if (!json_is_object(job->root)) {
        return Err_Set(err, CODE_BAD_JSON, "$: allowed is an object");
    }
    return get_common_fields(job, err);
}

int
Api_ReadJob(struct api_job *job, struct bytes body, struct err *err)
{
    if (parse_body(job, body, err) || get_tasks(job, err)) {
        Api_FreeJob(job);
        return -1;
    }
    return 0;
}

static int
get_request(struct api_job *job, struct err *err)
{
    const json_t *idempotent = json_object_get(job->root, "idempotent");
    if (!json_is_boolean(idempotent)) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "$.idempotent: allowed is true or false");
    }
    job->tasks = calloc(1, sizeof(job->tasks[0]));
    if (!job->tasks) {
        return Err_Set(err, CODE_NO_MEMORY, "no memory for a task");
    }
    job->tasks[0].no = 1;
    job->sub.flags = SUB_REQUEST;
    if (json_is_true(idempotent)) {
        job->sub.flags |= SUB_IDEMPOTENT;
    }
    job->sub.tasks = job->tasks;
    job->sub.task_count = 1;
    return get_input(job->root, &job->tasks[0], err);
}

int
Api_ReadRequest(struct api_job *job, struct bytes body, struct err *err)
{
    if (parse_body(job, body, err) || get_request(job, err)) {
        Api_FreeJob(job);
        return -1;
    }
    return 0;
}

void
Api_FreeJob(struct api_job *job)
{
    json_decref(job->root);
    free(job->tasks);
    job->root = NULL;
    job->tasks = NULL;
}

static const char *
state_name(enum code code)
{
    if (code == CODE_OK) {
        return "complete";
    }
    if (code == CODE_PENDING) {
        return "pending";
    }
    return Code_Run(code) == CODE_NOT_RUN ? "refused" : "failed";
}

static json_t *
write_header(enum code code, const char *detail)
{
    json_t *root = json_object();
    json_object_set_new(root, "state", json_string(state_name(code)));
    json_object_set_new(root, "code", json_integer(code));
    json_object_set_new(root, "name", json_string(Code_Name(code)));
    json_object_set_new(root, "run",
                        json_string(Code_RunText(Code_Run(code))));
    json_object_set_new(root, "text", json_string(Code_Text(code)));
    if (detail && detail[0]) {
        json_object_set_new(root, "detail", json_string(detail));
    }
    return root;
}

/* A JSON string holds UTF-8 only, so other output is written as base64 in
 * "output_base64". Without memory for that the item gets no output. */
static void
set_output(json_t *item, struct bytes output)
{
    json_t *text = json_stringn(output.size ? output.data : "", output.size);
    if (text) {
        json_object_set_new(item, "output", text);
        return;
    }
    size_t base64_size =
        sodium_base64_encoded_len(output.size, sodium_base64_VARIANT_ORIGINAL);
    char *base64 = malloc(base64_size);
    if (base64) {
        sodium_bin2base64(base64, base64_size, output.data, output.size,
                          sodium_base64_VARIANT_ORIGINAL);
        json_object_set_new(item, "output_base64", json_string(base64));
    }
    free(base64);
}

static json_t *
write_tasks(const struct answer *answer)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < answer->task_count; i++) {
        const struct answer_task *task = &answer->tasks[i];
        json_t *item = json_object();
        json_object_set_new(item, "no", json_integer(task->no));
        set_output(item, task->output);
        json_array_append_new(list, item);
    }
    return list;
}

char *
Api_WriteAnswer(const struct answer *answer, const char *key_text)
{
    json_t *root = write_header(answer->code, answer->detail);
    if (key_text) {
        json_object_set_new(root, "key", json_string(key_text));
    }
    if (answer->retry_after_ms) {
        json_object_set_new(root, "retry_after_ms",
                            json_integer(answer->retry_after_ms));
    }
    if (answer->code == CODE_OK) {
        json_object_set_new(root, "tasks", write_tasks(answer));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

char *
Api_WriteError(enum code code, const char *detail)
{
    json_t *root = write_header(code, detail);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}
