/** @file
 * Internals of the entry: ranges of keys, who owns them, and what becomes of
 * their jobs when the owner changes. */
#ifndef ENTRY_RANGE_H
#define ENTRY_RANGE_H

#include "core/entry.h"

/** A new entry waits this long to hear who owns which keys. */
#define SETTLE_US (2 * US_PER_S)
/** Unused issuers are looked for this often. */
#define AGE_INTERVAL_US (30 * US_PER_S)

/* issuer.c */

/** A random number. */
uint64_t Enti_Random(struct entry *entry);

/** Find an issuer number, NULL when nothing is known of it. */
struct ent_issuer *Enti_FindIssuer(const struct entry *entry, uint64_t issuer);

/** Find or make one, in state ENT_ISSUER_PEER. NULL when full. */
struct ent_issuer *Enti_AddIssuer(struct entry *entry, uint64_t issuer);

/** Draw a new issuer number in place of one of the own. */
void Enti_DrawIssuer(struct entry *entry, struct now now, uint32_t index);

/** Take in the ranges that another entry owns. */
void Enti_OnIssuers(struct entry *entry, struct now now,
                    const struct msg_issuers *issuers);

/** Tell an entry which ranges this one owns. */
void Enti_SendIssuers(struct entry *entry, uint64_t to);

/** Another entry owns the range at `epoch`: give it up. */
void Enti_StepDown(struct entry *entry, struct now now,
                   struct ent_issuer *issuer, struct epoch epoch);

/** Forget ranges whose keys have all expired. */
void Enti_AgeIssuers(struct entry *entry, struct now now);

/** True when this entry owns the range. */
int Enti_IsOwner(const struct ent_issuer *issuer);

/* takeover.c */

/** Begin to take a range over. */
void Enti_TakeOver(struct entry *entry, struct now now,
                   struct ent_issuer *issuer);

/** Go on with a job whose range is being taken over: open it when all
 * agents have reported, or answer it when the outcome cannot be known. */
void Enti_Collect(struct entry *entry, struct now now, struct ent_job *job);

/** Go on with all jobs of a range that is being taken over. */
void Enti_CollectRange(struct entry *entry, struct now now,
                       const struct ent_issuer *issuer);

/* report.c */

/** Take in what an agent remembers of a task. */
void Enti_OnHeld(struct entry *entry, struct ent_peer *agent,
                 const struct msg_result *held);

/** Take in the end of an agent's report. */
void Enti_OnFenced(struct entry *entry, struct now now, struct ent_peer *agent,
                   const struct msg_fenced *fenced);

/** Note the loss of an agent at a registry version. */
void Enti_NoteLoss(struct entry *entry, uint64_t agent, uint64_t version);

/** Send fences again that were not answered. */
void Enti_ResendFences(struct entry *entry, struct now now);

/** True when the agent's whole report on the range has come. */
int Enti_HasReported(const struct ent_issuer *issuer, uint64_t agent);

/** Forget a takeover's fences. */
void Enti_DropFences(struct ent_issuer *issuer);

/* remote.c */

/** Pass a job to the entry that owns it, or take its range over. */
void Enti_Route(struct entry *entry, struct now now, struct ent_job *job);

/** Take in an answer from another entry. */
void Enti_OnAnswer(struct entry *entry, uint64_t from,
                   const struct msg_answer *answer);

/** Entry that owns a range or is to take it over; 0 when not yet known. */
uint64_t Enti_OwnerOf(struct entry *entry, struct now now, uint64_t issuer);

/* handover.c */

/** Hand the ranges on, once the jobs are answered. */
void Enti_HandOver(struct entry *entry, struct now now);

/** Take in an answered job, or the end of a range, from a stopping owner. */
void Enti_OnHandover(struct entry *entry, struct now now, uint64_t from,
                     const struct msg_handover *handover);

/** Take in the successor's word. */
void Enti_OnHanded(struct entry *entry, struct now now,
                   const struct msg_handover_ack *handed);

/** True when there is nothing left to hand on, or nobody to take it. */
int Enti_IsHandedOver(const struct entry *entry);

/* ask.c */

/** Take in the answer to a question. */
void Enti_OnAskAnswer(struct entry *entry, const struct msg_answer *answer);

/** Send questions again, and give up old ones. */
void Enti_ResendAsks(struct entry *entry, struct now now);

/** Answer a question about a job, or pass it on. */
void Enti_Ask(struct entry *entry, struct now now, uint64_t from, conn_id conn,
              const struct key *key, enum job_query what);

#endif
