/* The agents with which an entry exchanges heartbeats. With hundreds of agents
 * and tens of entries, heartbeats between all pairs take more processor time
 * than the tasks. So each agent has a few home entries, chosen by rendezvous
 * hashing, half of them in its data centre; they exchange heartbeats with it
 * and pass the configuration on to it. An entry whose subset has no free slots
 * links further agents for as long as it uses them. */
#include "subset.h"

#include <sodium.h>
#include <string.h>
#include <utlist.h>

#include "job.h"
#include "key_range.h"
#include "peer.h"
#include "place.h"

/* Home entries of an agent. With three, one is left when two are lost. */
#define MIN_HOMES 3
/* An agent outside the subset is unlinked when no task was sent to it for this
 * long. */
#define UNUSED_LINK_US (5 * US_PER_S)
/* Limit of the linked agents, as a multiple of the subset. */
#define EXTENSION_FACTOR 2
/* Agents linked in one extension, and the minimum interval between two. */
#define EXTENSION_AGENTS 4
#define EXTENSION_INTERVAL_US (20 * US_PER_MS)
/* Connections opened per scan of the open jobs. Opening all at once would
 * delay the jobs of an entry with a small share of a core. */
#define LINKS_PER_SCAN 16
/* Maximum number of entries that homes are chosen from. */
#define MAX_CANDIDATES 256
/* Maximum number of waiting jobs examined for an extension. */
#define MAX_TRIED_JOBS 16
/* Entries that pass rows on to a lagging entry first. */
#define FIRST_RELAYS 3

/* An entry that may become a home. */
struct candidate {
    uint64_t hash;
    const char *dc;
};

/* The live entries, this one first. */
struct candidates {
    struct candidate list[MAX_CANDIDATES];
    uint32_t count;
    uint64_t signature;
    uint32_t agents;
};

uint64_t
Enti_RendezvousScore(uint64_t item, uint64_t candidate)
{
    static const unsigned char key[crypto_shorthash_KEYBYTES];
    uint64_t pair[2] = {item, candidate};
    uint64_t score;
    crypto_shorthash((unsigned char *)&score, (const unsigned char *)pair,
                     sizeof(pair), key);
    return score;
}

uint64_t
Enti_HashNode(const char *node)
{
    static const unsigned char key[crypto_shorthash_KEYBYTES];
    uint64_t hash;
    crypto_shorthash((unsigned char *)&hash, (const unsigned char *)node,
                     strlen(node), key);
    return hash;
}

int
Enti_UsesSubset(const struct entry *entry)
{
    return entry->settings.subset_size != 0;
}

static void
add_candidate(struct candidates *candidates, uint64_t hash, const char *dc)
{
    if (candidates->count < MAX_CANDIDATES) {
        candidates->list[candidates->count].hash = hash;
        candidates->list[candidates->count].dc = dc;
        candidates->count++;
        candidates->signature += Enti_RendezvousScore(hash, hash);
    }
}

/* Lists the live entries. One that became known recently counts as alive
 * before it is heard. */
static void
collect(const struct entry *entry, struct now now,
        struct candidates *candidates)
{
    uint32_t slot = 0;
    const struct ent_peer *peer;
    memset(candidates, 0, sizeof(*candidates));
    add_candidate(candidates, Enti_HashNode(entry->settings.node),
                  entry->settings.dc);
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT) {
            candidates->agents++;
        }
        else if (!peer->draining &&
                 (Enti_IsAlive(now, peer) ||
                  now.us - peer->first_seen_us < PEER_TIMEOUT_US)) {
            add_candidate(candidates, peer->node_hash, peer->member.dc);
        }
    }
}

/* Number of homes of an agent that gives each entry `subset_size` agents on
 * average. */
static uint32_t
homes_per_agent(const struct entry *entry, const struct candidates *candidates)
{
    uint32_t agents = candidates->agents ? candidates->agents : 1;
    uint32_t links = entry->settings.subset_size * candidates->count;
    uint32_t homes = (links + agents - 1) / agents;
    homes = homes < MIN_HOMES ? MIN_HOMES : homes;
    return homes < candidates->count ? homes : candidates->count;
}

/* Whether this entry, the first candidate, is a home of the agent. Of the
 * homes, half are in the agent's data centre, or more if there are not enough
 * entries elsewhere. */
