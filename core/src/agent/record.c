/* Records of jobs and tasks, and the highest epoch of each issuer. */
#include <stdlib.h>
#include <string.h>

#include "agent_impl.h"

/* Maximum number of jobs checked for expiry in one tick. */
#define SWEEP_BATCH 256

static struct ag_key_id
make_id(const struct key *key)
{
    struct ag_key_id id = {key->issuer, key->seq};
    return id;
}

struct ag_job *
Agi_FindJob(const struct agent *agent, const struct key *key)
{
    struct ag_key_id id = make_id(key);
    struct ag_job *job;
    HASH_FIND(hh, agent->job_index, &id, sizeof(id), job);
    return job;
}

struct ag_job *
Agi_AddJob(struct agent *agent, const struct key *key)
{
    struct ag_job *job = Agi_FindJob(agent, key);
    if (job) {
        return job;
    }
    job = Tab_Add(&agent->jobs);
    if (!job) {
        return NULL;
    }
    job->id = make_id(key);
    job->key = *key;
    HASH_ADD(hh, agent->job_index, id, sizeof(job->id), job);
    return job;
}

struct ag_task *
Agi_FindTask(const struct ag_job *job, uint32_t no)
{
    for (struct ag_task *task = job->tasks; task; task = task->next) {
        if (task->no == no) {
            return task;
        }
    }
    return NULL;
}

struct ag_task *
Agi_AddTask(struct agent *agent, struct ag_job *job, uint32_t no)
{
    struct ag_task *task = Tab_Add(&agent->tasks);
    if (!task) {
        return NULL;
    }
    task->no = no;
    task->job = job;
    task->next = job->tasks;
    job->tasks = task;
    return task;
}

void
Agi_DropOutput(struct agent *agent, struct ag_task *task)
{
    agent->output_bytes -= task->output.size;
    free((void *)task->output.data);
    task->output.data = NULL;
    task->output.size = 0;
}

static void
drop_job(struct agent *agent, struct ag_job *job)
{
    while (job->tasks) {
        struct ag_task *task = job->tasks;
        job->tasks = task->next;
        Agi_DropOutput(agent, task);
        Tab_Remove(&agent->tasks, task);
    }
    HASH_DELETE(hh, agent->job_index, job);
    Tab_Remove(&agent->jobs, job);
}

int
Agi_KeepOutput(struct agent *agent, struct ag_task *task, struct bytes output)
{
    if (output.size == 0) {
        return 0;
    }
    if (agent->output_bytes + output.size > AG_OUTPUT_BYTES) {
        return -1;
    }
    void *copy = malloc(output.size);
    if (!copy) {
        return -1;
    }
    memcpy(copy, output.data, output.size);
    task->output.data = copy;
    task->output.size = output.size;
    agent->output_bytes += output.size;
    return 0;
}

struct epoch
Agi_Epoch(const struct agent *agent, uint64_t issuer)
{
    struct epoch none = {0, 0};
    struct ag_issuer *found;
    HASH_FIND(hh, agent->issuer_index, &issuer, sizeof(issuer), found);
    return found ? found->epoch : none;
}

/* An issuer at epoch 1 can be removed safely, because no lower epoch exists. A
 * higher epoch is a fence and must be kept: the superseded owner may resume at
 * any time and issue new keys. */
static int
may_remove(const struct ag_issuer *issuer)
{
    return issuer->epoch.n <= 1;
}

static void
drop_oldest_issuer(struct agent *agent)
{
    struct ag_issuer *oldest = NULL;
    for (struct ag_issuer *i = agent->issuer_index; i; i = i->hh.next) {
        if (may_remove(i) && (!oldest || i->used_us < oldest->used_us)) {
            oldest = i;
        }
    }
    if (oldest) {
        HASH_DELETE(hh, agent->issuer_index, oldest);
        Tab_Remove(&agent->issuers, oldest);
    }
}

static struct ag_issuer *
add_issuer(struct agent *agent, uint64_t issuer)
{
    struct ag_issuer *added = Tab_Add(&agent->issuers);
    if (!added) {
        drop_oldest_issuer(agent);
        added = Tab_Add(&agent->issuers);
    }
    if (added) {
        added->issuer = issuer;
        HASH_ADD(hh, agent->issuer_index, issuer, sizeof(issuer), added);
    }
    return added;
}

enum code
Agi_AdoptEpoch(struct agent *agent, struct now now, uint64_t issuer,
               struct epoch epoch)
{
    struct ag_issuer *found;
    HASH_FIND(hh, agent->issuer_index, &issuer, sizeof(issuer), found);
    if (!found) {
        found = add_issuer(agent, issuer);
    }
    if (!found) {
        CTR_INC(agent->counters, actions_dropped);
        return CODE_NO_MEMORY;
    }
    found->used_us = now.us;
    int order = Epoch_Compare(epoch, found->epoch);
    if (order > 0) {
        Agi_RevokeIssuer(agent, issuer);
        found->epoch = epoch;
    }
    return order < 0 ? CODE_OLD_EPOCH : CODE_OK;
}

static int
is_expired(const struct agent *agent, struct now now, const struct ag_job *job)
{
    return job->running == 0 &&
           (uint64_t)job->key.issued_s + agent->settings.key_lifetime_s <
               now.wall;
}

/* Remove a job and raise the limit up to which keys are refused. */
static void
expire_job(struct agent *agent, struct ag_job *job)
{
    if (job->key.issued_s > agent->expired_until_s) {
        agent->expired_until_s = job->key.issued_s;
    }
    drop_job(agent, job);
}

/* Remove the idle jobs from the oldest eighth of the period in which the
 * recorded jobs were issued. From then on their keys are refused, as they are
 * not newer than `expired_until_s`. */
static void
remove_oldest_jobs(struct agent *agent)
{
    uint32_t oldest = UINT32_MAX;
    uint32_t newest = 0;
    uint32_t slot = 0;
    struct ag_job *job;
    while ((job = Tab_Next(&agent->jobs, &slot))) {
        uint32_t issued_s = job->key.issued_s;
        newest = issued_s > newest ? issued_s : newest;
        if (job->running == 0 && issued_s < oldest) {
            oldest = issued_s;
        }
    }
    if (oldest >= newest) {
        return;
    }
    uint32_t end = oldest + (newest - oldest) / 8;
    slot = 0;
    while ((job = Tab_Next(&agent->jobs, &slot))) {
        if (job->running == 0 && job->key.issued_s <= end) {
            expire_job(agent, job);
        }
    }
}

int
Agi_HasTableSpace(struct agent *agent)
{
    /* The last sixteenth is reserved for refusals, which must be recorded. */
    uint32_t limit = agent->tasks.capacity - agent->tasks.capacity / 16;
    if (agent->tasks.used <= limit) {
        return 1;
    }
    remove_oldest_jobs(agent);
    return agent->tasks.used <= limit;
}

void
Agi_Sweep(struct agent *agent, struct now now)
{
    for (int i = 0; i < SWEEP_BATCH; i++) {
        struct ag_job *job = Tab_Next(&agent->jobs, &agent->sweep_slot);
        if (!job) {
            agent->sweep_slot = 0;
            return;
        }
        if (is_expired(agent, now, job)) {
            expire_job(agent, job);
        }
    }
}
