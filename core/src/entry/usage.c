/* Quotas of teams over all entries without a store: each entry reserves a
 * part, tells the others with its heartbeats, and grows only into what
 * nobody has reserved, by one part in as many as there are entries. So the
 * sum exceeds the quota by less than one slot for each other entry, and by
 * that part of the rest again for each report that is lost. */
#include <string.h>

#include "core/config.h"
#include "job.h"
#include "peer.h"
#include "place.h"

/* A report older than this no longer counts. */
#define REPORT_US (3 * US_PER_S)
/* Least time between two growths: a heartbeat of each entry and its way. */
#define GROW_US (HEARTBEAT_INTERVAL_US + 100 * US_PER_MS)

/* The lower of the team's own quota and the setting in force for it. */
static uint32_t
quota_of(const struct entry *entry, const struct ent_share *share)
{
    const struct policy *policy =
        Enti_Policy(entry, share->id.service, share->id.name);
    int64_t slots = policy->value[POL_TEAM_SLOTS];
    const struct config *config = entry->conf.config;
    const struct cfg_team *team =
        config ? Cfg_FindTeam(config, share->id.name) : NULL;
    if (team && team->quota > 0 && team->quota < slots) {
        slots = team->quota;
    }
    return (uint32_t)slots;
}

static uint32_t
live_entries(const struct entry *entry, struct now now)
{
    uint32_t count = 1;
    uint32_t slot = 0;
    const struct ent_peer *peer;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        count += peer->member.role == ROLE_ENTRY && Enti_IsAlive(now, peer);
    }
    return count;
}

static uint32_t
divide_up(uint32_t value, uint32_t parts)
{
    return (value + parts - 1) / parts;
}

/* Grows only when the others have had time to tell of their own growth. */
static void
reserve(const struct entry *entry, struct now now, struct ent_share *share)
{
    uint32_t quota = quota_of(entry, share);
    uint32_t taken = share->others + share->limit;
    if (share->waiting == 0) {
        share->limit = share->running;
        return;
    }
    uint32_t fair = divide_up(quota, share->wanting + 1);
    if (share->wanting && share->limit > fair) {
        share->limit = fair;
        return;
    }
    int may_grow = share->grown_us == 0 || now.us - share->grown_us >= GROW_US;
    if (may_grow && taken < quota) {
        share->limit += divide_up(quota - taken, live_entries(entry, now));
        share->grown_us = now.us;
    }
}

int
Enti_MayTake(const struct entry *entry, struct now now,
             const struct ent_job *job)
{
    struct ent_share *share = job->share;
    if (job->flags & SUB_REQUEST || entry->settings.mode == ENT_BASELINE ||
        quota_of(entry, share) >= POL_NO_QUOTA) {
        return 1;
    }
    if (share->running >= share->limit) {
        reserve(entry, now, share);
    }
    return share->running < share->limit;
}

static struct ent_usage *
find_usage(struct entry *entry, uint64_t from, struct ent_share *share)
{
    struct ent_usage_id id;
    struct ent_usage *usage;
    memset(&id, 0, sizeof(id));
    id.from = from;
    id.share = share;
    HASH_FIND(hh, entry->sched.usage_index, &id, sizeof(id), usage);
    if (usage) {
        return usage;
    }
    usage = Tab_Add(&entry->sched.usages);
    if (usage) {
        usage->id = id;
        HASH_ADD(hh, entry->sched.usage_index, id, sizeof(usage->id), usage);
    }
    return usage;
}

static void
set_usage(struct ent_usage *usage, uint32_t slots, int wants)
{
    struct ent_share *share = usage->id.share;
    share->others -= usage->slots;
    share->others += slots;
    share->wanting -= usage->wants;
    share->wanting += wants != 0;
    usage->slots = slots;
    usage->wants = wants != 0;
}

void
Enti_OnUsage(struct entry *entry, struct now now, const struct ent_peer *peer,
             const struct msg_usage *msg)
{
    for (uint32_t i = 0; i < msg->count; i++) {
        const struct usage_item *item = &msg->items[i];
        struct ent_share *share = Enti_Share(entry, item->service, item->team);
        struct ent_usage *usage =
            find_usage(entry, peer->member.incarnation, share);
        if (usage) {
            usage->heard_us = now.us;
            set_usage(usage, item->slots, item->has_waiting);
        }
    }
}

static void
drop_old(struct entry *entry, struct now now)
{
    struct ent_usage *usage;
    struct ent_usage *following;
    HASH_ITER(hh, entry->sched.usage_index, usage, following)
    {
        if (now.us - usage->heard_us > REPORT_US) {
            set_usage(usage, 0, 0);
            HASH_DELETE(hh, entry->sched.usage_index, usage);
            Tab_Remove(&entry->sched.usages, usage);
        }
    }
}

static void
tell_entries(struct entry *entry, const struct msg *msg)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_ENTRY) {
            Act_Send(&entry->sink, peer->member.incarnation, msg);
        }
    }
}

static int
is_worth_telling(const struct entry *entry, struct ent_share *share)
{
    int is_used = share->limit || share->running || share->waiting;
    int was_told = share->told;
    share->told = (uint8_t)is_used;
    return (is_used || was_told) && quota_of(entry, share) < POL_NO_QUOTA;
}

void
Enti_SendUsage(struct entry *entry, struct now now)
{
    struct msg msg = {.type = MSG_USAGE};
    struct msg_usage *list = &msg.u.usage;
    struct ent_share *share;
    drop_old(entry, now);
    for (share = entry->sched.share_index; share; share = share->hh.next) {
        if (!is_worth_telling(entry, share)) {
            continue;
        }
        reserve(entry, now, share);
        struct usage_item *item = &list->items[list->count++];
        memcpy(item->service, share->id.service, sizeof(item->service));
        memcpy(item->team, share->id.name, sizeof(item->team));
        item->slots =
            share->limit > share->running ? share->limit : share->running;
        item->has_waiting = share->waiting > 0;
        if (list->count == WIRE_MAX_USAGE) {
            tell_entries(entry, &msg);
            list->count = 0;
        }
    }
    if (list->count) {
        tell_entries(entry, &msg);
    }
}
