/* Fuzzes the parser of addresses, "ip:port". A parsed port must be within
 * 0 to 65535. */
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "wire/msg.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char text[WIRE_ADDR_SIZE * 2] = "";
    char host[WIRE_ADDR_SIZE];
    int port;
    if (size < sizeof(text)) {
        memcpy(text, data, size);
        if (Addr_Split(text, host, sizeof(host), &port) == 0 &&
            (port < 0 || port > 65535)) {
            abort();
        }
    }
    return 0;
}
