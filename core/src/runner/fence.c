/* The fence, which makes the upstream refuse the orders of earlier agents and
 * those for its earlier instance. */
#include "runner_impl.h"

/* The clock increases over the life of an instance, so no earlier agent has
 * derived a higher fence from it. A fence for an earlier instance may be
 * higher, and may have reached this one. */
static void
raise_fence(struct runner *runner)
{
    runner->fence_step = runner->fence_step ? 2 * runner->fence_step : 1;
    runner->fence += runner->fence_step;
    if (runner->clock_ms > runner->fence) {
        runner->fence = runner->clock_ms;
    }
}

void
Rni_TakeFence(struct runner *runner)
{
    runner->fence_step = 0;
    raise_fence(runner);
    runner->first_fence = runner->fence;
}

void
Rni_OnFenced(struct runner *runner, uint64_t fence)
{
    if (fence == runner->fence) {
        raise_fence(runner);
    }
}
