/* Log of the scheduling decisions on restartable jobs. */
#include "job.h"

/* Free CPU capacity of an agent in thousandths of a core, as known here. */
static uint32_t
free_cpu(const struct ent_peer *agent)
{
    uint64_t used = (uint64_t)agent->used.cpu + agent->other_used.cpu;
    uint32_t total = agent->capacity.cpu;
    return used < total ? total - (uint32_t)used : 0;
}

void
Enti_LogDecision(const struct entry *entry, struct now now,
                 enum log_event_type type, const struct ent_job *job,
                 const struct ent_task *task, const struct ent_peer *agent,
                 enum code code)
{
    struct act_log_event event = {
        .type = type, .job = job->name, .code = code};
    if (!Enti_IsRestartable(job)) {
        return;
    }
    event.node = agent ? agent->member.node : "";
    event.age_us = agent && agent->heard_us ? now.us - agent->heard_us : 0;
    event.free_cpu = agent ? free_cpu(agent) : 0;
    event.task = task ? task->no : 0;
    event.attempt = task ? task->attempt : 0;
    event.waiting = job->service ? job->service->waiting : 0;
    Act_LogEvent(&entry->sink, &event);
}
