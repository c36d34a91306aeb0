/* Outcomes of tasks, refusals, and agents that are lost. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "place.h"
#include "range.h"

/* A start known as running is asked for again after this. */
#define RUNNING_RESEND_US (3 * US_PER_S)

static struct ent_task *
find_task(const struct ent_job *job, uint32_t no)
{
    uint32_t low = 0;
    uint32_t high = job->task_count;
    while (low < high) {
        uint32_t mid = (low + high) / 2;
        if (job->tasks[mid].no < no) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    if (low < job->task_count && job->tasks[low].no == no) {
        return &job->tasks[low];
    }
    return NULL;
}

/* Calls `send` once for each agent that was sent a task of the job. */
static void
for_each_agent(struct entry *entry, const struct ent_job *job,
               const struct msg *msg)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        uint64_t agent = job->tasks[i].agent;
        uint32_t first = 0;
        while (job->tasks[first].agent != agent) {
            first++;
        }
        if (agent != 0 && first == i) {
            Act_Send(&entry->sink, agent, msg);
        }
    }
}

void
Enti_SendRead(struct entry *entry, struct ent_job *job)
{
    struct msg msg = {.type = MSG_RELEASE};
    if (job->read) {
        return;
    }
    job->read = 1;
    msg.u.release.key = job->key;
    for_each_agent(entry, job, &msg);
}

void
Enti_SendCancel(struct entry *entry, struct ent_job *job)
{
    struct msg msg = {.type = MSG_CANCEL};
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    if (!issuer) {
        return;
    }
    msg.u.cancel.key = job->key;
    msg.u.cancel.epoch = issuer->epoch;
    for_each_agent(entry, job, &msg);
}

static void
fail_job(struct entry *entry, struct ent_job *job, const struct ent_task *task,
         enum code code)
{
    char detail[WIRE_ADDR_SIZE];
    snprintf(detail, sizeof(detail), "task %u", task->no);
    Enti_SendCancel(entry, job);
    Enti_Answer(entry, job, code, detail);
}

static void
finish_task(struct entry *entry, struct ent_job *job, struct ent_task *task,
            struct bytes output)
{
    void *copy = malloc(output.size ? output.size : 1);
    if (!copy) {
        fail_job(entry, job, task, CODE_ANSWER_GONE);
        return;
    }
    if (output.size) {
        memcpy(copy, output.data, output.size);
    }
    Enti_Release(entry, job, task);
    task->state = ENT_DONE;
    task->output.data = copy;
    task->output.size = output.size;
    uint32_t freed = Enti_EndTask(job, task);
    if (job->open == 0) {
        Enti_Answer(entry, job, CODE_OK, NULL);
    }
    else if (freed) {
        Enti_Unblock(entry, job, freed);
    }
}

/* The task may have been run by an agent that cannot tell. */
static void
on_unknown(struct entry *entry, struct now now, struct ent_job *job,
           struct ent_task *task, enum code code)
{
    unsigned both = SUB_IDEMPOTENT | SUB_REQUEST;
    if (Enti_Retry(entry, now, job, task, code)) {
        return;
    }
    if ((job->flags & both) != both || job->unknowns >= ENT_MAX_UNKNOWN) {
        fail_job(entry, job, task, code);
        return;
    }
    job->unknowns++;
    job->maybe_ran = 1;
    Enti_Requeue(entry, now, job, task);
}

/* Refusals after which the agent may be sent other starts at once. */
static int
says_nothing_of_agent(enum code code)
{
    return code == CODE_NO_SLOT || code == CODE_NO_ROOM ||
           code == CODE_STALE_START || code == CODE_NO_LABEL;
}

static void
on_refused(struct entry *entry, struct now now, struct ent_job *job,
           struct ent_task *task, struct ent_peer *agent,
           const struct msg_result *result)
{
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    /* Attempts are counted from new under each epoch, and an agent that knows
     * the present one says OLD_EPOCH of a start that was sent before it. */
    if (result->attempt != task->attempt || result->code == CODE_OLD_EPOCH ||
        Epoch_Compare(result->epoch, issuer->epoch) != 0) {
        CTR_INC(entry->counters, result_stale);
        return;
    }
    Ctr_CountCode(entry->counters, result->code);
    if (result->code == CODE_CANCELLED) {
        fail_job(entry, job, task, CODE_JOB_CANCELLED);
        return;
    }
    if (Code_Run(result->code) != CODE_NOT_RUN) {
        /* The agent has forgotten the key: it may have run the task. */
        on_unknown(entry, now, job, task, result->code);
        return;
    }
    Enti_Note(entry, now, LOG_EVENT_RETRIED, job, task, agent, result->code);
    Enti_Requeue(entry, now, job, task);
    if (result->code == CODE_UNHEALTHY) {
        agent->suspect = 1;
    }
    else if (says_nothing_of_agent(result->code)) {
        return;
    }
    else {
        agent->leaving = 1;
    }
}