static int
is_home(const struct candidates *candidates, uint32_t homes,
        const struct ent_peer *agent)
{
    const struct candidate *self = &candidates->list[0];
    uint64_t score = Enti_RendezvousScore(agent->node_hash, self->hash);
    int is_local = strcmp(self->dc, agent->member.dc) == 0;
    uint32_t local = 0;
    uint32_t better = 0;
    for (uint32_t i = 0; i < candidates->count; i++) {
        const struct candidate *other = &candidates->list[i];
        int other_is_local = strcmp(other->dc, agent->member.dc) == 0;
        local += (uint32_t)other_is_local;
        better += other_is_local == is_local &&
                  Enti_RendezvousScore(agent->node_hash, other->hash) > score;
    }
    uint32_t remote = candidates->count - local;
    uint32_t local_homes = (homes + 1) / 2;
    if (homes - local_homes > remote) {
        local_homes = homes - remote;
    }
    local_homes = local_homes < local ? local_homes : local;
    return better < (is_local ? local_homes : homes - local_homes);
}

void
Enti_LinkPeer(struct entry *entry, struct now now, struct ent_peer *peer)
{
    struct act act = {.type = ACT_LINK};
    act.u.link.peer = peer->member.incarnation;
    act.u.link.addr = peer->member.addr;
    peer->linked_us = now.us;
    peer->link = ENT_LINKED;
    Act_Emit(&entry->sink, &act);
}

void
Enti_LinkAgent(struct entry *entry, struct now now, struct ent_peer *agent)
{
    agent->used_us = now.us;
    if (agent->link == ENT_LINKED) {
        return;
    }
    /* What was heard before says nothing about the agent's state now. */
    agent->heard_us = 0;
    agent->heartbeat_echo_us = 0;
    CTR_INC(entry->counters, agents_linked);
    Enti_LinkPeer(entry, now, agent);
    Enti_SendHeartbeat(entry, now, agent, 0);
}

void
Enti_SendToAgent(struct entry *entry, struct now now, uint64_t incarnation,
                 const struct msg *msg)
{
    struct ent_peer *agent = Enti_FindPeer(entry, incarnation);
    if (agent) {
        Enti_LinkAgent(entry, now, agent);
    }
    Act_Send(&entry->sink, incarnation, msg);
}

static void
link_within_budget(struct entry *entry, struct now now, struct ent_peer *agent)
{
    if (agent->in_subset && agent->link != ENT_LINKED &&
        entry->subset.link_budget > 0) {
        entry->subset.link_budget--;
        Enti_LinkAgent(entry, now, agent);
    }
}

void
Enti_AddToSubset(struct entry *entry, struct now now, struct ent_peer *agent)
{
    struct candidates candidates;
    collect(entry, now, &candidates);
    entry->subset.is_stale = 1;
    agent->in_subset = (uint8_t)is_home(
        &candidates, homes_per_agent(entry, &candidates), agent);
    link_within_budget(entry, now, agent);
}

static void
choose_subset(struct entry *entry, struct now now)
{
    struct candidates candidates;
    uint32_t slot = 0;
    struct ent_peer *peer;
    collect(entry, now, &candidates);
    if (!entry->subset.is_stale &&
        candidates.signature == entry->subset.signature) {
        return;
    }
    entry->subset.is_stale = 0;
    entry->subset.signature = candidates.signature;
    entry->subset.choices++;
    entry->subset.entries = candidates.count;
    entry->subset.agents = candidates.agents;
    entry->subset.homes = homes_per_agent(entry, &candidates);
    entry->subset.size = 0;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (peer->member.role == ROLE_AGENT) {
            peer->in_subset =
                (uint8_t)is_home(&candidates, entry->subset.homes, peer);
            entry->subset.size += peer->in_subset;
        }
    }
}

void
Enti_UpdateSubset(struct entry *entry, struct now now)
{
    uint32_t slot = 0;
    struct ent_peer *peer;
    if (!Enti_UsesSubset(entry)) {
        return;
    }
    entry->subset.link_budget = LINKS_PER_SCAN;
    choose_subset(entry, now);
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        link_within_budget(entry, now, peer);
    }
}

