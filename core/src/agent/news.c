/* News of free slots for the entries that use this agent, between two
 * heartbeats: without it several entries fill the same slots. A single slot
 * that falls free is no news: the entry whose task ended there uses it. */
#include "agent_impl.h"

static int
is_news(const struct agent *agent, const struct ag_entry *entry)
{
    uint32_t busy = Agi_Busy(agent);
    uint32_t slots = agent->upstream.slots;
    uint32_t change =
        busy > entry->told ? busy - entry->told : entry->told - busy;
    return change >= AG_NEWS_SLOTS || (busy >= slots && entry->told < slots);
}

void
Agi_SendNews(struct agent *agent, struct now now)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        if (entry->start_us && now.us - entry->start_us < AG_NEWS_US &&
            is_news(agent, entry)) {
            CTR_INC(agent->counters, news_sent);
            Agi_SendOffer(agent, entry);
        }
    }
}

void
Agi_CountTask(struct agent *agent, uint64_t from, int tasks)
{
    struct ag_entry *entry;
    HASH_FIND(hh, agent->entry_index, &from, sizeof(from), entry);
    if (entry && (tasks > 0 || entry->tasks > 0)) {
        entry->tasks += (uint32_t)tasks;
    }
}

void
Agi_TellAll(struct agent *agent)
{
    uint32_t slot = 0;
    struct ag_entry *entry;
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        Agi_SendOffer(agent, entry);
    }
}

uint32_t
Agi_NoteTold(struct agent *agent, uint64_t to)
{
    struct ag_entry *entry;
    HASH_FIND(hh, agent->entry_index, &to, sizeof(to), entry);
    if (entry) {
        entry->told = Agi_Busy(agent);
    }
    return entry ? entry->tasks : 0;
}
