/** @file
 * Internals of the entry: other processes, and the values in force. */
#ifndef ENTRY_PEER_H
#define ENTRY_PEER_H

#include "core/entry.h"

/* policy.c */

/** Values in force for a service and a team; either may be "". */
const struct policy *Enti_Policy(const struct entry *entry,
                                 const char *service, const char *team);

/** Values in force for tasks that run on an agent. */
const struct policy *Enti_AgentPolicy(const struct entry *entry,
                                      const struct ent_peer *agent);

/** Work out the values for one agent again. */
void Enti_ResolveAgent(struct entry *entry, struct now now,
                       struct ent_peer *agent);

/** Work out the values for one service again. */
void Enti_ResolveService(struct entry *entry, struct ent_service *service);

/** Work out all values again. */
void Enti_ResolveAll(struct entry *entry, struct now now);

/** The part of `room` that a returning agent may be given by now. */
uint32_t Enti_RampRoom(struct now now, const struct ent_peer *agent,
                       uint32_t room);

/* fresh.c */

/** Tell a process what this one has applied. */
void Enti_SendVersion(struct entry *entry, struct now now,
                      struct ent_peer *peer);

/** Take in what a process has applied. */
void Enti_OnVersion(struct entry *entry, struct now now, struct ent_peer *peer,
                    const struct msg_version *version);

/* peer.c */

/** Find a process by incarnation, NULL when it is not known. */
struct ent_peer *Enti_FindPeer(const struct entry *entry,
                               uint64_t incarnation);

/** True when the process has been heard of late. */
int Enti_IsAlive(struct now now, const struct ent_peer *peer);

/** True when it has been heard so lately that work may be sent to it. */
int Enti_IsHeard(const struct entry *entry, struct now now,
                 const struct ent_peer *peer);

/** Note that a process was heard; NULL for one that is no member yet. */
struct ent_peer *Enti_HearPeer(struct entry *entry, struct now now,
                               const struct frame_header *head);

/** Take in a heartbeat. */
void Enti_OnBeat(struct entry *entry, struct now now, struct ent_peer *peer,
                 const struct msg_heartbeat *beat);

/** Take in an agent's offer. */
void Enti_OnAgent(struct entry *entry, struct now now, struct ent_peer *peer,
                  const struct msg_agent_status *status);

/** Send heartbeats, replace silent connections. */
void Enti_BeatPeers(struct entry *entry, struct now now);

/** Find a service, or make it when `add` is set. */
struct ent_service *Enti_Service(struct entry *entry, const char *name,
                                 int add);

#endif
