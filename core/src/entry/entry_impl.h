/** @file
 * Internals shared by the entry's files. */
#ifndef ENTRY_IMPL_H
#define ENTRY_IMPL_H

#include "core/entry.h"

/** A start without an answer is sent again after this. */
#define START_RESEND_US (1 * US_PER_S)
/** A start known as running is asked for again after this. */
#define RUNNING_RESEND_US (3 * US_PER_S)
/** A submission passed to its owner is sent again after this. */
#define SUBMIT_RESEND_US (1 * US_PER_S)
/** A fence without an answer is sent again after this. */
#define FENCE_RESEND_US (500 * US_PER_MS)
/** A new entry waits this long to hear who owns which keys. */
#define SETTLE_US (2 * US_PER_S)

/** A question passed on is sent again after this. */
#define ASK_RESEND_US (1 * US_PER_S)
/** A question about a state is given up after this. */
#define ASK_LIMIT_US (5 * US_PER_S)
/** A wait for an answer is given up after this. */
#define WAIT_LIMIT_US (600 * US_PER_S)
/** Unused issuers are looked for this often. */
#define AGE_INTERVAL_US (30 * US_PER_S)
/** A pace that is older than this says nothing: a slow agent is used last,
 * and would not be tried again. */
#define PACE_LIFE_US (3 * US_PER_S)
/** A handover without an answer is sent again after this. */
#define HAND_RESEND_US (500 * US_PER_MS)

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
                               const struct frame_head *head);

/** Take in a heartbeat. */
void Enti_OnBeat(struct entry *entry, struct now now, struct ent_peer *peer,
                 const struct msg_beat *beat);

/** Take in an agent's offer. */
void Enti_OnAgent(struct entry *entry, struct now now, struct ent_peer *peer,
                  const struct msg_agent *status);

/** Send heartbeats, replace silent connections. */
void Enti_BeatPeers(struct entry *entry, struct now now);

/** Find a service, or make it when `add` is set. */
struct ent_service *Enti_Service(struct entry *entry, const char *name,
                                 int add);

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

/* job.c */

/** Find a job, NULL when it is not known. */
struct ent_job *Enti_FindJob(const struct entry *entry, const struct key *key);

/** Find or make a job. NULL when the table is full. */
struct ent_job *Enti_AddJob(struct entry *entry, const struct key *key);

/** Forget what agents reported of a job. */
void Enti_DropHeld(struct ent_job *job);

/** Forget a job. */
void Enti_DropJob(struct entry *entry, struct ent_job *job);

/** Copy a submission into a job. Returns -1 for lack of memory. */
int Enti_FillJob(struct ent_job *job, struct now now,
                 const struct submission *sub);

/** Answer all who wait for a job that is not owned here, then forget the
 * submission. What agents reported of the key is kept. */
void Enti_EndRemote(struct entry *entry, struct ent_job *job, enum code code,
                    const char *detail);

/** Hash of what a submission asks for, whatever the order of its tasks. */
uint64_t Enti_HashBody(const struct submission *sub);

/** Add somebody who waits for the answer. */
void Enti_AddWaiter(struct ent_job *job, uint64_t from, conn_id conn);

/** Set a job's state, counting those that are not yet answered. */
void Enti_SetState(struct entry *entry, struct ent_job *job,
                   enum ent_job_state state);

/** Give a job its final code and answer all who wait. */
void Enti_Answer(struct entry *entry, struct ent_job *job, enum code code,
                 const char *detail);

/** Answer one asker without a job. */
void Enti_Refuse(struct entry *entry, uint64_t from, conn_id conn,
                 const struct key *key, enum code code, const char *detail);

/** Send a job's answer, or PENDING, to one asker. */
void Enti_Reply(struct entry *entry, const struct ent_job *job, uint64_t from,
                conn_id conn);

/* restart.c */

/** True for a job whose tasks may run again from the start. */
int Enti_IsRestartable(const struct ent_job *job);

/** An open job by its caller's name, NULL when there is none. */
struct ent_job *Enti_FindNamed(const struct entry *entry, uint64_t name);

/** An agent is silent: end the restartable jobs that cannot wait until their
 * tasks there have surely ended. */
void Enti_MarkLost(struct entry *entry, struct now now,
                   const struct ent_peer *agent);

/** The agent of a restartable task is gone: it is placed again once its run
 * has surely ended, if that leaves the job enough time. */
void Enti_LoseRun(struct entry *entry, struct now now, struct ent_job *job,
                  struct ent_task *task, const struct ent_peer *agent);

