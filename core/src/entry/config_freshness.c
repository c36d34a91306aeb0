/* Freshness of the configuration and acceptance of changes. The rules and
 * why they hold are in docs/DESIGN.md, section 3. */
#include <string.h>

#include "peer.h"

/* Maximum number of entries whose confirmations are evaluated. */
#define MAX_CONFIRMATIONS 256
/* Delay before an agent that lags is sent the configuration, from when this
 * entry applied it or last sent it. Normally only the entry that made the
 * change sends it, and the others need not. */
#define PUSH_DELAY_US (300 * US_PER_MS)

int
Ent_IsFresh(const struct entry *entry, struct now now)
{
    const struct ent_conf *conf = &entry->conf;
    if (!entry->settings.require_fresh) {
        return 1;
    }
    return conf->fresh_us != 0 && !conf->superseded &&
           now.us - conf->fresh_us < CONFIG_MAX_AGE_US;
}

/* The `needed`-th latest of the times, 0 if there are fewer. */
static uint64_t
quorum_time(const uint64_t *times, uint32_t count, uint32_t needed)
{
    uint64_t best = 0;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t reached = 0;
        for (uint32_t j = 0; j < count; j++) {
            reached += times[j] >= times[i];
        }
        if (reached >= needed && times[i] > best) {
            best = times[i];
        }
    }
    return best;
}

/* Latest time that a majority of the registered entries, including this one,
 * has confirmed; 0 for none. */
static uint64_t
confirmed_by_majority_us(const struct entry *entry, struct now now)
{
    uint64_t times[MAX_CONFIRMATIONS];
    uint32_t count = 0;
    uint32_t registered = 1;
    uint32_t slot = 0;
    struct ent_peer *peer;
    if (entry->conf.store_read_us) {
        times[count++] = now.us;
    }
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role != ROLE_ENTRY) {
            continue;
        }
        registered++;
        if (peer->confirmed_us && count < MAX_CONFIRMATIONS) {
            times[count++] = peer->confirmed_us;
        }
    }
    return quorum_time(times, count, registered / 2 + 1);
}

int
Ent_HasMajority(const struct entry *entry, struct now now)
{
    uint64_t us = confirmed_by_majority_us(entry, now);
    return us != 0 && now.us - us < CONFIG_MAX_AGE_US;
}

/* The configuration is known to have been the newest when a read of the table
 * service was sent or when a majority confirmed it, whichever is later. */
static void
update_fresh(struct entry *entry, struct now now)
{
    uint64_t us = confirmed_by_majority_us(entry, now);
    if (entry->conf.store_read_us > us) {
        us = entry->conf.store_read_us;
    }
    if (us > entry->conf.fresh_us) {
        entry->conf.fresh_us = us;
    }
}

void
Ent_OnStoreRead(struct entry *entry, struct now now, uint64_t sent_us)
{
    if (sent_us > entry->conf.store_read_us) {
        entry->conf.store_read_us = sent_us;
    }
    update_fresh(entry, now);
}

static uint64_t
config_version(const struct entry *entry)
{
    return entry->conf.config ? entry->conf.config->version : 0;
}

void
Enti_SendVersion(struct entry *entry, struct now now, struct ent_peer *peer)
{
    struct msg msg = {.type = MSG_VERSION};
    struct msg_version *version = &msg.u.version;
    int fresh = entry->conf.fresh_us && Ent_IsFresh(entry, now);
    version->config = config_version(entry);
    version->members = entry->registry_version;
    version->sent_us = now.us;
    version->echo_us = peer->version_echo_us;
    version->age_us = fresh ? now.us - entry->conf.fresh_us : WIRE_AGE_UNKNOWN;
    version->store_read =
        entry->conf.store_read_us != 0 && !entry->conf.superseded;
    Act_Send(&entry->sink, peer->member.incarnation, &msg);
}

void
Ent_Acknowledge(struct entry *entry, struct now now, uint64_t to)
{
    struct ent_peer *peer = Enti_FindPeer(entry, to);
    if (peer) {
        Enti_SendVersion(entry, now, peer);
    }
}

/* Sends the difference if the agent has the previous version, else the full
 * configuration. */
static void
push_config(struct entry *entry, struct now now, struct ent_peer *agent)
{
    const struct ent_conf *conf = &entry->conf;
    struct msg msg = {.type = MSG_STATE};
    int send_diff =
        agent->config_version + 1 == conf->config->version && conf->diff.size;
    msg.u.state.version = conf->config->version;
    msg.u.state.rows = send_diff ? conf->diff : conf->full;
    agent->pushed_us = now.us;
    CTR_INC(entry->counters, config_pushed);
    Act_Send(&entry->sink, agent->member.incarnation, &msg);
}

