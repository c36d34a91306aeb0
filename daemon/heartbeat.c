#include "heartbeat.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "core/claim.h"
#include "orders.h"

/* A claimant that has not been taken by then is dropped. Its next heartbeat
 * makes it one again. */
#define CLAIM_TTL_US (1500 * US_PER_MS)
#define ASK_TIMEOUT_MS 150

/* A poll of a claimant. */
struct ask {
    struct orders *orders;
    uint32_t number; /* Of the claimant. */
};

static struct claim
claim_of(const struct pf_heartbeat *heartbeat, uint64_t received_us)
{
    return (struct claim){heartbeat->id,
                          heartbeat->address,
                          heartbeat->announcement.service,
                          heartbeat->born_ms,
                          heartbeat->sequence,
                          received_us};
}

/* True if what a restarted process must know of the upstream, before its next
 * heartbeat, has changed. */
static int
has_other_saved_state(const struct ag_announce *a, const struct ag_announce *b)
{
    return a->leaving != b->leaving || a->capacity.cpu != b->capacity.cpu ||
           a->capacity.memory_mb != b->capacity.memory_mb ||
           a->capacity.gpu != b->capacity.gpu;
}

static void
take(struct orders *orders, struct now now,
     const struct pf_heartbeat *heartbeat, int is_confirmed)
{
    struct claim claim = claim_of(heartbeat, now.us);
    int was_leaving = orders->heartbeat.announcement.leaving;
    int is_changed = orders->heartbeat.born_ms != heartbeat->born_ms ||
                     has_other_saved_state(&orders->heartbeat.announcement,
                                           &heartbeat->announcement);
    if (heartbeat->announcement.leaving && !was_leaving) {
        LOG_INFO("upstream", "Upstream is leaving. id=%s", heartbeat->id);
    }
    orders->heartbeat = *heartbeat;
    orders->heartbeat_us = now.us;
    orders->has_heartbeat = 1;
    memcpy(orders->address, heartbeat->address, sizeof(orders->address));
    Claim_Take(&orders->runner, now, &claim, heartbeat->clock_ms,
               is_confirmed);
    if (Rn_IsUsable(&orders->runner) &&
        heartbeat->born_ms == orders->runner.born_ms) {
        Ag_OnAnnounce(orders->core, now, &heartbeat->announcement);
        if (heartbeat->announcement.leaving && !was_leaving) {
            Ag_BroadcastStatus(orders->core);
        }
        if (is_changed) {
            /* A restarted process must not use an upstream that is leaving,
             * or more of it than there is. */
            orders->save_upstream(orders->context);
        }
    }
}

/* Take the place of the known instance, or wait until that is seen to be
 * gone. */
static void
try_to_take(struct orders *orders, struct now now)
{
    struct claimant *claimant = &orders->claimant;
    struct claim known = claim_of(&orders->heartbeat, orders->heartbeat_us);
    struct claim claim = claim_of(&claimant->heartbeat, claimant->received_us);
    if (!Claim_MayReplace(&known, &orders->runner, &claim)) {
        Rn_Verify(&orders->runner, now);
        return;
    }
    claimant->is_pending = 0;
    LOG_INFO("upstream",
             "Another instance takes the upstream's place, it has answered. "
             "id=%s address=%s born_ms=%" PRIu64 " earlier_id=%s",
             claim.id, claim.address, claim.born_ms, known.id);
    take(orders, now, &claimant->heartbeat, 1);
}

static void
drop(struct orders *orders, const char *reason)
{
    struct claimant *claimant = &orders->claimant;
    claimant->is_pending = 0;
    CTR_INC(orders->counters, beats_foreign);
    LOG_WARN("upstream",
             "Heartbeat of another instance is dropped, the known one holds. "
             "id=%s address=%s born_ms=%" PRIu64 " because=%s known_id=%s",
             claimant->heartbeat.id, claimant->heartbeat.address,
             claimant->heartbeat.born_ms, reason, orders->heartbeat.id);
}

