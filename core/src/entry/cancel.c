/* Cancellations. One that is lost with its connection would leave runs of a
 * restartable job going, as later heartbeats tell the agent that this entry
 * still follows them, and the caller may have the job started elsewhere. So
 * the job is kept, and its cancellation sent again, until each agent has
 * confirmed that nothing of it runs there. */
#include "cancel.h"

#include <utlist.h>

#include "job.h"
#include "key_range.h"
#include "peer.h"

/* Interval at which unconfirmed cancellations are sent again. One timer serves
 * them all, so that an agent gets one frame for many of them. */
#define CANCEL_RESEND_US (50 * US_PER_MS)

static int
make_cancel(const struct entry *entry, const struct ent_job *job,
            struct msg *msg)
{
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    msg->type = MSG_CANCEL;
    msg->u.cancel.key = job->key;
    if (!issuer) {
        return -1;
    }
    msg->u.cancel.epoch = issuer->epoch;
    return 0;
}

/* Whether the task is the first of the job's that may run at its agent. */
static int
is_first_unconfirmed(const struct ent_job *job, const struct ent_task *task)
{
    const struct ent_task *other = job->tasks;
    if (!task->unconfirmed) {
        return 0;
    }
    while (other != task &&
           !(other->unconfirmed && other->agent == task->agent)) {
        other++;
    }
    return other == task;
}

/* Sends the cancellation again to one agent, or to all if `agent` is 0. */
static void
resend(struct entry *entry, const struct ent_job *job, uint64_t agent)
{
    struct msg msg;
    if (make_cancel(entry, job, &msg)) {
        return;
    }
    for (uint32_t i = 0; i < job->task_count; i++) {
        const struct ent_task *task = &job->tasks[i];
        if ((agent == 0 || task->agent == agent) &&
            is_first_unconfirmed(job, task)) {
            CTR_INC(entry->counters, cancels_resent);
            Act_Send(&entry->sink, task->agent, &msg);
        }
    }
}

static void
set_confirmed(struct entry *entry, struct ent_job *job, struct ent_task *task)
{
    struct ent_peer *agent = Enti_FindPeer(entry, task->agent);
    if (!task->unconfirmed) {
        return;
    }
    task->unconfirmed = 0;
    if (agent) {
        agent->unconfirmed--;
    }
    if (--job->unconfirmed == 0) {
        DL_DELETE2(entry->cancelled_jobs, job, cancelled_prev, cancelled_next);
    }
}

static void
set_unconfirmed(struct entry *entry, struct ent_job *job,
                struct ent_task *task)
{
    struct ent_peer *agent = Enti_FindPeer(entry, task->agent);
    if (!agent || task->state != ENT_SENT || task->unconfirmed) {
        return;
    }
    task->unconfirmed = 1;
    agent->unconfirmed++;
    if (job->unconfirmed++ == 0) {
        job->cancel_until_us = 0;
        DL_APPEND2(entry->cancelled_jobs, job, cancelled_prev, cancelled_next);
    }
}

void
Enti_SendCancel(struct entry *entry, struct ent_job *job)
{
    struct msg msg;
    if (make_cancel(entry, job, &msg)) {
        return;
    }
    Enti_SendToAgents(entry, job, &msg);
    for (uint32_t i = 0; Enti_IsRestartable(job) && i < job->task_count; i++) {
        set_unconfirmed(entry, job, &job->tasks[i]);
    }
}

void
Enti_ForgetCancel(struct entry *entry, struct ent_job *job)
{
    for (uint32_t i = 0; job->unconfirmed && i < job->task_count; i++) {
        set_confirmed(entry, job, &job->tasks[i]);
    }
}

static int
is_confirmed(const struct ent_task *task, const struct msg_result *result)
{
    if (result->task == WIRE_ALL_TASKS) {
        return result->code == CODE_CANCELLED;
    }
    return result->task == task->no && result->attempt == task->attempt &&
           (result->state == TASK_FINISHED || result->state == TASK_FAILED ||
            result->state == TASK_DISCARDED);
}

void
Enti_ConfirmCancel(struct entry *entry, struct ent_job *job, uint64_t agent,
                   const struct msg_result *result)
{
    for (uint32_t i = 0; job->unconfirmed && i < job->task_count; i++) {
        struct ent_task *task = &job->tasks[i];
        if (task->agent == agent && is_confirmed(task, result)) {
            set_confirmed(entry, job, task);
        }
    }
}

void
Enti_ForgetAgentCancels(struct entry *entry, const struct ent_peer *agent)
{
    struct ent_job *job;
    struct ent_job *following;
    if (agent->unconfirmed == 0) {
        return;
    }
    DL_FOREACH_SAFE2(entry->cancelled_jobs, job, following, cancelled_next)
    {
        for (uint32_t i = 0; job->unconfirmed && i < job->task_count; i++) {
            if (job->tasks[i].agent == agent->member.incarnation) {
                set_confirmed(entry, job, &job->tasks[i]);
            }
        }
    }
}

void
Enti_ResendCancelsTo(struct entry *entry, const struct ent_peer *agent)
{
    const struct ent_job *job;
    if (agent->unconfirmed == 0) {
        return;
    }
    DL_FOREACH2(entry->cancelled_jobs, job, cancelled_next)
    {
        resend(entry, job, agent->member.incarnation);
    }
}

static void
give_up(struct entry *entry, struct now now, struct ent_job *job)
{
    CTR_INC(entry->counters, cancels_unconfirmed);
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (is_first_unconfirmed(job, &job->tasks[i])) {
            Enti_LogDecision(
                entry, now, LOG_EVENT_UNCONFIRMED, job, &job->tasks[i],
                Enti_FindPeer(entry, job->tasks[i].agent), job->code);
        }
    }
    Enti_ForgetCancel(entry, job);
}

void
Enti_ResendCancels(struct entry *entry, struct now now)
{
    struct ent_job *job;
    struct ent_job *following;
    if (now.us < entry->next_cancel_us) {
        return;
    }
    entry->next_cancel_us = now.us + CANCEL_RESEND_US;
    DL_FOREACH_SAFE2(entry->cancelled_jobs, job, following, cancelled_next)
    {
        if (job->cancel_until_us == 0) {
            /* Sent since the last round; most are confirmed by the next. */
            job->cancel_until_us = now.us + entry->settings.timing.quiesce_us;
        }
        else if (now.us >= job->cancel_until_us) {
            give_up(entry, now, job);
        }
        else {
            resend(entry, job, 0);
        }
    }
}
