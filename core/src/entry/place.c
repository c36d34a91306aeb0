/* Which agent a task goes to. */
#include <string.h>
#include <utlist.h>

#include "entry_impl.h"

/* The baseline places a refused task again after this. */
#define BASELINE_RETRY_US (50 * US_PER_MS)

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

static int
may_run(const struct ent_peer *agent, struct now now,
        const struct ent_job *job)
{
    return Enti_IsAlive(now, agent) && !agent->leaving && !agent->draining &&
           agent->member.registered <= job->key.rv &&
           agent->memory_mb >= job->memory_mb && agent->cores >= job->cores;
}

static int
is_in_service(const struct entry *entry, const struct ent_peer *agent)
{
    return Enti_AgentPolicy(entry, agent)->value[POL_IN_SERVICE] != 0;
}

/* The agent with the most room, in this data centre before others. */
static struct ent_peer *
pick_agent(const struct entry *entry, struct now now,
           const struct ent_job *job)
{
    struct ent_peer *best = NULL;
    struct ent_peer *agent;
    uint32_t best_score = 0;
    DL_FOREACH(job->service->agents, agent)
    {
        uint32_t room = free_room(now, agent, job->flags);
        if (room == 0 || !may_run(agent, now, job) ||
            !is_in_service(entry, agent)) {
            continue;
        }
        int near = strcmp(agent->member.dc, entry->settings.dc) == 0;
        uint32_t score = room + (near ? 1000 : 0);
        if (score > best_score) {
            best = agent;
            best_score = score;
        }
    }
    return best;
}

/* The baseline: any agent, whatever is known of it. */
static struct ent_peer *
pick_random(struct entry *entry, struct now now, const struct ent_job *job)
{
    struct ent_peer *picked = NULL;
    struct ent_peer *agent;
    uint32_t seen = 0;
    DL_FOREACH(job->service->agents, agent)
    {
        if (may_run(agent, now, job) && is_in_service(entry, agent) &&
            Enti_Random(entry) % ++seen == 0) {
            picked = agent;
        }
    }
    return picked;
}

static uint32_t
remaining_ms(struct now now, const struct ent_job *job)
{
    if (job->deadline_us <= now.us) {
        return 0;
    }
    return (uint32_t)((job->deadline_us - now.us) / US_PER_MS);
}

void
Enti_SendStart(struct entry *entry, struct now now, struct ent_job *job,
               struct ent_task *task)
{
    struct msg msg = {.type = MSG_START};
    struct msg_start *start = &msg.u.start;
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    if (!issuer) {
        return;
    }
    start->key = job->key;
    start->epoch = issuer->epoch;
    start->task = task->no;
    start->attempt = task->attempt;
    start->deadline_ms = remaining_ms(now, job);
    start->lease_ms =
        (uint32_t)Enti_Policy(entry, job->service_name, job->team)
            ->value[POL_LEASE_MS];
    start->flags = job->flags;
    memcpy(start->kind, job->kind, sizeof(start->kind));
    memcpy(start->team, job->team, sizeof(start->team));
    start->body_hash = job->body_hash;
    start->input = task->input;
    task->sent_us = now.us;
    task->resend_us = now.us + START_RESEND_US;
    if (task->resend_us < job->due_us) {
        job->due_us = task->resend_us;
    }
    CTR_INC(entry->counters, tasks_sent);
    Act_Send(&entry->sink, task->agent, &msg);
}

static struct ent_task *
next_waiting(struct ent_job *job)
{
    while (job->tasks[job->next_waiting].state != ENT_WAITING) {
        job->next_waiting = (job->next_waiting + 1) % job->task_count;
    }
    return &job->tasks[job->next_waiting];
}

static void
send_task(struct entry *entry, struct now now, struct ent_job *job,
          struct ent_peer *agent)
{
    struct ent_task *task = next_waiting(job);
    task->state = ENT_SENT;
    task->attempt++;
    task->agent = agent->member.incarnation;
    job->waiting--;
    job->service->waiting--;
    if (job->flags & SUB_REQUEST) {
        agent->calls++;
    }
    else {
        agent->outstanding++;
    }
    Enti_SendStart(entry, now, job, task);
}

/* Returns -1 when the service has no room for the job now. */
static int
place_job(struct entry *entry, struct now now, struct ent_job *job)
{
    if (job->not_before_us > now.us) {
        return 0;
    }
    while (job->waiting) {
        struct ent_peer *agent = entry->settings.mode == ENT_BASELINE
                                     ? pick_random(entry, now, job)
                                     : pick_agent(entry, now, job);
        if (!agent) {
            return -1;
        }
        send_task(entry, now, job, agent);
    }
    Enti_Unqueue(job);
    return 0;
}

void
Enti_Place(struct entry *entry, struct now now, struct ent_service *service)
{
    if (service->waiting && !Ent_IsFresh(entry, now)) {
        CTR_INC(entry->counters, places_not_fresh);
        return;
    }
    for (int prio = 0; prio < PRIO_COUNT; prio++) {
        struct ent_job *job;
        struct ent_job *following;
        DL_FOREACH_SAFE(service->queue[prio], job, following)
        {
            if (place_job(entry, now, job)) {
                break;
            }
        }
    }
}

void
Enti_PlaceAll(struct entry *entry, struct now now)
{
    uint32_t slot = 0;
    struct ent_service *service;
    while ((service = Tab_Next(&entry->services, &slot))) {
        if (service->waiting) {
            Enti_Place(entry, now, service);
        }
    }
}

void
Enti_Release(struct entry *entry, const struct ent_job *job,
             const struct ent_task *task)
{
    struct ent_peer *agent = Enti_FindPeer(entry, task->agent);
    if (!agent) {
        return;
    }
    uint32_t *used =
        job->flags & SUB_REQUEST ? &agent->calls : &agent->outstanding;
    if (*used > 0) {
        (*used)--;
    }
}

void
Enti_Requeue(struct entry *entry, struct now now, struct ent_job *job,
             struct ent_task *task)
{
    Enti_Release(entry, job, task);
    if (entry->settings.mode == ENT_BASELINE) {
        job->not_before_us = now.us + BASELINE_RETRY_US;
    }
    CTR_INC(entry->counters, start_retried);
    task->state = ENT_WAITING;
    job->waiting++;
    if (job->queued) {
        job->service->waiting++;
        return;
    }
    if (!job->service) {
        job->service = Enti_Service(entry, job->service_name, 1);
    }
    DL_PREPEND(job->service->queue[job->priority], job);
    job->queued = 1;
    job->service->waiting += job->waiting;
}
