/* Initialisation, message dispatch and timers. */
#include "core/entry.h"

#include <stdlib.h>
#include <string.h>

#include "cancel.h"
#include "job.h"
#include "peer.h"
#include "place.h"
#include "key_range.h"
#include "subset.h"

/* Capacities of the tables of services and issuer numbers. */
#define MAX_SERVICES 1024
#define MAX_ISSUERS 8192
/* Interval between scans of the open jobs. */
#define SCAN_INTERVAL_US (20 * US_PER_MS)
/* Maximum number of jobs checked for expiry in one tick. */
#define SWEEP_BATCH 256

int
Ent_Init(struct entry *entry, const struct ent_settings *settings,
         struct now now, struct act_sink sink, struct counters *counters)
{
    memset(entry, 0, sizeof(*entry));
    entry->settings = *settings;
    entry->sink = sink;
    entry->counters = counters;
    if (entry->settings.timing.heartbeat_us == 0) {
        Timing_Init(&entry->settings.timing);
    }
    entry->started_us = now.us;
    Pol_Init(&entry->policy);
    entry->open_list = calloc(settings->job_capacity, sizeof(void *));
    if (!entry->open_list ||
        Tab_Init(&entry->queries, sizeof(struct ent_query), ENT_MAX_QUERIES) ||
        Tab_Init(&entry->peers, sizeof(struct ent_peer),
                 settings->peer_capacity) ||
        Tab_Init(&entry->services, sizeof(struct ent_service), MAX_SERVICES) ||
        Tab_Init(&entry->issuers, sizeof(struct ent_issuer), MAX_ISSUERS) ||
        Tab_Init(&entry->sched.shares, sizeof(struct ent_share),
                 ENT_MAX_SHARES) ||
        Tab_Init(&entry->sched.usages, sizeof(struct ent_usage),
                 ENT_MAX_USAGES) ||
        Tab_Init(&entry->sched.kinds, sizeof(struct ent_kind_stats),
                 ENT_MAX_KINDS) ||
        Tab_Init(&entry->crashes.suspects, sizeof(struct ent_suspect),
                 ENT_MAX_SUSPECTS) ||
        Tab_Init(&entry->jobs, sizeof(struct ent_job),
                 settings->job_capacity)) {
        Ent_Finish(entry);
        return -1;
    }
    return 0;
}

void
Ent_Finish(struct entry *entry)
{
    uint32_t slot = 0;
    struct ent_job *job;
    while ((job = Tab_Next(&entry->jobs, &slot))) {
        Enti_DropJob(entry, job);
    }
    struct ent_issuer *issuer;
    for (issuer = entry->issuer_index; issuer; issuer = issuer->hh.next) {
        Enti_DropFences(issuer);
    }
    HASH_CLEAR(name_hh, entry->name_index);
    HASH_CLEAR(hh, entry->issuer_index);
    HASH_CLEAR(hh, entry->peer_index);
    HASH_CLEAR(node_hh, entry->node_index);
    HASH_CLEAR(hh, entry->service_index);
    HASH_CLEAR(hh, entry->sched.share_index);
    HASH_CLEAR(hh, entry->sched.kind_index);
    HASH_CLEAR(hh, entry->sched.usage_index);
    Tab_Finish(&entry->sched.usages);
    Tab_Finish(&entry->sched.shares);
    Tab_Finish(&entry->sched.kinds);
    HASH_CLEAR(hh, entry->crashes.suspect_index);
    Tab_Finish(&entry->crashes.suspects);
    HASH_CLEAR(hh, entry->query_index);
    Tab_Finish(&entry->queries);
    free(entry->open_list);
    entry->open_list = NULL;
    Tab_Finish(&entry->peers);
    Tab_Finish(&entry->services);
    Tab_Finish(&entry->issuers);
    Tab_Finish(&entry->jobs);
}

/* Tells the owner of the key that the answer has been read. */
static void
forward_release(struct entry *entry, struct now now, const struct key *key)
{
    uint64_t owner = Enti_FindOwner(entry, now, key->issuer);
    if (owner == 0 || owner == entry->settings.incarnation) {
        return;
    }
    struct msg msg = {.type = MSG_RELEASE};
    msg.u.release.key = *key;
    Act_Send(&entry->sink, owner, &msg);
}

