/* Which agent a task goes to. */
#include <string.h>
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "range.h"

/* Tasks after which the pace of an agent counts. */
#define PACE_TASKS 4
/* Waiting tasks for each start beyond the slots of an agent. */
#define DEEP_QUEUE 16
/* An agent with this much room or less may be full by now: news are old. */
#define LAST_PLACE 1

static uint32_t
free_room(struct now now, const struct ent_peer *agent, unsigned flags)
{
    uint32_t used = agent->outstanding + agent->others;
    uint32_t room = agent->slots;
    if (flags & SUB_REQUEST) {
        used += agent->calls;
        room = agent->connections;
    }
    room = Enti_RampRoom(now, agent, room);
    return used < room ? room - used : 0;
}

/* The same for one step: as often as one of its tasks fits. */
static uint32_t
room_for(struct now now, const struct ent_peer *agent,
         const struct ent_job *job, const struct ent_step *step)
{
    uint32_t room = free_room(now, agent, job->flags);
    uint32_t fits = Enti_Fits(agent, &step->want.need);
    return fits < room ? fits : room;
}

/* More tasks of the step that may be at an agent. */
static uint32_t
room_apart(const struct ent_peer *agent, const struct ent_job *job,
           const struct ent_step *step)
{
    uint32_t most = step->want.max_per_worker;
    if (most == 0) {
        return UINT32_MAX;
    }
    uint32_t there = Enti_CountAt(job, step, agent->member.incarnation);
    return there < most ? most - there : 0;
}

static int
may_run(const struct ent_peer *agent, const struct ent_job *job,
        const struct ent_step *step)
{
    return (Enti_IsRestartable(job) ||
            agent->member.registered <= job->key.registry_version) &&
           Enti_CouldFit(agent, job, step) && room_apart(agent, job, step) > 0;
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
    if (agent->suspect && !(agent->service && agent->service->use_suspects)) {
        return 0;
    }
    return Enti_IsHeard(entry, now, agent) && !agent->leaving &&
           !agent->draining && is_in_service(entry, agent);
}

int
Enti_IsSlow(const struct entry *entry, struct now now,
            const struct ent_peer *agent)
{
    const struct policy *policy = Enti_AgentPolicy(entry, agent);
    return agent->pace_count >= PACE_TASKS &&
           now.us - agent->pace_us < PACE_LIFE_US &&
           agent->pace * 100 > (double)policy->value[POL_SLOW_PERCENT];
}

/* Starts may go beyond the slots of an agent when so many tasks wait that
 * the next free slot is sure to be used: then no slot is idle for the time
 * of a round trip. Only where a slot is soon free. */
static uint32_t
spare_room(const struct entry *entry, struct now now,
           const struct ent_service *service, const struct ent_peer *agent)
{
    const struct policy *policy = Enti_Policy(entry, service->name, "");
    uint32_t spare = (uint32_t)policy->value[POL_HOLD_TASKS];
    uint32_t used = agent->outstanding + agent->others;
    uint32_t full = agent->slots + spare;
    if (service->waiting < DEEP_QUEUE * spare || agent->slots == 0 ||
        Enti_IsSlow(entry, now, agent)) {
        return 0;
    }
    return used >= agent->slots && used < full ? full - used : 0;
}

/* Agents of equal standing: the best so far, and the room of all. */
struct choice {
    struct ent_peer *agent;
    uint32_t room;
};

/* Only this entry is likely to fill the agents of its own data centre, so
 * there the one with the most room is taken. Elsewhere the news is older and
 * other entries choose as well: at random, by room, against the herd. */
static void
consider(struct entry *entry, struct choice *choice, struct ent_peer *agent,
         uint32_t room, int near)
{
    if (near) {
        if (room > choice->room) {
            choice->agent = agent;
            choice->room = room;
        }
        return;
    }
    choice->room += room;
    if (Enti_Random(entry) % choice->room < room) {
        choice->agent = agent;
    }
}

