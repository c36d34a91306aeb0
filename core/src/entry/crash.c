/* Tasks under which upstreams crash. Most of them only ran there at the wrong
 * time, so they run again. A task that began shortly before two crashes is
 * given up, and so is one under which ENT_MAX_CRASHES upstreams have crashed
 * at any age; its job fails. All entries count, as the next submission of the
 * job may come to any of them. */
#include <string.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "subset.h"

/* A suspect is forgotten this long after its latest crash, by when no caller
 * submits its job again. */
#define SUSPECT_LIFETIME_US (60 * US_PER_S)

/* Suspects are placed after jobs that are due by this much later. */
#define SUSPECT_DELAY_US (500 * US_PER_MS)

static struct ent_suspect *
find_suspect(const struct entry *entry, uint64_t name, uint32_t task)
{
    struct ent_suspect_id id = {name, task};
    struct ent_suspect *suspect;
    HASH_FIND(hh, entry->crashes.suspect_index, &id, sizeof(id), suspect);
    return suspect;
}

int
Enti_WasYoung(const struct entry *entry, const struct crash_suspect *reported)
{
    const struct ent_suspect *suspect =
        find_suspect(entry, reported->name, reported->task);
    return suspect && suspect->young > 0;
}

static void
remove_suspect(struct ent_crashes *crashes, struct ent_suspect *suspect)
{
    HASH_DELETE(hh, crashes->suspect_index, suspect);
    Tab_Remove(&crashes->suspects, suspect);
}

/* The suspect to be forgotten when the table is full: the oldest of those that
 * were there at one crash and not young, as in the loss of a rack, or else the
 * oldest of all. The index keeps the order of insertion. */
static struct ent_suspect *
least_suspected(const struct ent_crashes *crashes)
{
    struct ent_suspect *suspect = crashes->suspect_index;
    while (suspect && (suspect->young > 0 || suspect->crashes > 1)) {
        suspect = suspect->hh.next;
    }
    return suspect ? suspect : crashes->suspect_index;
}

/* Find or add a suspect, as the latest one. */
static struct ent_suspect *
get_suspect(struct entry *entry, uint64_t name, uint32_t task)
{
    struct ent_crashes *crashes = &entry->crashes;
    struct ent_suspect *suspect = find_suspect(entry, name, task);
    if (suspect) {
        HASH_DELETE(hh, crashes->suspect_index, suspect);
    }
    else {
        suspect = Tab_Add(&crashes->suspects);
    }
    if (!suspect) {
        remove_suspect(crashes, least_suspected(crashes));
        suspect = Tab_Add(&crashes->suspects);
    }
    suspect->id = (struct ent_suspect_id){name, task};
    HASH_ADD(hh, crashes->suspect_index, id, sizeof(suspect->id), suspect);
    return suspect;
}

void
Enti_ExpireSuspects(struct entry *entry, struct now now)
{
    uint32_t slot = 0;
    struct ent_suspect *suspect;
    while ((suspect = Tab_Next(&entry->crashes.suspects, &slot))) {
        if (now.us - suspect->at_us > SUSPECT_LIFETIME_US) {
            remove_suspect(&entry->crashes, suspect);
        }
    }
}

/* Reports are repeated and relayed. Returns whether this one is new. */
static int
record_crash(struct ent_crashes *crashes, const struct msg_crash *crash)
{
    for (uint32_t i = 0; i < ENT_RECENT_CRASHES; i++) {
        if (crashes->recent[i].agent == crash->agent &&
            crashes->recent[i].number == crash->number) {
            return 0;
        }
    }
    crashes->recent[crashes->recent_next++ % ENT_RECENT_CRASHES] =
        (struct ent_crash_id){crash->agent, crash->number};
    return 1;
}

static int
is_too_many(const struct ent_suspect *suspect)
{
    return suspect->young >= ENT_MAX_YOUNG_CRASHES ||
           suspect->crashes >= ENT_MAX_CRASHES ||
           suspect->possible >= ENT_MAX_POSSIBLE_CRASHES;
}

