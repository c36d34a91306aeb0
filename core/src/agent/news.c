/* News of free slots, between two heartbeats, for the entries whose tasks wait
 * for room: without it several entries fill the same slots, and others stay
 * free. While there is room for all, results and heartbeats tell enough. A
 * single slot that falls free is no news: the entry whose task ended there
 * uses it. */
#include "agent_impl.h"

static int
is_news(const struct agent *agent, const struct ag_entry *entry)
{
    uint32_t cpu = agent->used.cpu;
    uint32_t moved =
        cpu > entry->told_cpu ? cpu - entry->told_cpu : entry->told_cpu - cpu;
    uint32_t step = agent->upstream.capacity.cpu / AG_NEWS_PARTS;
    if (step && moved >= step) {
        return 1;
    }
    uint32_t busy = Agi_Busy(agent);
    uint32_t slots = agent->upstream.slots;
    uint32_t change =
        busy > entry->told ? busy - entry->told : entry->told - busy;
    return change >= AG_NEWS_SLOTS || (busy >= slots && entry->told < slots);
}

static int
is_due(const struct agent *agent, struct now now, const struct ag_entry *entry)
{
    return entry->want_us && now.us - entry->want_us < AG_NEWS_US &&
           now.us - entry->news_us >= agent->entries.used * AG_NEWS_GAP_US;
}

void
Agi_SendNews(struct agent *agent, struct now now)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        if (is_due(agent, now, entry) && is_news(agent, entry)) {
            CTR_INC(agent->counters, news_sent);
            entry->news_us = now.us;
            Agi_SendOffer(agent, entry);
        }
    }
}

void
Agi_NoteWant(struct agent *agent, struct now now, uint64_t from)
{
    struct ag_entry *entry = Agi_FindEntry(agent, from);
    if (entry) {
        entry->want_us = now.us;
    }
}

void
Agi_CountTask(struct agent *agent, uint64_t from, int tasks)
{
    struct ag_entry *entry = Agi_FindEntry(agent, from);
    if (entry && (tasks > 0 || entry->tasks > 0)) {
        entry->tasks += (uint32_t)tasks;
    }
}

void
Ag_TellAll(struct agent *agent)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        Agi_SendOffer(agent, entry);
    }
}

void
Agi_NoteTold(struct agent *agent, uint64_t to, struct msg_result *result)
{
    struct ag_entry *entry = Agi_FindEntry(agent, to);
    result->busy = Agi_Busy(agent);
    result->used = agent->used;
    if (entry) {
        entry->told = result->busy;
        entry->told_cpu = agent->used.cpu;
        result->receiver_busy = entry->tasks;
        result->receiver_used = entry->used;
    }
}
