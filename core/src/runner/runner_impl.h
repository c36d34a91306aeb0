/** @file
 * Internals shared by the runner's files. */
#ifndef RUNNER_IMPL_H
#define RUNNER_IMPL_H

#include "core/runner.h"

/** The upstream's clock may run slower than this process's clock by this, in
 * percent. */
#define RNI_CLOCK_SLACK_PERCENT 2
/** Time after the end of a lease until its run has surely ended. It covers the
 * resolution of the upstream's clock and the time that a stop takes. */
#define RNI_LEASE_SLACK_US (100 * US_PER_MS)

/** Find a run by its id. NULL if it is not known. */
struct rn_run *Rni_Find(const struct runner *runner, const struct rn_id *id);

/** Find the run of a task. NULL if it has none. */
struct rn_run *Rni_FindTask(const struct runner *runner, tab_handle task);

/** Add a run. NULL if the table is full. */
struct rn_run *Rni_Add(struct runner *runner, const struct rn_id *id);

/** Change the number in the id of a run. */
void Rni_Renumber(struct runner *runner, struct rn_run *run, uint32_t number);

/** Free the input of a run. */
void Rni_DropInput(struct rn_run *run);

/** Remove a run that is over, and emit RN_END if it belongs to a task. Its
 * code is `code`, or CODE_RUN_LOST if that states that the run has not begun
 * and `evidence` does not show it. */
void Rni_End(struct runner *runner, struct now now, struct rn_run *run,
             enum rn_evidence evidence, enum code code);

/** Order the start of a run, for the first time or again. */
void Rni_OrderStart(struct runner *runner, struct now now, struct rn_run *run);

/** Begin to stop a run, whose task is to end with `code`. */
void Rni_BeginStop(struct runner *runner, struct now now, struct rn_run *run,
                   enum code code);

/** Order the stop of a run, for the first time or again. */
void Rni_OrderStop(struct runner *runner, struct now now, struct rn_run *run);

/** Record the upstream's clock, unless `clock_ms` is 0. */
void Rni_SetClock(struct runner *runner, struct now now, uint64_t clock_ms);

/** Grant a lease that begins now and ends no later than any run there must
 * end. Returns its end in milliseconds of the upstream's clock. */
uint64_t Rni_GrantLease(struct runner *runner, struct now now);

/** Record that an order which renews leases got no answer, and may still be
 * carried out. */
void Rni_OnReplyLost(struct runner *runner, struct now now);

/** True if a start order that got no answer may still be carried out. */
int Rni_MayStartLate(const struct runner *runner, struct now now);

/** Keep a run until Rni_Settle(). */
void Rni_LeaveUnsettled(struct runner *runner, struct rn_run *run);

/** Handle a restart of the upstream: forget what was known of its earlier
 * instance, and end the runs that this has listed. A start that was ordered
 * before the restart was known may have been carried out by either instance,
 * as orders do not name one; such a run stays until Rni_Settle(). `born_ms` is
 * 0 if the start time of the new instance is not known yet. */
void Rni_OnRestart(struct runner *runner, struct now now, uint64_t born_ms);

/** Decide on the runs that were left over from a restart, from a complete
 * answer to a poll under a fence that no earlier order had. The upstream
 * refuses those orders since then, so a run which it does not list has ended
 * with the earlier instance. One that it lists is stopped. */
void Rni_Settle(struct runner *runner, struct now now,
                const struct rn_view *view);

/** True if a view lists a run as running. */
int Rni_IsListed(const struct rn_view *view, const struct rn_id *id);

/** Choose the first fence at an instance, or after it was unreachable: one
 * that makes it refuse all earlier orders, those for earlier instances too. */
void Rni_TakeFence(struct runner *runner);

/** Handle the refusal of an order or poll because of its fence. If it was the
 * current one, that is raised by a step that doubles with each refusal, until
 * a poll is answered. */
void Rni_OnFenced(struct runner *runner, uint64_t fence);

/** Emit RN_CRASH for an instance that has ended, if tasks had runs there. */
void Rni_ReportCrash(struct runner *runner, struct now now);

/** Treat the upstream as unreachable until it announces itself again. Emits
 * RN_GONE if it was usable. */
void Rni_Disconnect(struct runner *runner);

/** Send a poll to the upstream if one is due. */
void Rni_Poll(struct runner *runner, struct now now);

/** Apply the upstream's lists of runs, from the answer to a poll that was sent
 * at `sent_us`. */
void Rni_ApplyView(struct runner *runner, struct now now, uint64_t sent_us,
                   const struct rn_view *view);

#endif
