/* Takeover of a key range: fence every agent that may have started tasks of
 * its jobs, and collect their reports on these tasks. See
 * docs/DESIGN.md, section 2.2. */
#include <stdlib.h>
#include <string.h>

#include "cancel.h"
#include "job.h"
#include "peer.h"
#include "place.h"
#include "key_range.h"
#include "subset.h"

/* Retransmission interval of a fence whose report is incomplete. */
#define FENCE_RESEND_US (500 * US_PER_MS)

void
Enti_DropFences(struct ent_issuer *issuer)
{
    while (issuer->fences) {
        struct ent_fence *fence = issuer->fences;
        issuer->fences = fence->next;
        free(fence->seen);
        free(fence);
    }
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

static void
send_fence(struct entry *entry, struct now now,
           const struct ent_issuer *issuer, struct ent_fence *fence)
{
    struct msg msg = {.type = MSG_FENCE};
    msg.u.fence.issuer = issuer->issuer;
    msg.u.fence.epoch = issuer->epoch;
    fence->resend_us = now.us + FENCE_RESEND_US;
    Enti_SendToAgent(entry, now, fence->agent, &msg);
}

static struct ent_fence *
add_fence(struct entry *entry, struct now now, struct ent_issuer *issuer,
          uint64_t agent)
{
    struct ent_fence *fence = calloc(1, sizeof(*fence));
    if (!fence) {
        return NULL;
    }
    fence->agent = agent;
    fence->next = issuer->fences;
    issuer->fences = fence;
    send_fence(entry, now, issuer, fence);
    return fence;
}

/* Whether all records of a report and its end have arrived. */
static int
is_complete(const struct ent_fence *fence)
{
    return fence && fence->answered && fence->received >= fence->expected;
}

int
Enti_HasReported(const struct ent_issuer *issuer, uint64_t agent)
{
    return is_complete(find_fence(issuer, agent));
}

/* Fences the agents that were registered by version `registry_version` and
 * have not been fenced yet. */
static void
fence_agents(struct entry *entry, struct now now, struct ent_issuer *issuer,
             uint64_t registry_version)
{
    uint32_t slot = 0;
    struct ent_peer *peer;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT &&
            peer->member.registered <= registry_version &&
            !find_fence(issuer, peer->member.incarnation)) {
            add_fence(entry, now, issuer, peer->member.incarnation);
        }
    }
}

void
Enti_TakeOver(struct entry *entry, struct now now, struct ent_issuer *issuer)
{
    CTR_INC(entry->counters, takeovers);
    /* Never reuse an epoch number: messages of its first use may still be in
     * transit. Number 1 is that of the entry which generated the issuer
     * number. */
    if (issuer->epoch.n > entry->highest_epoch) {
        entry->highest_epoch = issuer->epoch.n;
    }
    entry->highest_epoch += entry->highest_epoch ? 1 : 2;
    issuer->epoch.n = entry->highest_epoch;
    issuer->epoch.owner = entry->settings.incarnation;
    issuer->state = ENT_ISSUER_TAKEN_OVER;
    issuer->loss_version = entry->last_loss_version;
    issuer->used_us = now.us;
    Enti_DropFences(issuer);
    fence_agents(entry, now, issuer, entry->registry_version);
}

void
Enti_RecordAgentLoss(struct entry *entry, uint64_t agent, uint64_t version)
{
    if (version > entry->last_loss_version) {
        entry->last_loss_version = version;
    }
    struct ent_issuer *issuer;
    for (issuer = entry->issuer_index; issuer; issuer = issuer->hh.next) {
        if (issuer->state != ENT_ISSUER_TAKEN_OVER) {
            continue;
        }
        if (agent && is_complete(find_fence(issuer, agent))) {
            continue;
        }
        if (version > issuer->loss_version) {
            issuer->loss_version = version;
        }
    }
}

/* Whether an agent that was lost after its report may have dropped records of
 * the key before. */
static int
expired_at_lost_agent(const struct entry *entry,
                      const struct ent_issuer *issuer, const struct key *key)
{
    const struct ent_fence *fence = issuer->fences;
    for (; fence; fence = fence->next) {
        if (is_complete(fence) && fence->expired_until_s >= key->issued_s &&
            !Enti_FindPeer(entry, fence->agent)) {
            return 1;
        }
    }
    return 0;
}

/* What the reports received so far permit for the job of a key: wait for more,
 * restore it from all reports, or give up since records may have expired. */
enum collected { COLLECTED_WAIT, COLLECTED_ALL, COLLECTED_EXPIRED };

static enum collected
check_agents(struct entry *entry, struct now now, struct ent_issuer *issuer,
             const struct key *key)
{
    enum collected state = COLLECTED_ALL;
    uint32_t slot = 0;
    struct ent_peer *peer;
    if (entry->registry_version < key->registry_version) {
        return COLLECTED_WAIT;
    }
    fence_agents(entry, now, issuer, key->registry_version);
    if (expired_at_lost_agent(entry, issuer, key)) {
        return COLLECTED_EXPIRED;
    }
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role != ROLE_AGENT ||
            peer->member.registered > key->registry_version) {
            continue;
        }
        struct ent_fence *fence = find_fence(issuer, peer->member.incarnation);
        if (!is_complete(fence)) {
            return COLLECTED_WAIT;
        }
        if (fence->expired_until_s >= key->issued_s) {
            state = COLLECTED_EXPIRED;
        }
    }
    return state;
}

