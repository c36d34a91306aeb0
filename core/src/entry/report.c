/* Taking in what agents remember of a range that is being taken over. */
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "range.h"

/* Most records in a report. */
#define MAX_RECORDS (64u << 20)

static int
copy_output(struct ent_held *held, struct bytes output)
{
    void *data = malloc(output.size ? output.size : 1);
    if (!data) {
        return -1;
    }
    if (output.size) {
        memcpy(data, output.data, output.size);
    }
    free((void *)held->output.data);
    held->output.data = data;
    held->output.size = output.size;
    return 0;
}

/* The record of a task from an agent, made when there is none. */
static struct ent_held *
add_held(struct ent_job *job, uint64_t agent, uint32_t task)
{
    struct ent_held *held;
    for (held = job->held; held; held = held->next) {
        if (held->task == task && held->agent == agent) {
            return held;
        }
    }
    held = calloc(1, sizeof(*held));
    if (held) {
        held->agent = agent;
        held->task = task;
        held->next = job->held;
        job->held = held;
    }
    return held;
}

/* Returns -1 when the record could not be kept. */
static int
keep_held(struct entry *entry, uint64_t agent, const struct msg_result *result)
{
    struct ent_job *job = Enti_AddJob(entry, &result->key);
    if (!job) {
        return -1;
    }
    /* The others have been decided with all that was to be known. */
    if (job->state == ENT_JOB_OPEN || job->state == ENT_JOB_ANSWERED) {
        return 0;
    }
    struct ent_held *held = add_held(job, agent, result->task);
    if (!held || copy_output(held, result->output)) {
        return -1;
    }
    held->state = result->state;
    held->code = result->code;
    if (result->task == WIRE_ALL_TASKS) {
        job->cancelled = 1;
    }
    if (result->body_hash) {
        job->held_hash = result->body_hash;
    }
    return 0;
}

/* Records of an earlier report do not count for a later one: the agent may
 * have forgotten some in between. */
static void
begin_report(struct ent_fence *fence, uint32_t report)
{
    fence->report = report;
    fence->received = 0;
    fence->answered = 0;
    if (fence->seen) {
        memset(fence->seen, 0, fence->seen_size);
    }
}

/* Returns -1 for lack of memory. */
static int
reserve_seen(struct ent_fence *fence, uint32_t index)
{
    uint32_t size = fence->seen_size ? fence->seen_size : 64;
    while (index / 8 >= size) {
        size *= 2;
    }
    if (size == fence->seen_size) {
        return 0;
    }
    unsigned char *seen = realloc(fence->seen, size);
    if (!seen) {
        return -1;
    }
    memset(seen + fence->seen_size, 0, size - fence->seen_size);
    fence->seen = seen;
    fence->seen_size = size;
    return 0;
}

static struct ent_fence *
find_fence(const struct ent_issuer *issuer, uint64_t agent)
{
    struct ent_fence *fence = issuer->fences;
    while (fence && fence->agent != agent) {
        fence = fence->next;
    }
    return fence;
}

void
Enti_OnHeld(struct entry *entry, struct ent_peer *agent,
            const struct msg_result *held)
{
    uint64_t from = agent->member.incarnation;
    struct ent_issuer *issuer = Enti_FindIssuer(entry, held->key.issuer);
    if (!issuer || issuer->state != ENT_ISSUER_TAKEN ||
        Epoch_Compare(held->epoch, issuer->epoch) != 0) {
        return;
    }
    struct ent_fence *fence = find_fence(issuer, from);
    if (!fence || Enti_HasReported(issuer, from) ||
        held->report < fence->report || held->index >= MAX_RECORDS) {
        return;
    }
    if (held->report > fence->report) {
        begin_report(fence, held->report);
    }
    if (reserve_seen(fence, held->index)) {
        return;
    }
    unsigned char bit = (unsigned char)(1u << held->index % 8);
    if (fence->seen[held->index / 8] & bit || keep_held(entry, from, held)) {
        return;
    }
    fence->seen[held->index / 8] |= bit;
    fence->received++;
}

void
Enti_OnFenced(struct entry *entry, struct now now, struct ent_peer *agent,
              const struct msg_fenced *fenced)
{
    uint64_t from = agent->member.incarnation;
    struct ent_issuer *issuer = Enti_FindIssuer(entry, fenced->issuer);
    if (!issuer || issuer->state != ENT_ISSUER_TAKEN) {
        return;
    }
    int order = Epoch_Compare(fenced->epoch, issuer->epoch);
    if (order > 0) {
        Enti_StepDown(entry, now, issuer, fenced->epoch);
        return;
    }
    struct ent_fence *fence = find_fence(issuer, from);
    if (order < 0 || !fence || Enti_HasReported(issuer, from) ||
        fenced->report < fence->report) {
        return;
    }
    if (fenced->report > fence->report) {
        begin_report(fence, fenced->report);
    }
    fence->answered = 1;
    fence->expected = fenced->count;
    fence->forgotten_s = fenced->expired_until_s;
    if (Enti_HasReported(issuer, from)) {
        Enti_CollectRange(entry, now, issuer);
    }
}