static void
apply_result(struct entry *entry, struct now now, struct ent_job *job,
             struct ent_task *task, struct ent_peer *agent,
             const struct msg_result *result)
{
    switch (result->state) {
    case TASK_REFUSED:
        on_refused(entry, now, job, task, agent, result);
        break;
    case TASK_RUNNING:
    case TASK_WAITING:
        task->resend_us = now.us + RUNNING_RESEND_US;
        break;
    case TASK_FINISHED:
        Enti_Learn(now, job, task, agent, result->run_us);
        finish_task(entry, job, task, result->output);
        break;
    case TASK_FAILED:
        if (Enti_IsRestartable(job) && result->attempt != task->attempt) {
            /* Long on its way: the present attempt may run there by now. */
            CTR_INC(entry->counters, result_stale);
            break;
        }
        if (Enti_Retry(entry, now, job, task, result->code)) {
            break;
        }
        if (Code_Run(result->code) == CODE_UNKNOWN) {
            on_unknown(entry, now, job, task, result->code);
        }
        else {
            fail_job(entry, job, task, result->code);
        }
        break;
    case TASK_DISCARDED:
        fail_job(entry, job, task, CODE_ANSWER_GONE);
        break;
    }
}

static int
was_superseded(struct entry *entry, struct now now,
               const struct msg_result *result)
{
    struct ent_issuer *issuer = Enti_FindIssuer(entry, result->key.issuer);
    if (!issuer || !Enti_IsOwner(issuer)) {
        return 1;
    }
    if (Epoch_Compare(result->epoch, issuer->epoch) > 0) {
        Enti_StepDown(entry, now, issuer, result->epoch);
        return 1;
    }
    return 0;
}

/* Each result is news of what others have running there. */
static void
note_busy(struct ent_peer *agent, const struct msg_result *result)
{
    agent->others = result->busy > result->receiver_busy
                        ? result->busy - result->receiver_busy
                        : 0;
    Enti_NoteUsed(agent, &result->used, &result->receiver_used);
}

/* An agent that is stopping waits until its outcomes are safe here. */
static void
send_taken(struct entry *entry, const struct ent_peer *agent,
           const struct msg_result *result, const struct ent_job *job)
{
    const struct ent_issuer *issuer =
        Enti_FindIssuer(entry, result->key.issuer);
    if (!agent->draining || result->state < TASK_FINISHED || !issuer ||
        !Enti_IsOwner(issuer)) {
        return;
    }
    int settled =
        job ? job->state == ENT_JOB_OPEN || job->state == ENT_JOB_ANSWERED
            : issuer->state == ENT_ISSUER_OWN;
    if (!settled && !Enti_HasReported(issuer, agent->member.incarnation)) {
        return;
    }
    struct msg msg = {.type = MSG_RESULT_ACK};
    msg.u.result_ack.key = result->key;
    msg.u.result_ack.task = result->task;
    Act_Send(&entry->sink, agent->member.incarnation, &msg);
}

void
Enti_OnResult(struct entry *entry, struct now now, struct ent_peer *agent,
              const struct msg_result *result)
{
    struct ent_service *service = agent->service;
    if (was_superseded(entry, now, result)) {
        CTR_INC(entry->counters, result_stale);
        return;
    }
    struct ent_job *job = Enti_FindJob(entry, &result->key);
    if (!job || job->state != ENT_JOB_OPEN) {
        CTR_INC(entry->counters, result_stale);
        send_taken(entry, agent, result, job);
        return;
    }
    struct ent_task *task = find_task(job, result->task);
    if (!task || task->state != ENT_SENT ||
        task->agent != agent->member.incarnation) {
        CTR_INC(entry->counters, result_duplicate);
    }
    else {
        apply_result(entry, now, job, task, agent, result);
        if (job->state == ENT_JOB_ANSWERED && job->code == CODE_OK) {
            Enti_CountResponse(job, now);
        }
    }
    note_busy(agent, result);
    send_taken(entry, agent, result, job);
    if (service && service->waiting) {
        Enti_Place(entry, now, service);
    }
}

void
Enti_AskAgain(struct entry *entry, struct now now, uint64_t agent)
{
    uint64_t resend_us = now.us + entry->settings.timing.heartbeat_us;
    for (uint32_t i = 0; i < entry->open_jobs; i++) {
        struct ent_job *job = entry->open[i];
        for (uint32_t j = 0; j < job->task_count; j++) {
            struct ent_task *task = &job->tasks[j];
            if (task->state == ENT_SENT && task->agent == agent &&
                task->resend_us > resend_us) {
                task->resend_us = resend_us;
                job->due_us = 0;
            }
        }
    }
}

static void
lose_job_tasks(struct entry *entry, struct now now, struct ent_job *job,
               const struct ent_peer *agent)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct ent_task *task = &job->tasks[i];
        if (job->state != ENT_JOB_OPEN) {
            return;
        }
        if (task->state != ENT_SENT ||
            task->agent != agent->member.incarnation) {
            continue;
        }
        if (Enti_IsRestartable(job)) {
            Enti_LoseRun(entry, now, job, task, agent);
            continue;
        }
        on_unknown(entry, now, job, task, CODE_OUTCOME_UNKNOWN);
    }
}

void
Enti_LoseAgent(struct entry *entry, struct now now, struct ent_peer *agent)
{
    struct ent_service *service = agent->service;
    agent->leaving = 1;
    for (uint32_t i = entry->open_jobs; i-- > 0;) {
        if (i < entry->open_jobs && entry->open[i]->state == ENT_JOB_OPEN) {
            lose_job_tasks(entry, now, entry->open[i], agent);
        }
    }
    agent->outstanding = 0;
    agent->used = (struct resources){0, 0, 0};
    agent->calls = 0;
    if (service && service->waiting) {
        Enti_Place(entry, now, service);
    }
}
