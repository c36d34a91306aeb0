/* Outcomes and refusals of tasks, and the loss of agents. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cancel.h"
#include "job.h"
#include "place.h"
#include "key_range.h"

/* Interval after which a start is sent again to an agent that has reported the
 * task as running or waiting, to ask for its state. */
#define RUNNING_RESEND_US (3 * US_PER_S)

struct ent_task *
Enti_FindTask(const struct ent_job *job, uint32_t no)
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

void
Enti_SendToAgents(struct entry *entry, const struct ent_job *job,
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
Enti_SendRelease(struct entry *entry, struct ent_job *job)
{
    struct msg msg = {.type = MSG_RELEASE};
    if (job->answer_read) {
        return;
    }
    job->answer_read = 1;
    msg.u.release.key = job->key;
    Enti_SendToAgents(entry, job, &msg);
}

void
Enti_FailJob(struct entry *entry, struct ent_job *job,
             const struct ent_task *task, enum code code)
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
        Enti_FailJob(entry, job, task, CODE_ANSWER_GONE);
        return;
    }
    if (output.size) {
        memcpy(copy, output.data, output.size);
    }
    Enti_ReleaseSlot(entry, job, task);
    task->state = ENT_DONE;
    task->output.data = copy;
    task->output.size = output.size;
    uint32_t unblocked = Enti_FinishTask(job, task);
    if (job->unfinished == 0) {
        Enti_Answer(entry, job, CODE_OK, NULL);
    }
    else if (unblocked) {
        Enti_Unblock(entry, job, unblocked);
    }
}

/* The outcome of a task is unknown: it may have run. A task of a restartable
 * job or of an idempotent request is placed again; any other job fails. */
static void
on_outcome_unknown(struct entry *entry, struct now now, struct ent_job *job,
                   struct ent_task *task, enum code code)
{
    unsigned required = SUB_IDEMPOTENT | SUB_REQUEST;
    if (Enti_Retry(entry, now, job, task, code)) {
        return;
    }
    if ((job->flags & required) != required ||
        job->unknown_retries >= ENT_MAX_UNKNOWN_RETRIES) {
        Enti_FailJob(entry, job, task, code);
        return;
    }
    job->unknown_retries++;
    job->may_have_run = 1;
    Enti_Requeue(entry, now, job, task);
}

/* True for refusals that concern the start and not the state of the agent,
 * which may be sent other starts at once. */
