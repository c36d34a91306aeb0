/* While an agent drains, it resends outcomes until their owners have
 * acknowledged them. */
#include "agent_impl.h"

/* Maximum number of outcomes resent in one interval. */
#define RESEND_BATCH 1000

/* Find the entry that an outcome is to be sent to. NULL if the agent has no
 * contact with it. */
static const struct ag_entry *
find_owner(const struct agent *agent, const struct ag_task *task)
{
    uint64_t owner = Agi_Epoch(agent, task->job->key.issuer).owner;
    return Agi_FindEntry(agent, owner ? owner : task->epoch.owner);
}

static int
is_unacked(const struct ag_task *task)
{
    return task->state >= TASK_FINISHED && task->state <= TASK_DISCARDED &&
           !task->acked && !task->job->answer_read;
}

void
Agi_OnResultAck(struct agent *agent, const struct msg_result_ack *ack)
{
    struct ag_job *job = Agi_FindJob(agent, &ack->key);
    struct ag_task *task = job ? Agi_FindTask(job, ack->task) : NULL;
    if (task && is_unacked(task)) {
        task->acked = 1;
        agent->unacked -= agent->unacked > 0;
    }
}

void
Agi_ResendResults(struct agent *agent, struct now now)
{
    int is_waiting = now.us - agent->drain_started_us < AG_OWNER_WAIT_US;
    uint32_t resent = 0;
    uint32_t slot = 0;
    struct ag_task *task;
    if (now.us < agent->next_resend_us) {
        return;
    }
    agent->next_resend_us = now.us + AG_RESEND_INTERVAL_US;
    agent->unacked = 0;
    while ((task = Tab_Next(&agent->tasks, &slot))) {
        if (!is_unacked(task)) {
            continue;
        }
        const struct ag_entry *owner = find_owner(agent, task);
        if (owner || is_waiting) {
            agent->unacked++;
        }
        if (owner && resent++ < RESEND_BATCH) {
            CTR_INC(agent->counters, result_resent);
            Agi_SendTask(agent, owner->incarnation, MSG_RESULT, task);
        }
    }
}
