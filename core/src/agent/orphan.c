/* Stopping of restartable tasks whose entry is lost. The caller submits the
 * job again, and the tasks are then started elsewhere. They must have ended
 * here before that, so that no task runs twice at a time. */
#include <utlist.h>

#include "agent_impl.h"

/* True if an entry has sent no message, or has not echoed a heartbeat, for so
 * long that it is considered lost. */
static int
is_lost(const struct agent *agent, struct now now,
        const struct ag_entry *entry)
{
    const struct timing *timing = &agent->settings.timing;
    uint64_t echoed_us = entry->echoed_us > entry->first_heard_us
                             ? entry->echoed_us
                             : entry->first_heard_us;
    return now.us - entry->heard_us > timing->orphan_timeout_us ||
           now.us - echoed_us > timing->echo_timeout_us;
}

static void
log_orphan(struct agent *agent, struct now now, const struct ag_task *task,
           const struct ag_entry *entry)
{
    struct act_log_event event = {
        .type = LOG_EVENT_ORPHANED, .job = task->job_name, .task = task->no};
    event.attempt = task->attempt;
    event.node = entry->addr;
    event.age_us = now.us - entry->heard_us;
    Act_LogEvent(&agent->sink, &event);
}

static void
stop_tasks(struct agent *agent, struct now now, const struct ag_entry *entry)
{
    struct ag_task *task;
    DL_FOREACH2(agent->running, task, following)
    {
        if (task->from == entry->incarnation && task->flags & SUB_RESTART &&
            !task->stop_us) {
            CTR_INC(agent->counters, tasks_orphaned);
            log_orphan(agent, now, task, entry);
            Agi_StopTask(agent, now, task);
        }
    }
}

void
Agi_StopOrphans(struct agent *agent, struct now now)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    if (agent->settings.timing.orphan_timeout_us == 0) {
        return;
    }
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        if (is_lost(agent, now, entry)) {
            Agi_RevokeEntry(agent, entry->incarnation);
            stop_tasks(agent, now, entry);
        }
    }
}

/* An entry is known to have been alive when the latest heartbeat that it has
 * echoed was sent. The arrival of a message proves nothing: it may have waited
 * while this process was paused. */
static uint64_t
run_limit_us(const struct agent *agent, uint64_t from)
{
    const struct ag_entry *entry = Agi_FindEntry(agent, from);
    return entry ? entry->echoed_us + agent->settings.timing.run_limit_us : 0;
}

uint64_t
Ag_RunLimit(const struct agent *agent, tab_handle handle)
{
    const struct ag_task *task = Tab_Get(&agent->tasks, handle);
    if (agent->settings.timing.run_limit_us == 0 ||
        (task && !(task->flags & SUB_RESTART))) {
        return UINT64_MAX;
    }
    if (task && task->stop_us) {
        /* A stop order may be lost. That the entry is alive says nothing of a
         * run that it has cancelled. */
        return task->stop_limit_us;
    }
    return task ? run_limit_us(agent, task->from) : 0;
}

void
Ag_OnLease(struct agent *agent, uint64_t until_us)
{
    agent->leased_until_us = until_us;
}

int
Agi_IsCurrent(const struct agent *agent, struct now now, uint64_t from,
              const struct msg_start *start)
{
    const struct timing *timing = &agent->settings.timing;
    if (timing->orphan_timeout_us == 0 || !(start->flags & SUB_RESTART)) {
        return 1;
    }
    /* An upstream's lease is never shortened, and would hold for this run. */
    return start->agent_heartbeat_us && start->agent_heartbeat_us <= now.us &&
           now.us - start->agent_heartbeat_us < timing->orphan_timeout_us &&
           agent->leased_until_us <= run_limit_us(agent, from);
}
