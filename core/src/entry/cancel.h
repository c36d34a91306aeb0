/** @file
 * Internals of the entry: cancellations, which for restartable jobs are sent
 * until the agents confirm them. */
#ifndef ENTRY_CANCEL_H
#define ENTRY_CANCEL_H

#include "core/entry.h"

/** Tell the agents to stop a job's tasks. That of a restartable job is sent
 * again until each agent to which a task was sent has confirmed it or is lost,
 * or `quiesce_us` have passed; until then the answered job is kept. */
void Enti_SendCancel(struct entry *entry, struct ent_job *job);

/** Handle a result for a cancelled job: a task that has ended, or the
 * confirmation that nothing of the job runs at the agent with this
 * incarnation. */
void Enti_ConfirmCancel(struct entry *entry, struct ent_job *job,
                        uint64_t agent, const struct msg_result *result);

/** Send a job's cancellation no more. */
void Enti_ForgetCancel(struct entry *entry, struct ent_job *job);

/** Send no more cancellations to an agent that is lost. */
void Enti_ForgetAgentCancels(struct entry *entry,
                             const struct ent_peer *agent);

/** Send the unconfirmed cancellations to an agent again. Called before each
 * heartbeat and each start to it, which tell it that this entry is alive. */
void Enti_ResendCancelsTo(struct entry *entry, const struct ent_peer *agent);

/** Send all unconfirmed cancellations again, if that is due. */
void Enti_ResendCancels(struct entry *entry, struct now now);

#endif
