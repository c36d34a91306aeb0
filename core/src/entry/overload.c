/* Refusal of jobs while this entry's processor is overloaded: in a burst at an
 * entry with a small share of a core, or on a machine that has become slow.
 * Without refusals every request waits for all earlier ones and none is
 * answered in time; a refusal costs little, and leaves time for the other
 * jobs. Jobs are refused at random, so that each class keeps its proportion.
 */
#include "job.h"
#include "place.h"
#include "key_range.h"

/* Lateness of a tick from which the entry counts as overloaded: it uses up the
 * slack of a short job, whose target response time is about 60 ms. */
#define LATE_TICK_US (40 * US_PER_MS)
/* The share of refused jobs rises by RISE_PERCENT for each LATE_TICK_US of
 * lateness, by at most MAX_RISE_PERCENT per tick, and falls by FALL_PERCENT
 * with each tick that is on time: it follows a burst within a few rounds of
 * the event loop, and is back at 0 a second after the burst. */
#define RISE_PERCENT 10u
#define MAX_RISE_PERCENT 50u
#define FALL_PERCENT 2u
/* Some jobs are always accepted: without them no run times are learned. */
#define MAX_REFUSE_PERCENT 95u
/* A refused caller is told to wait for as long as the share takes to fall, or
 * up to twice as long: with equal waits all callers would retry at once. */
#define MIN_RETRY_MS 200u
#define MS_PER_PERCENT 10u

static void
raise_refusals(struct ent_pressure *pressure, uint64_t late_us)
{
    uint64_t step = late_us * RISE_PERCENT / LATE_TICK_US;
    step = step < MAX_RISE_PERCENT ? step : MAX_RISE_PERCENT;
    pressure->refuse_percent += (uint32_t)step;
    if (pressure->refuse_percent > MAX_REFUSE_PERCENT) {
        pressure->refuse_percent = MAX_REFUSE_PERCENT;
    }
}

static void
lower_refusals(struct ent_pressure *pressure)
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
    /* A single late tick may be a pause of the machine, so only two in a row
     * count. */
    if (late_us > LATE_TICK_US && pressure->late_us > LATE_TICK_US) {
        raise_refusals(pressure, late_us < pressure->late_us
                                     ? late_us
                                     : pressure->late_us);
    }
    else if (late_us <= LATE_TICK_US) {
        lower_refusals(pressure);
    }
    pressure->late_us = late_us;
}

enum code
Ent_CheckOverload(struct entry *entry, uint64_t name, uint32_t *retry_after_ms)
{
    const struct ent_pressure *pressure = &entry->pressure;
    if (pressure->refuse_percent == 0 || Enti_FindJobByName(entry, name) ||
        Enti_Random(entry) % 100 >= pressure->refuse_percent) {
        return CODE_OK;
    }
    uint32_t wait_ms =
        MIN_RETRY_MS + pressure->refuse_percent * MS_PER_PERCENT;
    *retry_after_ms = wait_ms + (uint32_t)(Enti_Random(entry) % wait_ms);
    return CODE_OVERLOADED;
}
