/* Jobs refused because this entry's processor is behind. The load that this
 * answers: a burst at an entry with a small share of a core, or one whose
 * machine has turned slow. Without it every request waits for all that came
 * before, and none is answered in time; what is refused at once costs little,
 * and the rest is served. Which jobs are refused is left to chance: each class
 * keeps its part. */
#include "job.h"
#include "place.h"
#include "range.h"

/* A round of the loop that takes longer than this uses up what a short job
 * has to spare: targets are some 60 ms. */
#define LATE_US (40 * US_PER_MS)
/* The share of refused jobs rises by this many percent for each such time that
 * a tick is late, at most by the second figure, and falls by the third with
 * each tick in time: it follows a burst within a few rounds of the loop, and
 * is gone a second after it. */
#define RISE_PERCENT 10u
#define MOST_RISE_PERCENT 50u
#define FALL_PERCENT 2u
/* Some jobs are always taken in: without them nothing is learned. */
#define MOST_PERCENT 95u
/* A refused caller is told to wait for as long as the share takes to fall, and
 * up to twice as long, or all come back at once. */
#define LEAST_RETRY_MS 200u
#define MS_PER_PERCENT 10u

static void
rise(struct ent_pressure *pressure, uint64_t late_us)
{
    uint64_t step = late_us * RISE_PERCENT / LATE_US;
    step = step < MOST_RISE_PERCENT ? step : MOST_RISE_PERCENT;
    pressure->refuse_percent += (uint32_t)step;
    if (pressure->refuse_percent > MOST_PERCENT) {
        pressure->refuse_percent = MOST_PERCENT;
    }
}

static void
fall(struct ent_pressure *pressure)
{
    uint32_t *percent = &pressure->refuse_percent;
    *percent -= *percent < FALL_PERCENT ? *percent : FALL_PERCENT;
}

void
Enti_UpdatePressure(struct entry *entry, struct now now)
{
    struct ent_pressure *pressure = &entry->pressure;
    uint64_t gap_us = now.us - pressure->tick_us;
    uint64_t period_us = entry->settings.tick_us;
    int is_first = pressure->tick_us == 0;
    pressure->tick_us = now.us;
    if (period_us == 0 || is_first) {
        return;
    }
    uint64_t late_us = gap_us > period_us ? gap_us - period_us : 0;
    /* One late tick may be a pause of the machine: it takes two in a row. */
    if (late_us > LATE_US && pressure->late_us > LATE_US) {
        rise(pressure,
             late_us < pressure->late_us ? late_us : pressure->late_us);
    }
    else if (late_us <= LATE_US) {
        fall(pressure);
    }
    pressure->late_us = late_us;
}

enum code
Ent_Screen(struct entry *entry, uint64_t name, uint32_t *retry_after_ms)
{
    const struct ent_pressure *pressure = &entry->pressure;
    if (pressure->refuse_percent == 0 || Enti_FindJobByName(entry, name) ||
        Enti_Random(entry) % 100 >= pressure->refuse_percent) {
        return CODE_OK;
    }
    uint32_t wait_ms =
        LEAST_RETRY_MS + pressure->refuse_percent * MS_PER_PERCENT;
    *retry_after_ms = wait_ms + (uint32_t)(Enti_Random(entry) % wait_ms);
    return CODE_OVERLOADED;
}
