/* Quotas of teams across all entries, without use of the table service. Each
 * entry reserves a part of the quota, reports it to the others with its
 * heartbeats, and enlarges its reservation only by the unreserved rest divided
 * by the number of entries. So the sum exceeds the quota by less than one slot
 * for each other entry, and by that fraction of the rest again for each report
 * that is lost. */
#include <string.h>

#include "core/config.h"
#include "job.h"
#include "peer.h"
#include "place.h"

/* Maximum age of a report that is taken into account. */
#define REPORT_MAX_AGE_US (3 * US_PER_S)
/* Minimum time between two enlargements of a reservation: a heartbeat interval
 * of the other entries and the delivery of their reports. */
#define GROW_INTERVAL_US (HEARTBEAT_INTERVAL_US + 100 * US_PER_MS)

/* Quota of a share in slots: the lower of the team's own quota and the setting
 * team_slots in force for it. */
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

/* Number of entries alive, this one included. */
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

/* Update the reservation of a share: release it when nothing waits, reduce it
 * to a fair part when others wait too, or enlarge it, once the others have had
 * time to report theirs. */
static void
update_reservation(const struct entry *entry, struct now now,
                   struct ent_share *share)
{
    uint32_t quota = quota_of(entry, share);
    uint32_t taken = share->others_reserved + share->reserved;
    if (share->waiting == 0) {
        share->reserved = share->running;
        return;
    }
    uint32_t fair = divide_up(quota, share->others_waiting + 1);
    if (share->others_waiting && share->reserved > fair) {
        share->reserved = fair;
        return;
    }
    int may_grow =
        share->grown_us == 0 || now.us - share->grown_us >= GROW_INTERVAL_US;
    if (may_grow && taken < quota) {
        share->reserved += divide_up(quota - taken, live_entries(entry, now));
        share->grown_us = now.us;
    }
}

int
Enti_HasQuota(const struct entry *entry, struct now now,
              const struct ent_job *job)
{
    struct ent_share *share = job->share;
    if (job->flags & SUB_REQUEST || entry->settings.mode == ENT_BASELINE ||
        quota_of(entry, share) >= POL_NO_QUOTA) {
        return 1;
    }
    if (share->running >= share->reserved) {
        update_reservation(entry, now, share);
    }
    return share->running < share->reserved;
}

static struct ent_usage *
find_or_add_usage(struct entry *entry, uint64_t from, struct ent_share *share)
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
set_usage(struct ent_usage *usage, uint32_t slots, int is_waiting)
{
    struct ent_share *share = usage->id.share;
    share->others_reserved -= usage->slots;
    share->others_reserved += slots;
    share->others_waiting -= usage->has_waiting;
    share->others_waiting += is_waiting != 0;
    usage->slots = slots;
    usage->has_waiting = is_waiting != 0;
}

void
Enti_OnUsage(struct entry *entry, struct now now, const struct ent_peer *peer,
             const struct msg_usage *msg)
{
    for (uint32_t i = 0; i < msg->count; i++) {
        const struct usage_item *item = &msg->items[i];
        struct ent_share *share =
            Enti_GetShare(entry, item->service, item->team);
        struct ent_usage *usage =
            find_or_add_usage(entry, peer->member.incarnation, share);
        if (usage) {
            usage->heard_us = now.us;
            set_usage(usage, item->slots, item->has_waiting);
        }
    }
}

static void
drop_stale_reports(struct entry *entry, struct now now)
{
    struct ent_usage *usage;
    struct ent_usage *following;
    HASH_ITER(hh, entry->sched.usage_index, usage, following)
    {
        if (now.us - usage->heard_us > REPORT_MAX_AGE_US) {
            set_usage(usage, 0, 0);
            HASH_DELETE(hh, entry->sched.usage_index, usage);
            Tab_Remove(&entry->sched.usages, usage);
        }
    }
}

static void
send_to_entries(struct entry *entry, const struct msg *msg)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_ENTRY) {
            Act_Send(&entry->sink, peer->member.incarnation, msg);
        }
    }
}

/* Returns 1 when a share has to be reported: it has a quota, and is in use
 * here or was when last reported. Records what the report says. */
static int
update_is_reported(const struct entry *entry, struct ent_share *share)
{
    int is_used = share->reserved || share->running || share->waiting;
    int was_reported = share->reported;
    share->reported = (uint8_t)is_used;
    return (is_used || was_reported) && quota_of(entry, share) < POL_NO_QUOTA;
}

void
Enti_SendUsage(struct entry *entry, struct now now)
{
    struct msg msg = {.type = MSG_USAGE};
    struct msg_usage *list = &msg.u.usage;
    struct ent_share *share;
    drop_stale_reports(entry, now);
    for (share = entry->sched.share_index; share; share = share->hh.next) {
        if (!update_is_reported(entry, share)) {
            continue;
        }
        update_reservation(entry, now, share);
        struct usage_item *item = &list->items[list->count++];
        memcpy(item->service, share->id.service, sizeof(item->service));
        memcpy(item->team, share->id.name, sizeof(item->team));
        item->slots = share->reserved > share->running ? share->reserved
                                                       : share->running;
        item->has_waiting = share->waiting > 0;
        if (list->count == WIRE_MAX_USAGE) {
            send_to_entries(entry, &msg);
            list->count = 0;
        }
    }
    if (list->count) {
        send_to_entries(entry, &msg);
    }
}
