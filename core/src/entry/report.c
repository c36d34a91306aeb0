/* Reports of agents on the tasks of a key range that is being taken over. A
 * report is a number of task records (MSG_TASK_RECORD), then its end
 * (MSG_FENCED), which gives the number of records. */
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "key_range.h"

/* Maximum number of records in a report. */
#define MAX_RECORDS (64u << 20)

static int
copy_output(struct ent_task_record *record, struct bytes output)
{
    void *data = malloc(output.size ? output.size : 1);
    if (!data) {
        return -1;
    }
    if (output.size) {
        memcpy(data, output.data, output.size);
    }
    free((void *)record->output.data);
    record->output.data = data;
    record->output.size = output.size;
    return 0;
}

/* The record of a task from an agent, created if there is none. Returns NULL
 * when out of memory. */
static struct ent_task_record *
get_record(struct ent_job *job, uint64_t agent, uint32_t task)
{
    struct ent_task_record *record;
    for (record = job->task_records; record; record = record->next) {
        if (record->task == task && record->agent == agent) {
            return record;
        }
    }
    record = calloc(1, sizeof(*record));
    if (record) {
        record->agent = agent;
        record->task = task;
        record->next = job->task_records;
        job->task_records = record;
    }
    return record;
}

/* Stores a record with its job. Returns -1 when out of space. */
static int
store_record(struct entry *entry, uint64_t agent,
             const struct msg_result *result)
{
    struct ent_job *job = Enti_AddJob(entry, &result->key);
    if (!job) {
        return -1;
    }
    /* A job in another state was opened or answered after all agents had
     * reported. */
    if (job->state == ENT_JOB_OPEN || job->state == ENT_JOB_ANSWERED) {
        return 0;
    }
    struct ent_task_record *record = get_record(job, agent, result->task);
    if (!record || copy_output(record, result->output)) {
        return -1;
    }
    record->state = result->state;
    record->code = result->code;
    if (result->task == WIRE_ALL_TASKS) {
        job->cancelled = 1;
    }
    if (result->body_hash) {
        job->reported_hash = result->body_hash;
    }
    return 0;
}

/* Starts counting the records of a later report anew: the agent may have
 * dropped records of the earlier one in between. */
static void
begin_report(struct ent_fence *fence, uint32_t report)
{
    fence->report_number = report;
    fence->received = 0;
    fence->answered = 0;
    if (fence->seen) {
        memset(fence->seen, 0, fence->seen_size);
    }
}

/* Makes the bitmap large enough for record `index`. Returns -1 when out of
 * memory. */
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
Enti_OnTaskRecord(struct entry *entry, struct ent_peer *agent,
                  const struct msg_result *record)
{
    uint64_t from = agent->member.incarnation;
    struct ent_issuer *issuer = Enti_FindIssuer(entry, record->key.issuer);
    if (!issuer || issuer->state != ENT_ISSUER_TAKEN_OVER ||
        Epoch_Compare(record->epoch, issuer->epoch) != 0) {
        return;
    }
    struct ent_fence *fence = find_fence(issuer, from);
    if (!fence || Enti_HasReported(issuer, from) ||
        record->report < fence->report_number ||
        record->index >= MAX_RECORDS) {
        return;
    }
    if (record->report > fence->report_number) {
        begin_report(fence, record->report);
    }
    if (reserve_seen(fence, record->index)) {
        return;
    }
    unsigned char bit = (unsigned char)(1u << record->index % 8);
    if (fence->seen[record->index / 8] & bit ||
        store_record(entry, from, record)) {
        return;
    }
    fence->seen[record->index / 8] |= bit;
    fence->received++;
}

void
Enti_OnFenced(struct entry *entry, struct now now, struct ent_peer *agent,
              const struct msg_fenced *fenced)
{
    uint64_t from = agent->member.incarnation;
    struct ent_issuer *issuer = Enti_FindIssuer(entry, fenced->issuer);
    if (!issuer || issuer->state != ENT_ISSUER_TAKEN_OVER) {
        return;
    }
    int order = Epoch_Compare(fenced->epoch, issuer->epoch);
    if (order > 0) {
        Enti_StepDown(entry, now, issuer, fenced->epoch);
        return;
    }
    struct ent_fence *fence = find_fence(issuer, from);
    if (order < 0 || !fence || Enti_HasReported(issuer, from) ||
        fenced->report < fence->report_number) {
        return;
    }
    if (fenced->report > fence->report_number) {
        begin_report(fence, fenced->report);
    }
    fence->answered = 1;
    fence->expected = fenced->count;
    fence->expired_until_s = fenced->expired_until_s;
    if (Enti_HasReported(issuer, from)) {
        Enti_CollectRange(entry, now, issuer);
    }
}
