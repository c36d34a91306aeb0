#include "core/claim.h"

#include <string.h>

#include "runner_impl.h"

/* An instance announces itself every second or two. When nothing later than
 * the known announcement has come for this time, that is not its latest,
 * whatever number it has. */
#define MAX_SEQUENCE_AGE_US (3 * US_PER_S)

static int
has_same_place(const struct claim *a, const struct claim *b)
{
    return strcmp(a->id, b->id) == 0 && strcmp(a->address, b->address) == 0;
}

/* An instance stays in its service. While it has been ordered no run, nothing
 * shows which of two announcements is its own; then the latest holds. */
static enum claim_verdict
judge_same_instance(const struct claim *known, const struct runner *runner,
                    const struct claim *claim)
{
    if (strcmp(known->service, claim->service) != 0) {
        return runner->is_used ? CLAIM_FOREIGN : CLAIM_KNOWN;
    }
    return claim->sequence < known->sequence &&
                   claim->received_us - known->received_us <
                       MAX_SEQUENCE_AGE_US
               ? CLAIM_OUTDATED
               : CLAIM_KNOWN;
}

enum claim_verdict
Claim_Judge(const struct claim *known, const struct runner *runner,
            const struct claim *claim)
{
    if (!known) {
        return CLAIM_TAKEN;
    }
    int is_same_place = has_same_place(known, claim);
    if (is_same_place && claim->born_ms == known->born_ms) {
        return judge_same_instance(known, runner, claim);
    }
    /* The known one has never answered, or has answered as the claimed one. */
    if (runner->answered_born_ms != known->born_ms) {
        int has_answered = runner->answered_born_ms == runner->born_ms;
        return !has_answered ||
                       (is_same_place && claim->born_ms == runner->born_ms)
                   ? CLAIM_TAKEN
                   : CLAIM_ASKED;
    }
    return claim->born_ms < known->born_ms ? CLAIM_OUTDATED : CLAIM_ASKED;
}

enum claim_answer
Claim_OnAnswer(const struct claim *claim, enum rn_reply reply,
               uint64_t born_ms)
{
    switch (reply) {
    case RN_DONE:
    case RN_FENCED:
        /* An instance that knows a higher fence than this agent has sent is
         * not the one that it has ordered runs at. */
        return born_ms == claim->born_ms ||
                       (born_ms == 0 && reply == RN_FENCED)
                   ? CLAIM_CONFIRMED
                   : CLAIM_REFUTED;
    case RN_OTHER_INSTANCE:
        return CLAIM_REFUTED;
    case RN_NO_ANSWER:
    case RN_UNREACHED:
    case RN_OLD_NUMBER:
    case RN_LATE:
    case RN_NO_ROOM:
    case RN_NOT_NOW:
    case RN_NOT_UNDERSTOOD:
        break;
    }
    return CLAIM_UNDECIDED;
}

void
Claim_Take(struct runner *runner, struct now now, const struct claim *claim,
           uint64_t clock_ms, int is_confirmed)
{
    if (is_confirmed) {
        runner->answered_born_ms = claim->born_ms;
    }
    Rn_OnAnnounce(runner, now, claim->born_ms, clock_ms);
}

int
Claim_MayReplace(const struct claim *known, const struct runner *runner,
                 const struct claim *claim)
{
    return !known || strcmp(known->address, claim->address) == 0 ||
           (runner->phase == RN_UNKNOWN && runner->runs.used == 0);
}
