/* Ends of runs.
 *
 * RN_END is emitted only when nothing of a run goes on and no order can begin
 * it any more at this instance. What shows that, and what it says of the run:
 *
 *   RN_REFUSED    Each start order was answered by a refusal. It has not
 *                 begun, unless an earlier order got no answer.
 *   RN_ELSEWHERE  Another upstream answers at the address. The run is over
 *                 with its upstream; it may have begun.
 *   RN_LISTED     The upstream lists its end. It had begun, also if it is
 *                 listed as stopped.
 *   RN_UNLISTED   It is in neither list, in a whole answer to a poll sent
 *                 after the start, or the stop, was acknowledged. A start that
 *                 was acknowledged had begun; a stopped run had not, unless a
 *                 start was acknowledged or it was listed.
 *   RN_RESTARTED  Another instance answers at the address of the one that
 *                 listed it, or one that refuses the fences used until then
 *                 does not list it. It may have begun.
 *   RN_CRASHED    Two connections were refused, the second begun after the
 *                 first had failed: no process listens at the address. Each
 *                 start order was answered, or is too old to be carried out.
 *                 It may have begun.
 *   RN_LAPSED     The latest lease that any order may have granted has ended
 *                 by the slowest clock, as a lease holds for all runs. No
 *                 order can renew it, and no start of the run is late. It had
 *                 begun.
 *
 * Nothing else ends a run: not a refusal after an order without an answer, not
 * the silence of the upstream, not its restart, not one refused connection,
 * not an announcement, which anything can send.
 *
 * An instance keeps refusing a run that it has ended. The next one knows
 * nothing of that, and would carry out a start that is still on its way, also
 * one of a run whose end was listed. It refuses all of them from the first
 * poll under its new fence, which is higher than any sent before. So an
 * upstream is polled while a start may be late, whether or not it has runs or
 * is usable, and a run that ends with an instance, not by its lists, is kept
 * until then. Between the start of the next instance and that poll nothing can
 * refuse such a start. */
#include <stdlib.h>

#include "runner_impl.h"

static int
has_never_begun(const struct rn_run *run, enum rn_evidence evidence)
{
    switch (evidence) {
    case RN_REFUSED:
        return !run->was_running && !run->start_unanswered;
    case RN_UNLISTED:
        return !run->was_running && run->state == RN_STOPPED;
    case RN_ELSEWHERE:
    case RN_LISTED:
    case RN_RESTARTED:
    case RN_CRASHED:
    case RN_LAPSED:
        break;
    }
    return 0;
}

void
Rni_End(struct runner *runner, struct now now, struct rn_run *run,
        enum rn_evidence evidence, enum code code)
{
    struct rn_act act = {.type = RN_END};
    if (Code_Run(code) == CODE_NOT_RUN && !has_never_begun(run, evidence)) {
        code = CODE_RUN_LOST;
    }
    act.task = run->task;
    act.id = run->id;
    act.code = code;
    act.evidence = evidence;
    act.run_us = (uint32_t)(now.us - run->ordered_us);
    Rni_DropInput(run);
    HASH_DELETE(hh, runner->index, run);
    Tab_Remove(&runner->runs, run);
    if (act.task) {
        runner->sink.emit(runner->sink.context, &act);
    }
}
