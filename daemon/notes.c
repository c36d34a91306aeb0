#include "notes.h"

#include <inttypes.h>

#include "base/log.h"
#include "core/clock.h"

static const char *
sentence(enum log_event_type type)
{
    switch (type) {
    case LOG_EVENT_RETRIED:
        return "Task goes back into the queue.";
    case LOG_EVENT_LATE:
        return "Job cannot end when it is wanted.";
    case LOG_EVENT_LOST:
        return "Agent is not heard.";
    case LOG_EVENT_ORPHANED:
        return "Entry is not heard: its task is stopped.";
    case LOG_EVENT_REFUSED:
        return "Start refused.";
    }
    return "";
}

void
Notes_Write(const char *part, const struct act_log_event *note)
{
    LOG_INFO(part,
             "%s job=%016" PRIx64 " task=%u attempt=%u code=%s node=%s "
             "heard_ms_ago=%" PRIu64 " free_cpu=%u waiting=%u",
             sentence(note->type), note->job, note->task, note->attempt,
             Code_Name(note->code), note->node ? note->node : "",
             (uint64_t)(note->age_us / US_PER_MS), note->free_cpu,
             note->waiting);
}