int
Enti_IsUnused(const struct entry *entry, struct now now,
              const struct ent_peer *agent)
{
    return Enti_UsesSubset(entry) && agent->member.role == ROLE_AGENT &&
           !agent->in_subset && agent->outstanding == 0 &&
           agent->requests == 0 && agent->unconfirmed == 0 &&
           now.us - agent->used_us > UNUSED_LINK_US;
}

/* Whether an agent that is not linked may run tasks of the step. One of which
 * nothing is known may be of any service. */
static int
may_extend_to(const struct ent_peer *peer, const struct ent_job *job,
              const struct ent_step *step)
{
    if (peer->member.role != ROLE_AGENT || peer->link == ENT_LINKED ||
        peer->is_out_of_service) {
        return 0;
    }
    return !peer->service ||
           (peer->service == job->service && Enti_CouldFit(peer, job, step));
}

/* A random agent that may run the step, so that entries whose subsets are full
 * at the same time extend them by different agents. NULL if there is none. */
static struct ent_peer *
pick_unlinked(struct entry *entry, const struct ent_job *job,
              const struct ent_step *step)
{
    struct ent_peer *picked = NULL;
    struct ent_peer *peer;
    uint32_t slot = 0;
    uint32_t seen = 0;
    while ((peer = Tab_Next(&entry->peers, &slot))) {
        if (may_extend_to(peer, job, step) &&
            Enti_Random(entry) % ++seen == 0) {
            picked = peer;
        }
    }
    return picked;
}

static uint32_t
count_linked(const struct ent_service *service)
{
    const struct ent_peer *agent;
    uint32_t count = 0;
    DL_FOREACH(service->agents, agent)
    {
        count += agent->link == ENT_LINKED;
    }
    return count;
}

static int
fits_linked(const struct ent_job *job, const struct ent_step *step)
{
    const struct ent_peer *agent;
    DL_FOREACH(job->service->agents, agent)
    {
        if (agent->link == ENT_LINKED && Enti_CouldFit(agent, job, step)) {
            return 1;
        }
    }
    return 0;
}

/* The waiting job for which the subset is extended: one that no linked agent
 * could run, or else the first. */
static const struct ent_job *
pick_waiting_job(const struct ent_service *service)
{
    const struct ent_job *first = NULL;
    int tried = 0;
    for (int lane = 0; lane < ENT_LANES; lane++) {
        const struct ent_job *job;
        DL_FOREACH(service->lanes[lane].jobs, job)
        {
            const struct ent_step *step = Enti_NextStep(job, 0);
            if (step && !fits_linked(job, step)) {
                return job;
            }
            first = first || !step ? first : job;
            if (++tried == MAX_TRIED_JOBS) {
                return first;
            }
        }
    }
    return first;
}

void
Enti_ExtendSubset(struct entry *entry, struct now now,
                  const struct ent_service *service)
{
    if (!Enti_UsesSubset(entry) || now.us < entry->subset.next_extend_us) {
        return;
    }
    entry->subset.next_extend_us = now.us + EXTENSION_INTERVAL_US;
    const struct ent_job *job = pick_waiting_job(service);
    const struct ent_step *step = job ? Enti_NextStep(job, 0) : NULL;
    if (!step || (count_linked(service) >=
                      EXTENSION_FACTOR * entry->settings.subset_size &&
                  fits_linked(job, step))) {
        return;
    }
    for (int i = 0; i < EXTENSION_AGENTS; i++) {
        struct ent_peer *agent = pick_unlinked(entry, job, step);
        if (!agent) {
            return;
        }
        CTR_INC(entry->counters, subset_extended);
        Enti_LinkAgent(entry, now, agent);
    }
}

int
Ent_IsFirstRelay(const struct entry *entry, struct now now,
                 const struct ent_peer *peer)
{
    struct candidates candidates;
    uint32_t better = 0;
    collect(entry, now, &candidates);
    uint64_t score =
        Enti_RendezvousScore(peer->node_hash, candidates.list[0].hash);
    for (uint32_t i = 1; i < candidates.count; i++) {
        uint64_t hash = candidates.list[i].hash;
        better += hash != peer->node_hash &&
                  Enti_RendezvousScore(peer->node_hash, hash) > score;
    }
    return better < FIRST_RELAYS;
}