static void
on_answer(void *context, const struct hc_result *http)
{
    static struct rn_view view;
    struct ask *ask = context;
    struct orders *orders = ask->orders;
    struct claimant *claimant = &orders->claimant;
    struct now now = Loop_Now();
    struct claim claim = claim_of(&claimant->heartbeat, claimant->received_us);
    enum rn_reply reply =
        Pf_ReadView(http->status, http->sent, http->body, &view);
    int is_current = claimant->is_pending && claimant->number == ask->number;
    free(ask);
    if (!is_current) {
        return;
    }
    claimant->is_asked = 0;
    switch (Claim_OnAnswer(&claim, reply, view.born_ms)) {
    case CLAIM_CONFIRMED:
        claimant->is_confirmed = 1;
        try_to_take(orders, now);
        break;
    case CLAIM_REFUTED:
        drop(orders, "refuted");
        break;
    case CLAIM_UNDECIDED:
        break;
    }
}

/* The poll grants no lease, and lets the asked instance forget nothing. */
static void
ask(struct orders *orders)
{
    struct claimant *claimant = &orders->claimant;
    struct rn_act poll = {.type = RN_POLL, .fence = orders->runner.fence};
    struct pf_order order;
    struct ask *context = calloc(1, sizeof(*context));
    if (!context || Pf_WriteOrder(&order, &poll)) {
        abort();
    }
    context->orders = orders;
    context->number = claimant->number;
    struct hc_call http = {
        .addr = claimant->heartbeat.address,
        .method = "POST",
        .path = order.path,
        .body = {order.body, (uint32_t)strlen(order.body)},
        .extra_name = pf_instance_header,
        .extra_value = claimant->heartbeat.id,
        .timeout_ms = ASK_TIMEOUT_MS,
        .done = on_answer,
        .context = context,
    };
    if (Hc_Call(&orders->http, &http)) {
        CTR_INC(orders->counters, actions_dropped);
        free(context);
    }
    else {
        claimant->is_asked = 1;
    }
    free(order.body);
}

static void
hear_claimant(struct orders *orders, struct now now,
              const struct pf_heartbeat *heartbeat)
{
    struct claimant *claimant = &orders->claimant;
    const struct pf_heartbeat *earlier = &claimant->heartbeat;
    int is_new = !claimant->is_pending ||
                 earlier->born_ms != heartbeat->born_ms ||
                 strcmp(earlier->id, heartbeat->id) != 0 ||
                 strcmp(earlier->address, heartbeat->address) != 0;
    claimant->heartbeat = *heartbeat;
    if (!is_new) {
        return;
    }
    claimant->received_us = now.us;
    claimant->number++;
    claimant->is_pending = 1;
    claimant->is_asked = claimant->is_confirmed = 0;
    ask(orders);
}

int
Hb_Receive(struct orders *orders, const struct pf_heartbeat *heartbeat)
{
    struct now now = Loop_Now();
    struct claim known = claim_of(&orders->heartbeat, orders->heartbeat_us);
    struct claim claim = claim_of(heartbeat, now.us);
    switch (Claim_Judge(orders->has_heartbeat ? &known : NULL, &orders->runner,
                        &claim)) {
    case CLAIM_KNOWN:
    case CLAIM_TAKEN:
        take(orders, now, heartbeat, 0);
        break;
    case CLAIM_ASKED:
        hear_claimant(orders, now, heartbeat);
        break;
    case CLAIM_OUTDATED:
        CTR_INC(orders->counters, beats_old);
        break;
    case CLAIM_FOREIGN:
        CTR_INC(orders->counters, beats_foreign);
        LOG_WARN("upstream",
                 "Heartbeat of another writer is dropped, an instance stays "
                 "in its service. id=%s service=%s known_service=%s",
                 claim.id, claim.service, known.service);
        return 400;
    }
    return 200;
}

void
Hb_Leave(struct orders *orders, const char *id)
{
    if (orders->has_heartbeat && strcmp(id, orders->heartbeat.id) == 0) {
        LOG_INFO("upstream", "Upstream has left. id=%s", id);
        Ag_OnUpstreamGone(orders->core, Loop_Now());
    }
}

void
Hb_OnTick(struct orders *orders, struct now now)
{
    struct claimant *claimant = &orders->claimant;
    if (!claimant->is_pending) {
        return;
    }
    if (now.us - claimant->received_us > CLAIM_TTL_US) {
        drop(orders,
             claimant->is_confirmed ? "known-one-answers" : "no-answer");
    }
    else if (claimant->is_confirmed) {
        try_to_take(orders, now);
    }
    else if (!claimant->is_asked) {
        ask(orders);
    }
}