void
Ent_OnAnswerRead(struct entry *entry, struct now now, const struct key *key)
{
    struct ent_job *job = Enti_FindJob(entry, key);
    if (job && job->state == ENT_JOB_ANSWERED) {
        Enti_SendRelease(entry, job);
    }
    else if (!job) {
        forward_release(entry, now, key);
    }
}

static void
on_release(struct entry *entry, const struct key *key)
{
    struct ent_job *job = Enti_FindJob(entry, key);
    if (job && job->state == ENT_JOB_ANSWERED) {
        Enti_SendRelease(entry, job);
    }
}

void
Ent_OnMessage(struct entry *entry, struct now now,
              const struct frame_header *header, const struct msg *msg)
{
    struct ent_peer *peer = Enti_TouchPeer(entry, now, header);
    if (!peer && entry->settings.keep_heard_members) {
        Ent_OnUnknownPeer(entry, now, header);
        peer = Enti_TouchPeer(entry, now, header);
    }
    if (!peer) {
        return;
    }
    switch (msg->type) {
    case MSG_HEARTBEAT:
        Enti_OnHeartbeat(entry, now, peer, &msg->u.heartbeat);
        break;
    case MSG_AGENT_STATUS:
        Enti_OnAgentStatus(entry, now, peer, &msg->u.agent_status);
        break;
    case MSG_ISSUERS:
        Enti_OnIssuers(entry, now, &msg->u.issuers);
        break;
    case MSG_RESULT:
        Enti_OnResult(entry, now, peer, &msg->u.result);
        break;
    case MSG_TASK_RECORD:
        Enti_OnTaskRecord(entry, peer, &msg->u.result);
        break;
    case MSG_FENCED:
        Enti_OnFenced(entry, now, peer, &msg->u.fenced);
        break;
    case MSG_SUBMIT:
        Enti_Submit(entry, now, header->from, msg->u.submit.conn,
                    &msg->u.submit.sub);
        break;
    case MSG_ANSWER:
        Enti_OnAnswer(entry, header->from, &msg->u.answer);
        break;
    case MSG_JOB_QUERY:
        Enti_Query(entry, now, header->from, msg->u.job_query.conn,
                   &msg->u.job_query.key, msg->u.job_query.query);
        break;
    case MSG_HANDOVER:
        Enti_OnHandover(entry, now, header->from, &msg->u.handover);
        break;
    case MSG_HANDOVER_ACK:
        Enti_OnHandoverAck(entry, now, &msg->u.handover_ack);
        break;
    case MSG_RELEASE:
        on_release(entry, &msg->u.release.key);
        break;
    case MSG_USAGE:
        Enti_OnUsage(entry, now, peer, &msg->u.usage);
        break;
    case MSG_VERSION:
        Enti_OnVersion(entry, now, peer, &msg->u.version);
        break;
    case MSG_CRASH:
        Enti_OnCrash(entry, now, peer, &msg->u.crash);
        break;
    default:
        break;
    }
}

/* Final code of a job whose deadline has passed. */
static enum code
deadline_code(const struct ent_job *job)
{
    switch (job->state) {
    case ENT_JOB_COLLECTING:
        return CODE_OUTCOME_UNKNOWN;
    default:
        if (!Enti_HasStarted(job)) {
            return CODE_DEADLINE_PASSED;
        }
        return CODE_JOB_DEADLINE;
    }
}

static void
end_overdue_job(struct entry *entry, struct ent_job *job)
{
    if (job->state == ENT_JOB_REMOTE) {
        Enti_EndRemote(entry, job, CODE_OWNER_AWAY, NULL);
        return;
    }
    enum code code = deadline_code(job);
    Enti_SendCancel(entry, job);
    Enti_Answer(entry, job, code, NULL);
}

/* Retransmits unanswered starts and retries tasks whose run was lost. Sets
 * when the job is due for this again. */
