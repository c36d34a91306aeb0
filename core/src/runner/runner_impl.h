/** @file
 * Internals shared by the runner's files. */
#ifndef RUNNER_IMPL_H
#define RUNNER_IMPL_H

#include "core/runner.h"

/** The upstream's clock may run this much slower than ours, in percent. */
#define RNI_CLOCK_SLACK_PERCENT 2
/** Time after a lease's end until nothing of it runs: the upstream's own
 * granularity and a stop. */
#define RNI_LEASE_SLACK_US (100 * US_PER_MS)

/** Find a run by its name; NULL when it is not known. */
struct rn_run *Rni_Find(const struct runner *runner, const struct rn_id *id);

/** Find the run of a task; NULL when it has none. */
struct rn_run *Rni_FindTask(const struct runner *runner, tab_handle task);

/** Add a run. NULL when the table is full. */
struct rn_run *Rni_Add(struct runner *runner, const struct rn_id *id);

/** Give a run another number. */
void Rni_Renumber(struct runner *runner, struct rn_run *run, uint32_t number);

/** A run is over: report it and forget it. */
void Rni_End(struct runner *runner, struct now now, struct rn_run *run,
             enum code code);

/** Order a start, the first time or again. */
void Rni_OrderStart(struct runner *runner, struct now now, struct rn_run *run);

/** Begin to stop a run that ends with `code`. */
void Rni_BeginStop(struct runner *runner, struct now now, struct rn_run *run,
                   enum code code);

/** Order a stop, the first time or again. */
void Rni_OrderStop(struct runner *runner, struct now now, struct rn_run *run);

/** Take in the upstream's clock. */
void Rni_SetClock(struct runner *runner, struct now now, uint64_t clock_ms);

/** End of a lease that begins now, on the upstream's clock. */
uint64_t Rni_LeaseEnd(const struct runner *runner, struct now now);

/** Note that an order which renews the leases had no answer. */
void Rni_OnReplyLost(struct runner *runner, struct now now);

/** Note that all leases have been renewed now. */
void Rni_MarkRenewed(struct runner *runner, struct now now);

/** The upstream has begun a new life: nothing of the old one runs. */
void Rni_OnRestart(struct runner *runner, struct now now, uint64_t born_ms);

/** The upstream does not answer. */
void Rni_Disconnect(struct runner *runner);

/** Ask what runs, as far as it is time. */
void Rni_Poll(struct runner *runner, struct now now);

/** Take in the lists. */
void Rni_ApplyView(struct runner *runner, struct now now, uint64_t sent_us,
                   const struct rn_view *view);

#endif
