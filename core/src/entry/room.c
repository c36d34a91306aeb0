/* Resources of agents as this entry believes them to be: what it has sent
 * there itself, and what the agent last said of others. The agent has the
 * last word. */
#include "place.h"

static int
is_limited(const struct resources *capacity)
{
    return capacity->cpu || capacity->memory_mb || capacity->gpu;
}

static uint32_t
count_of(uint32_t capacity, uint32_t used, uint32_t others, uint32_t need)
{
    uint64_t taken = (uint64_t)used + others;
    if (need == 0) {
        return UINT32_MAX;
    }
    return taken < capacity ? (uint32_t)((capacity - taken) / need) : 0;
}

uint32_t
Enti_Fits(const struct ent_peer *agent, const struct resources *need)
{
    const struct resources *all = &agent->capacity;
    const struct resources *used = &agent->used;
    const struct resources *others = &agent->other_used;
    if (!is_limited(all)) {
        return UINT32_MAX;
    }
    uint32_t least = count_of(all->cpu, used->cpu, others->cpu, need->cpu);
    uint32_t count = count_of(all->memory_mb, used->memory_mb,
                              others->memory_mb, need->memory_mb);
    least = count < least ? count : least;
    count = count_of(all->gpu, used->gpu, others->gpu, need->gpu);
    return count < least ? count : least;
}

int
Enti_CouldFit(const struct ent_peer *agent, const struct ent_job *job,
              const struct ent_step *step)
{
    const struct resources *all = &agent->capacity;
    const struct resources *need = &step->want.need;
    return agent->memory_mb >= job->memory_mb && agent->cores >= job->cores &&
           Labels_Has(&agent->labels, step->want.label) &&
           (!is_limited(all) ||
            (all->cpu >= need->cpu && all->memory_mb >= need->memory_mb &&
             all->gpu >= need->gpu));
}

static void
add(uint32_t *sum, uint32_t amount, int sign)
{
    if (sign > 0) {
        *sum += amount;
    }
    else {
        *sum -= amount < *sum ? amount : *sum;
    }
}

void
Enti_Take(struct ent_peer *agent, const struct resources *need, int sign)
{
    add(&agent->used.cpu, need->cpu, sign);
    add(&agent->used.memory_mb, need->memory_mb, sign);
    add(&agent->used.gpu, need->gpu, sign);
}

static uint32_t
rest(uint32_t all, uint32_t mine)
{
    return all > mine ? all - mine : 0;
}

void
Enti_NoteUsed(struct ent_peer *agent, const struct resources *used,
              const struct resources *mine)
{
    agent->other_used.cpu = rest(used->cpu, mine->cpu);
    agent->other_used.memory_mb = rest(used->memory_mb, mine->memory_mb);
    agent->other_used.gpu = rest(used->gpu, mine->gpu);
}
