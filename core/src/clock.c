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
}

/* The heartbeat interval is 2/5 of the orphan time-out, so that an entry is
 * considered gone only after two missed heartbeats. */
void
Timing_Derive(struct timing *timing, uint64_t resubmit_us, uint64_t lease_us)
{
    timing->orphan_timeout_us = resubmit_us * 7 / 10;
    timing->echo_timeout_us = timing->orphan_timeout_us * 3 / 2;
    timing->heartbeat_us = timing->orphan_timeout_us * 2 / 5;
    timing->link_timeout_us = timing->heartbeat_us * 2;
    timing->agent_timeout_us = timing->orphan_timeout_us + STOP_TIME_US;
    timing->exit_quiesce_us = lease_us + STOP_TIME_US;
    timing->quiesce_us = timing->echo_timeout_us + timing->exit_quiesce_us;
}