static void
push_if_behind(struct entry *entry, struct now now, struct ent_peer *agent)
{
    const struct ent_conf *conf = &entry->conf;
    if (agent->member.role == ROLE_AGENT && conf->config &&
        agent->config_version < conf->config->version &&
        now.us - conf->applied_us >= PUSH_DELAY_US &&
        now.us - agent->pushed_us >= PUSH_DELAY_US) {
        push_config(entry, now, agent);
    }
}

/* Whether the peer is an entry that may not know of the last removal, and so
 * may still confirm the configuration to the removed member. */
static int
may_miss_removal(const struct entry *entry, const struct ent_peer *peer)
{
    return peer->member.role == ROLE_ENTRY &&
           peer->rows_version < entry->conf.member_lost_version &&
           peer->member.registered < entry->conf.member_lost_version;
}

void
Enti_OnVersion(struct entry *entry, struct now now, struct ent_peer *peer,
               const struct msg_version *version)
{
    peer->version_echo_us = version->sent_us;
    peer->version_heard_us = now.us;
    if (version->config > peer->config_version) {
        peer->config_version = version->config;
    }
    if (version->members > peer->rows_version) {
        int missed_removal = may_miss_removal(entry, peer);
        peer->rows_version = version->members;
        if (missed_removal && !may_miss_removal(entry, peer)) {
            entry->conf.member_lost_us = now.us;
        }
    }
    if (peer->member.role == ROLE_AGENT) {
        push_if_behind(entry, now, peer);
        return;
    }
    /* A peer with newer rows shows that this entry is behind, so its message
     * confirms nothing. */
    if (version->store_read && version->members <= entry->registry_version &&
        version->echo_us <= now.us && version->echo_us > peer->confirmed_us) {
        peer->confirmed_us = version->echo_us;
        update_fresh(entry, now);
    }
}

void
Ent_OnConfig(struct entry *entry, struct now now, const struct config *config,
             struct bytes full, struct bytes diff, int announce)
{
    uint32_t slot = 0;
    struct ent_peer *peer;
    entry->conf.config = config;
    entry->conf.full = full;
    entry->conf.diff = diff;
    entry->conf.applied_us = now.us;
    CTR_INC(entry->counters, config_applied);
    Enti_ResolveAll(entry, now);
    while (announce && (peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT && peer->link == ENT_LINKED) {
            push_config(entry, now, peer);
        }
    }
}

int
Ent_HasAcked(const struct ent_peer *peer,
             const struct ent_pending_change *change)
{
    if (peer->member.role == ROLE_ENTRY &&
        peer->rows_version < change->rows_version) {
        return 0;
    }
    return peer->config_version >= change->config_version;
}

struct ent_acks
Ent_CheckAcceptance(const struct entry *entry, struct now now,
                    struct ent_pending_change *change)
{
    struct ent_acks acks = {.entries = 1};
    uint32_t slot = 0;
    const struct ent_peer *peer;
    int may_miss = 0;
    int is_applied_here = entry->registry_version >= change->rows_version &&
                          config_version(entry) >= change->config_version;
    acks.entries_acked = is_applied_here != 0;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        uint32_t acked = Ent_HasAcked(peer, change) != 0;
        if (peer->member.role == ROLE_ENTRY) {
            acks.entries++;
            may_miss |= may_miss_removal(entry, peer);
            acks.entries_acked += acked;
        }
        else {
            acks.agents++;
            acks.agents_acked += acked;
        }
    }
    int majority = acks.entries_acked > acks.entries / 2;
    if (majority && change->majority_us == 0) {
        change->majority_us = now.us;
    }
    /* A member that was removed or replaced may still be running and start
     * tasks by an old configuration for CONFIG_MAX_AGE_US after the last entry
     * has learned of the removal and no longer confirms it. */
    int all = acks.entries_acked == acks.entries &&
              acks.agents_acked == acks.agents && !may_miss &&
              (entry->conf.member_lost_us == 0 ||
               now.us - entry->conf.member_lost_us >
                   CONFIG_MAX_AGE_US + CLOCK_DRIFT_MARGIN_US);
    /* Members that have not applied the change cannot get a confirmation from
     * a majority any more, so they stop starting tasks after
     * CONFIG_MAX_AGE_US. */
    acks.lapsed = change->majority_us != 0 &&
                  now.us - change->majority_us >
                      CONFIG_MAX_AGE_US + CLOCK_DRIFT_MARGIN_US;
    acks.accepted =
        is_applied_here && (all || acks.lapsed) && change->majority_us != 0;
    return acks;
}
