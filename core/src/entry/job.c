/* Jobs: memory, state and answers. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "cancel.h"
#include "job.h"
#include "place.h"

static struct ent_key_id
make_id(const struct key *key)
{
    struct ent_key_id id = {key->issuer, key->seq};
    return id;
}

struct ent_job *
Enti_FindJob(const struct entry *entry, const struct key *key)
{
    struct ent_key_id id = make_id(key);
    struct ent_job *job;
    HASH_FIND(hh, entry->job_index, &id, sizeof(id), job);
    return job;
}

struct ent_job *
Enti_AddJob(struct entry *entry, const struct key *key)
{
    struct ent_job *job = Enti_FindJob(entry, key);
    if (job) {
        return job;
    }
    job = Tab_Add(&entry->jobs);
    if (!job) {
        return NULL;
    }
    job->id = make_id(key);
    job->key = *key;
    job->state = ENT_JOB_REPORTED;
    HASH_ADD(hh, entry->job_index, id, sizeof(job->id), job);
    return job;
}

static int
is_unanswered(enum ent_job_state state)
{
    return state != ENT_JOB_REPORTED && state != ENT_JOB_ANSWERED;
}

static void
add_open(struct entry *entry, struct ent_job *job)
{
    job->open_index = entry->open_jobs;
    entry->open_list[entry->open_jobs++] = job;
}

static void
remove_open(struct entry *entry, struct ent_job *job)
{
    struct ent_job *last = entry->open_list[--entry->open_jobs];
    entry->open_list[job->open_index] = last;
    last->open_index = job->open_index;
}

/* Only an unanswered job is found by its caller's name: once it is answered, a
 * later job of the same name may run from the start. */
static void
update_name_index(struct entry *entry, struct ent_job *job, int is_open)
{
    if (!Enti_IsRestartable(job) || job->in_name_index == is_open) {
        return;
    }
    job->in_name_index = (uint8_t)is_open;
    if (is_open) {
        HASH_ADD(name_hh, entry->name_index, name, sizeof(job->name), job);
    }
    else {
        HASH_DELETE(name_hh, entry->name_index, job);
    }
}

void
Enti_SetState(struct entry *entry, struct ent_job *job,
              enum ent_job_state state)
{
    int was_open = is_unanswered(job->state);
    if (was_open && !is_unanswered(state)) {
        remove_open(entry, job);
    }
    if (!was_open && is_unanswered(state)) {
        add_open(entry, job);
    }
    update_name_index(entry, job, is_unanswered(state));
    job->state = state;
}

void
Enti_FreeTaskRecords(struct ent_job *job)
{
    while (job->task_records) {
        struct ent_task_record *record = job->task_records;
        job->task_records = record->next;
        free((void *)record->output.data);
        free(record);
    }
}

static void
free_waiters(struct ent_job *job)
{
    while (job->waiters) {
        struct ent_waiter *waiter = job->waiters;
        job->waiters = waiter->next;
        free(waiter);
    }
}

static void
free_body(struct ent_job *job)
{
    free(job->body);
    job->body = NULL;
    for (uint32_t i = 0; i < job->task_count; i++) {
        job->tasks[i].input = (struct bytes){NULL, 0};
    }
}

static void
free_job_tasks(struct ent_job *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        free((void *)job->tasks[i].output.data);
    }
    free(job->tasks);
    job->tasks = NULL;
    job->task_count = 0;
    free(job->steps);
    job->steps = NULL;
    job->step_count = 0;
}

void
Enti_DropJob(struct entry *entry, struct ent_job *job)
{
    Enti_SetState(entry, job, ENT_JOB_ANSWERED);
    Enti_ForgetCancel(entry, job);
    Enti_Unqueue(job);
    free_waiters(job);
    Enti_FreeTaskRecords(job);
    free_body(job);
    free_job_tasks(job);
    HASH_DELETE(hh, entry->job_index, job);
    Tab_Remove(&entry->jobs, job);
}

