/* Held starts: a small number of starts that are queued at the agent, for a
 * short time until a slot is free, or until another entry's run of the same
 * task has ended. A held task has not been started. A fence, a cancellation or
 * the end of the hold time turns it into a recorded refusal. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "agent_impl.h"

static int
copy_start(struct ag_hold *hold, const struct msg_start *start)
{
    void *input = malloc(start->input.size ? start->input.size : 1);
    if (!input) {
        return -1;
    }
    if (start->input.size) {
        memcpy(input, start->input.data, start->input.size);
    }
    hold->start = *start;
    hold->start.input.data = input;
    return 0;
}

/* Remove a hold and free its input. */
static void
drop(struct agent *agent, struct ag_hold *hold)
{
    hold->task->job->running--;
    Agi_CountTask(agent, hold->from, -1);
    DL_DELETE(agent->holds[hold->start.priority], hold);
    agent->held--;
    free((void *)hold->start.input.data);
    Tab_Remove(&agent->hold_table, hold);
}

int
Agi_HasOtherRun(const struct agent *agent, const struct ag_task *task,
                const struct msg_start *start)
{
    const struct ag_task *other;
    if (!(start->flags & SUB_RESTART)) {
        return 0;
    }
    DL_FOREACH2(agent->running, other, following)
    {
        if (other->has_job_name && other->job_name == start->name &&
            other->no == start->task && other->job != task->job) {
            return 1;
        }
    }
    return 0;
}

int
Agi_Hold(struct agent *agent, struct now now, uint64_t from,
         const struct msg_start *start, struct ag_task *task)
{
    struct ag_hold *hold = Tab_Add(&agent->hold_table);
    if (!hold) {
        return -1;
    }
    if (copy_start(hold, start)) {
        Tab_Remove(&agent->hold_table, hold);
        return -1;
    }
    hold->task = task;
    hold->from = from;
    hold->since_us = now.us;
    hold->until_us = now.us + start->hold_ms * US_PER_MS;
    task->state = TASK_WAITING;
    task->code = CODE_OK;
    task->epoch = start->epoch;
    task->attempt = start->attempt;
    task->job->running++;
    agent->held++;
    Agi_CountTask(agent, from, 1);
    CTR_INC(agent->counters, starts_held);
    DL_APPEND(agent->holds[start->priority], hold);
    return 0;
}

/* Turn a hold into a recorded refusal. It is sent to the entry if `notify` is
 * not 0. */
static void
refuse_hold(struct agent *agent, struct ag_hold *hold, enum code code,
            int notify)
{
    hold->task->state = TASK_REFUSED;
    hold->task->code = code;
    CTR_INC(agent->counters, holds_refused);
    if (notify) {
        Agi_Refuse(agent, hold->from, &hold->start, code);
    }
    drop(agent, hold);
}

void
Agi_RunHeld(struct agent *agent, struct now now)
{
    for (int priority = 0; priority < PRIO_COUNT; priority++) {
        struct ag_hold *hold;
        struct ag_hold *following;
        DL_FOREACH_SAFE(agent->holds[priority], hold, following)
        {
            if (Agi_HasOtherRun(agent, hold->task, &hold->start)) {
                continue;
            }
            if (Agi_CheckAdmission(agent, now, hold->from, &hold->start) !=
                CODE_OK) {
                return;
            }
            uint64_t waited_ms = (now.us - hold->since_us) / US_PER_MS;
            struct msg_start *start = &hold->start;
            start->deadline_ms -= waited_ms < start->deadline_ms
                                      ? (uint32_t)waited_ms
                                      : start->deadline_ms;
            Agi_BeginTask(agent, now, hold->from, hold->task, start);
            drop(agent, hold);
        }
    }
}

void
Agi_CheckHeld(struct agent *agent, struct now now)
{
    for (int priority = 0; priority < PRIO_COUNT; priority++) {
        struct ag_hold *hold;
        struct ag_hold *following;
        DL_FOREACH_SAFE(agent->holds[priority], hold, following)
        {
            /* A refusal would make the entry start the task elsewhere, beside
             * the run here. */
            if (Agi_HasOtherRun(agent, hold->task, &hold->start)) {
                continue;
            }
            enum code code =
                Agi_CheckAdmission(agent, now, hold->from, &hold->start);
            int is_expired = now.us >= hold->until_us;
            if ((code != CODE_OK && code != CODE_NO_SLOT) || is_expired) {
                code = code == CODE_OK ? CODE_NO_SLOT : code;
                refuse_hold(agent, hold, code, 1);
            }
        }
    }
    Agi_RunHeld(agent, now);
}

void
Agi_RevokeIssuer(struct agent *agent, uint64_t issuer)
{
    for (int priority = 0; priority < PRIO_COUNT; priority++) {
        struct ag_hold *hold;
        struct ag_hold *following;
        DL_FOREACH_SAFE(agent->holds[priority], hold, following)
        {
            if (hold->start.key.issuer == issuer) {
                refuse_hold(agent, hold, CODE_OLD_EPOCH, 0);
            }
        }
    }
}

void
Agi_RevokeEntry(struct agent *agent, uint64_t from)
{
    for (int priority = 0; priority < PRIO_COUNT; priority++) {
        struct ag_hold *hold;
        struct ag_hold *following;
        DL_FOREACH_SAFE(agent->holds[priority], hold, following)
        {
            if (hold->from == from && hold->start.flags & SUB_RESTART) {
                refuse_hold(agent, hold, CODE_STALE_START, 0);
            }
        }
    }
}

void
Agi_RevokeJob(struct agent *agent, const struct ag_job *job)
{
    for (int priority = 0; priority < PRIO_COUNT; priority++) {
        struct ag_hold *hold;
        struct ag_hold *following;
        DL_FOREACH_SAFE(agent->holds[priority], hold, following)
        {
            if (hold->task->job == job) {
                refuse_hold(agent, hold, CODE_CANCELLED, 0);
            }
        }
    }
}

void
Agi_DropHolds(struct agent *agent)
{
    for (int priority = 0; priority < PRIO_COUNT; priority++) {
        while (agent->holds[priority]) {
            drop(agent, agent->holds[priority]);
        }
    }
}
