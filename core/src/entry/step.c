/* Steps of a job: which tasks may start, and the estimated time of the rest.
 * Only submissions of restartable jobs have steps; any other job gets one
 * step. */
#include <stdlib.h>

#include "job.h"

static int
depends_on(const struct ent_step *step, uint32_t index)
{
    return (step->spec.after >> index & 1) != 0;
}

int
Enti_FillSteps(struct ent_job *job, const struct submission *sub)
{
    uint32_t count = sub->step_count ? sub->step_count : 1;
    struct ent_step *steps = calloc(count, sizeof(*steps));
    if (!steps) {
        return -1;
    }
    for (uint32_t i = 0; i < sub->step_count; i++) {
        steps[i].spec = sub->steps[i];
    }
    for (uint32_t i = job->task_count; i-- > 0;) {
        struct ent_step *step = &steps[job->tasks[i].step];
        step->first = i;
        step->count++;
    }
    job->steps = steps;
    job->step_count = count;
    return 0;
}

/* True when all steps that `step` depends on have ended. */
static int
is_ready(const struct ent_job *job, const struct ent_step *step)
{
    for (uint32_t i = 0; i < job->step_count; i++) {
        if (depends_on(step, i) && job->steps[i].unfinished > 0) {
            return 0;
        }
    }
    return 1;
}

static void
set_step_state(struct ent_job *job, const struct ent_step *step,
               enum ent_task_state state)
{
    for (uint32_t i = 0; i < step->count; i++) {
        job->tasks[step->first + i].state = state;
    }
}

void
Enti_ResetSteps(struct ent_job *job)
{
    job->unfinished = job->task_count;
    job->waiting = 0;
    for (uint32_t i = 0; i < job->step_count; i++) {
        job->steps[i].unfinished = job->steps[i].count;
        job->steps[i].cursor = job->steps[i].first;
    }
    for (uint32_t i = 0; i < job->step_count; i++) {
        struct ent_step *step = &job->steps[i];
        int starts = is_ready(job, step);
        step->waiting = starts ? step->count : 0;
        job->waiting += step->waiting;
        set_step_state(job, step, starts ? ENT_WAITING : ENT_BLOCKED);
    }
    job->blocked = job->task_count - job->waiting;
}

static uint64_t
longest_path(const struct ent_job *job)
{
    uint64_t longest_us = 0;
    for (uint32_t i = 0; i < job->step_count; i++) {
        const struct ent_step *step = &job->steps[i];
        if (step->unfinished > 0 && step->critical_path_us > longest_us) {
            longest_us = step->critical_path_us;
        }
    }
    return longest_us;
}

static uint64_t
estimate_step(struct ent_job *job, struct ent_step *step)
{
    uint64_t sum_us = 0;
    step->longest_task_us = 0;
    for (uint32_t i = 0; i < step->count; i++) {
        uint32_t run_ms = job->tasks[step->first + i].run_ms;
        uint64_t us = Enti_EstimateRunUs(job->kind_stats, run_ms);
        sum_us += us;
        step->longest_task_us =
            us > step->longest_task_us ? us : step->longest_task_us;
    }
    step->mean_task_us = step->count ? sum_us / step->count : 0;
    return sum_us;
}

void
Enti_EstimateSteps(struct ent_job *job)
{
    uint64_t sum_us = 0;
    for (uint32_t i = job->step_count; i-- > 0;) {
        struct ent_step *step = &job->steps[i];
        uint64_t rest_us = 0;
        sum_us += estimate_step(job, step);
        for (uint32_t j = i + 1; j < job->step_count; j++) {
            const struct ent_step *later = &job->steps[j];
            if (depends_on(later, i) && later->critical_path_us > rest_us) {
                rest_us = later->critical_path_us;
            }
        }
        step->critical_path_us = step->longest_task_us + rest_us;
    }
    job->mean_task_us = job->task_count ? sum_us / job->task_count : 0;
    job->critical_path_us = longest_path(job);
}

int
Enti_HasStarted(const struct ent_job *job)
{
    return job->may_have_run || job->waiting + job->blocked < job->task_count;
}

struct ent_step *
Enti_NextStep(const struct ent_job *job, uint64_t skipped)
{
    struct ent_step *next = NULL;
    for (uint32_t i = 0; i < job->step_count; i++) {
        struct ent_step *step = &job->steps[i];
        if (step->waiting > 0 && !(skipped >> i & 1) &&
            (!next || step->critical_path_us > next->critical_path_us)) {
            next = step;
        }
    }
    return next;
}

/* The step ends with its last task, so the longest task is started first. */
static struct ent_task *
longest_waiting(const struct ent_job *job, const struct ent_step *step)
{
    struct ent_task *longest = NULL;
    for (uint32_t i = 0; i < step->count; i++) {
        struct ent_task *task = &job->tasks[step->first + i];
        if (task->state == ENT_WAITING &&
            (!longest || task->run_ms > longest->run_ms)) {
            longest = task;
        }
    }
    return longest;
}

struct ent_task *
Enti_NextWaiting(const struct ent_job *job, struct ent_step *step)
{
    if (step->longest_task_us > step->mean_task_us) {
        return longest_waiting(job, step);
    }
    while (job->tasks[step->cursor].state != ENT_WAITING) {
        step->cursor++;
        if (step->cursor == step->first + step->count) {
            step->cursor = step->first;
        }
    }
    return &job->tasks[step->cursor];
}

void
Enti_AdjustStepWaiting(struct ent_job *job, const struct ent_task *task,
                       int waits)
{
    job->waiting += (uint32_t)waits;
    job->steps[task->step].waiting += (uint32_t)waits;
}

uint32_t
Enti_FinishTask(struct ent_job *job, const struct ent_task *task)
{
    struct ent_step *ended = &job->steps[task->step];
    uint32_t unblocked = 0;
    job->unfinished--;
    ended->unfinished--;
    if (ended->unfinished > 0 || job->blocked == 0) {
        return 0;
    }
    for (uint32_t i = task->step + 1; i < job->step_count; i++) {
        struct ent_step *step = &job->steps[i];
        if (depends_on(step, task->step) && is_ready(job, step)) {
            step->waiting = step->count;
            unblocked += step->count;
            set_step_state(job, step, ENT_WAITING);
        }
    }
    job->waiting += unblocked;
    job->blocked -= unblocked;
    job->critical_path_us = longest_path(job);
    return unblocked;
}

uint32_t
Enti_CountAtAgent(const struct ent_job *job, const struct ent_step *step,
                  uint64_t agent)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->count; i++) {
        const struct ent_task *task = &job->tasks[step->first + i];
        count += (task->state == ENT_SENT || task->state == ENT_LOST) &&
                 task->agent == agent;
    }
    return count;
}
