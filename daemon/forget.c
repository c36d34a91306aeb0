/* Removes members from the registry that have been silent for so long that
 * they count as dead. */
#include <stdio.h>

#include "base/log.h"
#include "control.h"

/* Minimum interval between removals. */
#define FORGET_INTERVAL_US (1 * US_PER_S)

static void
on_forgotten(void *context, const struct store_result *result)
{
    struct control *control = context;
    control->forget_pending = 0;
    if (result->code == CODE_OK) {
        CTR_INC(control->counters, members_forgotten);
    }
}

void
Forget_Member(struct control *control, const char *node, store_done *done,
              void *context)
{
    char key[WIRE_NAME_SIZE + sizeof(REG_PREFIX)];
    snprintf(key, sizeof(key), REG_PREFIX "%s", node);
    Rows_Remove(control, key, done, context);
}

/* Returns 1 if a member has been silent for longer than the limit. The time
 * during which this entry itself could not reach the table service does not
 * count: an outage or a pause here does not mean that the member is dead. */
static int
is_dead(const struct control *control, struct now now,
        const struct ent_peer *peer)
{
    uint64_t limit_us =
        (uint64_t)control->settings->forget_member_s * US_PER_S;
    uint64_t since_us = control->reachable_since_us;
    if (peer->heard_us > since_us) {
        since_us = peer->heard_us;
    }
    if (peer->first_seen_us > since_us) {
        since_us = peer->first_seen_us;
    }
    return now.us - since_us > limit_us;
}

void
Forget_OnTick(struct control *control, struct now now)
{
    uint32_t slot = 0;
    struct ent_peer *peer;
    if (now.us < control->next_forget_us || control->forget_pending ||
        !Ent_HasMajority(control->core, now) ||
        now.us - control->last_read_us > CONFIG_MAX_AGE_US) {
        return;
    }
    control->next_forget_us = now.us + FORGET_INTERVAL_US;
    while ((peer = Tab_Next(&control->core->peers, &slot))) {
        if (is_dead(control, now, peer)) {
            LOG_INFO("registry",
                     "Removing member %s: no message for longer than "
                     "forget_member_s.",
                     peer->member.node);
            control->forget_pending = 1;
            Forget_Member(control, peer->member.node, on_forgotten, control);
            return;
        }
    }
}
