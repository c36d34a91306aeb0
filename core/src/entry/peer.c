/* Members, heartbeats and what agents offer. */
#include <string.h>
#include <utlist.h>

#include "job.h"
#include "peer.h"
#include "place.h"
#include "range.h"

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

int
Enti_IsHeard(const struct entry *entry, struct now now,
             const struct ent_peer *peer)
{
    return Enti_IsAlive(now, peer) &&
           (entry->settings.timing.orphan_timeout_us == 0 ||
            now.us - peer->heard_us < entry->settings.timing.link_timeout_us);
}

static void
link_peer(struct entry *entry, struct now now, struct ent_peer *peer)
{
    struct act act = {.type = ACT_LINK};
    act.u.link.peer = peer->member.incarnation;
    act.u.link.addr = peer->member.addr;
    peer->link_us = now.us;
    Act_Emit(&entry->sink, &act);
}

static void
leave_service(struct ent_peer *peer)
{
    if (peer->service) {
        DL_DELETE(peer->service->agents, peer);
        peer->service = NULL;
    }
}

static void
drop_peer(struct entry *entry, struct now now, struct ent_peer *peer)
{
    if (peer->member.role == ROLE_AGENT) {
        Enti_LoseAgent(entry, now, peer);
    }
    struct act act = {.type = ACT_UNLINK};
    act.u.link.peer = peer->member.incarnation;
    Act_Emit(&entry->sink, &act);
    leave_service(peer);
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

static void
lose_member(struct entry *entry, struct now now, struct ent_peer *peer,
            uint64_t version)
{
    if (peer->member.role == ROLE_AGENT) {
        Enti_NoteLoss(entry, peer->member.incarnation, version);
    }
    drop_peer(entry, now, peer);
}

static void
note_lost(struct entry *entry, struct now now, uint64_t version)
{
    entry->conf.lost_us = now.us;
    if (version > entry->conf.lost_rows) {
        entry->conf.lost_rows = version;
    }
}

/* The agent has been able to run tasks since its first registration, however
 * often its row is written again. */
static void
note_registered(struct ent_peer *peer, uint64_t version)
{
    if (version != 0 && version < peer->member.registered) {
        peer->member.registered = version;
    }
}

static void
beat_peer(struct entry *entry, struct now now, struct ent_peer *peer)
{
    struct msg msg = {.type = MSG_HEARTBEAT};
    msg.u.heartbeat.sent_us = now.us;
    msg.u.heartbeat.echo_us = peer->echo_us;
    msg.u.heartbeat.version = entry->version;
    msg.u.heartbeat.draining = entry->draining;
    Act_Send(&entry->sink, peer->member.incarnation, &msg);
    Enti_SendVersion(entry, now, peer);
    if (peer->member.role == ROLE_ENTRY) {
        Enti_SendIssuers(entry, peer->member.incarnation);
    }
}

/* The row of an earlier process, while the one that introduced itself since
 * is heard. */
static int
is_overtaken(const struct entry *entry, struct now now,
             const struct ent_peer *peer, const struct ent_member *member)
{
    return entry->settings.by_contact &&
           peer->member.incarnation > member->incarnation &&
           Enti_IsHeard(entry, now, peer);
}

void
Ent_OnStranger(struct entry *entry, struct now now,
               const struct frame_header *head)
{
    struct ent_member member = {.role = head->role, .incarnation = head->from};
    const struct ent_peer *peer = find_node(entry, head->node);
    if (!entry->settings.by_contact || Enti_FindPeer(entry, head->from) ||
        head->from == entry->settings.incarnation ||
        (peer && peer->member.incarnation > head->from &&
         Enti_IsHeard(entry, now, peer))) {
        return;
    }
    memcpy(member.node, head->node, sizeof(member.node));
    memcpy(member.addr, head->addr, sizeof(member.addr));
    memcpy(member.dc, head->dc, sizeof(member.dc));
    CTR_INC(entry->counters, strangers);
    Ent_OnMember(entry, now, &member);
}

void
Ent_OnMember(struct entry *entry, struct now now,
             const struct ent_member *member)
{
    struct ent_peer *peer = find_node(entry, member->node);
    if (peer && is_overtaken(entry, now, peer, member)) {
        return;
    }
    if (peer && peer->member.incarnation == member->incarnation) {
        note_registered(peer, member->registered);
        return;
    }
    if (peer) {
        lose_member(entry, now, peer, member->registered);
        note_lost(entry, now, member->registered);
    }
    else if (member->replaced) {
        Enti_NoteLoss(entry, 0, member->registered);
    }
    if (member->incarnation == entry->settings.incarnation) {
        return;
    }
    peer = Tab_Add(&entry->peers);
    if (!peer) {
        /* It cannot be fenced, so nothing taken over can be certain. */
        Enti_NoteLoss(entry, 0, UINT64_MAX);
        return;
    }
    peer->member = *member;
    HASH_ADD(node_hh, entry->node_index, member.node,
             (unsigned)strlen(peer->member.node), peer);
    peer->met_us = now.us;
    if (member->role == ROLE_ENTRY) {
        entry->met_entry_us = now.us;
    }
    HASH_ADD(hh, entry->peer_index, member.incarnation,
             sizeof(peer->member.incarnation), peer);
    Enti_ResolveAgent(entry, now, peer);
    link_peer(entry, now, peer);
    /* It need not wait for the next heartbeat to know of this entry. */
    beat_peer(entry, now, peer);
}

void
Ent_OnMemberGone(struct entry *entry, struct now now, const char *node,
                 uint64_t version)
{
    struct ent_peer *peer = find_node(entry, node);
    if (peer && entry->settings.by_contact &&
        now.us - peer->heard_us < entry->settings.timing.quiesce_us) {
        /* Its row may have gone in an outage; it writes it again. */
        return;
    }
    if (peer) {
        lose_member(entry, now, peer, version);
        note_lost(entry, now, version);
    }
    else {
        Enti_NoteLoss(entry, 0, version);
    }
}

void
Ent_OnVersion(struct entry *entry, struct now now, uint64_t version)
{
    if (version <= entry->version) {
        return;
    }
    int first = entry->version == 0;
    entry->version = version;
    entry->joined_us = first ? now.us : entry->joined_us;
    for (uint32_t i = 0; first && i < ENT_OWN_ISSUERS; i++) {
        Enti_DrawIssuer(entry, now, i);
    }
}

struct ent_peer *
Enti_HearPeer(struct entry *entry, struct now now,
              const struct frame_header *head)
{
    struct ent_peer *peer = Enti_FindPeer(entry, head->from);
    if (peer) {
        peer->heard_us = now.us;
    }
    return peer;
}

void
Enti_OnBeat(struct entry *entry, struct now now, struct ent_peer *peer,
            const struct msg_heartbeat *beat)
{
    (void)entry;
    peer->echo_us = beat->sent_us;
    peer->version = beat->version;
    peer->draining = beat->draining;
    if (beat->echo_us && beat->echo_us <= now.us) {
        peer->rtt_us = now.us - beat->echo_us;
        peer->back_us = beat->echo_us;
    }
}

struct ent_service *
Enti_Service(struct entry *entry, const char *name, int add)
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
Enti_OnAgent(struct entry *entry, struct now now, struct ent_peer *peer,
             const struct msg_agent_status *status)
{
    struct ent_service *service = NULL;
    if (status->service[0]) {
        service = Enti_Service(entry, status->service, 1);
    }
    int moved = peer->service != service;
    if (moved) {
        leave_service(peer);
        peer->service = service;
        if (service) {
            DL_APPEND(service->agents, peer);
        }
    }
    note_registered(peer, status->registered);
    peer->slots = status->slots;
    peer->connections = status->connections;
    peer->capacity = status->capacity;
    peer->labels = status->labels;
    Enti_NoteUsed(peer, &status->used, &status->receiver_used);
    peer->memory_mb = status->memory_mb;
    peer->cores = status->cores;
    peer->leaving = status->leaving;
    peer->suspect = status->ejected;
    if (moved || peer->says_leaving != status->leaving) {
        peer->says_leaving = status->leaving;
        Enti_ResolveAgent(entry, now, peer);
    }
    peer->others = status->busy > status->receiver_busy
                       ? status->busy - status->receiver_busy
                       : 0;
    if (service) {
        Enti_Place(entry, now, service);
    }
}

/* Either nothing comes from the peer, or it does not get what is sent. */
static int
is_link_silent(const struct entry *entry, struct now now,
               const struct ent_peer *peer)
{
    uint64_t limit_us = entry->settings.timing.link_timeout_us;
    uint64_t heard_us =
        peer->back_us < peer->heard_us ? peer->back_us : peer->heard_us;
    return now.us - peer->link_us > limit_us &&
           (heard_us > now.us || now.us - heard_us > limit_us);
}

static void
watch_agent(struct entry *entry, struct now now, struct ent_peer *agent,
            uint64_t silent_us)
{
    const struct timing *timing = &entry->settings.timing;
    if (timing->orphan_timeout_us && silent_us > timing->agent_timeout_us &&
        silent_us <= timing->quiesce_us) {
        Enti_MarkLost(entry, now, agent);
    }
    if (silent_us > timing->quiesce_us) {
        agent->heard_us = 0;
        CTR_INC(entry->counters, peers_lost);
        Enti_LoseAgent(entry, now, agent);
    }
}

void
Enti_BeatPeers(struct entry *entry, struct now now)
{
    uint32_t slot = 0;
    struct ent_peer *peer;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        uint64_t silent_us = now.us - peer->heard_us;
        if (is_link_silent(entry, now, peer)) {
            CTR_INC(entry->counters, links_replaced);
            link_peer(entry, now, peer);
            Enti_AskAgain(entry, now, peer->member.incarnation);
        }
        if (peer->heard_us && peer->member.role == ROLE_AGENT) {
            watch_agent(entry, now, peer, silent_us);
        }
        beat_peer(entry, now, peer);
    }
}
