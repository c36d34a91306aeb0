/* Submissions of jobs, first and repeated ones. */
#include "job.h"
#include "peer.h"
#include "place.h"
#include "key_range.h"

static int
is_expired(const struct entry *entry, struct now now, const struct key *key)
{
    uint64_t end = (uint64_t)key->issued_s + entry->settings.key_lifetime_s;
    return key->issued_s <= entry->expired_until_s || end < now.wall;
}

void
Enti_OpenJob(struct entry *entry, struct now now, struct ent_job *job)
{
    Enti_SetState(entry, job, ENT_JOB_OPEN);
    job->service = Enti_GetService(entry, job->service_name, 0);
    if (Enti_GiveUp(entry, now, job)) {
        return;
    }
    if (!Enti_HasStarted(job)) {
        enum code code = Enti_Admit(entry, now, job);
        if (code != CODE_OK) {
            Enti_Answer(entry, job, code, job->service_name);
            return;
        }
    }
    CTR_INC(entry->counters, jobs_submitted);
    if (job->unfinished == 0) {
        Enti_Answer(entry, job, CODE_OK, NULL);
        return;
    }
    if (job->waiting == 0) {
        return;
    }
    if (!job->service) {
        job->service = Enti_GetService(entry, job->service_name, 1);
    }
    Enti_CountLoad(now, job);
    Enti_Enqueue(entry, job, 0);
    Enti_Place(entry, now, job->service);
}

/* Handle a submission of a job that is known here, by its key or by the
 * caller's name. */
static void
on_resubmission(struct entry *entry, struct now now, struct ent_job *job,
                uint64_t from, conn_id conn, const struct submission *sub)
{
    (void)now;
    CTR_INC(entry->counters, jobs_resubmitted);
    if (job->body_hash && job->body_hash != Enti_HashBody(sub)) {
        /* Only the owner knows which of two different bodies came first. */
        enum code code =
            job->state == ENT_JOB_REMOTE ? CODE_TRY_AGAIN : CODE_KEY_REUSED;
        Enti_Refuse(entry, from, conn, &sub->key, code, NULL);
        return;
    }
    if (job->state == ENT_JOB_ANSWERED) {
        Enti_Reply(entry, job, from, conn);
        return;
    }
    Enti_AddWaiter(job, from, conn);
}

/* Set the share, statistics and estimates of a job, and its objective:
 * `stretch_percent` of the critical path plus `target_ms` after the
 * submission; none if `stretch_percent` is 0. */
static void
set_estimates(struct entry *entry, struct ent_job *job,
              const struct submission *sub)
{
    job->share = Enti_GetShare(entry, job->service_name, job->team);
    job->kind_stats = Enti_GetKind(entry, job->service_name, job->kind);
    Enti_EstimateSteps(job);
    if (sub->stretch_percent) {
        job->objective_us =
            job->submitted_us +
            job->critical_path_us * sub->stretch_percent / 100 +
            sub->target_ms * US_PER_MS;
    }
}

static void
accept_submission(struct entry *entry, struct now now, uint64_t from,
                  conn_id conn, const struct submission *sub,
                  struct ent_issuer *issuer)
{
    int is_own = issuer && issuer->state == ENT_ISSUER_OWN;
    struct ent_job *job = Enti_AddJob(entry, &sub->key);
    const char *fault = job ? "no memory for its tasks" : "job table is full";
    if (!job || Enti_FillJob(job, now, sub)) {
        if (job && job->state == ENT_JOB_REPORTED && !job->task_records) {
            Enti_DropJob(entry, job);
        }
        /* The entry that forwarded a submission may send another copy, which
         * could be accepted: the refusal does not prove that the job has not
         * run. */
        enum code code = is_own && from == 0 ? CODE_NO_MEMORY : CODE_TRY_AGAIN;
        Enti_Refuse(entry, from, conn, &sub->key, code, fault);
        return;
    }
    set_estimates(entry, job, sub);
    Enti_AddWaiter(job, from, conn);
    if (is_own) {
        Enti_OpenJob(entry, now, job);
    }
    else if (issuer && Enti_IsOwner(issuer)) {
        Enti_SetState(entry, job, ENT_JOB_COLLECTING);
        Enti_Collect(entry, now, job);
    }
    else {
        Enti_SetState(entry, job, ENT_JOB_REMOTE);
        Enti_Route(entry, now, job);
    }
}

/* Take over the key range of a submission that an entry forwarded here, if
 * this entry does not own it. Returns NULL when another owner is alive,
 * this entry has not run long enough to know, or the table of issuer numbers
 * is full. */
static struct ent_issuer *
accept_range(struct entry *entry, struct now now, const struct key *key)
{
    struct ent_issuer *issuer = Enti_AddIssuer(entry, key->issuer);
    if (!issuer) {
        return NULL;
    }
    if (!Enti_IsOwner(issuer)) {
        struct ent_peer *owner = Enti_FindPeer(entry, issuer->epoch.owner);
        if ((owner && Enti_IsAlive(now, owner)) ||
            entry->registry_version == 0 ||
            now.us - entry->started_us < SETTLE_US) {
            return NULL;
        }
        Enti_TakeOver(entry, now, issuer);
    }
    return issuer;
}

void
Enti_Submit(struct entry *entry, struct now now, uint64_t from, conn_id conn,
            const struct submission *sub)
{
    struct ent_job *job = sub->flags & SUB_RESTART
                              ? Enti_FindJobByName(entry, sub->name)
                              : Enti_FindJob(entry, &sub->key);
    if (job && job->state != ENT_JOB_REPORTED) {
        on_resubmission(entry, now, job, from, conn, sub);
        return;
    }
    if (is_expired(entry, now, &sub->key)) {
        Enti_Refuse(entry, from, conn, &sub->key, CODE_KEY_EXPIRED, NULL);
        return;
    }
    if (entry->draining && !job) {
        enum code code = from == 0 ? CODE_DRAINING : CODE_TRY_AGAIN;
        Enti_Refuse(entry, from, conn, &sub->key, code, NULL);
        return;
    }
    struct ent_issuer *issuer = Enti_FindIssuer(entry, sub->key.issuer);
    if (from != 0) {
        issuer = accept_range(entry, now, &sub->key);
        if (!issuer) {
            Enti_Refuse(entry, from, conn, &sub->key, CODE_OWNER_AWAY, NULL);
            return;
        }
    }
    accept_submission(entry, now, from, conn, sub, issuer);
}

void
Ent_OnSubmit(struct entry *entry, struct now now, conn_id conn,
             const struct submission *sub)
{
    Enti_Submit(entry, now, 0, conn, sub);
}