static int
is_refusal_of_start(enum code code)
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
    /* Attempts are counted from 1 again under each epoch, so a refusal of
     * another epoch is about another start. An agent that knows the current
     * epoch answers OLD_EPOCH to a start sent under an earlier one. */
    if (result->attempt != task->attempt || result->code == CODE_OLD_EPOCH ||
        Epoch_Compare(result->epoch, issuer->epoch) != 0) {
        CTR_INC(entry->counters, result_stale);
        return;
    }
    Ctr_CountCode(entry->counters, result->code);
    if (result->code == CODE_CANCELLED) {
        Enti_FailJob(entry, job, task, CODE_JOB_CANCELLED);
        return;
    }
    if (Code_Run(result->code) != CODE_NOT_RUN) {
        /* The agent no longer has a record of the key, and may have run the
         * task. */
        on_outcome_unknown(entry, now, job, task, result->code);
        return;
    }
    Enti_LogDecision(entry, now, LOG_EVENT_RETRIED, job, task, agent,
                     result->code);
    if (task->is_confined && result->code == CODE_NO_SLOT) {
        Enti_OnConfinedRefused(now, agent);
    }
    Enti_Requeue(entry, now, job, task);
    if (result->code == CODE_UNHEALTHY) {
        agent->ejected = 1;
    }
    else if (is_refusal_of_start(result->code)) {
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
        Enti_LearnRunTime(now, job, task, agent, result->run_us);
        finish_task(entry, job, task, result->output);
        break;
    case TASK_FAILED:
        if (Enti_IsRestartable(job) && result->attempt != task->attempt) {
            /* A delayed report on an earlier attempt: the current one may be
             * running there by now. */
            CTR_INC(entry->counters, result_stale);
            break;
        }
        if (Enti_Retry(entry, now, job, task, result->code)) {
            break;
        }
        if (Code_Run(result->code) == CODE_UNKNOWN) {
            on_outcome_unknown(entry, now, job, task, result->code);
        }
        else {
            Enti_FailJob(entry, job, task, result->code);
        }
        break;
    case TASK_DISCARDED:
        Enti_FailJob(entry, job, task, CODE_ANSWER_GONE);
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

/* Each result reports the slots and resources in use at the agent. */
static void
update_agent_use(struct ent_peer *agent, const struct msg_result *result)
{
    agent->other_slots = result->busy > result->receiver_busy
                             ? result->busy - result->receiver_busy
                             : 0;
    Enti_SetOthersUsed(agent, &result->used, &result->receiver_used);
}

/* Confirm an outcome to an agent that is stopping: it waits until its outcomes
 * are known to the owner. */
static void
send_result_ack(struct entry *entry, const struct ent_peer *agent,
                const struct msg_result *result, const struct ent_job *job)
{
    const struct ent_issuer *issuer =
        Enti_FindIssuer(entry, result->key.issuer);
    if (!agent->draining || result->state < TASK_FINISHED || !issuer ||
        !Enti_IsOwner(issuer)) {
        return;
    }
    int is_settled =
        job ? job->state == ENT_JOB_OPEN || job->state == ENT_JOB_ANSWERED
            : issuer->state == ENT_ISSUER_OWN;
    if (!is_settled && !Enti_HasReported(issuer, agent->member.incarnation)) {
        return;
    }
    struct msg msg = {.type = MSG_RESULT_ACK};
    msg.u.result_ack.key = result->key;
    msg.u.result_ack.task = result->task;
    Act_Send(&entry->sink, agent->member.incarnation, &msg);
}

static void
on_open_job_result(struct entry *entry, struct now now, struct ent_job *job,
                   struct ent_peer *agent, const struct msg_result *result)
{
    struct ent_task *task = Enti_FindTask(job, result->task);
    if (!task || task->state != ENT_SENT ||
        task->agent != agent->member.incarnation) {
        CTR_INC(entry->counters, result_duplicate);
        return;
    }
    apply_result(entry, now, job, task, agent, result);
    if (job->state == ENT_JOB_ANSWERED && job->code == CODE_OK) {
        Enti_CountResponse(job, now);
    }
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
    if (job && job->state == ENT_JOB_OPEN) {
        on_open_job_result(entry, now, job, agent, result);
    }
    else if (job && job->unconfirmed) {
        Enti_ConfirmCancel(entry, job, agent->member.incarnation, result);
    }
    else {
        CTR_INC(entry->counters, result_stale);
    }
    if (!service && job) {
        /* The upstream is gone, and its tasks are placed elsewhere. */
        service = job->service;
    }
    /* Also of an ended job: the agent does not report this load again. */
    update_agent_use(agent, result);
    send_result_ack(entry, agent, result, job);
    if (service && service->waiting) {
        Enti_Place(entry, now, service);
    }
}

void
Enti_ResendSoon(struct entry *entry, struct now now, uint64_t agent)
{
    uint64_t resend_us = now.us + entry->settings.timing.heartbeat_us;
    for (uint32_t i = 0; i < entry->open_jobs; i++) {
        struct ent_job *job = entry->open_list[i];
        for (uint32_t j = 0; j < job->task_count; j++) {
            struct ent_task *task = &job->tasks[j];
            if (task->state == ENT_SENT && task->agent == agent &&
                task->resend_us > resend_us) {
                task->resend_us = resend_us;
                job->next_resend_us = 0;
            }
        }
    }
}

static void
on_job_tasks_lost(struct entry *entry, struct now now, struct ent_job *job,
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
            Enti_OnRunLost(entry, now, job, task, agent);
            continue;
        }
        on_outcome_unknown(entry, now, job, task, CODE_OUTCOME_UNKNOWN);
    }
}

void
Enti_OnAgentLost(struct entry *entry, struct now now, struct ent_peer *agent)
{
    struct ent_service *service = agent->service;
    agent->leaving = 1;
    for (uint32_t i = entry->open_jobs; i-- > 0;) {
        if (i < entry->open_jobs &&
            entry->open_list[i]->state == ENT_JOB_OPEN) {
            on_job_tasks_lost(entry, now, entry->open_list[i], agent);
        }
    }
    Enti_ForgetAgentCancels(entry, agent);
    agent->outstanding = 0;
    agent->used = (struct resources){0, 0, 0};
    agent->requests = 0;
    if (service && service->waiting) {
        Enti_Place(entry, now, service);
    }
}
