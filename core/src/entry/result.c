/* Outcomes of tasks, refusals, and agents that are lost. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_impl.h"

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
    struct msg msg = {.type = MSG_READ};
    if (job->read) {
        return;
    }
    job->read = 1;
    msg.u.read.key = job->key;
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
    job->open--;
    if (job->open == 0) {
        Enti_Answer(entry, job, CODE_OK, NULL);
    }
}

static void
on_refused(struct entry *entry, struct now now, struct ent_job *job,
           struct ent_task *task, struct ent_peer *agent,
           const struct msg_result *result)
{
    if (result->attempt != task->attempt) {
        CTR_INC(entry->counters, result_stale);
        return;
    }
    Ctr_Code(entry->counters, result->code);
    Enti_Requeue(entry, now, job, task);
    if (result->code != CODE_NO_SLOT) {
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
        Enti_Learn(job, task, agent, result->run_us);
        finish_task(entry, job, task, result->output);
        break;
    case TASK_FAILED:
        fail_job(entry, job, task, result->code);
        break;
    case TASK_GONE:
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
    agent->others =
        result->busy > result->mine ? result->busy - result->mine : 0;
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
        return;
    }
    struct ent_task *task = find_task(job, result->task);
    if (!task || task->state != ENT_SENT ||
        task->agent != agent->member.incarnation) {
        CTR_INC(entry->counters, result_duplicate);
        return;
    }
    apply_result(entry, now, job, task, agent, result);
    note_busy(agent, result);
    if (service && service->waiting) {
        Enti_Place(entry, now, service);
    }
}

static void
lose_job_tasks(struct entry *entry, struct now now, struct ent_job *job,
               uint64_t agent)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct ent_task *task = &job->tasks[i];
        if (job->state != ENT_JOB_OPEN) {
            return;
        }
        if (task->state != ENT_SENT || task->agent != agent) {
            continue;
        }
        if (job->flags & SUB_IDEMPOTENT) {
            Enti_Requeue(entry, now, job, task);
        }
        else {
            fail_job(entry, job, task, CODE_OUTCOME_UNKNOWN);
        }
    }
}

void
Enti_LoseAgent(struct entry *entry, struct now now, struct ent_peer *agent)
{
    uint64_t incarnation = agent->member.incarnation;
    struct ent_service *service = agent->service;
    uint32_t slot = 0;
    struct ent_job *job;
    agent->leaving = 1;
    while ((job = Tab_Next(&entry->jobs, &slot))) {
        if (job->state == ENT_JOB_OPEN) {
            lose_job_tasks(entry, now, job, incarnation);
        }
    }
    agent->outstanding = 0;
    agent->calls = 0;
    if (service && service->waiting) {
        Enti_Place(entry, now, service);
    }
}
