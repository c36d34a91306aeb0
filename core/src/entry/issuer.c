/* Issuing of keys, and ownership of key ranges. */
#include <sodium.h>
#include <string.h>

#include "job.h"
#include "place.h"
#include "key_range.h"

uint64_t
Enti_Random(struct entry *entry)
{
    uint64_t count = ++entry->random_count;
    uint64_t value;
    crypto_shorthash((unsigned char *)&value, (const unsigned char *)&count,
                     sizeof(count), entry->settings.seed);
    return value ? value : 1;
}

struct ent_issuer *
Enti_FindIssuer(const struct entry *entry, uint64_t issuer)
{
    struct ent_issuer *found;
    HASH_FIND(hh, entry->issuer_index, &issuer, sizeof(issuer), found);
    return found;
}

static void
drop_issuer(struct entry *entry, struct ent_issuer *issuer)
{
    Enti_DropFences(issuer);
    HASH_DELETE(hh, entry->issuer_index, issuer);
    Tab_Remove(&entry->issuers, issuer);
}

/* Drops the least recently used issuer number of another entry. */
static void
evict_oldest_issuer(struct entry *entry)
{
    struct ent_issuer *oldest = NULL;
    for (struct ent_issuer *i = entry->issuer_index; i; i = i->hh.next) {
        int evictable = i->state == ENT_ISSUER_PEER;
        if (evictable && (!oldest || i->used_us < oldest->used_us)) {
            oldest = i;
        }
    }
    if (oldest) {
        drop_issuer(entry, oldest);
    }
}

struct ent_issuer *
Enti_AddIssuer(struct entry *entry, uint64_t issuer)
{
    struct ent_issuer *found = Enti_FindIssuer(entry, issuer);
    if (found) {
        return found;
    }
    found = Tab_Add(&entry->issuers);
    if (!found) {
        evict_oldest_issuer(entry);
        found = Tab_Add(&entry->issuers);
    }
    if (!found) {
        return NULL;
    }
    found->issuer = issuer;
    found->state = ENT_ISSUER_PEER;
    HASH_ADD(hh, entry->issuer_index, issuer, sizeof(issuer), found);
    return found;
}

void
Enti_GenerateIssuer(struct entry *entry, struct now now, uint32_t index)
{
    struct ent_issuer *issuer = Enti_AddIssuer(entry, Enti_Random(entry));
    entry->own_issuers[index] = issuer;
    if (!issuer) {
        return;
    }
    issuer->state = ENT_ISSUER_OWN;
    issuer->epoch.n = 1;
    issuer->epoch.owner = entry->settings.incarnation;
    issuer->used_us = now.us;
}

int
Enti_IsOwner(const struct ent_issuer *issuer)
{
    return issuer->state != ENT_ISSUER_PEER;
}

/* Returns the own issuer numbers one after the other, NULL if there is
 * none. */
static const struct ent_issuer *
next_issuer(struct entry *entry)
{
    for (int i = 0; i < ENT_OWN_ISSUERS; i++) {
        entry->next_own_issuer =
            (entry->next_own_issuer + 1) % ENT_OWN_ISSUERS;
        if (entry->own_issuers[entry->next_own_issuer]) {
            return entry->own_issuers[entry->next_own_issuer];
        }
    }
    return NULL;
}

enum code
Ent_IssueKeys(struct entry *entry, struct now now, uint32_t count,
              struct key *keys)
{
    if (entry->registry_version == 0) {
        return CODE_NOT_FRESH;
    }
    if (entry->draining) {
        return CODE_DRAINING;
    }
    for (uint32_t i = 0; i < count; i++) {
        const struct ent_issuer *issuer = next_issuer(entry);
        if (!issuer) {
            return CODE_NO_MEMORY;
        }
        keys[i].issuer = issuer->issuer;
        keys[i].registry_version = entry->registry_version;
        keys[i].seq = ++entry->next_seq;
        keys[i].issued_s = now.wall;
    }
    return CODE_OK;
}

/* Prepares the jobs of a key range that has a new owner: those not yet
 * answered are forwarded to the new owner, which learns from the agents which
 * tasks were started. */