static uint64_t
hash_bytes(uint64_t seed, const void *data, size_t size)
{
    unsigned char key[crypto_shorthash_KEYBYTES] = {0};
    uint64_t hash;
    memcpy(key, &seed, sizeof(seed));
    crypto_shorthash((unsigned char *)&hash, data ? data : "", size, key);
    return hash;
}

uint64_t
Enti_HashBody(const struct submission *sub)
{
    uint64_t hash = hash_bytes(1, sub->service, strlen(sub->service));
    hash = hash_bytes(hash, sub->kind, strlen(sub->kind));
    for (uint32_t i = 0; i < sub->task_count; i++) {
        const struct sub_task *task = &sub->tasks[i];
        hash += hash_bytes(task->no, task->input.data, task->input.size);
    }
    return hash ? hash : 1;
}

static int
compare_tasks(const void *a, const void *b)
{
    uint32_t left = ((const struct ent_task *)a)->no;
    uint32_t right = ((const struct ent_task *)b)->no;
    return (left > right) - (left < right);
}

/* True if a task has the very input of the one before it. The tasks of a
 * caller's job may all share one, which is copied once: the copies of 820
 * tasks took 3 MB for a request of 4 KB. */
static int
is_shared_input(const struct submission *sub, uint32_t index)
{
    const struct bytes *input = &sub->tasks[index].input;
    return index > 0 && input->data == sub->tasks[index - 1].input.data &&
           input->size == sub->tasks[index - 1].input.size;
}

static int
copy_tasks(struct ent_job *job, const struct submission *sub)
{
    size_t size = 0;
    if (sub->task_count == 0) {
        return -1;
    }
    for (uint32_t i = 0; i < sub->task_count; i++) {
        size += is_shared_input(sub, i) ? 0 : sub->tasks[i].input.size;
    }
    unsigned char *body = malloc(size ? size : 1);
    struct ent_task *tasks = calloc(sub->task_count, sizeof(*tasks));
    if (!body || !tasks) {
        free(body);
        free(tasks);
        return -1;
    }
    job->body = body;
    job->tasks = tasks;
    job->task_count = sub->task_count;
    for (uint32_t i = 0; i < sub->task_count; i++) {
        const struct sub_task *task = &sub->tasks[i];
        tasks[i].no = task->no;
        tasks[i].run_ms = task->run_ms;
        tasks[i].step = task->step;
        tasks[i].input.size = task->input.size;
        if (is_shared_input(sub, i)) {
            tasks[i].input.data = tasks[i - 1].input.data;
            continue;
        }
        tasks[i].input.data = body;
        if (task->input.size) {
            memcpy(body, task->input.data, task->input.size);
        }
        body += task->input.size;
    }
    qsort(tasks, sub->task_count, sizeof(*tasks), compare_tasks);
    return 0;
}

int
Enti_FillJob(struct ent_job *job, struct now now, const struct submission *sub)
{
    if (copy_tasks(job, sub)) {
        return -1;
    }
    if (Enti_FillSteps(job, sub)) {
        free_body(job);
        free_job_tasks(job);
        return -1;
    }
    memcpy(job->service_name, sub->service, sizeof(job->service_name));
    memcpy(job->kind, sub->kind, sizeof(job->kind));
    memcpy(job->team, sub->team, sizeof(job->team));
    job->memory_mb = sub->memory_mb;
    job->cores = sub->cores;
    job->priority = sub->priority;
    job->flags = sub->flags;
    job->name = sub->name;
    job->max_attempts = sub->max_attempts;
    job->body_hash = Enti_HashBody(sub);
    job->submitted_us = now.us;
    job->deadline_us = now.us + sub->deadline_ms * US_PER_MS;
    Enti_ResetSteps(job);
    return 0;
}

void
Enti_AddWaiter(struct ent_job *job, uint64_t from, conn_id conn)
{
    if (from == 0 && conn == 0) {
        return;
    }
    for (struct ent_waiter *w = job->waiters; w; w = w->next) {
        if (w->entry == from && w->conn == conn) {
            return;
        }
    }
    struct ent_waiter *waiter = calloc(1, sizeof(*waiter));
    if (waiter) {
        waiter->entry = from;
        waiter->conn = conn;
        waiter->next = job->waiters;
        job->waiters = waiter;
    }
}

