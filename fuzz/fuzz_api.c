/* Fuzzes the parsers of submission bodies. Bit 0 of the first byte selects a
 * request (1) or a job (0); the rest is the body. */
#include <stdlib.h>

#include "fuzz.h"
#include "shell/api.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct api_job job;
    struct err err = {0};
    if (size < 1) {
        return 0;
    }
    struct bytes body = {data + 1, (uint32_t)size - 1};
    int failed = data[0] & 1 ? Api_ReadRequest(&job, body, &err)
                             : Api_ReadJob(&job, body, &err);
    if (!failed) {
        if (job.sub.task_count < 1 || job.sub.task_count > WIRE_MAX_TASKS) {
            abort();
        }
        Api_FreeJob(&job);
    }
    return 0;
}
