/* Crashes of the upstream, reported to all entries with the tasks that may
 * have caused them. Any entry may be the one that starts such a task next: its
 * own may die, and the caller submits the job to another. */
#include <string.h>

#include "agent_impl.h"

/* A report is repeated with the heartbeats for this long, as messages may be
 * lost, and an entry that starts must learn which tasks to confine. */
#define REPEAT_US (5 * US_PER_S)

static void
add_suspect(struct msg_crash *report, const struct ag_task *task,
            int has_begun)
{
    struct crash_suspect *suspect = &report->suspects[report->count++];
    suspect->name = task->job_name;
    suspect->task = task->no;
    suspect->has_begun = (uint8_t)has_begun;
    memcpy(suspect->kind, task->kind, sizeof(suspect->kind));
}

static void
send_report(struct agent *agent, struct now now, const struct ag_entry *entry,
            const struct ag_crash *crash)
{
    struct msg msg = {.type = MSG_CRASH};
    msg.u.crash = crash->report;
    msg.u.crash.age_ms = (uint32_t)((now.us - crash->at_us) / US_PER_MS);
    Act_Send(&agent->sink, entry->incarnation, &msg);
}

void
Agi_SendCrashes(struct agent *agent, struct now now,
                const struct ag_entry *entry)
{
    for (uint32_t i = 0; i < AG_MAX_CRASHES; i++) {
        const struct ag_crash *crash = &agent->crashes[i];
        if (crash->at_us && now.us - crash->at_us < REPEAT_US) {
            send_report(agent, now, entry, crash);
        }
    }
}

void
Ag_OnUpstreamCrash(struct agent *agent, struct now now, uint64_t ago_us,
                   const struct ag_suspect *suspects, uint32_t count,
                   uint32_t young)
{
    struct ag_crash *crash =
        &agent->crashes[agent->crash_count % AG_MAX_CRASHES];
    struct msg_crash *report = &crash->report;
    uint32_t slot = 0;
    const struct ag_entry *entry;
    /* What runs on an upstream that leaves ends with it. */
    if (agent->upstream.leaving) {
        return;
    }
    memset(crash, 0, sizeof(*crash));
    crash->at_us = now.us - ago_us;
    report->agent = agent->settings.incarnation;
    report->number = ++agent->crash_count;
    memcpy(report->service, agent->upstream.service, sizeof(report->service));
    for (uint32_t i = 0; i < count; i++) {
        const struct ag_task *task = Tab_Get(&agent->tasks, suspects[i].task);
        if (task && task->flags & SUB_RESTART &&
            report->count < WIRE_MAX_SUSPECTS) {
            add_suspect(report, task, suspects[i].has_begun);
            report->young_count += i < young;
        }
    }
    while ((entry = Tab_Next(&agent->entries, &slot))) {
        send_report(agent, now, entry, crash);
    }
}