/** A run of a restartable task ended badly. Returns 1 when the task has been
 * put back into the queue. */
int Enti_Retry(struct entry *entry, struct now now, struct ent_job *job,
               struct ent_task *task, enum code code);

/* urgency.c */

/** Place of a restartable job in its queue: the time by which its tasks have
 * to be started, the more urgent classes first among those of one time. */
uint64_t Enti_StartBy(const struct ent_job *job);

/** Move jobs that can no longer end when they are wanted behind the others;
 * refuse those that nothing was started of and whose answer is of no use. */
void Enti_AgeQueues(struct entry *entry, struct now now);

/* note.c */

/** Log a decision on a task; `task` and `agent` may be NULL. */
void Enti_Note(const struct entry *entry, struct now now, enum note_type type,
               const struct ent_job *job, const struct ent_task *task,
               const struct ent_peer *agent, enum code code);

/* room.c */

/** Tasks that need `need` for which an agent has the resources, as far as is
 * known here; UINT32_MAX where only slots count. */
uint32_t Enti_Fits(const struct ent_peer *agent, const struct resources *need);

/** True when an agent could ever run a task of the step. */
int Enti_CouldFit(const struct ent_peer *agent, const struct ent_job *job,
                  const struct ent_step *step);

/** Count (or, with `sign` -1, count no more) a task's need at an agent. */
void Enti_Take(struct ent_peer *agent, const struct resources *need, int sign);

/** Take in what an agent says is taken, and what of it by this entry. */
void Enti_NoteUsed(struct ent_peer *agent, const struct resources *used,
                   const struct resources *mine);

/* step.c */

/** Copy the steps of a submission whose tasks have been copied. Returns -1
 * for lack of memory. */
int Enti_FillSteps(struct ent_job *job, const struct submission *sub);

/** Begin anew: the tasks of the steps that wait for no other may start. */
void Enti_ResetSteps(struct ent_job *job);

/** Work out how long the steps should take, and the job with them. */
void Enti_ExpectSteps(struct ent_job *job);

/** True when a task of the job has been sent, now or before. */
int Enti_IsBegun(const struct ent_job *job);

/** The step with waiting tasks that most work depends on, of those whose bit
 * in `passed` is not set. NULL when there is none. */
struct ent_step *Enti_NextStep(const struct ent_job *job, uint64_t passed);

/** The next task of a step that has waiting ones. */
struct ent_task *Enti_NextWaiting(const struct ent_job *job,
                                  struct ent_step *step);

/** Note that a task waits again (1), or no more (-1). */
void Enti_CountTask(struct ent_job *job, const struct ent_task *task,
                    int waits);

/** A task has ended well. Returns how many tasks may start now that had to
 * wait for its step. */
uint32_t Enti_EndTask(struct ent_job *job, const struct ent_task *task);

/** Tasks of the step that may yet run at an agent. */
uint32_t Enti_CountAt(const struct ent_job *job, const struct ent_step *step,
                      uint64_t agent);

/* learn.c */

/** What is known of a kind of task; never NULL. */
struct ent_kind *Enti_Kind(struct entry *entry, const char *service,
                           const char *name);

/** A team's part in a service; never NULL. */
struct ent_share *Enti_Share(struct entry *entry, const char *service,
                             const char *team);

/** Expected run time of a task; `declared_ms` is 0 when none was given. */
uint64_t Enti_ExpectUs(const struct ent_kind *kind, uint32_t declared_ms);

/** Learn from a task that ended well. */
void Enti_Learn(struct now now, const struct ent_job *job,
                const struct ent_task *task, struct ent_peer *agent,
                uint32_t run_us);

/* queue.c */

/** Queue of a job in its service. */
uint32_t Enti_Lane(const struct ent_job *job);

/** Put a job into its service's queue; `again` keeps its place. */
void Enti_Enqueue(struct entry *entry, struct ent_job *job, int again);

/** Remove a job from its service's queue. */
void Enti_Unqueue(struct ent_job *job);

/** Note that more (or, below 0, fewer) tasks of a queued job wait. */
void Enti_CountWaiting(struct ent_job *job, int tasks);

/** The classes in the order in which they may have the next start. */
void Enti_OrderLanes(const struct ent_service *service,
                     uint32_t order[PRIO_COUNT]);

/** Note that a job was given a start. */
void Enti_Served(const struct entry *entry, struct ent_job *job);

