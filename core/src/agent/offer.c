/* A stopping agent sees to it that every outcome is with an owner. */
#include "agent_impl.h"

/* Results offered at once. */
#define OFFER_BATCH 1000

/* The entry that the outcome is for, NULL when it is not heard. */
static const struct ag_entry *
find_owner(const struct agent *agent, const struct ag_task *task)
{
    uint64_t owner = Agi_Epoch(agent, task->job->key.issuer).owner;
    return Agi_FindEntry(agent, owner ? owner : task->epoch.owner);
}

static int
is_untaken(const struct ag_task *task)
{
    return task->state >= TASK_FINISHED && task->state <= TASK_DISCARDED &&
           !task->taken && !task->job->read;
}

void
Agi_OnTaken(struct agent *agent, const struct msg_result_ack *taken)
{
    struct ag_job *job = Agi_FindJob(agent, &taken->key);
    struct ag_task *task = job ? Agi_FindTask(job, taken->task) : NULL;
    if (task && is_untaken(task)) {
        task->taken = 1;
        agent->untaken -= agent->untaken > 0;
    }
}

void
Agi_OfferResults(struct agent *agent, struct now now)
{
    int patient = now.us - agent->drain_us < AG_ORPHAN_WAIT_US;
    uint32_t offered = 0;
    uint32_t slot = 0;
    struct ag_task *task;
    if (now.us < agent->next_offer_us) {
        return;
    }
    agent->next_offer_us = now.us + AG_OFFER_INTERVAL_US;
    agent->untaken = 0;
    while ((task = Tab_Next(&agent->tasks, &slot))) {
        if (!is_untaken(task)) {
            continue;
        }
        const struct ag_entry *owner = find_owner(agent, task);
        if (owner || patient) {
            agent->untaken++;
        }
        if (owner && offered++ < OFFER_BATCH) {
            CTR_INC(agent->counters, result_resent);
            Agi_SendTask(agent, owner->incarnation, MSG_RESULT, task);
        }
    }
}
