/* Fuzzes the reader of HTTP responses. A response that is read byte by byte
 * must give the same as one that is read at once. */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "shell/http_reply.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct hr_reader whole;
    struct hr_reader parts;
    size_t used = 0;
    Hr_Init(&whole);
    Hr_Init(&parts);
    while (used < size && Hr_Read(&parts, data + used, 1) == 1) {
        used++;
    }
    if (Hr_Read(&whole, data, size) > size || whole.state != parts.state ||
        Hr_OnClose(&whole) != Hr_OnClose(&parts) ||
        whole.status != parts.status || whole.body_size != parts.body_size ||
        (whole.body_size &&
         memcmp(whole.body, parts.body, whole.body_size) != 0)) {
        abort();
    }
    Hr_Finish(&whole);
    Hr_Finish(&parts);
    return 0;
}