static void
transfer_jobs(struct entry *entry, struct now now, uint64_t issuer)
{
    uint32_t slot = 0;
    struct ent_job *job;
    while ((job = Tab_Next(&entry->jobs, &slot))) {
        if (job->key.issuer != issuer) {
            continue;
        }
        switch (job->state) {
        case ENT_JOB_REPORTED:
            Enti_DropJob(entry, job);
            break;
        case ENT_JOB_COLLECTING:
        case ENT_JOB_OPEN:
            Enti_Unqueue(job);
            for (uint32_t i = 0; i < job->task_count; i++) {
                if (job->tasks[i].state == ENT_SENT) {
                    Enti_ReleaseSlot(entry, job, &job->tasks[i]);
                    job->tasks[i].state = ENT_WAITING;
                }
            }
            Enti_SetState(entry, job, ENT_JOB_REMOTE);
            job->forwarded_to = 0;
            job->rerouted = 1;
            job->resend_us = now.us;
            break;
        case ENT_JOB_ANSWERED:
            /* The new owner may run a job that was refused here, so the
             * refusal must not be repeated. The job cannot be dropped either:
             * a delayed copy of the submission could then run it here after
             * another takeover. */
            if (Code_Run(job->code) == CODE_NOT_RUN) {
                job->code = CODE_OUTCOME_UNKNOWN;
                job->retry_after_ms = 0;
            }
            break;
        case ENT_JOB_REMOTE:
            break;
        }
    }
}

void
Enti_StepDown(struct entry *entry, struct now now, struct ent_issuer *issuer,
              struct epoch epoch)
{
    int owned = Enti_IsOwner(issuer);
    uint64_t number = issuer->issuer;
    issuer->epoch = epoch;
    issuer->state = ENT_ISSUER_PEER;
    issuer->used_us = now.us;
    if (!owned) {
        return;
    }
    CTR_INC(entry->counters, steps_down);
    Enti_DropFences(issuer);
    for (uint32_t i = 0; i < ENT_OWN_ISSUERS; i++) {
        if (entry->own_issuers[i] != issuer) {
            continue;
        }
        entry->own_issuers[i] = NULL;
        if (!entry->draining) {
            Enti_GenerateIssuer(entry, now, i);
        }
    }
    transfer_jobs(entry, now, number);
}

/* Marks the issuer numbers of open jobs as used. */
static void
touch_issuers(struct entry *entry, struct now now)
{
    for (uint32_t i = 0; i < entry->open_jobs; i++) {
        uint64_t number = entry->open_list[i]->key.issuer;
        struct ent_issuer *issuer = Enti_FindIssuer(entry, number);
        if (issuer) {
            issuer->used_us = now.us;
        }
    }
}

void
Enti_ExpireIssuers(struct entry *entry, struct now now)
{
    uint64_t limit_us =
        entry->settings.key_lifetime_s * US_PER_S + ISSUER_EXPIRY_INTERVAL_US;
    struct ent_issuer *issuer;
    struct ent_issuer *next;
    touch_issuers(entry, now);
    HASH_ITER(hh, entry->issuer_index, issuer, next)
    {
        if (issuer->state != ENT_ISSUER_OWN &&
            now.us - issuer->used_us > limit_us) {
            drop_issuer(entry, issuer);
        }
    }
}

void
Enti_OnIssuers(struct entry *entry, struct now now,
               const struct msg_issuers *issuers)
{
    for (uint32_t i = 0; i < issuers->count; i++) {
        const struct issuer_epoch *item = &issuers->items[i];
        struct ent_issuer *issuer = Enti_AddIssuer(entry, item->issuer);
        if (!issuer) {
            return;
        }
        issuer->used_us = now.us;
        if (Epoch_Compare(item->epoch, issuer->epoch) > 0) {
            Enti_StepDown(entry, now, issuer, item->epoch);
        }
    }
}

void
Enti_SendIssuers(struct entry *entry, uint64_t to)
{
    struct msg msg = {.type = MSG_ISSUERS};
    struct msg_issuers *list = &msg.u.issuers;
    struct ent_issuer *issuer;
    for (issuer = entry->issuer_index; issuer; issuer = issuer->hh.next) {
        if (!Enti_IsOwner(issuer)) {
            continue;
        }
        list->items[list->count].issuer = issuer->issuer;
        list->items[list->count].epoch = issuer->epoch;
        if (++list->count == WIRE_MAX_ISSUERS) {
            Act_Send(&entry->sink, to, &msg);
            list->count = 0;
        }
    }
    if (list->count) {
        Act_Send(&entry->sink, to, &msg);
    }
}
