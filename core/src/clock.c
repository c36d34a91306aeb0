#include "core/clock.h"

/* An agent silent for this long is lost with what runs on it. */
#define LOST_US (10 * US_PER_S)
/* Time to stop a task: the order, its answer and a tick of the agent. */
#define STOP_US (150 * US_PER_MS)

void
Timing_Init(struct timing *timing)
{
    timing->beat_us = BEAT_INTERVAL_US;
    timing->silent_us = LINK_SILENCE_US;
    timing->orphan_us = 0;
    timing->echo_us = 0;
    timing->lost_us = LOST_US;
    timing->clear_us = LOST_US;
    timing->lapse_us = 0;
}

/* Two heartbeats may be missed before an entry is taken for gone. */
void
Timing_Derive(struct timing *timing, uint64_t resubmit_us, uint64_t lease_us)
{
    timing->orphan_us = resubmit_us * 7 / 10;
    timing->echo_us = timing->orphan_us * 3 / 2;
    timing->beat_us = timing->orphan_us * 2 / 5;
    timing->silent_us = timing->beat_us * 2;
    timing->lost_us = timing->orphan_us + STOP_US;
    timing->lapse_us = lease_us + STOP_US;
    timing->clear_us = timing->echo_us + timing->lapse_us;
}
