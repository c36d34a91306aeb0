/* A worker that fails what it starts looks idle and draws more work. This
 * process sees every outcome, so it is here that the worker is put out, for
 * all entries at once, and tried again with one task at a time. */
#include "agent_impl.h"

/* Failures in a row, each of another job, that put the worker out. */
#define OUT_FAILURES 3
/* Time that it is out at first; doubled each time up to the second bound. */
#define OUT_LEAST_US (1 * US_PER_S)
#define OUT_MOST_US (60 * US_PER_S)

int
Agi_IsSuspect(const struct agent *agent)
{
    return agent->health.out_until_us != 0;
}

int
Agi_IsProbing(const struct agent *agent)
{
    return agent->health.probing;
}

static void
put_out(struct agent *agent, struct now now)
{
    struct ag_health *health = &agent->health;
    health->out_us = health->out_us ? 2 * health->out_us : OUT_LEAST_US;
    if (health->out_us > OUT_MOST_US) {
        health->out_us = OUT_MOST_US;
    }
    health->out_until_us = now.us + health->out_us;
    health->probing = 0;
    health->failures = 0;
    CTR_INC(agent->counters, workers_suspected);
    Ag_TellAll(agent);
}

void
Agi_NoteOutcome(struct agent *agent, struct now now,
                const struct ag_task *task)
{
    struct ag_health *health = &agent->health;
    const struct ag_key_id *id = &task->job->id;
    if (task->code == CODE_OK && now.us - task->run_us < health->since_us) {
        /* Begun before the failures did: it says nothing of now. */
        return;
    }
    if (task->code == CODE_OK) {
        int was_probing = health->probing;
        health->failures = 0;
        health->out_us = 0;
        health->probing = 0;
        if (was_probing) {
            Ag_TellAll(agent);
        }
        return;
    }
    int is_bad = task->code == CODE_TASK_FAILED || task->code == CODE_STALLED;
    if (!is_bad || Agi_IsSuspect(agent) ||
        (id->issuer == health->last.issuer && id->seq == health->last.seq)) {
        return;
    }
    health->last = *id;
    if (health->failures++ == 0) {
        health->since_us = now.us;
    }
    if (health->probing || health->failures >= OUT_FAILURES) {
        put_out(agent, now);
    }
}

void
Agi_CheckHealth(struct agent *agent, struct now now)
{
    struct ag_health *health = &agent->health;
    if (Agi_IsSuspect(agent) && now.us >= health->out_until_us) {
        health->out_until_us = 0;
        health->probing = 1;
        Ag_TellAll(agent);
    }
}

enum code
Agi_CheckSuspect(const struct agent *agent, const struct msg_start *start)
{
    if (start->flags & START_IF_EJECTED) {
        return CODE_OK;
    }
    if (Agi_IsSuspect(agent)) {
        return CODE_UNHEALTHY;
    }
    if (agent->health.probing && agent->busy + agent->calls > 0) {
        return CODE_NO_SLOT;
    }
    return CODE_OK;
}
