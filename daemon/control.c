/* Initialisation and timers of the control plane. */
#include "control.h"

#include <stdlib.h>
#include <string.h>

/* Interval between searches for entries that lag behind. */
#define RELAY_INTERVAL_US (100 * US_PER_MS)

int
Control_Init(struct control *control, struct now now)
{
    Cfg_Init(&control->config);
    control->rows = json_object();
    control->reachable_since_us = now.us;
    control->last_read_us = now.us;
    return control->rows ? 0 : -1;
}

void
Control_Finish(struct control *control)
{
    Route_Finish(&control->routes);
    json_decref(control->rows);
    free(control->full_text);
    free(control->diff_text);
}

/* Has the core resolve the policies again when an exception has expired. */
static void
check_expiry(struct control *control, struct now now)
{
    if (control->next_expiry_s == 0 ||
        control->next_expiry_s > (int64_t)now.wall) {
        return;
    }
    control->next_expiry_s = Cfg_NextExpiry(&control->config, now.wall);
    Ent_OnConfig(control->core, now, &control->config,
                 control->core->conf.full, control->core->conf.diff, 0);
}

void
Control_OnTick(struct control *control, struct now now)
{
    Change_OnTick(control, now);
    Forget_OnTick(control, now);
    Join_OnTick(control, now);
    check_expiry(control, now);
    if (now.us >= control->next_relay_us) {
        control->next_relay_us = now.us + RELAY_INTERVAL_US;
        Rows_Relay(control, 0);
    }
}
