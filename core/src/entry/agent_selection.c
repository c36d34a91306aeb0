/* Choice of the agent for a task. */
#include <string.h>
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "key_range.h"

/* Number of measured tasks from which the slowdown of an agent is used. */
#define MIN_SLOWDOWN_TASKS 4
/* Waiting tasks of a service needed for each start that an agent may hold
 * beyond its slots. */
#define QUEUED_PER_HELD_START 16
/* An agent with this many free slots or fewer may be full by now, as reports
 * of its use arrive with a delay. */
#define LOW_CAPACITY 1
/* The slack of a job covers the speed of a worker with certainty if it covers
 * this many times the additional run time, as both are estimates. */
#define TIGHT_FACTOR 2

/* Free slots of an agent or, for requests, free connections. */
static uint32_t
free_capacity(struct now now, const struct ent_peer *agent, unsigned flags)
{
    uint32_t used = agent->outstanding + agent->other_slots;
    uint32_t capacity = agent->slots;
    if (flags & SUB_REQUEST) {
        used += agent->requests;
        capacity = agent->connections;
    }
    capacity = Enti_RampCapacity(now, agent, capacity);
    return used < capacity ? capacity - used : 0;
}

/* The same for tasks of a step, limited by the free resources. */
static uint32_t
step_capacity(struct now now, const struct ent_peer *agent,
              const struct ent_job *job, const struct ent_step *step)
{
    uint32_t capacity = free_capacity(now, agent, job->flags);
    uint32_t fits = Enti_CountFits(agent, &step->spec.need);
    return fits < capacity ? fits : capacity;
}

/* Number of further tasks of the step that may run at an agent under the
 * step's limit per worker. */
static uint32_t
spread_capacity(const struct ent_peer *agent, const struct ent_job *job,
                const struct ent_step *step)
{
    uint32_t max = step->spec.max_per_worker;
    if (max == 0) {
        return UINT32_MAX;
    }
    uint32_t placed = Enti_CountAtAgent(job, step, agent->member.incarnation);
    return placed < max ? max - placed : 0;
}

/* True when an agent may run tasks of the step at all. A job that is not
 * restartable goes only to agents that were registered when its key was
 * issued. */
static int
may_run(const struct ent_peer *agent, const struct ent_job *job,
        const struct ent_step *step)
{
    return (Enti_IsRestartable(job) ||
            agent->member.registered <= job->key.registry_version) &&
           Enti_CouldFit(agent, job, step) &&
           spread_capacity(agent, job, step) > 0;
}

static int
is_in_service(const struct entry *entry, const struct ent_peer *agent)
{
    return Enti_AgentPolicy(entry, agent)->value[POL_IN_SERVICE] != 0;
}

int
Enti_IsUsable(const struct entry *entry, struct now now,
              const struct ent_peer *agent)
{
    if (agent->ejected && !(agent->service && agent->service->use_ejected)) {
        return 0;
    }
    return Enti_IsResponsive(entry, now, agent) && !agent->leaving &&
           !agent->draining && is_in_service(entry, agent);
}

int
Enti_IsSlow(const struct entry *entry, struct now now,
            const struct ent_peer *agent)
{
    const struct policy *policy = Enti_AgentPolicy(entry, agent);
    return agent->slowdown_count >= MIN_SLOWDOWN_TASKS &&
           now.us - agent->slowdown_us < SLOWDOWN_MAX_AGE_US &&
           agent->slowdown * 100 > (double)policy->value[POL_SLOW_PERCENT];
}

/* Whether an agent is to be avoided for its speed. */
enum pace {
    PACE_GOOD,
    PACE_TIGHT, /* The job's slack just covers it, by uncertain estimates. */
    PACE_SLOW,
};

/* Where machines differ, long tasks need the fast ones, while the slack of
 * short tasks covers a slow one. Once a job can end in time nowhere, all
 * agents are the same to it. */
static enum pace
pace_for_objective(struct now now, const struct ent_peer *agent,
                   const struct ent_job *job, const struct ent_step *step)
{
    double factor = Speed_Factor(&job->service->speeds, &agent->speed,
                                 agent->kind_id, now);
    if (factor <= 1 || !Enti_EndsInTime(now, job, 0)) {
        return PACE_GOOD;
    }
    uint64_t extra_us =
        (uint64_t)((factor - 1) * (double)step->longest_task_us);
    if (!Enti_EndsInTime(now, job, extra_us)) {
        return PACE_SLOW;
    }
    return Enti_EndsInTime(now, job, TIGHT_FACTOR * extra_us) ? PACE_GOOD
                                                              : PACE_TIGHT;
}