static void
resend_starts(struct entry *entry, struct now now, struct ent_job *job)
{
    uint64_t due_us = UINT64_MAX;
    if (now.us < job->next_resend_us) {
        return;
    }
    for (uint32_t i = 0; i < job->task_count; i++) {
        struct ent_task *task = &job->tasks[i];
        if (task->state != ENT_SENT && task->state != ENT_LOST) {
            continue;
        }
        if (task->resend_us <= now.us && task->state == ENT_LOST) {
            Enti_Retry(entry, now, job, task, CODE_RUN_LOST);
            continue;
        }
        if (task->resend_us <= now.us) {
            CTR_INC(entry->counters, start_resent);
            Enti_SendStart(entry, now, job, task);
        }
        due_us = task->resend_us < due_us ? task->resend_us : due_us;
    }
    job->next_resend_us = due_us;
}

static void
scan_job(struct entry *entry, struct now now, struct ent_job *job)
{
    if (job->state == ENT_JOB_ANSWERED || job->state == ENT_JOB_REPORTED) {
        return;
    }
    if (job->deadline_us <= now.us) {
        end_overdue_job(entry, job);
        return;
    }
    if (job->state == ENT_JOB_OPEN) {
        if (Ent_IsFresh(entry, now)) {
            resend_starts(entry, now, job);
        }
    }
    else if (job->state == ENT_JOB_COLLECTING) {
        Enti_Collect(entry, now, job);
    }
    else if (job->resend_us <= now.us) {
        Enti_Route(entry, now, job);
    }
}

static void
scan_jobs(struct entry *entry, struct now now)
{
    /* Backwards, as the last job of the list replaces one that is answered: it
     * has been scanned already. */
    for (uint32_t i = entry->open_jobs; i-- > 0;) {
        if (i < entry->open_jobs) {
            scan_job(entry, now, entry->open_list[i]);
        }
    }
}

/* Drops ended jobs, a batch at a time: restartable ones once nothing of them
 * can still run, others when their keys have expired. */
static void
sweep(struct entry *entry, struct now now)
{
    uint64_t lifetime = entry->settings.key_lifetime_s;
    for (int i = 0; i < SWEEP_BATCH; i++) {
        struct ent_job *job = Tab_Next(&entry->jobs, &entry->sweep_slot);
        if (!job) {
            entry->sweep_slot = 0;
            return;
        }
        int ended =
            job->state == ENT_JOB_ANSWERED || job->state == ENT_JOB_REPORTED;
        if (!ended) {
            continue;
        }
        if (Enti_IsRestartable(job)) {
            if (job->unconfirmed == 0) {
                Enti_DropJob(entry, job);
            }
            continue;
        }
        if (job->key.issued_s + lifetime >= now.wall) {
            continue;
        }
        if (job->key.issued_s > entry->expired_until_s) {
            entry->expired_until_s = job->key.issued_s;
        }
        Enti_DropJob(entry, job);
    }
}

void
Ent_OnTick(struct entry *entry, struct now now)
{
    Enti_UpdatePressure(entry, now);
    if (now.us >= entry->next_heartbeat_us) {
        entry->next_heartbeat_us =
            now.us + entry->settings.timing.heartbeat_us;
        Enti_SendHeartbeats(entry, now);
        Enti_SendUsage(entry, now);
    }
    if (now.us >= entry->next_scan_us) {
        entry->next_scan_us = now.us + SCAN_INTERVAL_US;
        Enti_UpdateSubset(entry, now);
        Enti_ChooseForConfined(entry, now);
        scan_jobs(entry, now);
        Enti_ResendCancels(entry, now);
        Enti_DemoteLateJobs(entry, now);
        Enti_PlaceAll(entry, now);
        Enti_ResendFences(entry, now);
        Enti_ResendQueries(entry, now);
    }
    if (now.us >= entry->next_issuer_expiry_us) {
        entry->next_issuer_expiry_us = now.us + ISSUER_EXPIRY_INTERVAL_US;
        Enti_ExpireIssuers(entry, now);
        Enti_ExpireSuspects(entry, now);
    }
    /* Agents ignore cancellations of an earlier owner. */
    if (entry->draining && entry->open_jobs == 0 && !entry->cancelled_jobs) {
        Enti_HandOver(entry, now);
    }
    sweep(entry, now);
}

void
Ent_Drain(struct entry *entry, struct now now)
{
    entry->draining = 1;
    entry->next_heartbeat_us = now.us;
}

int
Ent_IsIdle(const struct entry *entry)
{
    if (entry->open_jobs > 0 || entry->cancelled_jobs) {
        return 0;
    }
    return !entry->draining || Enti_IsHandedOver(entry);
}
