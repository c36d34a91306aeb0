/* Jobs whose keys are owned by another entry. */
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "peer.h"
#include "key_range.h"
#include "subset.h"

/* Retransmission interval of a submission forwarded to the owner. */
#define SUBMIT_RESEND_US (1 * US_PER_S)

/* The live entry that is to take the key range over: the one with the highest
 * rendezvous hash, so that all entries agree without communication. */
static uint64_t
choose_new_owner(const struct entry *entry, struct now now, uint64_t issuer)
{
    uint64_t best = entry->settings.incarnation;
    uint64_t best_score =
        entry->draining ? 0 : Enti_RendezvousScore(issuer, best);
    uint32_t slot = 0;
    struct ent_peer *peer;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role != ROLE_ENTRY || peer->draining ||
            !Enti_IsAlive(now, peer)) {
            continue;
        }
        uint64_t score =
            Enti_RendezvousScore(issuer, peer->member.incarnation);
        if (score > best_score) {
            best = peer->member.incarnation;
            best_score = score;
        }
    }
    return best;
}

uint64_t
Enti_FindOwner(struct entry *entry, struct now now, uint64_t number)
{
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, number);
    if (issuer && Enti_IsOwner(issuer)) {
        return entry->settings.incarnation;
    }
    if (issuer) {
        const struct ent_peer *owner =
            Enti_FindPeer(entry, issuer->epoch.owner);
        if (owner && Enti_IsAlive(now, owner)) {
            return owner->member.incarnation;
        }
    }
    if (now.us - entry->started_us < SETTLE_US ||
        entry->registry_version == 0) {
        return 0;
    }
    /* The issuer number may belong to an entry that registered only just
     * now. */
    if (!issuer && entry->entry_seen_us &&
        now.us - entry->entry_seen_us < SETTLE_US) {
        return 0;
    }
    return choose_new_owner(entry, now, number);
}

/* Takes the key range of a job over, unless that has been done, and continues
 * with the job. */
static void
take_over_job(struct entry *entry, struct now now, struct ent_job *job)
{
    struct ent_issuer *issuer = Enti_AddIssuer(entry, job->key.issuer);
    if (!issuer) {
        return;
    }
    if (!Enti_IsOwner(issuer)) {
        Enti_TakeOver(entry, now, issuer);
    }
    Enti_SetState(entry, job, ENT_JOB_COLLECTING);
    Enti_Collect(entry, now, job);
}

static void
free_tasks(struct sub_task **tasks)
{
    free(*tasks);
}

static void
send_submit(struct entry *entry, struct now now, struct ent_job *job)
{
    __attribute__((cleanup(free_tasks))) struct sub_task *tasks =
        calloc(job->task_count, sizeof(*tasks));
    if (!tasks || job->deadline_us <= now.us) {
        return;
    }
    for (uint32_t i = 0; i < job->task_count; i++) {
        tasks[i].no = job->tasks[i].no;
        tasks[i].run_ms = job->tasks[i].run_ms;
        tasks[i].input = job->tasks[i].input;
    }
    struct msg msg = {.type = MSG_SUBMIT};
    struct submission *sub = &msg.u.submit.sub;
    sub->key = job->key;
    memcpy(sub->service, job->service_name, sizeof(sub->service));
    memcpy(sub->kind, job->kind, sizeof(sub->kind));
    memcpy(sub->team, job->team, sizeof(sub->team));
    sub->deadline_ms = (uint32_t)((job->deadline_us - now.us) / US_PER_MS);
    sub->memory_mb = job->memory_mb;
    sub->cores = job->cores;
    sub->priority = job->priority;
    sub->flags = job->flags;
    sub->task_count = job->task_count;
    sub->tasks = tasks;
    msg.u.submit.conn = Tab_Handle(&entry->jobs, job);
    CTR_INC(entry->counters, jobs_forwarded);
    Act_Send(&entry->sink, job->forwarded_to, &msg);
}

void
Enti_Route(struct entry *entry, struct now now, struct ent_job *job)
{
    uint64_t previous = job->forwarded_to;
    job->resend_us = now.us + SUBMIT_RESEND_US;
    job->forwarded_to = Enti_FindOwner(entry, now, job->key.issuer);
    if (job->key.registry_version > entry->registry_version &&
        !Enti_FindIssuer(entry, job->key.issuer)) {
        /* The registration of the issuing entry has not been read here
         * yet. */
        job->forwarded_to = 0;
    }
    if (previous != 0 && job->forwarded_to != previous) {
        job->rerouted = 1;
    }
    if (job->forwarded_to == 0) {
        job->resend_us = now.us + HEARTBEAT_INTERVAL_US;
    }
    else if (job->forwarded_to == entry->settings.incarnation) {
        take_over_job(entry, now, job);
    }
    else {
        send_submit(entry, now, job);
    }
}

/* Copies the outputs. Returns -1 if the tasks do not match the job or when out
 * of memory. */
static int
copy_answer(struct ent_job *job, const struct answer *answer)
{
    for (uint32_t i = 0; i < answer->task_count; i++) {
        const struct answer_task *task = &answer->tasks[i];
        if (i >= job->task_count || job->tasks[i].no != task->no) {
            return -1;
        }
        void *copy = malloc(task->output.size ? task->output.size : 1);
        if (!copy) {
            return -1;
        }
        if (task->output.size) {
            memcpy(copy, task->output.data, task->output.size);
        }
        free((void *)job->tasks[i].output.data);
        job->tasks[i].output.data = copy;
        job->tasks[i].output.size = task->output.size;
    }
    return 0;
}

/* The code to report to the caller for an answer of another entry. */
static enum code
answer_code(const struct ent_job *job, const struct answer *answer)
{
    /* A refusal is not final if the submission was also sent to another entry,
     * which may run it later. */
    if (Code_Run(answer->code) == CODE_NOT_RUN && job->rerouted) {
        return CODE_TRY_AGAIN;
    }
    return answer->code;
}

void
Enti_OnAnswer(struct entry *entry, uint64_t from, const struct msg_answer *msg)
{
    const struct answer *answer = &msg->answer;
    /* Bit 63 is set in the identifiers of connections, which queries carry. A
     * forwarded submission carries the handle of its job instead. */
    if (msg->conn >> 63) {
        Enti_OnQueryAnswer(entry, msg);
        return;
    }
    struct ent_job *job = Enti_FindJob(entry, &answer->key);
    if (!job || job->state != ENT_JOB_REMOTE ||
        msg->conn != Tab_Handle(&entry->jobs, job)) {
        if (!job || job->state != ENT_JOB_ANSWERED) {
            CTR_INC(entry->counters, answers_late);
        }
        return;
    }
    if (answer->code == CODE_OWNER_AWAY || answer->code == CODE_TRY_AGAIN ||
        answer->code == CODE_PENDING) {
        return;
    }
    if (Code_Run(answer->code) == CODE_NOT_RUN && from != job->forwarded_to) {
        CTR_INC(entry->counters, answers_late);
        return;
    }
    if (answer->code == CODE_OK &&
        (answer->task_count != job->task_count || copy_answer(job, answer))) {
        return;
    }
    job->retry_after_ms = answer->retry_after_ms;
    Enti_EndRemote(entry, job, answer_code(job, answer), answer->detail);
}
