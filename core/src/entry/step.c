/* Steps of a job: which of its tasks may start, and how long the rest of it
 * should take. A job of our own interface has one step. */
#include <stdlib.h>

#include "job.h"

static int
is_after(const struct ent_step *step, uint32_t index)
{
    return (step->want.after >> index & 1) != 0;
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
        steps[i].want = sub->steps[i];
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

/* Steps that wait for none that is still open. */
static int
may_start(const struct ent_job *job, const struct ent_step *step)
{
    for (uint32_t i = 0; i < job->step_count; i++) {
        if (is_after(step, i) && job->steps[i].open > 0) {
            return 0;
        }
    }
    return 1;
}

static void
set_tasks(struct ent_job *job, const struct ent_step *step,
          enum ent_task_state state)
{
    for (uint32_t i = 0; i < step->count; i++) {
        job->tasks[step->first + i].state = state;
    }
}

void
Enti_ResetSteps(struct ent_job *job)
{
    job->open = job->task_count;
    job->waiting = 0;
    for (uint32_t i = 0; i < job->step_count; i++) {
        job->steps[i].open = job->steps[i].count;
        job->steps[i].next = job->steps[i].first;
    }
    for (uint32_t i = 0; i < job->step_count; i++) {
        struct ent_step *step = &job->steps[i];
        int starts = may_start(job, step);
        step->waiting = starts ? step->count : 0;
        job->waiting += step->waiting;
        set_tasks(job, step, starts ? ENT_WAITING : ENT_BLOCKED);
    }
    job->blocked = job->task_count - job->waiting;
}

static uint64_t
longest_chain(const struct ent_job *job)
{
    uint64_t longest_us = 0;
    for (uint32_t i = 0; i < job->step_count; i++) {
        const struct ent_step *step = &job->steps[i];
        if (step->open > 0 && step->chain_us > longest_us) {
            longest_us = step->chain_us;
        }
    }
    return longest_us;
}

static uint64_t
expect_step(struct ent_job *job, struct ent_step *step)
{
    uint64_t sum_us = 0;
    step->longest_us = 0;
    for (uint32_t i = 0; i < step->count; i++) {
        uint32_t run_ms = job->tasks[step->first + i].run_ms;
        uint64_t us = Enti_EstimateRunUs(job->kind_row, run_ms);
        sum_us += us;
        step->longest_us = us > step->longest_us ? us : step->longest_us;
    }
    step->task_us = step->count ? sum_us / step->count : 0;
    return sum_us;
}

void
Enti_ExpectSteps(struct ent_job *job)
{
    uint64_t sum_us = 0;
    for (uint32_t i = job->step_count; i-- > 0;) {
        struct ent_step *step = &job->steps[i];
        uint64_t rest_us = 0;
        sum_us += expect_step(job, step);
        for (uint32_t j = i + 1; j < job->step_count; j++) {
            const struct ent_step *later = &job->steps[j];
            if (is_after(later, i) && later->chain_us > rest_us) {
                rest_us = later->chain_us;
            }
        }
        step->chain_us = step->longest_us + rest_us;
    }
    job->task_us = job->task_count ? sum_us / job->task_count : 0;
    job->longest_us = longest_chain(job);
}

int
Enti_IsBegun(const struct ent_job *job)
{
    return job->maybe_ran || job->waiting + job->blocked < job->task_count;
}

struct ent_step *
Enti_NextStep(const struct ent_job *job, uint64_t passed)
{
    struct ent_step *next = NULL;
    for (uint32_t i = 0; i < job->step_count; i++) {
        struct ent_step *step = &job->steps[i];
        if (step->waiting > 0 && !(passed >> i & 1) &&
            (!next || step->chain_us > next->chain_us)) {
            next = step;
        }
    }
    return next;
}

/* The last task to end decides, so the longest is started first. */
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
    if (step->longest_us > step->task_us) {
        return longest_waiting(job, step);
    }
    while (job->tasks[step->next].state != ENT_WAITING) {
        step->next++;
        if (step->next == step->first + step->count) {
            step->next = step->first;
        }
    }
    return &job->tasks[step->next];
}

void
Enti_CountTask(struct ent_job *job, const struct ent_task *task, int waits)
{
    job->waiting += (uint32_t)waits;
    job->steps[task->step].waiting += (uint32_t)waits;
}

uint32_t
Enti_EndTask(struct ent_job *job, const struct ent_task *task)
{
    struct ent_step *ended = &job->steps[task->step];
    uint32_t freed = 0;
    job->open--;
    ended->open--;
    if (ended->open > 0 || job->blocked == 0) {
        return 0;
    }
    for (uint32_t i = task->step + 1; i < job->step_count; i++) {
        struct ent_step *step = &job->steps[i];
        if (is_after(step, task->step) && may_start(job, step)) {
            step->waiting = step->count;
            freed += step->count;
            set_tasks(job, step, ENT_WAITING);
        }
    }
    job->waiting += freed;
    job->blocked -= freed;
    job->longest_us = longest_chain(job);
    return freed;
}

uint32_t
Enti_CountAt(const struct ent_job *job, const struct ent_step *step,
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
