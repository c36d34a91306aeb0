/* Submissions, first ones and repeated ones. */
#include "job.h"
#include "peer.h"
#include "place.h"
#include "range.h"

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
    if (!Enti_IsBegun(job)) {
        enum code code = Enti_Admit(entry, now, job);
        if (code != CODE_OK) {
            Enti_Answer(entry, job, code, job->service_name);
            return;
        }
    }
    CTR_INC(entry->counters, jobs_submitted);
    if (job->open == 0) {
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

/* A submission whose key is known here. */
static void
meet_job(struct entry *entry, struct now now, struct ent_job *job,
         uint64_t from, conn_id conn, const struct submission *sub)
{
    (void)now;
    CTR_INC(entry->counters, jobs_resubmitted);
    if (job->body_hash && job->body_hash != Enti_HashBody(sub)) {
        /* Only the owner can tell which of two bodies came first. */
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

/* Whose it is, and how long its tasks should run. */
static void
expect(struct entry *entry, struct ent_job *job, const struct submission *sub)
{
    job->share = Enti_GetShare(entry, job->service_name, job->team);
    job->kind_row = Enti_GetKind(entry, job->service_name, job->kind);
    Enti_ExpectSteps(job);
    if (sub->stretch_percent) {
        job->objective_us = job->submitted_us +
                            job->longest_us * sub->stretch_percent / 100 +
                            sub->target_ms * US_PER_MS;
    }
}

static void
take_in(struct entry *entry, struct now now, uint64_t from, conn_id conn,
        const struct submission *sub, struct ent_issuer *issuer)
{
    int fresh = issuer && issuer->state == ENT_ISSUER_OWN;
    struct ent_job *job = Enti_AddJob(entry, &sub->key);
    if (!job || Enti_FillJob(job, now, sub)) {
        if (job && job->state == ENT_JOB_HELD && !job->held) {
            Enti_DropJob(entry, job);
        }
        /* Another copy of what an entry passed on may come later. */
        enum code code = fresh && from == 0 ? CODE_NO_MEMORY : CODE_TRY_AGAIN;
        Enti_Refuse(entry, from, conn, &sub->key, code, NULL);
        return;
    }
    expect(entry, job, sub);
    Enti_AddWaiter(job, from, conn);
    if (fresh) {
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

/* An entry passed a submission here: take its range over unless another
 * owner is known to live. Returns NULL when it does. */
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
                              ? Enti_FindNamed(entry, sub->name)
                              : Enti_FindJob(entry, &sub->key);
    if (job && job->state != ENT_JOB_HELD) {
        meet_job(entry, now, job, from, conn, sub);
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
    take_in(entry, now, from, conn, sub, issuer);
}

void
Ent_OnSubmit(struct entry *entry, struct now now, conn_id conn,
             const struct submission *sub)
{
    Enti_Submit(entry, now, 0, conn, sub);
}
