/* Ejection of a failing worker. A worker whose tasks fail quickly looks idle
 * and attracts more tasks. The agent sees all outcomes, so it ejects the
 * worker on behalf of all entries, and later probes it with one task at a
 * time. */
#include "agent_impl.h"

/* Consecutive failures, each in a different job, that eject the worker. */
#define EJECT_FAILURES 3
/* Duration of the first ejection. It doubles with each further ejection, up to
 * the maximum. */
#define EJECT_MIN_US (1 * US_PER_S)
#define EJECT_MAX_US (60 * US_PER_S)

int
Agi_IsEjected(const struct agent *agent)
{
    return agent->health.ejected_until_us != 0;
}

int
Agi_IsProbing(const struct agent *agent)
{
    return agent->health.probing;
}

static void
eject(struct agent *agent, struct now now)
{
    struct ag_health *health = &agent->health;
    health->ejection_us =
        health->ejection_us ? 2 * health->ejection_us : EJECT_MIN_US;
    if (health->ejection_us > EJECT_MAX_US) {
        health->ejection_us = EJECT_MAX_US;
    }
    health->ejected_until_us = now.us + health->ejection_us;
    health->probing = 0;
    health->failures = 0;
    CTR_INC(agent->counters, workers_suspected);
    Ag_BroadcastStatus(agent);
}

void
Agi_RecordOutcome(struct agent *agent, struct now now,
                  const struct ag_task *task)
{
    struct ag_health *health = &agent->health;
    const struct ag_key_id *id = &task->job->id;
    if (task->code == CODE_OK &&
        now.us - task->run_us < health->first_failure_us) {
        /* The task began before the failures did, so its success does not show
         * that the worker works again. */
        return;
    }
    if (task->code == CODE_OK) {
        int was_probing = health->probing;
        health->failures = 0;
        health->ejection_us = 0;
        health->probing = 0;
        if (was_probing) {
            Ag_BroadcastStatus(agent);
        }
        return;
    }
    int is_bad = task->code == CODE_TASK_FAILED || task->code == CODE_STALLED;
    if (!is_bad || Agi_IsEjected(agent) ||
        (id->issuer == health->last_job.issuer &&
         id->seq == health->last_job.seq)) {
        return;
    }
    health->last_job = *id;
    if (health->failures++ == 0) {
        health->first_failure_us = now.us;
    }
    if (health->probing || health->failures >= EJECT_FAILURES) {
        eject(agent, now);
    }
}

void
Agi_CheckHealth(struct agent *agent, struct now now)
{
    struct ag_health *health = &agent->health;
    if (Agi_IsEjected(agent) && now.us >= health->ejected_until_us) {
        health->ejected_until_us = 0;
        health->probing = 1;
        Ag_BroadcastStatus(agent);
    }
}

enum code
Agi_CheckEjected(const struct agent *agent, const struct msg_start *start)
{
    if (start->flags & START_IF_EJECTED) {
        return CODE_OK;
    }
    if (Agi_IsEjected(agent)) {
        return CODE_UNHEALTHY;
    }
    if (agent->health.probing && agent->busy + agent->requests > 0) {
        return CODE_NO_SLOT;
    }
    return CODE_OK;
}
