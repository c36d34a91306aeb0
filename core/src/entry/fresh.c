/* Freshness of the configuration, and when a change is accepted. The rules
 * and why they hold are in docs/DESIGN.md, section 3. */
#include <string.h>

#include "peer.h"

/* Most entries whose vouching is looked at. */
#define MAX_VOUCHERS 256
/* Agents that lag are sent the configuration this long after this entry has
 * it, so that the entry that took the change does it alone. */
#define PUSH_DELAY_US (300 * US_PER_MS)

int
Ent_IsFresh(const struct entry *entry, struct now now)
{
    const struct ent_conf *conf = &entry->conf;
    if (!entry->settings.check_fresh) {
        return 1;
    }
    return conf->fresh_us != 0 && !conf->superseded &&
           now.us - conf->fresh_us < CONFIG_MAX_AGE_US;
}

/* The latest time by which `needed` of the times lie at or after it, 0 when
 * there are fewer. */
static uint64_t
reached_by(const uint64_t *times, uint32_t count, uint32_t needed)
{
    uint64_t best = 0;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t at_least = 0;
        for (uint32_t j = 0; j < count; j++) {
            at_least += times[j] >= times[i];
        }
        if (at_least >= needed && times[i] > best) {
            best = times[i];
        }
    }
    return best;
}

/* When a majority of the registered entries last vouched. */
static uint64_t
majority_us(const struct entry *entry, struct now now)
{
    uint64_t times[MAX_VOUCHERS];
    uint32_t count = 0;
    uint32_t registered = 1;
    uint32_t slot = 0;
    struct ent_peer *peer;
    if (entry->conf.store_us) {
        times[count++] = now.us;
    }
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role != ROLE_ENTRY) {
            continue;
        }
        registered++;
        if (peer->vouch_us && count < MAX_VOUCHERS) {
            times[count++] = peer->vouch_us;
        }
    }
    return reached_by(times, count, registered / 2 + 1);
}

int
Ent_HasMajority(const struct entry *entry, struct now now)
{
    uint64_t us = majority_us(entry, now);
    return us != 0 && now.us - us < CONFIG_MAX_AGE_US;
}

static void
refresh(struct entry *entry, struct now now)
{
    uint64_t us = majority_us(entry, now);
    if (entry->conf.store_us > us) {
        us = entry->conf.store_us;
    }
    if (us > entry->conf.fresh_us) {
        entry->conf.fresh_us = us;
    }
}

void
Ent_OnRead(struct entry *entry, struct now now, uint64_t asked_us)
{
    if (asked_us > entry->conf.store_us) {
        entry->conf.store_us = asked_us;
    }
    refresh(entry, now);
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
    version->members = entry->version;
    version->sent_us = now.us;
    version->echo_us = peer->ask_us;
    version->age_us = fresh ? now.us - entry->conf.fresh_us : WIRE_AGE_UNKNOWN;
    version->store_read = entry->conf.store_us != 0 && !entry->conf.superseded;
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

/* The difference when that is all that is missing, else the whole. */
static void
push_config(struct entry *entry, struct now now, struct ent_peer *agent)
{
    const struct ent_conf *conf = &entry->conf;
    struct msg msg = {.type = MSG_STATE};
    int is_next =
        agent->config + 1 == conf->config->version && conf->diff.size;
    msg.u.state.version = conf->config->version;
    msg.u.state.rows = is_next ? conf->diff : conf->whole;
    agent->push_us = now.us;
    CTR_INC(entry->counters, config_pushed);
    Act_Send(&entry->sink, agent->member.incarnation, &msg);
}

static void
push_if_behind(struct entry *entry, struct now now, struct ent_peer *agent)
{
    const struct ent_conf *conf = &entry->conf;
    if (agent->member.role == ROLE_AGENT && conf->config &&
        agent->config < conf->config->version &&
        now.us - conf->applied_us >= PUSH_DELAY_US &&
        now.us - agent->push_us >= PUSH_DELAY_US) {
        push_config(entry, now, agent);
    }
}

/* Whether the peer may not know of the last loss, and so may keep a lost
 * member fresh. */
static int
is_unaware(const struct entry *entry, const struct ent_peer *peer)
{
    return peer->member.role == ROLE_ENTRY &&
           peer->members < entry->conf.lost_rows &&
           peer->member.registered < entry->conf.lost_rows;
}

void
Enti_OnVersion(struct entry *entry, struct now now, struct ent_peer *peer,
               const struct msg_version *version)
{
    peer->ask_us = version->sent_us;
    if (version->config > peer->config) {
        peer->config = version->config;
    }
    if (version->members > peer->members) {
        int was_behind = is_unaware(entry, peer);
        peer->members = version->members;
        if (was_behind && !is_unaware(entry, peer)) {
            entry->conf.lost_us = now.us;
        }
    }
    if (peer->member.role == ROLE_AGENT) {
        push_if_behind(entry, now, peer);
        return;
    }
    /* One that has applied more than this entry shows that this one is
     * behind: it does not vouch for it. */
    if (version->store_read && version->members <= entry->version &&
        version->echo_us <= now.us && version->echo_us > peer->vouch_us) {
        peer->vouch_us = version->echo_us;
        refresh(entry, now);
    }
}

void
Ent_OnConfig(struct entry *entry, struct now now, const struct config *config,
             struct bytes whole, struct bytes diff, int announce)
{
    uint32_t slot = 0;
    struct ent_peer *peer;
    entry->conf.config = config;
    entry->conf.whole = whole;
    entry->conf.diff = diff;
    entry->conf.applied_us = now.us;
    CTR_INC(entry->counters, config_applied);
    Enti_ResolveAll(entry, now);
    while (announce && (peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT) {
            push_config(entry, now, peer);
        }
    }
}

int
Ent_HasAcked(const struct ent_peer *peer, const struct ent_accept *accept)
{
    if (peer->member.role == ROLE_ENTRY && peer->members < accept->rows) {
        return 0;
    }
    return peer->config >= accept->config;
}

struct ent_acks
Ent_CheckAccept(const struct entry *entry, struct now now,
                struct ent_accept *accept)
{
    struct ent_acks acks = {.entries = 1};
    uint32_t slot = 0;
    const struct ent_peer *peer;
    int unaware = 0;
    int here = entry->version >= accept->rows &&
               config_version(entry) >= accept->config;
    acks.entries_acked = here != 0;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        uint32_t acked = Ent_HasAcked(peer, accept) != 0;
        if (peer->member.role == ROLE_ENTRY) {
            acks.entries++;
            unaware |= is_unaware(entry, peer);
            acks.entries_acked += acked;
        }
        else {
            acks.agents++;
            acks.agents_acked += acked;
        }
    }
    int majority = acks.entries_acked > acks.entries / 2;
    if (majority && accept->majority_us == 0) {
        accept->majority_us = now.us;
    }
    int all = acks.entries_acked == acks.entries &&
              acks.agents_acked == acks.agents && !unaware &&
              (entry->conf.lost_us == 0 ||
               now.us - entry->conf.lost_us >
                   CONFIG_MAX_AGE_US + CLOCK_DRIFT_MARGIN_US);
    acks.lapsed = accept->majority_us != 0 &&
                  now.us - accept->majority_us >
                      CONFIG_MAX_AGE_US + CLOCK_DRIFT_MARGIN_US;
    acks.accepted = here && (all || acks.lapsed) && accept->majority_us != 0;
    return acks;
}
