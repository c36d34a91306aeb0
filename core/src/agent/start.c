/* Handling of starts. The checks are made in the order given in
 * docs/DESIGN.md, section 2.2. */
#include <string.h>
#include <utlist.h>

#include "agent_impl.h"

uint32_t
Agi_UsedSlots(const struct agent *agent)
{
    return agent->busy + agent->untracked + agent->held;
}

void
Agi_SendTask(struct agent *agent, uint64_t to, enum msg_type type,
             const struct ag_task *task)
{
    struct msg msg = {.type = type};
    struct msg_result *result = &msg.u.result;
    result->key = task->job->key;
    result->epoch = Agi_Epoch(agent, task->job->key.issuer);
    result->task = task->no;
    result->attempt = task->attempt;
    result->state = task->state;
    result->code = task->code;
    result->run_us = task->run_us;
    result->output = task->output;
    Agi_FillUsage(agent, to, result);
    Act_Send(&agent->sink, to, &msg);
}

void
Agi_Refuse(struct agent *agent, uint64_t to, const struct msg_start *start,
           enum code code)
{
    struct msg msg = {.type = MSG_RESULT};
    struct msg_result *result = &msg.u.result;
    result->key = start->key;
    result->epoch = Agi_Epoch(agent, start->key.issuer);
    result->task = start->task;
    result->attempt = start->attempt;
    result->state = TASK_REFUSED;
    result->code = code;
    Ctr_CountCode(agent->counters, code);
    if (start->flags & SUB_RESTART) {
        struct act_log_event event = {.type = LOG_EVENT_REFUSED,
                                      .job = start->name,
                                      .task = start->task,
                                      .attempt = start->attempt,
                                      .code = code};
        Act_LogEvent(&agent->sink, &event);
    }
    Agi_FillUsage(agent, to, result);
    Act_Send(&agent->sink, to, &msg);
}

/* True if a start is not newer than the recorded attempt of its task: after a
 * refusal only starts of a higher epoch or attempt may be carried out. */
static int
is_superseded(const struct ag_task *task, const struct msg_start *start)
{
    int order = Epoch_Compare(start->epoch, task->epoch);
    return order < 0 || (order == 0 && start->attempt <= task->attempt);
}

/* True if a confined task of another job is running. */
static int
has_confined(const struct agent *agent, uint64_t job_name)
{
    const struct ag_task *task;
    DL_FOREACH2(agent->running, task, following)
    {
        if (task->flags & START_CONFINED && task->job_name != job_name) {
            return 1;
        }
    }
    return 0;
}

enum code
Agi_CheckAdmission(struct agent *agent, struct now now, uint64_t from,
                   const struct msg_start *start)
{
    /* Outcomes of restartable tasks are never requested later, so their starts
     * do not depend on the registration. */
    if (agent->registered == 0 && !(start->flags & SUB_RESTART)) {
        return CODE_NOT_ADMITTED;
    }
    if (!Agi_IsCurrent(agent, now, from, start)) {
        return CODE_STALE_START;
    }
    if (!Agi_HasTableSpace(agent)) {
        return CODE_NO_MEMORY;
    }
    if (!Ag_IsFresh(agent, now)) {
        return CODE_NOT_FRESH;
    }
    if (agent->draining || agent->upstream.leaving || agent->out_of_service) {
        return CODE_OUT_OF_SERVICE;
    }
    if (agent->announced_us == 0) {
        return CODE_NO_UPSTREAM;
    }
    if (!Labels_Has(&agent->upstream.labels, start->label)) {
        return CODE_NO_LABEL;
    }
    enum code code = Agi_CheckEjected(agent, start);
    if (code != CODE_OK) {
        return code;
    }
    if (start->flags & SUB_REQUEST) {
        uint32_t used = agent->busy + agent->untracked + agent->requests;
        return used < agent->upstream.connections ? CODE_OK : CODE_NO_SLOT;
    }
    if (start->flags & START_CONFINED && has_confined(agent, start->name)) {
        return CODE_NO_SLOT;
    }
    uint32_t used = agent->busy + agent->untracked;
    if (used >= agent->upstream.slots || !Agi_Fits(agent, &start->need)) {
        return CODE_NO_SLOT;
    }
    return CODE_OK;
}

/* Check whether starts with this key are refused permanently. Returns CODE_OK
 * or the reason; `epoch` is the result of Agi_AdoptEpoch(). */
static enum code
check_key(const struct agent *agent, const struct msg_start *start,
          enum code epoch)
{
    if (start->key.issued_s <= agent->expired_until_s) {
        return CODE_KEY_EXPIRED;
    }
    if (epoch != CODE_OK) {
        return epoch;
    }
    if (start->key.registry_version < agent->registered &&
        !(start->flags & SUB_RESTART)) {
        return CODE_KEY_TOO_OLD;
    }
    return CODE_OK;
}

