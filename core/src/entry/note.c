/* Decisions on restartable jobs, for the log. */
#include "job.h"

static uint32_t
free_cpu(const struct ent_peer *agent)
{
    uint64_t taken = (uint64_t)agent->used.cpu + agent->others_used.cpu;
    uint32_t all = agent->capacity.cpu;
    return taken < all ? all - (uint32_t)taken : 0;
}

void
Enti_Note(const struct entry *entry, struct now now, enum log_event_type type,
          const struct ent_job *job, const struct ent_task *task,
          const struct ent_peer *agent, enum code code)
{
    struct act_log_event note = {.type = type, .job = job->name, .code = code};
    if (!Enti_IsRestartable(job)) {
        return;
    }
    note.node = agent ? agent->member.node : "";
    note.age_us = agent && agent->heard_us ? now.us - agent->heard_us : 0;
    note.free_cpu = agent ? free_cpu(agent) : 0;
    note.task = task ? task->no : 0;
    note.attempt = task ? task->attempt : 0;
    note.waiting = job->service ? job->service->waiting : 0;
    Act_LogEvent(&entry->sink, &note);
}
