/* Handover of key ranges by a stopping entry: first the answered jobs, then
 * each key range. The successor performs an ordinary takeover of the range, so
 * a third entry that takes it over at the same time does no harm. */
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "peer.h"
#include "key_range.h"

/* Retransmission interval of unacknowledged handovers. */
#define HANDOVER_RESEND_US (500 * US_PER_MS)
/* Maximum number of answered jobs sent at once. */
#define HANDOVER_BATCH 256

/* Keeps the successor while it is usable, else chooses another entry, if there
 * is one, to which all jobs are sent again. */
static void
choose_successor(struct entry *entry, struct now now)
{
    const struct ent_peer *peer = Enti_FindPeer(entry, entry->successor);
    uint32_t slot = 0;
    if (peer && Enti_IsAlive(now, peer) && !peer->draining) {
        return;
    }
    entry->successor = 0;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_ENTRY && !peer->draining &&
            Enti_IsAlive(now, peer)) {
            entry->successor = peer->member.incarnation;
            break;
        }
    }
    slot = 0;
    struct ent_job *job;
    while ((job = Tab_Next(&entry->jobs, &slot))) {
        job->handed_over = 0;
    }
}

static int
needs_handover(const struct entry *entry, const struct ent_job *job)
{
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    return job->state == ENT_JOB_ANSWERED && !job->handed_over && issuer &&
           !Enti_IsRestartable(job) && Enti_IsOwner(issuer);
}

static void
free_tasks(struct answer_task **tasks)
{
    free(*tasks);
}

static void
send_job(struct entry *entry, const struct ent_job *job)
{
    struct msg msg = {.type = MSG_HANDOVER};
    struct msg_handover *handover = &msg.u.handover;
    struct answer *answer = &handover->answer;
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    uint32_t count = job->code == CODE_OK ? job->task_count : 0;
    __attribute__((cleanup(free_tasks))) struct answer_task *tasks =
        calloc(count + 1, sizeof(*tasks));
    if (!tasks) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        tasks[i].no = job->tasks[i].no;
        tasks[i].output = job->tasks[i].output;
    }
    answer->key = job->key;
    answer->code = job->code;
    answer->retry_after_ms = job->retry_after_ms;
    answer->task_count = count;
    answer->tasks = tasks;
    memcpy(answer->detail, job->detail, sizeof(answer->detail));
    handover->body_hash = job->body_hash;
    handover->epoch = issuer->epoch;
    Act_Send(&entry->sink, entry->successor, &msg);
}

/* Sends answered jobs that the successor has not acknowledged. Returns their
 * number, at most HANDOVER_BATCH. */
static uint32_t
send_jobs(struct entry *entry)
{
    uint32_t sent = 0;
    uint32_t slot = 0;
    struct ent_job *job;
    while (sent < HANDOVER_BATCH && (job = Tab_Next(&entry->jobs, &slot))) {
        if (needs_handover(entry, job)) {
            send_job(entry, job);
            sent++;
        }
    }
    return sent;
}

static void
send_ranges(struct entry *entry)
{
    struct ent_issuer *issuer;
    for (issuer = entry->issuer_index; issuer; issuer = issuer->hh.next) {
        if (!Enti_IsOwner(issuer)) {
            continue;
        }
        struct msg msg = {.type = MSG_HANDOVER};
        msg.u.handover.answer.key.issuer = issuer->issuer;
        msg.u.handover.epoch = issuer->epoch;
        msg.u.handover.last = 1;
        Act_Send(&entry->sink, entry->successor, &msg);
    }
}

void
Enti_HandOver(struct entry *entry, struct now now)
{
    choose_successor(entry, now);
    entry->has_no_successor = entry->successor == 0;
    if (entry->successor == 0 || now.us < entry->next_handover_us) {
        return;
    }
    entry->next_handover_us = now.us + HANDOVER_RESEND_US;
    if (send_jobs(entry) == 0) {
        send_ranges(entry);
    }
}