static void
send_answer(struct entry *entry, uint64_t from, conn_id conn,
            const struct answer *answer)
{
    if (from == 0) {
        struct act act = {.type = ACT_REPLY};
        act.u.reply.conn = conn;
        act.u.reply.answer = answer;
        Act_Emit(&entry->sink, &act);
        return;
    }
    struct msg msg = {.type = MSG_ANSWER};
    msg.u.answer.answer = *answer;
    msg.u.answer.conn = conn;
    Act_Send(&entry->sink, from, &msg);
}

void
Enti_Refuse(struct entry *entry, uint64_t from, conn_id conn,
            const struct key *key, enum code code, const char *detail)
{
    struct answer answer = {.key = *key, .code = code};
    if (detail) {
        strncpy(answer.detail, detail, sizeof(answer.detail) - 1);
    }
    if (Code_HttpStatus(code) == 503) {
        answer.retry_after_ms = 1000;
    }
    Ctr_CountCode(entry->counters, code);
    send_answer(entry, from, conn, &answer);
}

static void
free_answer_tasks(struct answer_task **tasks)
{
    free(*tasks);
}

void
Enti_Reply(struct entry *entry, const struct ent_job *job, uint64_t from,
           conn_id conn)
{
    struct answer answer = {.key = job->key, .code = CODE_PENDING};
    __attribute__((cleanup(free_answer_tasks))) struct answer_task *tasks =
        NULL;
    if (job->state == ENT_JOB_ANSWERED) {
        answer.code = job->code;
        answer.retry_after_ms = job->retry_after_ms;
        memcpy(answer.detail, job->detail, sizeof(answer.detail));
    }
    if (answer.code == CODE_OK) {
        tasks = calloc(job->task_count, sizeof(*tasks));
        if (!tasks) {
            answer.code = CODE_TRY_AGAIN;
        }
    }
    for (uint32_t i = 0; tasks && i < job->task_count; i++) {
        tasks[i].no = job->tasks[i].no;
        tasks[i].code = CODE_OK;
        tasks[i].output = job->tasks[i].output;
    }
    answer.tasks = tasks;
    answer.task_count = tasks ? job->task_count : 0;
    send_answer(entry, from, conn, &answer);
}

static void
set_answer(struct entry *entry, struct ent_job *job, enum code code,
           const char *detail)
{
    Enti_SetState(entry, job, ENT_JOB_ANSWERED);
    job->code = code;
    memset(job->detail, 0, sizeof(job->detail));
    if (detail) {
        strncpy(job->detail, detail, sizeof(job->detail) - 1);
    }
    free_body(job);
    for (struct ent_waiter *w = job->waiters; w; w = w->next) {
        Enti_Reply(entry, job, w->entry, w->conn);
    }
    free_waiters(job);
}

void
Enti_Answer(struct entry *entry, struct ent_job *job, enum code code,
            const char *detail)
{
    if (code == CODE_OK) {
        CTR_INC(entry->counters, jobs_complete);
    }
    else {
        CTR_INC(entry->counters, jobs_failed);
    }
    Ctr_CountCode(entry->counters, code);
    Enti_Unqueue(job);
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state == ENT_SENT ||
            job->tasks[i].state == ENT_LOST) {
            Enti_ReleaseSlot(entry, job, &job->tasks[i]);
        }
    }
    set_answer(entry, job, code, detail);
    Enti_FreeTaskRecords(job);
}

void
Enti_EndRemote(struct entry *entry, struct ent_job *job, enum code code,
               const char *detail)
{
    Ctr_CountCode(entry->counters, code);
    set_answer(entry, job, code, detail);
    if (!job->task_records && !job->cancelled) {
        Enti_DropJob(entry, job);
        return;
    }
    /* Task records from a takeover of its key range are kept, as a later
     * submission needs them. */
    free_job_tasks(job);
    job->body_hash = 0;
    job->rerouted = 0;
    Enti_SetState(entry, job, ENT_JOB_REPORTED);
}