/* status.c */

/** Count the response time of a job that is answered complete. */
void Enti_CountResponse(const struct ent_job *job, struct now now);

/* usage.c */

/** True while the job's team may take one more slot from here. */
int Enti_MayTake(const struct entry *entry, struct now now,
                 const struct ent_job *job);

/** Take in what another entry has reserved. */
void Enti_OnUsage(struct entry *entry, struct now now,
                  const struct ent_peer *peer, const struct msg_usage *msg);

/** Work out the reservations again and tell the other entries. */
void Enti_SendUsage(struct entry *entry, struct now now);

/* admit.c */

/** What a job has to expect. */
struct ent_outlook {
    uint64_t wait_us; /**< Until its first task starts. */
    uint64_t run_us;  /**< From then to its end. */
};

/** Work out what a job with a service has to expect. */
struct ent_outlook Enti_Outlook(const struct entry *entry, struct now now,
                                const struct ent_job *job);

/** A reason to refuse a job of which nothing was started, CODE_OK for none.
 * Sets the job's time after which a retry may help. */
enum code Enti_Admit(struct entry *entry, struct now now, struct ent_job *job);

/** CODE_TOO_LATE when the job cannot end before its deadline; `is_waiting`
 * for one whose turn has come. */
enum code Enti_CheckTime(struct entry *entry, struct now now,
                         struct ent_job *job, int is_waiting);

/** Count an admitted job's work as load. */
void Enti_CountLoad(struct now now, struct ent_job *job);

/** Time to tell a refused caller, from what was missing; with jitter. */
uint32_t Enti_RetryAfterMs(struct entry *entry, uint64_t excess_us);

/* pressure.c */

/** Note that a tick came: late ones tell that the processor is behind. */
void Enti_NoteTick(struct entry *entry, struct now now);

/* submit.c */

/** Take in a submission from a caller (`from` 0) or an entry. */
void Enti_Submit(struct entry *entry, struct now now, uint64_t from,
                 conn_id conn, const struct submission *sub);

/** Open a job whose tasks may be started. */
void Enti_OpenJob(struct entry *entry, struct now now, struct ent_job *job);

/* place.c */

/** Send waiting tasks of a service to agents with free slots. */
void Enti_Place(struct entry *entry, struct now now,
                struct ent_service *service);

/** True when tasks may be sent to an agent. */
int Enti_IsUsable(const struct entry *entry, struct now now,
                  const struct ent_peer *agent);

/** Tasks of a job that waited for a step may start. */
void Enti_Unblock(struct entry *entry, struct ent_job *job, uint32_t count);

/** Put a task back into the queue after a true refusal. */
void Enti_Requeue(struct entry *entry, struct now now, struct ent_job *job,
                  struct ent_task *task);

/** Place what waits in every service. */
void Enti_PlaceAll(struct entry *entry, struct now now);

/** Free the slot that a task took at its agent. */
void Enti_Release(struct entry *entry, const struct ent_job *job,
                  const struct ent_task *task);

/* start.c */

/** Send a start, the first time or again. */
void Enti_SendStart(struct entry *entry, struct now now, struct ent_job *job,
                    struct ent_task *task);

/* result.c */

/** Take in a task's outcome or a refusal. */
void Enti_OnResult(struct entry *entry, struct now now, struct ent_peer *agent,
                   const struct msg_result *result);

/** An agent is lost with all that ran on it. */
void Enti_LoseAgent(struct entry *entry, struct now now,
                    struct ent_peer *agent);

/** Ask an agent again for all that was sent to it, soon. */
void Enti_AskAgain(struct entry *entry, struct now now, uint64_t agent);

/** Tell agents that the job's answer has been read. */
void Enti_SendRead(struct entry *entry, struct ent_job *job);

/** Tell agents to stop a job's tasks. */
void Enti_SendCancel(struct entry *entry, struct ent_job *job);

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
                   const struct msg_handed *handed);

/** True when there is nothing left to hand on, or nobody to take it. */
int Enti_IsHandedOver(const struct entry *entry);

/* ask.c */

/** Take in the answer to a question. */
void Enti_OnAskAnswer(struct entry *entry, const struct msg_answer *answer);

/** Send questions again, and give up old ones. */
void Enti_ResendAsks(struct entry *entry, struct now now);

/** Answer a question about a job, or pass it on. */
void Enti_Ask(struct entry *entry, struct now now, uint64_t from, conn_id conn,
              const struct key *key, enum ask what);

#endif