static int
copy_tasks(struct ent_job *job, const struct answer *answer)
{
    struct ent_task *tasks = calloc(answer->task_count + 1, sizeof(*tasks));
    if (!tasks) {
        return -1;
    }
    for (uint32_t i = 0; i < answer->task_count; i++) {
        struct bytes output = answer->tasks[i].output;
        void *copy = malloc(output.size ? output.size : 1);
        if (copy && output.size) {
            memcpy(copy, output.data, output.size);
        }
        tasks[i].no = answer->tasks[i].no;
        tasks[i].state = ENT_DONE;
        tasks[i].output = (struct bytes){copy, output.size};
        if (!copy) {
            /* The caller drops the job, and the outputs copied so far with
             * it. */
            tasks[i].output.size = 0;
            job->tasks = tasks;
            job->task_count = i;
            return -1;
        }
    }
    job->tasks = tasks;
    job->task_count = answer->task_count;
    return 0;
}

/* Stores an answered job. Returns -1 when out of space. */
static int
accept_job(struct entry *entry, const struct msg_handover *handover)
{
    const struct answer *answer = &handover->answer;
    struct ent_job *job = Enti_FindJob(entry, &answer->key);
    if (job && job->state != ENT_JOB_REPORTED) {
        /* The job is known here already, or was submitted here: its outcome is
         * decided when the key range itself is handed over. */
        return 0;
    }
    int added = !job;
    job = Enti_AddJob(entry, &answer->key);
    if (!job) {
        return -1;
    }
    if (copy_tasks(job, answer)) {
        if (added) {
            Enti_DropJob(entry, job);
        }
        return -1;
    }
    job->body_hash = handover->body_hash;
    job->retry_after_ms = answer->retry_after_ms;
    Enti_Answer(entry, job, answer->code, answer->detail);
    return 0;
}

static void
accept_range(struct entry *entry, struct now now, const struct key *key,
             struct epoch epoch, struct msg_handover_ack *ack)
{
    struct ent_issuer *issuer = Enti_AddIssuer(entry, key->issuer);
    if (!issuer) {
        return;
    }
    if (Epoch_Compare(epoch, issuer->epoch) > 0) {
        Enti_StepDown(entry, now, issuer, epoch);
    }
    /* If the range has a newer owner, the sender learns so from the epoch in
     * the acknowledgement. */
    if (!Enti_IsOwner(issuer) && Epoch_Compare(epoch, issuer->epoch) == 0) {
        Enti_TakeOver(entry, now, issuer);
    }
    ack->epoch = issuer->epoch;
    ack->last = 1;
}

void
Enti_OnHandover(struct entry *entry, struct now now, uint64_t from,
                const struct msg_handover *handover)
{
    struct msg msg = {.type = MSG_HANDOVER_ACK};
    msg.u.handover_ack.key = handover->answer.key;
    if (entry->draining) {
        return;
    }
    if (handover->last) {
        accept_range(entry, now, &handover->answer.key, handover->epoch,
                     &msg.u.handover_ack);
        if (!msg.u.handover_ack.last) {
            return;
        }
    }
    else if (accept_job(entry, handover)) {
        return;
    }
    Act_Send(&entry->sink, from, &msg);
}

void
Enti_OnHandoverAck(struct entry *entry, struct now now,
                   const struct msg_handover_ack *ack)
{
    if (!ack->last) {
        struct ent_job *job = Enti_FindJob(entry, &ack->key);
        if (job) {
            job->handed_over = 1;
        }
        /* Send the next batch without delay. */
        entry->next_handover_us = now.us;
        return;
    }
    struct ent_issuer *issuer = Enti_FindIssuer(entry, ack->key.issuer);
    if (issuer && Epoch_Compare(ack->epoch, issuer->epoch) > 0) {
        Enti_StepDown(entry, now, issuer, ack->epoch);
    }
}

int
Enti_IsHandedOver(const struct entry *entry)
{
    const struct ent_issuer *issuer;
    if (entry->has_no_successor) {
        return 1;
    }
    for (issuer = entry->issuer_index; issuer; issuer = issuer->hh.next) {
        if (Enti_IsOwner(issuer)) {
            return 0;
        }
    }
    return 1;
}
