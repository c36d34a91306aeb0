/* A stopping entry hands its ranges on: first the answered jobs, then each
 * range itself. The successor takes the range over as any taker does, so a
 * third entry that takes it at the same time does no harm. */
#include <stdlib.h>
#include <string.h>

#include "job.h"
#include "peer.h"
#include "range.h"

/* A handover without an answer is sent again after this. */
#define HAND_RESEND_US (500 * US_PER_MS)
/* Answered jobs sent at once. */
#define HAND_BATCH 256

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
        job->handed = 0;
    }
}

static int
is_to_hand(const struct entry *entry, const struct ent_job *job)
{
    const struct ent_issuer *issuer = Enti_FindIssuer(entry, job->key.issuer);
    return job->state == ENT_JOB_ANSWERED && !job->handed && issuer &&
           !Enti_IsRestartable(job) && Enti_IsOwner(issuer);
}

static void
free_tasks(struct answer_task **tasks)
{
    free(*tasks);
}

static void
hand_job(struct entry *entry, const struct ent_job *job)
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

/* Returns how many answered jobs the successor has still to take. */
static uint32_t
hand_jobs(struct entry *entry)
{
    uint32_t left = 0;
    uint32_t slot = 0;
    struct ent_job *job;
    while (left < HAND_BATCH && (job = Tab_Next(&entry->jobs, &slot))) {
        if (is_to_hand(entry, job)) {
            hand_job(entry, job);
            left++;
        }
    }
    return left;
}

static void
hand_ranges(struct entry *entry)
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
    entry->alone = entry->successor == 0;
    if (entry->successor == 0 || now.us < entry->next_hand_us) {
        return;
    }
    entry->next_hand_us = now.us + HAND_RESEND_US;
    if (hand_jobs(entry) == 0) {
        hand_ranges(entry);
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
            /* The job is dropped, with the outputs copied so far. */
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

/* Returns -1 when the job could not be taken in. */
static int
take_job(struct entry *entry, const struct msg_handover *handover)
{
    const struct answer *answer = &handover->answer;
    struct ent_job *job = Enti_FindJob(entry, &answer->key);
    if (job && job->state != ENT_JOB_HELD) {
        /* Known here, or being asked for: the range's end decides. */
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
take_range(struct entry *entry, struct now now, const struct key *key,
           struct epoch epoch, struct msg_handover_ack *handed)
{
    struct ent_issuer *issuer = Enti_AddIssuer(entry, key->issuer);
    if (!issuer) {
        return;
    }
    if (Epoch_Compare(epoch, issuer->epoch) > 0) {
        Enti_StepDown(entry, now, issuer, epoch);
    }
    /* Handed on to somebody else in the meantime: the sender learns of it. */
    if (!Enti_IsOwner(issuer) && Epoch_Compare(epoch, issuer->epoch) == 0) {
        Enti_TakeOver(entry, now, issuer);
    }
    handed->epoch = issuer->epoch;
    handed->last = 1;
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
        take_range(entry, now, &handover->answer.key, handover->epoch,
                   &msg.u.handover_ack);
        if (!msg.u.handover_ack.last) {
            return;
        }
    }
    else if (take_job(entry, handover)) {
        return;
    }
    Act_Send(&entry->sink, from, &msg);
}

void
Enti_OnHanded(struct entry *entry, struct now now,
              const struct msg_handover_ack *handed)
{
    if (!handed->last) {
        struct ent_job *job = Enti_FindJob(entry, &handed->key);
        if (job) {
            job->handed = 1;
        }
        /* The next batch need not wait. */
        entry->next_hand_us = now.us;
        return;
    }
    struct ent_issuer *issuer = Enti_FindIssuer(entry, handed->key.issuer);
    if (issuer && Epoch_Compare(handed->epoch, issuer->epoch) > 0) {
        Enti_StepDown(entry, now, issuer, handed->epoch);
    }
}

int
Enti_IsHandedOver(const struct entry *entry)
{
    const struct ent_issuer *issuer;
    if (entry->alone) {
        return 1;
    }
    for (issuer = entry->issuer_index; issuer; issuer = issuer->hh.next) {
        if (Enti_IsOwner(issuer)) {
            return 0;
        }
    }
    return 1;
}
