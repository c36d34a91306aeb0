/* Taking a range of keys over: fence every agent that may have started
 * tasks of it, and collect what they remember. docs/DESIGN.md, 2.2. */
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "range.h"

/* A fence without an answer is sent again after this. */
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
    Act_Send(&entry->sink, fence->agent, &msg);
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

/* Fence the agents that were registered at `rv` and are not yet fenced. */
static void
fence_agents(struct entry *entry, struct now now, struct ent_issuer *issuer,
             uint64_t rv)
{
    uint32_t slot = 0;
    struct ent_peer *peer;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT && peer->member.registered <= rv &&
            !find_fence(issuer, peer->member.incarnation)) {
            add_fence(entry, now, issuer, peer->member.incarnation);
        }
    }
}

void
Enti_TakeOver(struct entry *entry, struct now now, struct ent_issuer *issuer)
{
    CTR_INC(entry->counters, takeovers);
    /* An epoch is never taken twice: messages of the first time may still be
     * on their way. */
    if (issuer->epoch.n > entry->epoch_n) {
        entry->epoch_n = issuer->epoch.n;
    }
    entry->epoch_n += entry->epoch_n ? 1 : 2;
    issuer->epoch.n = entry->epoch_n;
    issuer->epoch.owner = entry->settings.incarnation;
    issuer->state = ENT_ISSUER_TAKEN;
    issuer->loss = entry->last_loss;
    issuer->used_us = now.us;
    Enti_DropFences(issuer);
    fence_agents(entry, now, issuer, entry->version);
}

void
Enti_NoteLoss(struct entry *entry, uint64_t agent, uint64_t version)
{
    if (version > entry->last_loss) {
        entry->last_loss = version;
    }
    struct ent_issuer *issuer;
    for (issuer = entry->issuer_index; issuer; issuer = issuer->hh.next) {
        if (issuer->state != ENT_ISSUER_TAKEN) {
            continue;
        }
        if (agent && is_complete(find_fence(issuer, agent))) {
            continue;
        }
        if (version > issuer->loss) {
            issuer->loss = version;
        }
    }
}

/* Whether an agent that was lost after its report had forgotten the key. */
static int
lost_had_forgotten(const struct entry *entry, const struct ent_issuer *issuer,
                   const struct key *key)
{
    const struct ent_fence *fence = issuer->fences;
    for (; fence; fence = fence->next) {
        if (is_complete(fence) && fence->forgotten_s >= key->issued_s &&
            !Enti_FindPeer(entry, fence->agent)) {
            return 1;
        }
    }
    return 0;
}

/* What the agents' reports allow for a key. */
enum collected { COLLECTED_WAIT, COLLECTED_ALL, COLLECTED_EXPIRED };

static enum collected
check_agents(struct entry *entry, struct now now, struct ent_issuer *issuer,
             const struct key *key)
{
    enum collected state = COLLECTED_ALL;
    uint32_t slot = 0;
    struct ent_peer *peer;
    if (entry->version < key->registry_version) {
        return COLLECTED_WAIT;
    }
    fence_agents(entry, now, issuer, key->registry_version);
    if (lost_had_forgotten(entry, issuer, key)) {
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
        if (fence->forgotten_s >= key->issued_s) {
            state = COLLECTED_EXPIRED;
        }
    }
    return state;
}

/* A request that may be repeated can be known to several agents; the one
 * that has its answer counts most, then one that runs it. */
static int
held_rank(const struct ent_held *held)
{
    switch (held->state) {
    case TASK_FINISHED:
        return 3;
    case TASK_RUNNING:
        return 2;
    default:
        return 1;
    }
}

static struct ent_held *
find_held(const struct ent_job *job, uint32_t task)
{
    struct ent_held *best = NULL;
    for (struct ent_held *held = job->held; held; held = held->next) {
        if (held->task == task &&
            (!best || held_rank(held) > held_rank(best))) {
            best = held;
        }
    }
    return best;
}

/* Set a task from what an agent remembers. Returns the code that the job
 * fails with, CODE_OK when it does not. */
static enum code
apply_held(struct entry *entry, struct now now, struct ent_job *job,
           struct ent_task *task, struct ent_held *held)
{
    struct ent_peer *agent = Enti_FindPeer(entry, held->agent);
    switch (held->state) {
    case TASK_FINISHED:
        task->state = ENT_DONE;
        task->agent = held->agent;
        task->output = held->output;
        held->output = (struct bytes){NULL, 0};
        Enti_CountTask(job, task, -1);
        Enti_EndTask(job, task);
        return CODE_OK;
    case TASK_RUNNING:
        if (!agent) {
            return CODE_OUTCOME_UNKNOWN;
        }
        task->state = ENT_SENT;
        task->agent = held->agent;
        task->resend_us = now.us + START_RESEND_US;
        Enti_CountTask(job, task, -1);
        if (job->flags & SUB_REQUEST) {
            agent->calls++;
        }
        else {
            agent->outstanding++;
            job->share->running++;
        }
        return CODE_OK;
    case TASK_FAILED:
        return held->code;
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
    job->due_us = 0;
}

static int
may_repeat(const struct ent_job *job)
{
    unsigned both = SUB_IDEMPOTENT | SUB_REQUEST;
    return (job->flags & both) == both;
}

static void
restore_job(struct entry *entry, struct now now, struct ent_job *job,
            int uncertain)
{
    enum code fault = CODE_OK;
    if (job->held_hash && job->held_hash != job->body_hash) {
        Enti_EndRemote(entry, job, CODE_KEY_REUSED, NULL);
        return;
    }
    reset_tasks(job);
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct ent_task *task = &job->tasks[i];
        struct ent_held *held = find_held(job, task->no);
        enum code code = CODE_OK;
        if (held) {
            code = apply_held(entry, now, job, task, held);
        }
        if (code != CODE_OK) {
            fault = code;
        }
    }
    /* Used up: a later takeover collects anew. */
    Enti_DropHeld(job);
    if (uncertain && job->waiting > 0) {
        job->maybe_ran = 1;
        if (!may_repeat(job)) {
            fault = CODE_OUTCOME_UNKNOWN;
        }
    }
    if (job->cancelled) {
        fault = CODE_JOB_CANCELLED;
    }
    if (fault != CODE_OK) {
        Enti_SendCancel(entry, job);
        Enti_Answer(entry, job, fault, "after takeover");
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
        restore_job(entry, now, job, issuer->loss > job->key.registry_version);
        break;
    }
}

void
Enti_CollectRange(struct entry *entry, struct now now,
                  const struct ent_issuer *issuer)
{
    for (uint32_t i = entry->open_jobs; i-- > 0;) {
        struct ent_job *job = i < entry->open_jobs ? entry->open[i] : NULL;
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
