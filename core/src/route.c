#include "core/route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
Route_Init(struct route_table *table)
{
    memset(table, 0, sizeof(*table));
}

void
Route_Finish(struct route_table *table)
{
    free(table->items);
    free(table->texts);
    Route_Init(table);
}

const struct route *
Route_Find(const struct route_table *table, const char *host, const char *path)
{
    const struct route *best = NULL;
    size_t longest = 0;
    size_t host_size = strcspn(host, ":");
    for (uint32_t i = 0; i < table->count; i++) {
        const struct route *route = &table->items[i];
        size_t size = strlen(route->prefix);
        if (strlen(route->host) == host_size &&
            strncasecmp(route->host, host, host_size) == 0 &&
            strncmp(route->prefix, path, size) == 0 &&
            (!best || size > longest)) {
            best = route;
            longest = size;
        }
    }
    return best;
}