static enum pace
get_pace(const struct entry *entry, struct now now,
         const struct ent_peer *agent, const struct ent_job *job,
         const struct ent_step *step)
{
    if (job->objective_us) {
        return pace_for_objective(now, agent, job, step);
    }
    return Enti_IsSlow(entry, now, agent) ? PACE_SLOW : PACE_GOOD;
}

/* Starts that may be sent to an agent beyond its slots, to be held there, so
 * that a slot that becomes free is not idle for a round trip. There are
 * none unless so many tasks wait that the slot is certain to be used, and none
 * at slow agents, where a slot takes longer to become free. */
static uint32_t
overcommit_capacity(const struct entry *entry, struct now now,
                    const struct ent_service *service,
                    const struct ent_peer *agent)
{
    const struct policy *policy = Enti_Policy(entry, service->name, "");
    uint32_t extra = (uint32_t)policy->value[POL_HOLD_TASKS];
    uint32_t used = agent->outstanding + agent->other_slots;
    uint32_t full = agent->slots + extra;
    if (service->waiting < QUEUED_PER_HELD_START * extra ||
        agent->slots == 0 || Enti_IsSlow(entry, now, agent)) {
        return 0;
    }
    return used >= agent->slots && used < full ? full - used : 0;
}

/* The agent chosen so far among those of one class. */
struct candidate {
    struct ent_peer *agent;
    uint32_t capacity; /* Of the agent if LOCAL, else of its whole class. */
};

/* Agents in this entry's data centre are mostly filled by this entry alone, so
 * the one with the most free slots is chosen. Elsewhere the known number is
 * older and other entries choose too: a random choice, weighted by free slots,
 * keeps them from all choosing the same agent. */
static void
consider(struct entry *entry, struct candidate *candidate,
         struct ent_peer *agent, uint32_t capacity, int is_local)
{
    if (is_local) {
        if (capacity > candidate->capacity) {
            candidate->agent = agent;
            candidate->capacity = capacity;
        }
        return;
    }
    candidate->capacity += capacity;
    if (Enti_Random(entry) % candidate->capacity < capacity) {
        candidate->agent = agent;
    }
}

/* A slow agent is used when waiting for another one is estimated to take
 * longer than the extra run time on this one. */
static int
is_slow_agent_faster(const struct ent_job *job, const struct ent_peer *agent,
                     uint64_t wait_us)
{
    double extra_us = (agent->slowdown - 1) * (double)job->mean_task_us;
    return (double)wait_us > extra_us;
}

/* The agent that the job's latest task was sent to. With a job's tasks on few
 * agents, fewer jobs are affected by the loss of an agent, and fewer messages
 * are needed. NULL when it is nearly full, slow, or not allowed for the step.
 */
static struct ent_peer *
find_preferred(const struct entry *entry, struct now now,
               const struct ent_job *job, const struct ent_step *step)
{
    struct ent_peer *preferred =
        job->preferred_agent ? Enti_FindPeer(entry, job->preferred_agent)
                             : NULL;
    if (!preferred || preferred->service != job->service ||
        Enti_IsBarred(entry, now, job, preferred) ||
        (!Enti_IsConfined(now, job) && Enti_IsForConfined(now, preferred)) ||
        step_capacity(now, preferred, job, step) <= LOW_CAPACITY ||
        !Enti_IsUsable(entry, now, preferred) ||
        !may_run(preferred, job, step) ||
        !Labels_Has(&preferred->labels, step->spec.preferred_label) ||
        get_pace(entry, now, preferred, job, step) != PACE_GOOD) {
        return NULL;
    }
    return preferred;
}

/* Classes of agents in order of preference; the ones up to ENDANGERED are
 * used without conditions. */
enum {
    PREFERRED_RACK,
    LOCAL,       /* In this entry's data centre. */
    REMOTE,      /* In another data centre. */
    NEARLY_FULL, /* The same, with LOW_CAPACITY free slots or fewer. */
    TIGHT,       /* The job's slack just covers the slower worker. */
    ENDANGERED,  /* For confined tasks, while this one is not. */
    SLOW,
    OVERCOMMITTED, /* No free slot, but may hold a start. */
    CLASS_COUNT,
};

/* True for an agent on the rack of the step's data or, where the step's tasks
 * should share a rack, on the rack of `first`, which runs some of them.
 * Workers of the same rack and kind have the same labels. */
static int
is_on_preferred_rack(const struct ent_peer *agent, const struct ent_step *step,
                     const struct ent_peer *first)
{
    if (step->spec.preferred_label[0]) {
        return Labels_Has(&agent->labels, step->spec.preferred_label);
    }
    return first && Labels_HasAll(&agent->labels, &first->labels);
}

/* True if an agent that is not too slow for the job could run the step, now or
 * once it has room. */
