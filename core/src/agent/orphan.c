/* Restartable tasks whose entry is gone. Their caller submits again, and the
 * tasks are then started elsewhere, so they have to end here before that. */
#include <utlist.h>

#include "agent_impl.h"

static int
is_gone(const struct agent *agent, struct now now,
        const struct ag_entry *entry)
{
    const struct timing *timing = &agent->settings.timing;
    uint64_t back_us =
        entry->back_us > entry->met_us ? entry->back_us : entry->met_us;
    return now.us - entry->heard_us > timing->orphan_timeout_us ||
           now.us - back_us > timing->echo_timeout_us;
}

static void
note(struct agent *agent, struct now now, const struct ag_task *task,
     const struct ag_entry *entry)
{
    struct act_log_event out = {
        .type = LOG_EVENT_ORPHANED, .job = task->name, .task = task->no};
    out.attempt = task->attempt;
    out.node = entry->addr;
    out.age_us = now.us - entry->heard_us;
    Act_LogEvent(&agent->sink, &out);
}

static void
end_tasks(struct agent *agent, struct now now, const struct ag_entry *entry)
{
    struct ag_task *task;
    DL_FOREACH2(agent->running, task, following)
    {
        if (task->from == entry->incarnation && task->flags & SUB_RESTART &&
            !task->stop_us) {
            CTR_INC(agent->counters, tasks_orphaned);
            note(agent, now, task, entry);
            Agi_StopTask(agent, now, task);
        }
    }
}

void
Agi_EndOrphans(struct agent *agent, struct now now)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    if (agent->settings.timing.orphan_timeout_us == 0) {
        return;
    }
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        if (is_gone(agent, now, entry)) {
            Agi_RevokeFrom(agent, entry->incarnation);
            end_tasks(agent, now, entry);
        }
    }
}

int
Agi_IsCurrent(const struct agent *agent, struct now now,
              const struct msg_start *start)
{
    const struct timing *timing = &agent->settings.timing;
    if (timing->orphan_timeout_us == 0 || !(start->flags & SUB_RESTART)) {
        return 1;
    }
    return start->agent_heartbeat_us && start->agent_heartbeat_us <= now.us &&
           now.us - start->agent_heartbeat_us < timing->orphan_timeout_us;
}
