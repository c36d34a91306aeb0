/* Members, heartbeats and the status of agents. */
#include <string.h>
#include <utlist.h>

#include "cancel.h"
#include "job.h"
#include "peer.h"
#include "place.h"
#include "key_range.h"
#include "subset.h"

/* Approximate number of entries to which heartbeats are sent in one round. */
#define ENTRIES_PER_ROUND 16
/* Maximum number of rounds between two heartbeats to the same entry, so that
 * several fit into PEER_TIMEOUT_US. */
#define MAX_ROUNDS 3

struct ent_peer *
Enti_FindPeer(const struct entry *entry, uint64_t incarnation)
{
    struct ent_peer *peer;
    HASH_FIND(hh, entry->peer_index, &incarnation, sizeof(incarnation), peer);
    return peer;
}

int
Enti_IsAlive(struct now now, const struct ent_peer *peer)
{
    return peer->heard_us != 0 && now.us - peer->heard_us < PEER_TIMEOUT_US;
}

/* Number of rounds in which each other entry gets one heartbeat. With many
 * entries it is more than one, to limit the cost of a round. */
static uint32_t
rounds_between_entries(const struct entry *entry)
{
    uint32_t rounds = 1 + entry->entry_count / ENTRIES_PER_ROUND;
    if (!Enti_UsesSubset(entry)) {
        return 1;
    }
    return rounds < MAX_ROUNDS ? rounds : MAX_ROUNDS;
}

/* Time without messages after which the connection to a process is
 * replaced. */
static uint64_t
silence_limit_us(const struct entry *entry, const struct ent_peer *peer)
{
    uint64_t limit_us = entry->settings.timing.link_timeout_us;
    return peer->member.role == ROLE_ENTRY
               ? limit_us * rounds_between_entries(entry)
               : limit_us;
}

int
Enti_IsResponsive(const struct entry *entry, struct now now,
                  const struct ent_peer *peer)
{
    return peer->link == ENT_LINKED && Enti_IsAlive(now, peer) &&
           (entry->settings.timing.orphan_timeout_us == 0 ||
            now.us - peer->heard_us < silence_limit_us(entry, peer));
}

static void
leave_service(struct ent_peer *peer)
{
    if (peer->service) {
        DL_DELETE(peer->service->agents, peer);
        peer->service = NULL;
    }
}

/* Removes a peer and ends its connection. */
static void
drop_peer(struct entry *entry, struct now now, struct ent_peer *peer)
{
    if (peer->member.role == ROLE_AGENT) {
        Enti_OnAgentLost(entry, now, peer);
    }
    struct act act = {.type = ACT_UNLINK};
    act.u.link.peer = peer->member.incarnation;
    Act_Emit(&entry->sink, &act);
    leave_service(peer);
    entry->entry_count -= peer->member.role == ROLE_ENTRY;
    entry->subset.is_stale |= peer->member.role == ROLE_AGENT;
    HASH_DELETE(hh, entry->peer_index, peer);
    HASH_DELETE(node_hh, entry->node_index, peer);
    Tab_Remove(&entry->peers, peer);
}

static struct ent_peer *
find_node(const struct entry *entry, const char *node)
{
    struct ent_peer *peer;
    HASH_FIND(node_hh, entry->node_index, node, strlen(node), peer);
    return peer;
}

/* Removes a member whose row was removed or replaced at `version`. */
static void
remove_member(struct entry *entry, struct now now, struct ent_peer *peer,
              uint64_t version)
{
    if (peer->member.role == ROLE_AGENT) {
        Enti_RecordAgentLoss(entry, peer->member.incarnation, version);
    }
    drop_peer(entry, now, peer);
}

static void
record_removal(struct entry *entry, struct now now, uint64_t version)
{
    entry->conf.member_lost_us = now.us;
    if (version > entry->conf.member_lost_version) {
        entry->conf.member_lost_version = version;
    }
}

/* Keeps the earliest version at which the agent was registered: it may have
 * run tasks since then, even if its row was written again later. */
