/* The outbox batches the outcomes of one job's tasks. Each message costs an
 * entry as much processor time as the placement of a task, and the caller is
 * not answered before the last outcome anyway. An outcome stays in the outbox
 * while another task of its job runs here, but only until the next tick, so
 * that the entry learns of the slot that has become free. Only outcomes of
 * restartable tasks are batched: those of other jobs, which are kept for later
 * requests, are sent at once. */
#include "agent_impl.h"

static uint64_t
owner_of(const struct agent *agent, const struct ag_task *task)
{
    return Agi_Epoch(agent, task->job->key.issuer).owner;
}

/* Send the outcomes in the outbox for `owner`, or all if it is 0. */
static void
flush_outbox(struct agent *agent, uint64_t owner)
{
    struct ag_outbox *outbox = &agent->outbox;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < outbox->count; i++) {
        struct ag_task *task = Tab_Get(&agent->tasks, outbox->tasks[i]);
        if (!task || task->state != TASK_FINISHED) {
            continue;
        }
        uint64_t to = owner_of(agent, task);
        if (owner != 0 && to != owner) {
            outbox->tasks[kept++] = outbox->tasks[i];
            continue;
        }
        Agi_SendTask(agent, to, MSG_RESULT, task);
    }
    outbox->count = kept;
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
