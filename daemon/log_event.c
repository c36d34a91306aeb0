#include "log_event.h"

#include <inttypes.h>

#include "base/log.h"
#include "core/clock.h"

static const char *
describe(enum log_event_type type)
{
    switch (type) {
    case LOG_EVENT_RETRIED:
        return "Task requeued.";
    case LOG_EVENT_LATE:
        return "Job cannot meet its target time.";
    case LOG_EVENT_LOST:
        return "Agent of a task is lost or silent.";
    case LOG_EVENT_ORPHANED:
        return "Task stopped: its entry is silent.";
    case LOG_EVENT_REFUSED:
        return "Agent refused to start a task.";
    case LOG_EVENT_UNCONFIRMED:
        return "Agent has not confirmed a cancellation in time.";
    case LOG_EVENT_CANCELLED:
        return "Job cancelled: its tasks are stopped.";
    case LOG_EVENT_SUSPECTED:
        return "Task is suspected of a crash.";
    case LOG_EVENT_CONFINED:
        return "Kind of job is confined: its tasks crash upstreams.";
    case LOG_EVENT_GIVEN_UP:
        return "Task is given up: upstreams crashed under it.";
    }
    return "";
}

void
LogEvent_Write(const char *part, const struct act_log_event *event)
{
    if (event->type == LOG_EVENT_CANCELLED) {
        LOG_INFO(part, "%s job=%016" PRIx64 " running=%u node=%s",
                 describe(event->type), event->job, event->running,
                 event->node ? event->node : "");
        return;
    }
    LOG_INFO(part,
             "%s job=%016" PRIx64 " task=%u attempt=%u code=%s node=%s "
             "heard_ms_ago=%" PRIu64 " free_cpu=%u waiting=%u",
             describe(event->type), event->job, event->task, event->attempt,
             Code_Name(event->code), event->node ? event->node : "",
             (uint64_t)(event->age_us / US_PER_MS), event->free_cpu,
             event->waiting);
}
