/** @file
 * Internals of the entry: other processes, and the settings in force. */
#ifndef ENTRY_PEER_H
#define ENTRY_PEER_H

#include "core/entry.h"

/* policy.c */

/** Settings in force for a service and a team; "" for any. The result is valid
 * until the next call. */
const struct policy *Enti_Policy(const struct entry *entry,
                                 const char *service, const char *team);

/** Settings in force for tasks that run on an agent. */
const struct policy *Enti_AgentPolicy(const struct entry *entry,
                                      const struct ent_peer *agent);

/** Update the settings in force for one agent. Also records when the agent
 * leaves or returns to service. */
void Enti_ResolveAgent(struct entry *entry, struct now now,
                       struct ent_peer *agent);

/** Update the settings in force for one service. */
void Enti_ResolveService(struct entry *entry, struct ent_service *service);

/** Update the settings in force for the fleet, all services and all agents. */
void Enti_ResolveAll(struct entry *entry, struct now now);

/** Number of slots, of `capacity`, that may be used at an agent which returned
 * to service: it rises from 1 to `capacity` over the time of the setting
 * return_ramp_ms. */
uint32_t Enti_RampCapacity(struct now now, const struct ent_peer *agent,
                           uint32_t capacity);

/* config_freshness.c */

/** Send the versions of the configuration and the rows that this entry has
 * applied, with the age of its last confirmation. */
void Enti_SendVersion(struct entry *entry, struct now now,
                      struct ent_peer *peer);

/** Handle a version message: record what the peer has applied, send it the
 * configuration if it is an agent that lags, and update the freshness of the
 * own configuration if it is an entry that confirms it. */
void Enti_OnVersion(struct entry *entry, struct now now, struct ent_peer *peer,
                    const struct msg_version *version);

/* peer.c */

/** Find a process by incarnation; NULL if it is not known. */
struct ent_peer *Enti_FindPeer(const struct entry *entry,
                               uint64_t incarnation);

/** True if a message arrived from the process within PEER_TIMEOUT_US. */
int Enti_IsAlive(struct now now, const struct ent_peer *peer);

/** True if a message arrived from the process recently enough for sending work
 * to it: within PEER_TIMEOUT_US and, if `timing.orphan_timeout_us` is set,
 * also within `timing.link_timeout_us`. */
int Enti_IsResponsive(const struct entry *entry, struct now now,
                      const struct ent_peer *peer);

/** Record that a frame arrived from its sender. Returns the sender, NULL if it
 * is not a member. */
struct ent_peer *Enti_TouchPeer(struct entry *entry, struct now now,
                                const struct frame_header *header);

/** Send a heartbeat; `is_last` if no further ones follow. */
void Enti_SendHeartbeat(struct entry *entry, struct now now,
                        struct ent_peer *peer, int is_last);

/** Handle a heartbeat. */
void Enti_OnHeartbeat(struct entry *entry, struct now now,
                      struct ent_peer *peer,
                      const struct msg_heartbeat *heartbeat);

/** Handle an agent's status: its service, capacity and current use. Places
 * waiting tasks of the service. */
void Enti_OnAgentStatus(struct entry *entry, struct now now,
                        struct ent_peer *peer,
                        const struct msg_agent_status *status);

/** Send heartbeats to all peers, replace silent connections and detect lost
 * agents. */
void Enti_SendHeartbeats(struct entry *entry, struct now now);

/** Find a service, or create it if `add` is set. NULL if there is none, or if
 * the table is full. */
struct ent_service *Enti_GetService(struct entry *entry, const char *name,
                                    int add);

#endif
