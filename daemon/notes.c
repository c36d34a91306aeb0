#include "notes.h"

#include <inttypes.h>

#include "base/log.h"
#include "core/clock.h"

static const char *
sentence(enum note_type type)
{
    switch (type) {
    case NOTE_RETRIED:
        return "Task goes back into the queue.";
    case NOTE_LATE:
        return "Job cannot end when it is wanted.";
    case NOTE_LOST:
        return "Agent is not heard.";
    case NOTE_ORPHANED:
        return "Entry is not heard: its task is stopped.";
    case NOTE_REFUSED:
        return "Start refused.";
    }
    return "";
}

void
Notes_Write(const char *part, const struct act_note *note)
{
    LOG_INFO(part,
             "%s job=%016" PRIx64 " task=%u attempt=%u code=%s node=%s "
             "heard_ms_ago=%" PRIu64 " free_cpu=%u waiting=%u",
             sentence(note->type), note->job, note->task, note->attempt,
             Code_Name(note->code), note->node ? note->node : "",
             (uint64_t)(note->age_us / US_PER_MS), note->free_cpu,
             note->waiting);
}