static void
update_registered(struct ent_peer *peer, uint64_t version)
{
    if (version != 0 && version < peer->member.registered) {
        peer->member.registered = version;
    }
}

void
Enti_SendHeartbeat(struct entry *entry, struct now now, struct ent_peer *peer,
                   int is_last)
{
    struct msg msg = {.type = MSG_HEARTBEAT};
    /* A heartbeat tells the agent that its runs are still wanted, so what was
     * cancelled must be known to it by then. */
    Enti_ResendCancelsTo(entry, peer);
    msg.u.heartbeat.sent_us = now.us;
    msg.u.heartbeat.echo_us = peer->heartbeat_echo_us;
    msg.u.heartbeat.version = entry->registry_version;
    msg.u.heartbeat.draining = entry->draining;
    msg.u.heartbeat.is_last = (uint8_t)is_last;
    Act_Send(&entry->sink, peer->member.incarnation, &msg);
    if (is_last) {
        return;
    }
    Enti_SendVersion(entry, now, peer);
    if (peer->member.role == ROLE_ENTRY) {
        Enti_SendIssuers(entry, peer->member.incarnation);
    }
}

/* Whether a row or a frame is of an earlier process of the node than `peer`,
 * which may still run tasks of this entry. */
static int
is_outdated(const struct entry *entry, struct now now,
            const struct ent_peer *peer, uint64_t incarnation)
{
    return entry->settings.keep_heard_members &&
           peer->member.incarnation > incarnation &&
           now.us - peer->heard_us < entry->settings.timing.quiesce_us;
}

void
Ent_OnUnknownPeer(struct entry *entry, struct now now,
                  const struct frame_header *header)
{
    struct ent_member member = {.role = header->role,
                                .incarnation = header->from};
    const struct ent_peer *peer = find_node(entry, header->node);
    if (!entry->settings.keep_heard_members ||
        Enti_FindPeer(entry, header->from) ||
        header->from == entry->settings.incarnation ||
        (peer && is_outdated(entry, now, peer, header->from))) {
        return;
    }
    memcpy(member.node, header->node, sizeof(member.node));
    memcpy(member.addr, header->addr, sizeof(member.addr));
    memcpy(member.dc, header->dc, sizeof(member.dc));
    CTR_INC(entry->counters, strangers);
    Ent_OnMember(entry, now, &member);
    struct ent_peer *added = Enti_FindPeer(entry, header->from);
    if (added && added->member.role == ROLE_AGENT) {
        Enti_LinkAgent(entry, now, added);
    }
}

static void
set_service(struct entry *entry, struct ent_peer *peer, const char *name)
{
    struct ent_service *service = NULL;
    if (name[0]) {
        service = Enti_GetService(entry, name, 1);
    }
    if (peer->service == service) {
        return;
    }
    leave_service(peer);
    peer->service = service;
    if (service) {
        peer->last_service = service;
        DL_APPEND(service->agents, peer);
    }
}

/* Uses what the registry says of an agent's upstream, unless the agent itself
 * has reported on it. */
static void
apply_saved_upstream(struct entry *entry, struct now now,
                     struct ent_peer *peer, const struct ent_member *member)
{
    if (member->service[0] == '\0' ||
        (peer->link == ENT_LINKED && peer->heard_us)) {
        return;
    }
    set_service(entry, peer, member->service);
    peer->capacity = member->capacity;
    peer->labels = member->labels;
    Enti_ResolveAgent(entry, now, peer);
}