/* A request that may be repeated can have records at several agents: one with
 * the output is preferred, then one of a running task. */
static int
record_rank(const struct ent_task_record *record)
{
    switch (record->state) {
    case TASK_FINISHED:
        return 3;
    case TASK_RUNNING:
        return 2;
    default:
        return 1;
    }
}

static struct ent_task_record *
best_record(const struct ent_job *job, uint32_t task)
{
    struct ent_task_record *best = NULL;
    for (struct ent_task_record *record = job->task_records; record;
         record = record->next) {
        if (record->task == task &&
            (!best || record_rank(record) > record_rank(best))) {
            best = record;
        }
    }
    return best;
}

/* Restores a task from the record of an agent. Returns the code that the job
 * fails with, or CODE_OK. */
static enum code
apply_record(struct entry *entry, struct now now, struct ent_job *job,
             struct ent_task *task, struct ent_task_record *record)
{
    struct ent_peer *agent = Enti_FindPeer(entry, record->agent);
    switch (record->state) {
    case TASK_FINISHED:
        task->state = ENT_DONE;
        task->agent = record->agent;
        task->output = record->output;
        record->output = (struct bytes){NULL, 0};
        Enti_AdjustStepWaiting(job, task, -1);
        Enti_FinishTask(job, task);
        return CODE_OK;
    case TASK_RUNNING:
        if (!agent) {
            return CODE_OUTCOME_UNKNOWN;
        }
        task->state = ENT_SENT;
        task->agent = record->agent;
        task->resend_us = now.us + START_RESEND_US;
        Enti_AdjustStepWaiting(job, task, -1);
        if (job->flags & SUB_REQUEST) {
            agent->requests++;
        }
        else {
            agent->outstanding++;
            job->share->running++;
        }
        return CODE_OK;
    case TASK_FAILED:
        return record->code;
    case TASK_DISCARDED:
        return CODE_ANSWER_GONE;
    case TASK_REFUSED:
    case TASK_WAITING:
        break;
    }
    return CODE_OK;
}

static void
reset_tasks(struct ent_job *job)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct ent_task *task = &job->tasks[i];
        free((void *)task->output.data);
        task->output = (struct bytes){NULL, 0};
        task->attempt = 0;
        task->agent = 0;
    }
    Enti_ResetSteps(job);
    job->next_resend_us = 0;
}

static int
may_repeat(const struct ent_job *job)
{
    unsigned required = SUB_IDEMPOTENT | SUB_REQUEST;
    return (job->flags & required) == required;
}

/* Restores a job from the reports of all agents and opens it, or answers it if
 * it cannot go on. `uncertain` is set if an agent was lost that may have run
 * tasks of the job and had not reported. */
static void
restore_job(struct entry *entry, struct now now, struct ent_job *job,
            int uncertain)
{
    enum code failure = CODE_OK;
    if (job->reported_hash && job->reported_hash != job->body_hash) {
        Enti_EndRemote(entry, job, CODE_KEY_REUSED, NULL);
        return;
    }
    reset_tasks(job);
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct ent_task *task = &job->tasks[i];
        struct ent_task_record *record = best_record(job, task->no);
        enum code code = CODE_OK;
        if (record) {
            code = apply_record(entry, now, job, task, record);
        }
        if (code != CODE_OK) {
            failure = code;
        }
    }
    /* The records are not kept: a later takeover collects new ones. */
    Enti_FreeTaskRecords(job);
    if (uncertain && job->waiting > 0) {
        job->may_have_run = 1;
        if (!may_repeat(job)) {
            failure = CODE_OUTCOME_UNKNOWN;
        }
    }
    if (job->cancelled) {
        failure = CODE_JOB_CANCELLED;
    }
    if (failure != CODE_OK) {
        Enti_SendCancel(entry, job);
        Enti_Answer(entry, job, failure, "after takeover");
        return;
    }
    Enti_OpenJob(entry, now, job);
}

void
Enti_Collect(struct entry *entry, struct now now, struct ent_job *job)
{
    struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    if (!issuer || !Enti_IsOwner(issuer)) {
        return;
    }
    issuer->used_us = now.us;
    switch (check_agents(entry, now, issuer, &job->key)) {
    case COLLECTED_WAIT:
        break;
    case COLLECTED_EXPIRED:
        Enti_Answer(entry, job, CODE_KEY_EXPIRED, "after takeover");
        break;
    case COLLECTED_ALL:
        restore_job(entry, now, job,
                    issuer->loss_version > job->key.registry_version);
        break;
    }
}

void
Enti_CollectRange(struct entry *entry, struct now now,
                  const struct ent_issuer *issuer)
{
    for (uint32_t i = entry->open_jobs; i-- > 0;) {
        struct ent_job *job =
            i < entry->open_jobs ? entry->open_list[i] : NULL;
        if (job && job->key.issuer == issuer->issuer &&
            job->state == ENT_JOB_COLLECTING) {
            Enti_Collect(entry, now, job);
        }
    }
}

void
Enti_ResendFences(struct entry *entry, struct now now)
{
    struct ent_issuer *issuer;
    for (issuer = entry->issuer_index; issuer; issuer = issuer->hh.next) {
        struct ent_fence *fence = issuer->fences;
        for (; fence; fence = fence->next) {
            if (!is_complete(fence) && fence->resend_us <= now.us) {
                send_fence(entry, now, issuer, fence);
            }
        }
    }
}
