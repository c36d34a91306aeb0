/** @file
 * Announcements of upstreams, taken as claims. Anything may send one to an
 * agent. One that names another instance than the known one is believed when
 * that instance answers a poll at its address, and ends nothing before. */
#ifndef CORE_CLAIM_H
#define CORE_CLAIM_H

#include "core/runner.h"

/** What an announcement says of its sender. */
struct claim {
    const char *id;      /**< Its name for itself. */
    const char *address; /**< Where it accepts orders. */
    const char *service;
    uint64_t born_ms;     /**< Start time, in milliseconds since 1970. */
    uint64_t sequence;    /**< Increases with each announcement of an
                               instance. */
    uint64_t received_us; /**< When it was received. */
};

/** What is done with an announcement. */
enum claim_verdict {
    CLAIM_KNOWN,    /**< It is of the known instance: it replaces the earlier
                         one. */
    CLAIM_TAKEN,    /**< Its sender is the known instance from now on. */
    CLAIM_ASKED,    /**< Its sender has to answer a poll first. */
    CLAIM_OUTDATED, /**< A later one has been received: it is dropped. */
    CLAIM_FOREIGN   /**< It is not of the instance that it names. */
};

/** What the answer to a poll shows of a claim. */
enum claim_answer { CLAIM_CONFIRMED, CLAIM_REFUTED, CLAIM_UNDECIDED };

/** Judge an announcement. `known` is the one that `runner` relies on, NULL if
 * there is none. */
enum claim_verdict Claim_Judge(const struct claim *known,
                               const struct runner *runner,
                               const struct claim *claim);

/** Determine what a poll of the claimed instance shows, sent to its address
 * under the runner's fence. `born_ms` is from the answer, 0 if it has none. */
enum claim_answer Claim_OnAnswer(const struct claim *claim,
                                 enum rn_reply reply, uint64_t born_ms);

/** Make a claim that is taken the known one. `clock_ms` is the sender's
 * monotonic clock, 0 if not known; `is_confirmed` tells whether the claimed
 * instance has answered a poll. */
void Claim_Take(struct runner *runner, struct now now,
                const struct claim *claim, uint64_t clock_ms,
                int is_confirmed);

/** True if a confirmed claim may take the place of the known instance: that
 * has the same address, or does not answer and has no runs. If not, see
 * Rn_Verify(). */
int Claim_MayReplace(const struct claim *known, const struct runner *runner,
                     const struct claim *claim);

#endif
