/** @file
 * Internals of the entry: the agents with which it exchanges heartbeats. */
#ifndef ENTRY_SUBSET_H
#define ENTRY_SUBSET_H

#include "core/entry.h"

/** Rendezvous hash of a pair: the candidate with the highest score for an item
 * is chosen, so that all entries agree without communication. */
uint64_t Enti_RendezvousScore(uint64_t item, uint64_t candidate);

/** Hash of a node's name for Enti_RendezvousScore(). */
uint64_t Enti_HashNode(const char *node);

/** True if the entry exchanges heartbeats with a subset of the agents only. */
int Enti_UsesSubset(const struct entry *entry);

/** Open or replace the connection to a process. */
void Enti_LinkPeer(struct entry *entry, struct now now, struct ent_peer *peer);

/** Open the connection to an agent and send a heartbeat, unless the agent is
 * linked. Tasks can be sent once its reply has arrived. */
void Enti_LinkAgent(struct entry *entry, struct now now,
                    struct ent_peer *agent);

/** Send a message to the agent with this incarnation, and link it if it is
 * not linked. */
void Enti_SendToAgent(struct entry *entry, struct now now,
                      uint64_t incarnation, const struct msg *msg);

/** Decide whether a new agent belongs to the subset, and link it if so. */
void Enti_AddToSubset(struct entry *entry, struct now now,
                      struct ent_peer *agent);

/** Choose the subset again if agents or live entries have changed, and open
 * missing connections, a limited number per call. */
void Enti_UpdateSubset(struct entry *entry, struct now now);

/** Link further agents of a service, up to a limit, while its tasks wait for a
 * slot in the subset. */
void Enti_ExtendSubset(struct entry *entry, struct now now,
                       const struct ent_service *service);

/** True if the connection to an agent outside the subset is no longer used. */
int Enti_IsUnused(const struct entry *entry, struct now now,
                  const struct ent_peer *agent);

#endif
