/* Clients that send much and finish nothing: many large bodies that stop short
 * of their end, endless heads, idle connections. A client that sends its
 * request without a break has a small or a young one, and is evicted last. */
#include "shell/intake.h"

#include <string.h>
#include <sys/resource.h>
#include <utlist.h>

#include "shell/system_memory.h"

/* Part of the memory for unfinished requests. The rest is for the work of the
 * process itself. */
#define MEMORY_PART 4
/* Part of the memory for connections, and the size of one with its buffers. */
#define CONNECTION_BYTES (16u << 10)
/* Descriptors that are kept for files, and the part of the rest that is kept
 * for the process's own connections. */
#define FILE_DESCRIPTORS 200
#define OWN_PART 4
/* Connections that are allowed however small the machine is. */
#define MIN_CONNECTIONS 16

static uint64_t
system_descriptors(void)
{
    struct rlimit limit;
    return getrlimit(RLIMIT_NOFILE, &limit) ? UINT32_MAX : limit.rlim_cur;
}

void
Intake_Init(struct intake *intake, uint64_t memory_mb, uint64_t descriptors)
{
    uint64_t memory = memory_mb ? memory_mb << 20 : Sysmem_Limit("");
    memset(intake, 0, sizeof(*intake));
    intake->max_bytes = memory / MEMORY_PART;
    descriptors = descriptors ? descriptors : system_descriptors();
    descriptors =
        descriptors > FILE_DESCRIPTORS ? descriptors - FILE_DESCRIPTORS : 0;
    uint64_t max = descriptors - descriptors / OWN_PART;
    uint64_t fit = memory / MEMORY_PART / CONNECTION_BYTES;
    fit = fit > MIN_CONNECTIONS ? fit : MIN_CONNECTIONS;
    intake->max_held = fit * CONNECTION_BYTES;
    max = max < fit ? max : fit;
    max = max > MIN_CONNECTIONS ? max : MIN_CONNECTIONS;
    intake->max_items = max < UINT32_MAX ? (uint32_t)max : UINT32_MAX;
}

void
Intake_InitPart(struct intake *intake, const struct intake *whole,
                uint32_t connection_part, uint32_t memory_part)
{
    uint32_t max = whole->max_items / connection_part;
    memset(intake, 0, sizeof(*intake));
    intake->max_items = max > MIN_CONNECTIONS ? max : MIN_CONNECTIONS;
    intake->max_held = (uint64_t)intake->max_items * CONNECTION_BYTES;
    intake->max_bytes = whole->max_bytes / memory_part;
}

/* Evicts the connection that has waited longest for its client, but not
 * `except`. Returns -1 if none waits. */
static int
evict_oldest(struct intake *intake, const struct intake_item *except)
{
    struct intake_item *oldest = intake->waiting;
    if (oldest && oldest == except) {
        oldest = oldest->next;
    }
    if (!oldest) {
        return -1;
    }
    Intake_SetWaiting(intake, oldest, 0);
    oldest->evict(oldest, INTAKE_CONNECTIONS);
    return 0;
}

static int
hold(struct intake *intake, struct intake_item *item, uint64_t bytes)
{
    while (intake->held - item->held + bytes > intake->max_held) {
        if (evict_oldest(intake, item)) {
            return -1;
        }
    }
    intake->held = intake->held - item->held + bytes;
    item->held = bytes;
    return 0;
}

int
Intake_Add(struct intake *intake, struct intake_item *item)
{
    if (intake->items >= intake->max_items && evict_oldest(intake, item)) {
        return -1;
    }
    if (hold(intake, item, CONNECTION_BYTES)) {
        return -1;
    }
    intake->items++;
    Intake_SetWaiting(intake, item, 1);
    return 0;
}

int
Intake_SetHeld(struct intake *intake, struct intake_item *item, uint64_t bytes)
{
    return hold(intake, item, CONNECTION_BYTES + bytes);
}

void
Intake_Remove(struct intake *intake, struct intake_item *item)
{
    Intake_SetWaiting(intake, item, 0);
    Intake_Release(intake, item);
    intake->held -= item->held;
    item->held = 0;
    intake->items--;
}

void
Intake_SetWaiting(struct intake *intake, struct intake_item *item,
                  int is_waiting)
{
    if (item->is_waiting == is_waiting) {
        return;
    }
    item->is_waiting = is_waiting;
    if (is_waiting) {
        DL_APPEND(intake->waiting, item);
    }
    else {
        DL_DELETE(intake->waiting, item);
    }
}

/* Of several of the same size the one that has waited longest. */
static struct intake_item *
find_largest(struct intake *intake)
{
    struct intake_item *largest = intake->waiting;
    struct intake_item *item;
    DL_FOREACH(intake->waiting, item)
    {
        largest = item->bytes > largest->bytes ? item : largest;
    }
    return largest;
}

int
Intake_Reserve(struct intake *intake, struct intake_item *item, uint64_t bytes)
{
    while (intake->bytes + bytes > intake->max_bytes) {
        struct intake_item *largest = find_largest(intake);
        uint64_t least = item->bytes + bytes + (intake->keeps_equal ? 1 : 0);
        if (!largest || largest == item || largest->bytes < least) {
            return -1;
        }
        largest->evict(largest, INTAKE_MEMORY);
    }
    intake->bytes += bytes;
    item->bytes += bytes;
    return 0;
}

void
Intake_Release(struct intake *intake, struct intake_item *item)
{
    intake->bytes -= item->bytes;
    item->bytes = 0;
}
