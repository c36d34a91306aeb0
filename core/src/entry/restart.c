/* Restartable jobs (SUB_RESTART). They are not kept for later requests: only
 * the caller that waits on a connection gets the answer, and their tasks may
 * run again from the start. Two runs of a task must never overlap, so a task
 * is placed again only when its earlier run has certainly ended. */
#include <stdlib.h>
#include <string.h>

#include "cancel.h"
#include "job.h"
#include "peer.h"
#include "place.h"

int
Enti_IsRestartable(const struct ent_job *job)
{
    return (job->flags & SUB_RESTART) != 0;
}

struct ent_job *
Enti_FindJobByName(const struct entry *entry, uint64_t name)
{
    struct ent_job *job;
    HASH_FIND(name_hh, entry->name_index, &name, sizeof(name), job);
    return job;
}

int
Enti_Retry(struct entry *entry, struct now now, struct ent_job *job,
           struct ent_task *task, enum code code)
{
    if (!Enti_IsRestartable(job)) {
        return 0;
    }
    /* Only CODE_TASK_FAILED counts against the task: other codes are faults of
     * the worker or its agent. */
    task->failures += code == CODE_TASK_FAILED;
    if (task->failures >= job->max_attempts && code == CODE_TASK_FAILED) {
        return 0;
    }
    job->may_have_run = 1;
    Enti_LogDecision(entry, now, LOG_EVENT_RETRIED, job, task,
                     Enti_FindPeer(entry, task->agent), code);
    Enti_Requeue(entry, now, job, task);
    return 1;
}

/* Stop the running tasks of a job, and answer it. */
static void
cancel_and_answer(struct entry *entry, struct ent_job *job, enum code code,
                  const char *detail)
{
    Enti_SendCancel(entry, job);
    Enti_Answer(entry, job, code, detail);
}

void
Enti_OnRunLost(struct entry *entry, struct now now, struct ent_job *job,
               struct ent_task *task, const struct ent_peer *agent)
{
    const struct timing *timing = &entry->settings.timing;
    uint64_t end_us = now.us + timing->exit_quiesce_us;
    Enti_LogDecision(entry, now, LOG_EVENT_LOST, job, task, agent,
                     CODE_RUN_LOST);
    if (now.us - agent->heard_us >= timing->quiesce_us) {
        end_us = now.us;
    }
    if (end_us + job->critical_path_us > job->deadline_us) {
        cancel_and_answer(entry, job, CODE_OUTCOME_UNKNOWN,
                          agent->member.node);
        return;
    }
    task->state = ENT_LOST;
    task->resend_us = end_us;
    if (end_us < job->next_resend_us) {
        job->next_resend_us = end_us;
    }
}

static int
has_task_at(const struct ent_job *job, uint64_t agent)
{
    for (uint32_t i = 0; i < job->task_count; i++) {
        if (job->tasks[i].state == ENT_SENT && job->tasks[i].agent == agent) {
            return 1;
        }
    }
    return 0;
}

void
Enti_OnAgentSilent(struct entry *entry, struct now now,
                   const struct ent_peer *agent)
{
    uint64_t quiesced_us = agent->heard_us + entry->settings.timing.quiesce_us;
    for (uint32_t i = entry->open_jobs; i-- > 0;) {
        struct ent_job *job =
            i < entry->open_jobs ? entry->open_list[i] : NULL;
        if (!job || job->state != ENT_JOB_OPEN || !Enti_IsRestartable(job) ||
            !has_task_at(job, agent->member.incarnation)) {
            continue;
        }
        if (quiesced_us + job->critical_path_us > job->deadline_us) {
            Enti_LogDecision(entry, now, LOG_EVENT_LOST, job, NULL, agent,
                             CODE_OUTCOME_UNKNOWN);
            cancel_and_answer(entry, job, CODE_OUTCOME_UNKNOWN,
                              agent->member.node);
        }
    }
}

int
Ent_CancelJobByName(struct entry *entry, uint64_t name)
{
    struct ent_job *job = Enti_FindJobByName(entry, name);
    if (!job) {
        return 0;
    }
    cancel_and_answer(entry, job, CODE_JOB_CANCELLED, NULL);
    return 1;
}

int
Ent_FindJobByName(const struct entry *entry, uint64_t name, int *is_running)
{
    const struct ent_job *job = Enti_FindJobByName(entry, name);
    *is_running = job && Enti_HasStarted(job);
    return job != NULL;
}

uint32_t
Ent_CountWaiting(const struct entry *entry, const char *kind)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < entry->open_jobs; i++) {
        const struct ent_job *job = entry->open_list[i];
        count += !Enti_HasStarted(job) && strcmp(job->kind, kind) == 0;
    }
    return count;
}

static void
drop_waiter(struct ent_job *job, conn_id conn)
{
    struct ent_waiter **at = &job->waiters;
    while (*at && ((*at)->entry != 0 || (*at)->conn != conn)) {
        at = &(*at)->next;
    }
    struct ent_waiter *waiter = *at;
    if (waiter) {
        *at = waiter->next;
        free(waiter);
    }
}

void
Ent_OnCallerDisconnected(struct entry *entry, conn_id conn,
                         const struct key *key)
{
    struct ent_job *job = Enti_FindJob(entry, key);
    if (!job || job->state == ENT_JOB_ANSWERED) {
        return;
    }
    drop_waiter(job, conn);
    if (job->waiters || !Enti_IsRestartable(job)) {
        return;
    }
    CTR_INC(entry->counters, jobs_abandoned);
    cancel_and_answer(entry, job, CODE_JOB_CANCELLED, NULL);
}
