/* What an agent does with a start: the order of the checks is the order in
 * docs/DESIGN.md, section 2.2. */
#include <utlist.h>

#include "agent_impl.h"

uint32_t
Agi_Busy(const struct agent *agent)
{
    return agent->busy + agent->foreign + agent->held;
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
    Agi_NoteTold(agent, to, result);
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
        struct act_log_event note = {.type = LOG_EVENT_REFUSED,
                                     .job = start->name,
                                     .task = start->task,
                                     .attempt = start->attempt,
                                     .code = code};
        Act_LogEvent(&agent->sink, &note);
    }
    Agi_NoteTold(agent, to, result);
    Act_Send(&agent->sink, to, &msg);
}

/* Only the attempts above a recorded refusal may still start. */
static int
is_superseded(const struct ag_task *task, const struct msg_start *start)
{
    int order = Epoch_Compare(start->epoch, task->epoch);
    return order < 0 || (order == 0 && start->attempt <= task->attempt);
}

/* A reason to refuse that may pass, CODE_OK for none. */
enum code
Agi_CheckRoom(struct agent *agent, struct now now,
              const struct msg_start *start)
{
    /* Registration matters where an outcome may be asked for later. */
    if (agent->registered == 0 && !(start->flags & SUB_RESTART)) {
        return CODE_NOT_ADMITTED;
    }
    if (!Agi_IsCurrent(agent, now, start)) {
        return CODE_STALE_START;
    }
    if (!Agi_HasRoom(agent)) {
        return CODE_NO_MEMORY;
    }
    if (!Ag_IsFresh(agent, now)) {
        return CODE_NOT_FRESH;
    }
    if (agent->draining || agent->upstream.leaving || agent->is_out) {
        return CODE_OUT_OF_SERVICE;
    }
    if (agent->announced_us == 0) {
        return CODE_NO_UPSTREAM;
    }
    if (!Labels_Has(&agent->upstream.labels, start->label)) {
        return CODE_NO_LABEL;
    }
    enum code code = Agi_CheckSuspect(agent, start);
    if (code != CODE_OK) {
        return code;
    }
    if (start->flags & SUB_REQUEST) {
        uint32_t used = agent->busy + agent->foreign + agent->calls;
        return used < agent->upstream.connections ? CODE_OK : CODE_NO_SLOT;
    }
    uint32_t used = agent->busy + agent->foreign;
    if (used >= agent->upstream.slots || !Agi_Fits(agent, &start->need)) {
        return CODE_NO_SLOT;
    }
    return CODE_OK;
}

/* A reason to refuse that never passes for this key, CODE_OK for none. */
static enum code
check_key(const struct agent *agent, const struct msg_start *start,
          enum code epoch)
{
    if (start->key.issued_s <= agent->forgotten_s) {
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
Agi_Begin(struct agent *agent, struct now now, uint64_t from,
          struct ag_task *task, const struct msg_start *start)
{
    task->job->running++;
    task->job->body_hash = start->body_hash;
    DL_APPEND2(agent->running, task, prev, following);
    task->stop_us = 0;
    task->lapsed = 0;
    task->taken = 0;
    task->epoch = start->epoch;
    task->attempt = start->attempt;
    task->state = TASK_RUNNING;
    task->code = CODE_OK;
    task->flags = start->flags;
    task->need = start->need;
    task->name = start->name;
    task->lease_end_us = now.us + start->lease_ms * US_PER_MS;
    if (start->flags & SUB_REQUEST) {
        agent->calls++;
    }
    else {
        agent->busy++;
        Agi_CountTask(agent, from, 1);
    }
    task->from = from;
    Agi_Take(agent, task, 1);
    CTR_INC(agent->counters, tasks_started);
    struct act act = {.type = ACT_RUN};
    act.u.run.task = Tab_Handle(&agent->tasks, task);
    act.u.run.start = start;
    Act_Emit(&agent->sink, &act);
}

static struct ag_task *
find_or_add(struct agent *agent, const struct msg_start *start)
{
    struct ag_job *job = Agi_AddJob(agent, &start->key);
    if (!job) {
        return NULL;
    }
    struct ag_task *task = Agi_FindTask(job, start->task);
    return task ? task : Agi_AddTask(agent, job, start->task);
}

/* Start a task that is neither started nor barred by its key. */
static void
start_task(struct agent *agent, struct now now, uint64_t from,
           const struct msg_start *start, struct ag_task *task)
{
    /* Making room must not forget the job that it is made for. */
    task->job->running++;
    enum code code = Agi_CheckRoom(agent, now, start);
    task->job->running--;
    if (task->job->cancelled) {
        code = CODE_CANCELLED;
    }
    if (code == CODE_OK) {
        Agi_Begin(agent, now, from, task, start);
        return;
    }
    if (code == CODE_NO_SLOT && Agi_Hold(agent, now, from, start, task) == 0) {
        return;
    }
    if (code == CODE_NO_SLOT) {
        Agi_NoteWant(agent, now, from);
    }
    task->state = TASK_REFUSED;
    task->code = code;
    task->epoch = start->epoch;
    task->attempt = start->attempt;
    Agi_Refuse(agent, from, start, code);
}

/* Whether a task that ended badly may run again when its owner asks for that
 * by a new attempt. */
static int
may_repeat(const struct msg_start *start)
{
    unsigned both = SUB_IDEMPOTENT | SUB_REQUEST;
    return (start->flags & both) == both || start->flags & SUB_RESTART;
}

/* A task that was started before. */
static void
meet_started(struct agent *agent, struct now now, uint64_t from,
             const struct msg_start *start, struct ag_task *task,
             enum code epoch)
{
    int again = may_repeat(start) && task->state == TASK_FAILED;
    if (again && epoch == CODE_OK && !is_superseded(task, start)) {
        start_task(agent, now, from, start, task);
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
    /* A refusal that cannot be remembered might be followed by a late copy
     * that is accepted: without memory for it there is no answer at all. */
    if (epoch == CODE_NO_MEMORY) {
        return;
    }
    struct ag_job *job = Agi_FindJob(agent, &start->key);
    struct ag_task *task = job ? Agi_FindTask(job, start->task) : NULL;
    if (task && task->state >= TASK_RUNNING) {
        meet_started(agent, now, from, start, task, epoch);
        return;
    }
    enum code code = check_key(agent, start, epoch);
    if (code != CODE_OK) {
        Agi_Refuse(agent, from, start, code);
        return;
    }
    task = find_or_add(agent, start);
    if (!task) {
        CTR_INC(agent->counters, actions_dropped);
    }
    else if (task->state == TASK_REFUSED && is_superseded(task, start)) {
        Agi_Refuse(agent, from, start, CODE_OLD_ATTEMPT);
    }
    else {
        start_task(agent, now, from, start, task);
    }
}
