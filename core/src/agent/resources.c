/* Resource accounting for the upstream. Only this process starts tasks there,
 * so the amounts counted here keep the upstream within its capacity. */
#include "agent_impl.h"

static int
is_limited(const struct resources *capacity)
{
    return capacity->cpu || capacity->memory_mb || capacity->gpu;
}

static int
fits(uint32_t used, uint32_t need, uint32_t capacity)
{
    return need == 0 || (used <= capacity && need <= capacity - used);
}

int
Agi_Fits(const struct agent *agent, const struct resources *need)
{
    const struct resources *capacity = &agent->upstream.capacity;
    const struct resources *used = &agent->used;
    return !is_limited(capacity) ||
           (fits(used->cpu, need->cpu, capacity->cpu) &&
            fits(used->memory_mb, need->memory_mb, capacity->memory_mb) &&
            fits(used->gpu, need->gpu, capacity->gpu));
}

/* Add `amount` to `sum`, or subtract it if `sign` is -1. */
static void
add(struct resources *sum, const struct resources *amount, int sign)
{
    sum->cpu += (uint32_t)sign * amount->cpu;
    sum->memory_mb += (uint32_t)sign * amount->memory_mb;
    sum->gpu += (uint32_t)sign * amount->gpu;
}

void
Agi_AddUsage(struct agent *agent, const struct ag_task *task, int sign)
{
    add(&agent->used, &task->need, sign);
    struct ag_entry *entry = Agi_FindEntry(agent, task->from);
    if (entry && (sign > 0 || entry->used.cpu >= task->need.cpu)) {
        add(&entry->used, &task->need, sign);
    }
}