void
Ent_OnMember(struct entry *entry, struct now now,
             const struct ent_member *member)
{
    struct ent_peer *peer = find_node(entry, member->node);
    if (peer && is_outdated(entry, now, peer, member->incarnation)) {
        return;
    }
    if (peer && peer->member.incarnation == member->incarnation) {
        update_registered(peer, member->registered);
        apply_saved_upstream(entry, now, peer, member);
        return;
    }
    if (peer) {
        remove_member(entry, now, peer, member->registered);
        record_removal(entry, now, member->registered);
    }
    else if (member->replaced) {
        Enti_RecordAgentLoss(entry, 0, member->registered);
    }
    if (member->incarnation == entry->settings.incarnation) {
        return;
    }
    peer = Tab_Add(&entry->peers);
    if (!peer) {
        /* The member cannot be fenced, so no outcome of a takeover can be
         * certain from now on. */
        Enti_RecordAgentLoss(entry, 0, UINT64_MAX);
        return;
    }
    peer->member = *member;
    HASH_ADD(node_hh, entry->node_index, member.node,
             (unsigned)strlen(peer->member.node), peer);
    peer->first_seen_us = now.us;
    peer->node_hash = Enti_HashNode(member->node);
    if (member->role == ROLE_ENTRY) {
        entry->entry_seen_us = now.us;
        entry->entry_count++;
    }
    HASH_ADD(hh, entry->peer_index, member.incarnation,
             sizeof(peer->member.incarnation), peer);
    Enti_ResolveAgent(entry, now, peer);
    if (member->role == ROLE_AGENT) {
        apply_saved_upstream(entry, now, peer, member);
    }
    if (member->role == ROLE_AGENT && Enti_UsesSubset(entry)) {
        Enti_AddToSubset(entry, now, peer);
        return;
    }
    Enti_LinkPeer(entry, now, peer);
    /* Introduce this entry without waiting for the next heartbeat. */
    Enti_SendHeartbeat(entry, now, peer, 0);
}

void
Ent_OnMemberRemoved(struct entry *entry, struct now now, const char *node,
                    uint64_t version)
{
    struct ent_peer *peer = find_node(entry, node);
    if (peer && entry->settings.keep_heard_members &&
        now.us - peer->heard_us < entry->settings.timing.quiesce_us) {
        /* The row may have been lost in an outage of the table service; the
         * member writes it again. */
        return;
    }
    if (peer) {
        remove_member(entry, now, peer, version);
        record_removal(entry, now, version);
    }
    else {
        Enti_RecordAgentLoss(entry, 0, version);
    }
}

void
Ent_OnVersion(struct entry *entry, struct now now, uint64_t version)
{
    if (version <= entry->registry_version) {
        return;
    }
    int first = entry->registry_version == 0;
    entry->registry_version = version;
    entry->joined_us = first ? now.us : entry->joined_us;
    for (uint32_t i = 0; first && i < ENT_OWN_ISSUERS; i++) {
        Enti_GenerateIssuer(entry, now, i);
    }
}

struct ent_peer *
Enti_TouchPeer(struct entry *entry, struct now now,
               const struct frame_header *header)
{
    struct ent_peer *peer = Enti_FindPeer(entry, header->from);
    if (peer) {
        peer->heard_us = now.us;
    }
    return peer;
}

void
Enti_OnHeartbeat(struct entry *entry, struct now now, struct ent_peer *peer,
                 const struct msg_heartbeat *heartbeat)
{
    (void)entry;
    peer->heartbeat_echo_us = heartbeat->sent_us;
    peer->registry_version = heartbeat->version;
    peer->draining = heartbeat->draining;
    if (heartbeat->echo_us && heartbeat->echo_us <= now.us) {
        peer->rtt_us = now.us - heartbeat->echo_us;
        peer->echoed_us = heartbeat->echo_us;
    }
}

struct ent_service *
Enti_GetService(struct entry *entry, const char *name, int add)
{
    struct ent_service *service;
    HASH_FIND_STR(entry->service_index, name, service);
    if (service || !add) {
        return service;
    }
    service = Tab_Add(&entry->services);
    if (service) {
        memcpy(service->name, name, strlen(name) + 1);
        HASH_ADD_STR(entry->service_index, name, service);
        Enti_ResolveService(entry, service);
    }
    return service;
}