static int
has_fast_agent(const struct entry *entry, struct now now,
               const struct ent_job *job, const struct ent_step *step)
{
    const struct ent_peer *agent;
    DL_FOREACH(job->service->agents, agent)
    {
        if (Enti_IsUsable(entry, now, agent) && may_run(agent, job, step) &&
            !Enti_IsBarred(entry, now, job, agent) &&
            pace_for_objective(now, agent, job, step) != PACE_SLOW) {
            return 1;
        }
    }
    return 0;
}

/* True if a task is to be sent to a slow agent with room: it would have to
 * wait longer for another one. A job with an objective waits as long as it can
 * still meet it elsewhere. */
static int
may_use_slow(struct entry *entry, struct now now, const struct ent_job *job,
             const struct ent_step *step, const struct ent_peer *agent)
{
    if (job->objective_us) {
        return !has_fast_agent(entry, now, job, step);
    }
    return job->flags & SUB_REQUEST || !job->service->fast_slots ||
           is_slow_agent_faster(job, agent,
                                Enti_Estimate(entry, now, job).wait_us);
}

/* Prefers the agent that runs other tasks of the job, then the classes in
 * their order. */
static struct ent_peer *
pick_agent(struct entry *entry, struct now now, const struct ent_job *job,
           const struct ent_step *step)
{
    struct candidate candidates[CLASS_COUNT] = {{NULL, 0}};
    struct ent_peer *agent = find_preferred(entry, now, job, step);
    if (agent) {
        return agent;
    }
    const struct ent_peer *first =
        step->spec.prefer_one_rack ? Enti_FindPeer(entry, job->preferred_agent)
                                   : NULL;
    int is_confined = Enti_IsConfined(now, job);
    DL_FOREACH(job->service->agents, agent)
    {
        uint32_t capacity = step_capacity(now, agent, job, step);
        uint32_t extra = 0;
        if (capacity == 0 && !(job->flags & SUB_REQUEST)) {
            extra = overcommit_capacity(entry, now, job->service, agent);
        }
        if (capacity + extra == 0 || !Enti_IsUsable(entry, now, agent) ||
            !may_run(agent, job, step) ||
            Enti_IsBarred(entry, now, job, agent)) {
            continue;
        }
        if (extra) {
            consider(entry, &candidates[OVERCOMMITTED], agent, extra, 0);
            continue;
        }
        int is_local = strcmp(agent->member.dc, entry->settings.dc) == 0;
        int index = is_local                  ? LOCAL
                    : capacity > LOW_CAPACITY ? REMOTE
                                              : NEARLY_FULL;
        if (is_on_preferred_rack(agent, step, first)) {
            index = PREFERRED_RACK;
        }
        if (!is_confined && Enti_IsForConfined(now, agent)) {
            index = ENDANGERED;
        }
        enum pace pace = get_pace(entry, now, agent, job, step);
        if (pace != PACE_GOOD) {
            index = pace == PACE_TIGHT ? TIGHT : SLOW;
        }
        consider(entry, &candidates[index], agent, capacity, index == LOCAL);
    }
    for (int i = PREFERRED_RACK; i <= ENDANGERED; i++) {
        if (candidates[i].agent) {
            return candidates[i].agent;
        }
    }
    agent = candidates[SLOW].agent;
    if (agent && may_use_slow(entry, now, job, step, agent)) {
        CTR_INC(entry->counters, starts_on_slow);
        return agent;
    }
    if (agent && job->objective_us) {
        CTR_INC(entry->counters, waits_for_fast);
    }
    return candidates[OVERCOMMITTED].agent;
}

/* ENT_BASELINE: a random usable agent, whether or not it has free slots. */
static struct ent_peer *
pick_random(struct entry *entry, struct now now, const struct ent_job *job,
            const struct ent_step *step)
{
    struct ent_peer *picked = NULL;
    struct ent_peer *agent;
    uint32_t seen = 0;
    DL_FOREACH(job->service->agents, agent)
    {
        if (may_run(agent, job, step) && Enti_IsUsable(entry, now, agent) &&
            Enti_Random(entry) % ++seen == 0) {
            picked = agent;
        }
    }
    return picked;
}

struct ent_peer *
Enti_PickAgent(struct entry *entry, struct now now, const struct ent_job *job,
               const struct ent_step *step)
{
    return entry->settings.mode == ENT_BASELINE
               ? pick_random(entry, now, job, step)
               : pick_agent(entry, now, job, step);
}

uint32_t
Enti_CountFreeCapacity(const struct entry *entry, struct now now,
                       const struct ent_service *service,
                       const struct ent_peer *agent)
{
    return free_capacity(now, agent, 0) +
           overcommit_capacity(entry, now, service, agent);
}