void
Agi_BeginTask(struct agent *agent, struct now now, uint64_t from,
              struct ag_task *task, const struct msg_start *start)
{
    task->job->running++;
    task->job->body_hash = start->body_hash;
    DL_APPEND2(agent->running, task, prev, following);
    task->stop_us = 0;
    task->lease_expired = 0;
    task->acked = 0;
    task->epoch = start->epoch;
    task->attempt = start->attempt;
    task->state = TASK_RUNNING;
    task->code = CODE_OK;
    task->flags = start->flags;
    task->need = start->need;
    memcpy(task->kind, start->kind, sizeof(task->kind));
    task->lease_end_us = now.us + start->lease_ms * US_PER_MS;
    if (start->flags & SUB_REQUEST) {
        agent->requests++;
    }
    else {
        agent->busy++;
        Agi_CountTask(agent, from, 1);
    }
    task->from = from;
    Agi_AddUsage(agent, task, 1);
    CTR_INC(agent->counters, tasks_started);
    struct act act = {.type = ACT_RUN};
    act.u.run.task = Tab_Handle(&agent->tasks, task);
    act.u.run.start = start;
    Act_Emit(&agent->sink, &act);
}

/* Let an entry whose start is stale name a fresh heartbeat in the next one. */
static void
refresh_heartbeat(struct agent *agent, struct now now, uint64_t from)
{
    struct ag_entry *entry = Agi_FindEntry(agent, from);
    if (entry && now.us - entry->heartbeat_sent_us >= AG_REFRESH_INTERVAL_US) {
        Agi_SendHeartbeat(agent, now, entry);
    }
}

static struct ag_task *
find_or_add_task(struct agent *agent, const struct msg_start *start)
{
    struct ag_job *job = Agi_AddJob(agent, &start->key);
    if (!job) {
        return NULL;
    }
    struct ag_task *task = Agi_FindTask(job, start->task);
    if (!task) {
        task = Agi_AddTask(agent, job, start->task);
    }
    if (task) {
        task->job_name = start->name;
        task->has_job_name = (start->flags & SUB_RESTART) != 0;
    }
    return task;
}

/* Handle a start whose key is accepted and whose task may be run: run it, hold
 * it or refuse it. */
static void
admit_task(struct agent *agent, struct now now, uint64_t from,
           const struct msg_start *start, struct ag_task *task)
{
    if (!task->job->cancelled && Agi_HasOtherRun(agent, task, start)) {
        /* Not refused if it cannot be held: the entry would start the task
         * elsewhere at once. It sends a start without an answer again. */
        if (Agi_Hold(agent, now, from, start, task)) {
            CTR_INC(agent->counters, actions_dropped);
        }
        else {
            CTR_INC(agent->counters, starts_held_for_run);
        }
        return;
    }
    /* Counting the task as running keeps Agi_HasTableSpace() from removing its
     * own job to make space. */
    task->job->running++;
    enum code code = Agi_CheckAdmission(agent, now, from, start);
    task->job->running--;
    if (task->job->cancelled) {
        code = CODE_CANCELLED;
    }
    if (code == CODE_OK) {
        Agi_BeginTask(agent, now, from, task, start);
        return;
    }
    if (code == CODE_NO_SLOT && start->hold_ms > 0 &&
        agent->held < agent->upstream.slots &&
        Agi_Hold(agent, now, from, start, task) == 0) {
        return;
    }
    if (code == CODE_NO_SLOT) {
        Agi_RecordDemand(agent, now, from);
    }
    if (code == CODE_STALE_START) {
        refresh_heartbeat(agent, now, from);
    }
    task->state = TASK_REFUSED;
    task->code = code;
    task->epoch = start->epoch;
    task->attempt = start->attempt;
    Agi_Refuse(agent, from, start, code);
}

/* True if a failed task may run again when its owner sends a start with a
 * higher attempt. */
static int
may_rerun(const struct msg_start *start)
{
    unsigned both = SUB_IDEMPOTENT | SUB_REQUEST;
    return (start->flags & both) == both || start->flags & SUB_RESTART;
}

/* Handle a start for a task that was started before: run it again if that is
 * allowed, or else report its state. */
static void
handle_repeated(struct agent *agent, struct now now, uint64_t from,
                const struct msg_start *start, struct ag_task *task,
                enum code epoch)
{
    int is_rerun = may_rerun(start) && task->state == TASK_FAILED;
    if (is_rerun && epoch == CODE_OK && !is_superseded(task, start)) {
        admit_task(agent, now, from, start, task);
        return;
    }
    CTR_INC(agent->counters, start_duplicate);
    Agi_SendTask(agent, from, MSG_RESULT, task);
}

void
Agi_OnStart(struct agent *agent, struct now now, uint64_t from,
            const struct msg_start *start)
{
    enum code epoch =
        Agi_AdoptEpoch(agent, now, start->key.issuer, start->epoch);
    /* After a refusal that cannot be recorded, a delayed copy of the start
     * might be accepted. No answer is sent if there is no space for the
     * record. */
    if (epoch == CODE_NO_MEMORY) {
        return;
    }
    struct ag_job *job = Agi_FindJob(agent, &start->key);
    struct ag_task *task = job ? Agi_FindTask(job, start->task) : NULL;
    if (task && task->state >= TASK_RUNNING) {
        handle_repeated(agent, now, from, start, task, epoch);
        return;
    }
    enum code code = check_key(agent, start, epoch);
    if (code != CODE_OK) {
        Agi_Refuse(agent, from, start, code);
        return;
    }
    task = find_or_add_task(agent, start);
    if (!task) {
        CTR_INC(agent->counters, actions_dropped);
    }
    else if (task->state == TASK_REFUSED && is_superseded(task, start)) {
        Agi_Refuse(agent, from, start, CODE_OLD_ATTEMPT);
    }
    else {
        admit_task(agent, now, from, start, task);
    }
}
