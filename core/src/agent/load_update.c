/* Load updates between heartbeats, for entries with waiting tasks. Without
 * them several entries send starts for the same free slots, while other slots
 * stay free. As long as no tasks wait, results and heartbeats report the load
 * often enough. A single slot that becomes free does not cause an update: the
 * entry whose task has ended there reuses it. */
#include "agent_impl.h"

/* True if the load differs enough from what was last reported to an entry. */
static int
is_outdated(const struct agent *agent, const struct ag_entry *entry)
{
    uint32_t cpu = agent->used.cpu;
    uint32_t cpu_change = cpu > entry->reported_cpu
                              ? cpu - entry->reported_cpu
                              : entry->reported_cpu - cpu;
    uint32_t threshold = agent->upstream.capacity.cpu / AG_UPDATE_CPU_DIVISOR;
    if (threshold && cpu_change >= threshold) {
        return 1;
    }
    uint32_t busy = Agi_UsedSlots(agent);
    uint32_t slots = agent->upstream.slots;
    uint32_t change = busy > entry->reported_slots
                          ? busy - entry->reported_slots
                          : entry->reported_slots - busy;
    return change >= AG_UPDATE_SLOTS ||
           (busy >= slots && entry->reported_slots < slots);
}

/* True if an entry has waiting tasks and may be sent an update now. */
static int
is_due(const struct agent *agent, struct now now, const struct ag_entry *entry)
{
    return entry->last_demand_us &&
           now.us - entry->last_demand_us < AG_UPDATE_WINDOW_US &&
           now.us - entry->last_update_us >=
               agent->entries.used * AG_UPDATE_INTERVAL_US;
}

void
Agi_SendUpdates(struct agent *agent, struct now now)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        if (is_due(agent, now, entry) && is_outdated(agent, entry)) {
            CTR_INC(agent->counters, news_sent);
            entry->last_update_us = now.us;
            Agi_SendAgentStatus(agent, entry);
        }
    }
}

void
Agi_RecordDemand(struct agent *agent, struct now now, uint64_t from)
{
    struct ag_entry *entry = Agi_FindEntry(agent, from);
    if (entry) {
        entry->last_demand_us = now.us;
    }
}

void
Agi_CountTask(struct agent *agent, uint64_t from, int tasks)
{
    struct ag_entry *entry = Agi_FindEntry(agent, from);
    if (entry && (tasks > 0 || entry->slots > 0)) {
        entry->slots += (uint32_t)tasks;
    }
}

void
Ag_BroadcastStatus(struct agent *agent)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        Agi_SendAgentStatus(agent, entry);
    }
}

void
Agi_FillUsage(struct agent *agent, uint64_t to, struct msg_result *result)
{
    struct ag_entry *entry = Agi_FindEntry(agent, to);
    result->busy = Agi_UsedSlots(agent);
    result->used = agent->used;
    if (entry) {
        entry->reported_slots = result->busy;
        entry->reported_cpu = agent->used.cpu;
        result->receiver_busy = entry->slots;
        result->receiver_used = entry->used;
    }
}
