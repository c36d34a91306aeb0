#include "core/clock.h"

/* An agent from which no message arrives for this long is lost, with the tasks
 * that run there. */
#define AGENT_TIMEOUT_US (10 * US_PER_S)
/* Time to stop a task: the stop call, its reply and one timer tick of the
 * agent. */
#define STOP_TIME_US (150 * US_PER_MS)

void
Timing_Init(struct timing *timing)
{
    timing->heartbeat_us = HEARTBEAT_INTERVAL_US;
    timing->link_timeout_us = LINK_TIMEOUT_US;
    timing->orphan_timeout_us = 0;
    timing->echo_timeout_us = 0;
    timing->agent_timeout_us = AGENT_TIMEOUT_US;
    timing->quiesce_us = AGENT_TIMEOUT_US;
    timing->exit_quiesce_us = 0;
    timing->lease_us = 0;
    timing->run_limit_us = 0;
}

/* Time from the caller's loss of its entry to the end of the last lease. */
static uint64_t
run_limit_us(uint64_t resubmit_us)
{
    return resubmit_us > 2 * STOP_TIME_US ? resubmit_us - STOP_TIME_US
                                          : resubmit_us / 2;
}

/* The heartbeat interval is 2/5 of the orphan time-out, so that an entry is
 * considered gone only after two missed heartbeats.
 *
 * A start is refused while the upstream's lease ends after the limit of the
 * new run. The lease is so much shorter than that limit that a start which
 * names a heartbeat of one interval ago is accepted. The tasks of an entry
 * that echoes no heartbeats are stopped in time before their limit shortens
 * the lease of the others at the upstream. */
void
Timing_Derive(struct timing *timing, uint64_t resubmit_us, uint64_t lease_us)
{
    timing->orphan_timeout_us = resubmit_us * 7 / 10;
    timing->echo_timeout_us = resubmit_us * 3 / 4;
    timing->heartbeat_us = timing->orphan_timeout_us * 2 / 5;
    timing->link_timeout_us = timing->heartbeat_us * 2;
    timing->agent_timeout_us = timing->orphan_timeout_us + STOP_TIME_US;
    timing->lease_us = resubmit_us * 9 / 20;
    timing->lease_us = Timing_Lease(timing, lease_us);
    timing->run_limit_us = run_limit_us(resubmit_us);
    timing->exit_quiesce_us = timing->lease_us + STOP_TIME_US;
    timing->quiesce_us = timing->run_limit_us + STOP_TIME_US;
}

uint64_t
Timing_Lease(const struct timing *timing, uint64_t longest_us)
{
    int is_shorter = timing->lease_us && timing->lease_us < longest_us;
    return is_shorter ? timing->lease_us : longest_us;
}
