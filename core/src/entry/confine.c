/* Confinement of tasks that may crash upstreams. Each task of a kind crashes
 * a few upstreams before it is given up, and there may be more such tasks than
 * upstreams. So while a kind crashes upstreams, its tasks and all suspects run
 * only at a part of the agents of the service, one job at a time at each. The
 * part is the same for all entries and does not depend on which upstreams are
 * away, so that the harm does not move on to the others. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "subset.h"

/* A kind is confined after this many crashes, CRASH_PAUSE_US apart at most, if
 * one of its tasks was young at two: tasks of a frequent kind are young at
 * every crash, whatever its cause. */
#define KIND_CRASHES 2
/* Confinement ends this long after the last crash. An upstream that has
 * crashed is away for a part of it. */
#define CRASH_PAUSE_US (5 * US_PER_S)
/* Upstreams that crash within this time have a common cause, such as the loss
 * of a rack, that is not a task. A task that is placed again after a crash
 * takes longer. */
#define COMMON_CAUSE_US (10 * US_PER_MS)
/* One of this many agents is for confined tasks, and MIN_AGENTS at least. */
#define SHARE_DIVISOR 4
#define MIN_AGENTS 2
/* A suspect is started only if more agents than this are idle, where more are
 * usable: most of the others of its kind are sound, and an upstream that it
 * crashes serves none of them. */
#define SPARE_AGENTS 1
/* Interval at which the agents for confined tasks are chosen again, as agents
 * are added and removed. */
#define CHOICE_INTERVAL_US (1 * US_PER_S)
#define MAX_AGENTS 1024
/* Time after which a confined task is sent again to an agent that has one of
 * another entry. */
#define RETRY_US (30 * US_PER_MS)

static int
is_active(struct now now, const struct ent_kind_stats *kind)
{
    return kind->confined_until_us > now.us;
}

static int
crashed_recently(struct now now, const struct ent_kind_stats *kind)
{
    return kind->crashes && now.us - kind->crash_us < CRASH_PAUSE_US;
}

static void
raise_to(uint64_t *time_us, uint64_t to_us)
{
    *time_us = to_us > *time_us ? to_us : *time_us;
}

static void
extend(struct ent_kind_stats *kind, uint64_t at_us)
{
    raise_to(&kind->crash_us, at_us);
    raise_to(&kind->confined_until_us, at_us + CRASH_PAUSE_US);
}

/* If some of the young suspects are of confined kinds, they explain the crash,
 * and the others no longer count as young. Returns whether there are any. */
static int
keep_confined(struct entry *entry, struct now now, uint64_t at_us,
              struct msg_crash *crash)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < crash->young_count; i++) {
        struct crash_suspect suspect = crash->suspects[i];
        struct ent_kind_stats *kind =
            Enti_GetKind(entry, crash->service, suspect.kind);
        if (is_active(now, kind)) {
            extend(kind, at_us);
            crash->suspects[i] = crash->suspects[kept];
            crash->suspects[kept++] = suspect;
        }
    }
    if (kept) {
        crash->young_count = kept;
    }
    return kept > 0;
}

/* Reports may come in any order. */
static void
count_kind(struct now now, struct ent_kind_stats *kind, uint64_t at_us)
{
    uint64_t apart_us = at_us > kind->crash_us ? at_us - kind->crash_us
                                               : kind->crash_us - at_us;
    if (kind->crash_us && apart_us < COMMON_CAUSE_US) {
        return;
    }
    kind->crashes = crashed_recently(now, kind) ? kind->crashes + 1 : 1;
    raise_to(&kind->crash_us, at_us);
}

/* True if no other kind of the service has as many recent crashes: tasks of
 * frequent kinds often begin shortly before a crash by another task. */
static int
is_most_suspected(const struct entry *entry, struct now now,
                  const struct ent_kind_stats *kind)
{
    const struct ent_kind_stats *other = entry->sched.kind_index;
    for (; other; other = other->hh.next) {
        if (other != kind && crashed_recently(now, other) &&
            other->crashes >= kind->crashes &&
            strcmp(other->id.service, kind->id.service) == 0) {
            return 0;
        }
    }
    return 1;
}

static void
log_confined(struct entry *entry, const struct ent_kind_stats *kind)
{
    struct act_log_event event = {.type = LOG_EVENT_CONFINED,
                                  .node = kind->id.name,
                                  .attempt = kind->crashes,
                                  .code = CODE_WORKER_CRASHED};
    Act_LogEvent(&entry->sink, &event);
    CTR_INC(entry->counters, kinds_confined);
}