/* A slow agent is worth its while when the wait for others is longer than
 * what it takes more. */
static int
may_use_slow(const struct ent_job *job, const struct ent_peer *agent,
             uint64_t wait_us)
{
    double extra_us = (agent->pace - 1) * (double)job->task_us;
    return (double)wait_us > extra_us;
}

/* The agent that has tasks of the job already: the fewer agents a job is
 * spread over, the fewer jobs are lost with one, and the fewer messages it
 * takes. NULL when it has no room left. */
static struct ent_peer *
find_home(const struct entry *entry, struct now now, const struct ent_job *job,
          const struct ent_step *step)
{
    struct ent_peer *home = job->home ? Enti_FindPeer(entry, job->home) : NULL;
    if (!home || home->service != job->service ||
        room_for(now, home, job, step) <= LAST_PLACE ||
        !Enti_IsUsable(entry, now, home) || !may_run(home, job, step) ||
        !Labels_Has(&home->labels, step->want.preferred_label) ||
        Enti_IsSlow(entry, now, home)) {
        return NULL;
    }
    return home;
}

enum { BESIDE, NEAR, FAR, TIGHT, SLOW, SPARE, CHOICES };

/* On the rack of the step's data or, where its tasks should be on one rack, on
 * that of the agent that has some. Workers of one rack and kind have the same
 * labels. */
static int
is_beside(const struct ent_peer *agent, const struct ent_step *step,
          const struct ent_peer *first)
{
    if (step->want.preferred_label[0]) {
        return Labels_Has(&agent->labels, step->want.preferred_label);
    }
    return first && Labels_HasAll(&agent->labels, &first->labels);
}

/* On the rack that the step should be on, then in this data centre, then in
 * others; slow agents last. */
static struct ent_peer *
pick_agent(struct entry *entry, struct now now, const struct ent_job *job,
           const struct ent_step *step)
{
    struct choice choices[CHOICES] = {{NULL, 0}};
    struct ent_peer *agent = find_home(entry, now, job, step);
    if (agent) {
        return agent;
    }
    const struct ent_peer *first =
        step->want.prefer_one_rack ? Enti_FindPeer(entry, job->home) : NULL;
    DL_FOREACH(job->service->agents, agent)
    {
        uint32_t room = room_for(now, agent, job, step);
        uint32_t spare = 0;
        if (room == 0 && !(job->flags & SUB_REQUEST)) {
            spare = spare_room(entry, now, job->service, agent);
        }
        if (room + spare == 0 || !Enti_IsUsable(entry, now, agent) ||
            !may_run(agent, job, step)) {
            continue;
        }
        if (spare) {
            consider(entry, &choices[SPARE], agent, spare, 0);
            continue;
        }
        int near = strcmp(agent->member.dc, entry->settings.dc) == 0;
        int index = near ? NEAR : room > LAST_PLACE ? FAR : TIGHT;
        if (is_beside(agent, step, first)) {
            index = BESIDE;
        }
        if (Enti_IsSlow(entry, now, agent)) {
            index = SLOW;
        }
        consider(entry, &choices[index], agent, room, index == NEAR);
    }
    for (int i = BESIDE; i <= TIGHT; i++) {
        if (choices[i].agent) {
            return choices[i].agent;
        }
    }
    agent = choices[SLOW].agent;
    if (agent &&
        (job->flags & SUB_REQUEST || !job->service->fast_slots ||
         may_use_slow(job, agent, Enti_Outlook(entry, now, job).wait_us))) {
        return agent;
    }
    return choices[SPARE].agent;
}

/* The baseline: any agent, whatever is known of it. */
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
Enti_CountRoom(const struct entry *entry, struct now now,
               const struct ent_service *service, const struct ent_peer *agent)
{
    return free_room(now, agent, 0) + spare_room(entry, now, service, agent);
}
