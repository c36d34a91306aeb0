/* Resources of agents as estimated by this entry: the use by tasks that it has
 * sent there itself, and the use by other entries that the agent last
 * reported. The agent decides, and may refuse a start. */
#include "place.h"

static int
is_limited(const struct resources *capacity)
{
    return capacity->cpu || capacity->memory_mb || capacity->gpu;
}

/* How often `need` fits into what is left of one resource. */
static uint32_t
count_fits(uint32_t capacity, uint32_t used, uint32_t others, uint32_t need)
{
    uint64_t taken = (uint64_t)used + others;
    if (need == 0) {
        return UINT32_MAX;
    }
    return taken < capacity ? (uint32_t)((capacity - taken) / need) : 0;
}

uint32_t
Enti_CountFits(const struct ent_peer *agent, const struct resources *need)
{
    const struct resources *all = &agent->capacity;
    const struct resources *used = &agent->used;
    const struct resources *others = &agent->other_used;
    if (!is_limited(all)) {
        return UINT32_MAX;
    }
    uint32_t min = count_fits(all->cpu, used->cpu, others->cpu, need->cpu);
    uint32_t count = count_fits(all->memory_mb, used->memory_mb,
                                others->memory_mb, need->memory_mb);
    min = count < min ? count : min;
    count = count_fits(all->gpu, used->gpu, others->gpu, need->gpu);
    return count < min ? count : min;
}

int
Enti_CouldFit(const struct ent_peer *agent, const struct ent_job *job,
              const struct ent_step *step)
{
    const struct resources *all = &agent->capacity;
    const struct resources *need = &step->spec.need;
    return agent->memory_mb >= job->memory_mb && agent->cores >= job->cores &&
           Labels_Has(&agent->labels, step->spec.label) &&
           (!is_limited(all) ||
            (all->cpu >= need->cpu && all->memory_mb >= need->memory_mb &&
             all->gpu >= need->gpu));
}

static void
adjust(uint32_t *sum, uint32_t amount, int sign)
{
    if (sign > 0) {
        *sum += amount;
    }
    else {
        *sum -= amount < *sum ? amount : *sum;
    }
}

void
Enti_AdjustUsed(struct ent_peer *agent, const struct resources *need, int sign)
{
    adjust(&agent->used.cpu, need->cpu, sign);
    adjust(&agent->used.memory_mb, need->memory_mb, sign);
    adjust(&agent->used.gpu, need->gpu, sign);
}

static uint32_t
used_by_others(uint32_t all, uint32_t own)
{
    return all > own ? all - own : 0;
}

void
Enti_SetOthersUsed(struct ent_peer *agent, const struct resources *used,
                   const struct resources *own)
{
    agent->other_used.cpu = used_by_others(used->cpu, own->cpu);
    agent->other_used.memory_mb =
        used_by_others(used->memory_mb, own->memory_mb);
    agent->other_used.gpu = used_by_others(used->gpu, own->gpu);
}