void
Enti_OnAgentStatus(struct entry *entry, struct now now, struct ent_peer *peer,
                   const struct msg_agent_status *status)
{
    const struct ent_service *earlier = peer->service;
    set_service(entry, peer, status->service);
    struct ent_service *service = peer->service;
    int service_changed = service != earlier;
    update_registered(peer, status->registered);
    peer->slots = status->slots;
    peer->connections = status->connections;
    peer->capacity = status->capacity;
    peer->labels = status->labels;
    peer->kind_id = Speed_KindId(&status->labels);
    Enti_SetOthersUsed(peer, &status->used, &status->receiver_used);
    peer->memory_mb = status->memory_mb;
    peer->cores = status->cores;
    peer->leaving = status->leaving;
    peer->ejected = status->ejected;
    if (service_changed || peer->reported_leaving != status->leaving) {
        peer->reported_leaving = status->leaving;
        Enti_ResolveAgent(entry, now, peer);
    }
    peer->other_slots = status->busy > status->receiver_busy
                            ? status->busy - status->receiver_busy
                            : 0;
    if (service) {
        Enti_Place(entry, now, service);
    }
}

/* Whether the link has been silent in either direction: nothing has arrived
 * from the peer, or it has not echoed what was sent to it. */
static int
is_link_silent(const struct entry *entry, struct now now,
               const struct ent_peer *peer)
{
    uint64_t limit_us = silence_limit_us(entry, peer);
    uint64_t heard_us =
        peer->echoed_us < peer->heard_us ? peer->echoed_us : peer->heard_us;
    return now.us - peer->linked_us > limit_us &&
           (heard_us > now.us || now.us - heard_us > limit_us);
}

/* Handles an agent from which nothing has arrived for `silent_us`. After
 * `agent_timeout_us`, restartable jobs that cannot wait any longer are ended,
 * if `orphan_timeout_us` is set; after `quiesce_us` the agent is lost for all
 * jobs. */
static void
check_silence(struct entry *entry, struct now now, struct ent_peer *agent,
              uint64_t silent_us)
{
    const struct timing *timing = &entry->settings.timing;
    if (timing->orphan_timeout_us && silent_us > timing->agent_timeout_us &&
        silent_us <= timing->quiesce_us) {
        Enti_OnAgentSilent(entry, now, agent);
    }
    if (silent_us > timing->quiesce_us) {
        agent->heard_us = 0;
        CTR_INC(entry->counters, peers_lost);
        Enti_OnAgentLost(entry, now, agent);
    }
}

/* Ends the exchange of heartbeats with an agent: the last one is sent, and the
 * connection is closed in the next round, when that has been transmitted. */
static void
close_link(struct entry *entry, struct now now, struct ent_peer *agent)
{
    struct act act = {.type = ACT_UNLINK};
    switch (agent->link) {
    case ENT_LINKED:
        Enti_SendHeartbeat(entry, now, agent, 1);
        agent->link = ENT_CLOSING;
        break;
    case ENT_CLOSING:
        act.u.link.peer = agent->member.incarnation;
        agent->link = ENT_UNLINKED;
        Act_Emit(&entry->sink, &act);
        break;
    case ENT_UNLINKED:
        break;
    }
}

void
Enti_SendHeartbeats(struct entry *entry, struct now now)
{
    uint32_t rounds = rounds_between_entries(entry);
    uint32_t slot = 0;
    struct ent_peer *peer;
    entry->heartbeat_round++;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->link != ENT_LINKED || Enti_IsUnused(entry, now, peer)) {
            close_link(entry, now, peer);
            continue;
        }
        uint64_t silent_us = now.us - peer->heard_us;
        if (is_link_silent(entry, now, peer)) {
            CTR_INC(entry->counters, links_replaced);
            Enti_LinkPeer(entry, now, peer);
            Enti_ResendSoon(entry, now, peer->member.incarnation);
        }
        if (peer->heard_us && peer->member.role == ROLE_AGENT) {
            check_silence(entry, now, peer, silent_us);
        }
        if (peer->member.role == ROLE_AGENT ||
            (entry->heartbeat_round + slot) % rounds == 0) {
            Enti_SendHeartbeat(entry, now, peer, 0);
        }
    }
}