void
Enti_CountKindCrash(struct entry *entry, struct now now, uint64_t at_us,
                    struct msg_crash *crash)
{
    struct ent_service *service =
        Enti_GetService(entry, crash->service, crash->service[0] != 0);
    if (!service || crash->count == 0) {
        return;
    }
    raise_to(&service->confined_until_us, at_us + CRASH_PAUSE_US);
    entry->crashes.next_choice_us = 0;
    Enti_ChooseForConfined(entry, now);
    if (crash->young_count == 0 || keep_confined(entry, now, at_us, crash)) {
        return;
    }
    for (uint32_t i = 0; i < crash->young_count; i++) {
        count_kind(
            now, Enti_GetKind(entry, crash->service, crash->suspects[i].kind),
            at_us);
    }
    for (uint32_t i = 0; i < crash->young_count; i++) {
        struct ent_kind_stats *kind =
            Enti_GetKind(entry, crash->service, crash->suspects[i].kind);
        if (kind->crashes >= KIND_CRASHES && !is_active(now, kind) &&
            Enti_WasYoung(entry, &crash->suspects[i]) &&
            is_most_suspected(entry, now, kind)) {
            extend(kind, at_us);
            log_confined(entry, kind);
        }
    }
}

int
Enti_IsConfined(struct now now, const struct ent_job *job)
{
    const struct ent_service *service = job->service;
    if (!service || service->confined_until_us <= now.us ||
        !Enti_IsRestartable(job)) {
        return 0;
    }
    return job->is_suspect || is_active(now, job->kind_stats);
}

int
Enti_IsForConfined(struct now now, const struct ent_peer *agent)
{
    return agent->for_confined && agent->service &&
           agent->service->confined_until_us > now.us;
}

static int
is_idle(struct now now, const struct ent_peer *agent)
{
    return agent->for_confined && agent->confined_retry_us <= now.us &&
           agent->confined_tasks == 0;
}

/* Whether so few agents for confined tasks are idle, as known here, that a
 * suspect has to wait. */
static int
are_agents_scarce(const struct entry *entry, struct now now,
                  const struct ent_service *service)
{
    uint32_t usable = 0;
    uint32_t idle = 0;
    const struct ent_peer *agent;
    DL_FOREACH(service->agents, agent)
    {
        int can_run = agent->for_confined && Enti_IsUsable(entry, now, agent);
        usable += can_run;
        idle += can_run && is_idle(now, agent);
    }
    return usable > SPARE_AGENTS && idle <= SPARE_AGENTS;
}

int
Enti_IsBarred(const struct entry *entry, struct now now,
              const struct ent_job *job, const struct ent_peer *agent)
{
    if (!Enti_IsConfined(now, job)) {
        return 0;
    }
    if (agent->for_confined && agent->confined_tasks &&
        agent->confined_job == job->name) {
        return 0;
    }
    return !is_idle(now, agent) ||
           (job->is_suspect && are_agents_scarce(entry, now, job->service));
}

void
Enti_AdjustConfined(struct ent_peer *agent, const struct ent_job *job,
                    int sign)
{
    if (sign > 0) {
        agent->confined_job = job->name;
        agent->confined_tasks++;
    }
    else if (agent->confined_tasks) {
        agent->confined_tasks--;
    }
}

void
Enti_OnConfinedRefused(struct now now, struct ent_peer *agent)
{
    agent->confined_retry_us = now.us + RETRY_US;
}

int
Enti_IsConfinementFull(const struct entry *entry, struct now now,
                       const struct ent_job *job)
{
    uint32_t agents = 0;
    uint32_t waiting = 0;
    const struct ent_peer *agent;
    DL_FOREACH(job->service->agents, agent)
    {
        agents += agent->for_confined && Enti_IsUsable(entry, now, agent);
    }
    for (uint32_t i = 0; i < entry->open_jobs; i++) {
        const struct ent_job *other = entry->open_list[i];
        waiting += other != job && other->queued &&
                   other->service == job->service &&
                   Enti_IsConfined(now, other);
    }
    return waiting >= agents;
}

/* An agent and its score, by which the agents for confined tasks are chosen.
 */
struct scored {
    struct ent_peer *agent;
    uint64_t score;
};

static int
compare_scored(const void *a, const void *b)
{
    uint64_t left = ((const struct scored *)a)->score;
    uint64_t right = ((const struct scored *)b)->score;
    return (left < right) - (left > right);
}

static void
choose(struct entry *entry, const struct ent_service *service)
{
    struct scored agents[MAX_AGENTS];
    uint64_t item = Enti_HashNode(service->name);
    uint32_t count = 0;
    uint32_t slot = 0;
    struct ent_peer *agent;
    while (count < MAX_AGENTS && (agent = Tab_Next(&entry->peers, &slot))) {
        if (agent->last_service == service) {
            agents[count++] = (struct scored){
                agent, Enti_RendezvousScore(item, agent->node_hash)};
        }
    }
    qsort(agents, count, sizeof(agents[0]), compare_scored);
    for (uint32_t i = 0; i < count; i++) {
        agents[i].agent->for_confined =
            i < MIN_AGENTS || i * SHARE_DIVISOR < count;
    }
}

void
Enti_ChooseForConfined(struct entry *entry, struct now now)
{
    const struct ent_service *service;
    if (now.us < entry->crashes.next_choice_us) {
        return;
    }
    entry->crashes.next_choice_us = now.us + CHOICE_INTERVAL_US;
    for (service = entry->service_index; service; service = service->hh.next) {
        if (service->confined_until_us > now.us) {
            choose(entry, service);
        }
    }
}