int
Enti_GiveUp(struct entry *entry, struct now now, struct ent_job *job)
{
    if (!Enti_IsRestartable(job) || !entry->crashes.suspect_index) {
        return 0;
    }
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct ent_task *task = &job->tasks[i];
        const struct ent_suspect *suspect =
            find_suspect(entry, job->name, task->no);
        job->is_suspect |= suspect && suspect->young > 0;
        if (suspect && is_too_many(suspect)) {
            CTR_INC(entry->counters, tasks_given_up);
            Enti_LogDecision(entry, now, LOG_EVENT_GIVEN_UP, job, task, NULL,
                             CODE_CRASHES_WORKERS);
            Enti_FailJob(entry, job, task, CODE_CRASHES_WORKERS);
            return 1;
        }
    }
    return 0;
}

/* Let a job wait until those that are not suspected have been started: most
 * of them are sound, and each run of a deadly task costs an upstream. */
static void
mark_suspect(struct entry *entry, struct ent_job *job)
{
    int was_queued = job->queued;
    if (job->is_suspect) {
        return;
    }
    Enti_Unqueue(job);
    job->is_suspect = 1;
    job->sort_key += SUSPECT_DELAY_US;
    if (was_queued) {
        Enti_Enqueue(entry, job, 1);
    }
}

static void
count_suspect(struct entry *entry, struct now now,
              const struct crash_suspect *reported, int is_young)
{
    struct ent_suspect *suspect =
        get_suspect(entry, reported->name, reported->task);
    struct ent_job *job = Enti_FindJobByName(entry, reported->name);
    suspect->possible++;
    suspect->crashes += reported->has_begun;
    suspect->young += is_young && reported->has_begun;
    suspect->at_us = now.us;
    struct act_log_event event = {.type = LOG_EVENT_SUSPECTED,
                                  .job = reported->name,
                                  .task = reported->task,
                                  .attempt = suspect->crashes,
                                  .code = CODE_WORKER_CRASHED};
    if (job && job->state == ENT_JOB_OPEN &&
        Enti_FindTask(job, reported->task)) {
        Act_LogEvent(&entry->sink, &event);
        if (is_young) {
            mark_suspect(entry, job);
        }
        Enti_GiveUp(entry, now, job);
    }
}

static int
owns_a_suspect(const struct entry *entry, const struct msg_crash *crash)
{
    for (uint32_t i = 0; i < crash->count; i++) {
        if (Enti_FindJobByName(entry, crash->suspects[i].name)) {
            return 1;
        }
    }
    return 0;
}

/* An agent reports to the entries that it is linked to. In a fleet with
 * subsets those are not all, so the owner of a suspect tells the others. */
static void
relay(struct entry *entry, const struct msg_crash *crash)
{
    struct msg msg = {.type = MSG_CRASH};
    uint32_t slot = 0;
    const struct ent_peer *peer;
    msg.u.crash = *crash;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_ENTRY) {
            Act_Send(&entry->sink, peer->member.incarnation, &msg);
        }
    }
}

void
Enti_OnCrash(struct entry *entry, struct now now, const struct ent_peer *from,
             const struct msg_crash *crash)
{
    if (!record_crash(&entry->crashes, crash)) {
        return;
    }
    CTR_INC(entry->counters, crashes_reported);
    uint64_t age_us = crash->age_ms * US_PER_MS;
    uint64_t at_us = now.us > age_us ? now.us - age_us : 0;
    if (from->member.role == ROLE_AGENT && Enti_UsesSubset(entry) &&
        owns_a_suspect(entry, crash)) {
        relay(entry, crash);
    }
    struct msg_crash known = *crash;
    Enti_CountKindCrash(entry, now, at_us, &known);
    for (uint32_t i = 0; i < known.count; i++) {
        count_suspect(entry, now, &known.suspects[i], i < known.young_count);
    }
}
