#include "adapter.h"

#include <sodium.h>
#include <string.h>
#include <time.h>

/* Number of random low bits of an incarnation. The bits above them hold the
 * milliseconds since 1970. */
#define RANDOM_BITS 20

int
Adapter_IsOn(const struct settings *settings)
{
    return strcmp(settings->adapter, "platform") == 0;
}

enum store_protocol
Adapter_StoreProtocol(const struct settings *settings)
{
    return Adapter_IsOn(settings) ? STORE_PLATFORM : STORE_NATIVE;
}

void
Adapter_Timing(const struct settings *settings, struct timing *timing)
{
    Timing_Init(timing);
    if (settings->resubmit_ms) {
        Timing_Derive(timing, (uint64_t)settings->resubmit_ms * US_PER_MS,
                      (uint64_t)settings->upstream_lease_ms * US_PER_MS);
    }
}

uint64_t
Adapter_NewIncarnation(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    uint64_t ms =
        (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
    return ms << RANDOM_BITS | randombytes_uniform(1u << RANDOM_BITS);
}
