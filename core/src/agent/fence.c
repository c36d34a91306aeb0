/* Fences, cancellations and word that an answer was read. */
#include <string.h>

#include "agent_impl.h"

static uint32_t
report_job(struct agent *agent, uint64_t to, const struct ag_job *job)
{
    uint32_t count = 0;
    for (const struct ag_task *task = job->tasks; task; task = task->next) {
        if (task->state != TASK_REFUSED && task->state != TASK_WAITING) {
            Agi_SendTask(agent, to, MSG_HELD, task);
            count++;
        }
    }
    if (job->cancelled) {
        struct msg msg = {.type = MSG_HELD};
        msg.u.result.key = job->key;
        msg.u.result.epoch = Agi_Epoch(agent, job->key.issuer);
        msg.u.result.task = WIRE_WHOLE_KEY;
        msg.u.result.state = TASK_REFUSED;
        msg.u.result.code = CODE_CANCELLED;
        Act_Send(&agent->sink, to, &msg);
        count++;
    }
    return count;
}

static uint32_t
report_starts(struct agent *agent, uint64_t to, uint64_t issuer)
{
    uint32_t count = 0;
    uint32_t slot = 0;
    struct ag_job *job;
    while ((job = Tab_Next(&agent->jobs, &slot))) {
        if (job->key.issuer == issuer) {
            count += report_job(agent, to, job);
        }
    }
    return count;
}

void
Agi_OnFence(struct agent *agent, struct now now, uint64_t from,
            const struct msg_fence *fence)
{
    struct msg msg = {.type = MSG_FENCED};
    CTR_INC(agent->counters, fences);
    if (Agi_AdoptEpoch(agent, now, fence->issuer, fence->epoch) == 0) {
        msg.u.fenced.count = report_starts(agent, from, fence->issuer);
    }
    msg.u.fenced.issuer = fence->issuer;
    msg.u.fenced.epoch = Agi_Epoch(agent, fence->issuer);
    msg.u.fenced.forgotten_s = agent->forgotten_s;
    Act_Send(&agent->sink, from, &msg);
}

static void
stop_task(struct agent *agent, struct ag_task *task)
{
    if (task->state != TASK_RUNNING || task->stopping) {
        return;
    }
    task->stopping = 1;
    struct act act = {.type = ACT_STOP};
    act.u.stop.task = Tab_Handle(&agent->tasks, task);
    Act_Emit(&agent->sink, &act);
}

void
Agi_OnCancel(struct agent *agent, struct now now,
             const struct msg_cancel *cancel)
{
    if (Agi_AdoptEpoch(agent, now, cancel->key.issuer, cancel->epoch) ||
        cancel->key.issued_s <= agent->forgotten_s) {
        return;
    }
    struct ag_job *job = Agi_AddJob(agent, &cancel->key);
    if (!job) {
        return;
    }
    job->cancelled = 1;
    Agi_RevokeJob(agent, job);
    for (struct ag_task *task = job->tasks; task; task = task->next) {
        stop_task(agent, task);
    }
}

void
Agi_OnRead(struct agent *agent, const struct msg_read *read)
{
    struct ag_job *job = Agi_FindJob(agent, &read->key);
    for (struct ag_task *task = job ? job->tasks : NULL; task;
         task = task->next) {
        if (task->state == TASK_FINISHED) {
            Agi_DropOutput(agent, task);
            task->state = TASK_GONE;
        }
    }
}
