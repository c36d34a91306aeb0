/* Handlers of fences, cancellations, stop orders and releases of outputs. */
#include <string.h>

#include "agent_impl.h"

/* A takeover report: it lists the starts of an issuer for its new owner. */
struct report {
    uint64_t to;
    uint32_t number;
    uint32_t count; /* Records sent so far. */
};

static void
send_record(struct agent *agent, struct report *report,
            const struct ag_job *job, struct msg_result *record)
{
    struct msg msg = {.type = MSG_TASK_RECORD};
    record->key = job->key;
    record->epoch = Agi_Epoch(agent, job->key.issuer);
    record->body_hash = job->body_hash;
    record->report = report->number;
    record->index = report->count++;
    msg.u.result = *record;
    Act_Send(&agent->sink, report->to, &msg);
}

static void
report_job(struct agent *agent, struct report *report,
           const struct ag_job *job)
{
    for (const struct ag_task *task = job->tasks; task; task = task->next) {
        if (task->state == TASK_REFUSED || task->state == TASK_WAITING) {
            continue;
        }
        struct msg_result record = {
            .task = task->no,
            .attempt = task->attempt,
            .state = task->state,
            .code = task->code,
            .run_us = task->run_us,
            .output = task->output,
        };
        send_record(agent, report, job, &record);
    }
    if (job->cancelled) {
        struct msg_result record = {
            .task = WIRE_ALL_TASKS,
            .state = TASK_REFUSED,
            .code = CODE_CANCELLED,
        };
        send_record(agent, report, job, &record);
    }
}

/* Send a takeover report. Returns the number of records in it. */
static uint32_t
report_starts(struct agent *agent, uint64_t to, uint64_t issuer)
{
    struct report report = {.to = to, .number = agent->last_report};
    uint32_t slot = 0;
    struct ag_job *job;
    while ((job = Tab_Next(&agent->jobs, &slot))) {
        if (job->key.issuer == issuer) {
            report_job(agent, &report, job);
        }
    }
    return report.count;
}

void
Agi_OnFence(struct agent *agent, struct now now, uint64_t from,
            const struct msg_fence *fence)
{
    struct msg msg = {.type = MSG_FENCED};
    CTR_INC(agent->counters, fences);
    enum code code = Agi_AdoptEpoch(agent, now, fence->issuer, fence->epoch);
    if (code == CODE_NO_MEMORY) {
        return;
    }
    msg.u.fenced.report = ++agent->last_report;
    if (code == CODE_OK) {
        msg.u.fenced.count = report_starts(agent, from, fence->issuer);
    }
    msg.u.fenced.issuer = fence->issuer;
    msg.u.fenced.epoch = Agi_Epoch(agent, fence->issuer);
    msg.u.fenced.expired_until_s = agent->expired_until_s;
    Act_Send(&agent->sink, from, &msg);
}

void
Agi_StopTask(struct agent *agent, struct now now, struct ag_task *task)
{
    if (task->state != TASK_RUNNING || task->stop_us > now.us) {
        return;
    }
    if (!task->stop_us) {
        task->stop_limit_us =
            Ag_RunLimit(agent, Tab_Handle(&agent->tasks, task));
    }
    task->stop_us = now.us + AG_STOP_RETRY_US;
    struct act act = {.type = ACT_STOP};
    act.u.stop.task = Tab_Handle(&agent->tasks, task);
    Act_Emit(&agent->sink, &act);
}

/* The caller's name is known only of a job that has a task here. */
static void
log_cancel(struct agent *agent, const struct ag_entry *entry,
           const struct ag_job *job)
{
    if (!job->tasks || !job->tasks->has_job_name) {
        return;
    }
    struct act_log_event event = {.type = LOG_EVENT_CANCELLED,
                                  .job = job->tasks->job_name,
                                  .running = job->running,
                                  .node = entry->addr};
    Act_LogEvent(&agent->sink, &event);
}

/* Tell the owner that nothing of a job runs or is held here, and that nothing
 * of it will be started. */
static void
confirm_cancel(struct agent *agent, uint64_t to, const struct key *key)
{
    struct msg msg = {.type = MSG_RESULT};
    struct msg_result *result = &msg.u.result;
    result->key = *key;
    result->epoch = Agi_Epoch(agent, key->issuer);
    result->task = WIRE_ALL_TASKS;
    result->state = TASK_REFUSED;
    result->code = CODE_CANCELLED;
    Agi_FillUsage(agent, to, result);
    Act_Send(&agent->sink, to, &msg);
}

void
Agi_OnCancel(struct agent *agent, struct now now, const struct ag_entry *entry,
             const struct msg_cancel *cancel)
{
    if (Agi_AdoptEpoch(agent, now, cancel->key.issuer, cancel->epoch) !=
        CODE_OK) {
        return;
    }
    struct ag_job *job = Agi_FindJob(agent, &cancel->key);
    if (!job && cancel->key.issued_s <= agent->expired_until_s) {
        /* Starts with such a key are refused: nothing is to be recorded. */
        confirm_cancel(agent, entry->incarnation, &cancel->key);
        return;
    }
    job = job ? job : Agi_AddJob(agent, &cancel->key);
    if (!job) {
        return;
    }
    if (!job->cancelled) {
        log_cancel(agent, entry, job);
    }
    job->cancelled = 1;
    Agi_RevokeJob(agent, job);
    for (struct ag_task *task = job->tasks; task; task = task->next) {
        Agi_StopTask(agent, now, task);
    }
    /* What runs is confirmed by its result. */
    if (job->running == 0) {
        confirm_cancel(agent, entry->incarnation, &job->key);
    }
}

void
Agi_OnRelease(struct agent *agent, const struct msg_release *release)
{
    struct ag_job *job = Agi_FindJob(agent, &release->key);
    if (job) {
        job->answer_read = 1;
    }
    for (struct ag_task *task = job ? job->tasks : NULL; task;
         task = task->next) {
        if (task->state == TASK_FINISHED) {
            Agi_DropOutput(agent, task);
            task->state = TASK_DISCARDED;
        }
    }
}
