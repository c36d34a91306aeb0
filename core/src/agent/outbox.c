/* Outcomes of one job's tasks go out together: each message costs an entry as
 * much processor time as a task's placement, and the caller is answered after
 * the last one anyway. One waits for as long as another task of its job runs
 * here, and no longer than until the next tick, so that the entry learns of
 * the room that it left. Jobs whose outcomes are kept are reported at once. */
#include "agent_impl.h"

static uint64_t
owner_of(const struct agent *agent, const struct ag_task *task)
{
    return Agi_Epoch(agent, task->job->key.issuer).owner;
}

/* Send the outcomes for `owner`, or all when it is 0. */
static void
flush_outbox(struct agent *agent, uint64_t owner)
{
    struct ag_outbox *outbox = &agent->outbox;
    uint32_t left = 0;
    for (uint32_t i = 0; i < outbox->count; i++) {
        struct ag_task *task = Tab_Get(&agent->tasks, outbox->tasks[i]);
        if (!task || task->state != TASK_FINISHED) {
            continue;
        }
        uint64_t to = owner_of(agent, task);
        if (owner != 0 && to != owner) {
            outbox->tasks[left++] = outbox->tasks[i];
            continue;
        }
        Agi_SendTask(agent, to, MSG_RESULT, task);
    }
    outbox->count = left;
}

void
Agi_FlushOutbox(struct agent *agent)
{
    flush_outbox(agent, 0);
}

void
Agi_Report(struct agent *agent, struct ag_task *task)
{
    struct ag_outbox *outbox = &agent->outbox;
    if (task->flags & SUB_RESTART && task->state == TASK_FINISHED &&
        task->job->running > 0 && outbox->count < AG_OUTBOX_SIZE) {
        outbox->tasks[outbox->count++] = Tab_Handle(&agent->tasks, task);
        return;
    }
    uint64_t owner = owner_of(agent, task);
    flush_outbox(agent, owner);
    Agi_SendTask(agent, owner, MSG_RESULT, task);
}
