/* Entries with new node names join one at a time: while the row REG_JOIN_LOCK
 * exists, no other new entry may register. The joining entry writes it along
 * with its own row; any entry removes it once the join has been accepted. */
#include "base/log.h"
#include "control.h"

/* Interval between attempts to remove the row. An attempt without effect is
 * not repeated at once, because another entry's removal may be on its way. */
#define RETRY_US (1 * US_PER_S)

static void
on_removed(void *context, const struct store_result *result)
{
    struct control *control = context;
    control->join_removal_pending = 0;
    LOG_INFO("registry",
             "Join accepted: the table service answered the removal of the "
             "join lock. version=%llu code=%s",
             (unsigned long long)control->pending_join.rows_version,
             Code_Name(result->code));
}

void
Join_OnTick(struct control *control, struct now now)
{
    uint64_t version = Rows_Version(control, REG_JOIN_LOCK);
    if (!Rows_Value(control, REG_JOIN_LOCK) || control->join_removal_pending ||
        now.us < control->next_join_removal_us) {
        return;
    }
    if (control->pending_join.rows_version != version) {
        control->pending_join =
            (struct ent_pending_change){.rows_version = version};
    }
    if (!Ent_CheckAcceptance(control->core, now, &control->pending_join)
             .accepted) {
        return;
    }
    control->join_removal_pending = 1;
    control->next_join_removal_us = now.us + RETRY_US;
    Rows_Remove(control, REG_JOIN_LOCK, on_removed, control);
}
