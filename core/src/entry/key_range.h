/** @file
 * Internals of the entry: key ranges, their owners, and the transfer of their
 * jobs when the owner changes. */
#ifndef ENTRY_KEY_RANGE_H
#define ENTRY_KEY_RANGE_H

#include "core/entry.h"

/** Time that an entry waits after its start, or after another entry has
 * joined, to learn who owns which key ranges. */
#define SETTLE_US (2 * US_PER_S)
/** Interval between searches for unused issuer numbers. */
#define ISSUER_EXPIRY_INTERVAL_US (30 * US_PER_S)

/* issuer.c */

/** A pseudorandom number, never 0. */
uint64_t Enti_Random(struct entry *entry);

/** Find an issuer number; NULL if it is not known. */
struct ent_issuer *Enti_FindIssuer(const struct entry *entry, uint64_t issuer);

/** Find an issuer number or add it in state ENT_ISSUER_PEER; evicts one of
 * another entry if the table is full. NULL if that fails. */
struct ent_issuer *Enti_AddIssuer(struct entry *entry, uint64_t issuer);

/** Generate a random issuer number and store it as `own_issuers[index]`. */
void Enti_GenerateIssuer(struct entry *entry, struct now now, uint32_t index);

/** Handle the list of key ranges that another entry owns. */
void Enti_OnIssuers(struct entry *entry, struct now now,
                    const struct msg_issuers *issuers);

/** Send the list of key ranges that this entry owns. */
void Enti_SendIssuers(struct entry *entry, uint64_t to);

/** Record that another entry owns the key range at `epoch`. If this entry
 * owned it, its unanswered jobs are forwarded. */
void Enti_StepDown(struct entry *entry, struct now now,
                   struct ent_issuer *issuer, struct epoch epoch);

/** Drop issuer numbers whose keys have all expired, except the own ones. */
void Enti_ExpireIssuers(struct entry *entry, struct now now);

/** True if this entry owns the key range. */
int Enti_IsOwner(const struct ent_issuer *issuer);

/* takeover.c */

/** Begin a takeover: choose a higher epoch and fence all agents. */
void Enti_TakeOver(struct entry *entry, struct now now,
                   struct ent_issuer *issuer);

/** Continue with a job whose key range is being taken over: once all agents
 * have reported, open it, or answer it if an outcome cannot be known. */
void Enti_Collect(struct entry *entry, struct now now, struct ent_job *job);

/** Continue with all jobs of a key range that is being taken over. */
void Enti_CollectRange(struct entry *entry, struct now now,
                       const struct ent_issuer *issuer);

/* report.c */

/** Handle an agent's record of a task. */
void Enti_OnTaskRecord(struct entry *entry, struct ent_peer *agent,
                       const struct msg_result *record);

/** Handle the end of an agent's report. Another owner with a higher epoch
 * makes this entry step down. */
void Enti_OnFenced(struct entry *entry, struct now now, struct ent_peer *agent,
                   const struct msg_fenced *fenced);

/* takeover.c, continued */

/** Record the loss of an agent at a registry version; `agent` is 0 if it is
 * not known which one. Outcomes become uncertain in all takeovers to which it
 * had not reported. */
void Enti_RecordAgentLoss(struct entry *entry, uint64_t agent,
                          uint64_t version);

/** Retransmit fences whose reports are incomplete. */
void Enti_ResendFences(struct entry *entry, struct now now);

/** True if the agent's report on the key range is complete. */
int Enti_HasReported(const struct ent_issuer *issuer, uint64_t agent);

/** Free the fences of a takeover. */
void Enti_DropFences(struct ent_issuer *issuer);

/* remote.c */

/** Forward a job to the owner of its key, or take the key range over if it has
 * no live owner and this entry is to be the new one. */
void Enti_Route(struct entry *entry, struct now now, struct ent_job *job);

/** Handle an answer from another entry, to a submission or to a query. */
void Enti_OnAnswer(struct entry *entry, uint64_t from,
                   const struct msg_answer *answer);

/** Incarnation of the entry that owns a key range or is to take it over; 0 if
 * that is not known yet. */
uint64_t Enti_FindOwner(struct entry *entry, struct now now, uint64_t issuer);

/* handover.c */

/** Hand over the answered jobs, then the key ranges, to a successor; called
 * while stopping, when no job is open. */
void Enti_HandOver(struct entry *entry, struct now now);

/** Handle an answered job, or a key range itself, from an entry that is
 * stopping. */
void Enti_OnHandover(struct entry *entry, struct now now, uint64_t from,
                     const struct msg_handover *handover);

/** Handle the successor's acknowledgement. */
void Enti_OnHandoverAck(struct entry *entry, struct now now,
                        const struct msg_handover_ack *ack);

/** True if this entry owns no key range, or if there is no successor. */
int Enti_IsHandedOver(const struct entry *entry);

/* query.c */

/** Handle the answer to a forwarded query and reply to the caller. */
void Enti_OnQueryAnswer(struct entry *entry, const struct msg_answer *answer);

/** Retransmit forwarded queries; refuse those that took too long. */
void Enti_ResendQueries(struct entry *entry, struct now now);

/** Answer a query about a job, or forward it to the owner of the key. `from`
 * is the entry that forwarded it, 0 for a caller. No query is forwarded more
 * than once. */
void Enti_Query(struct entry *entry, struct now now, uint64_t from,
                conn_id conn, const struct key *key, enum job_query what);

#endif
