/* Reads the routes from their row in the table service. */
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "base/log.h"
#include "control.h"

/* Returns a field, or 0 if it is missing or not within 1 to UINT32_MAX. */
static uint32_t
read_u32(const json_t *root, const char *field)
{
    json_int_t number = json_integer_value(json_object_get(root, field));
    return number > 0 && number <= UINT32_MAX ? (uint32_t)number : 0;
}

/* Copies a text to `*end` and moves `*end` behind it. */
static const char *
store_text(char **end, const char *text)
{
    char *copy = *end;
    *end = stpcpy(copy, text) + 1;
    return copy;
}

/* Returns the bytes that the host and the prefix of a route take, 0 if it has
 * none. */
static size_t
texts_size(const json_t *root)
{
    const char *host = json_string_value(json_object_get(root, "host"));
    const char *prefix = json_string_value(json_object_get(root, "prefix"));
    return host && prefix ? strlen(host) + strlen(prefix) + 2 : 0;
}

/* Reads a route whose texts_size() is not 0. */
static int
read_route(struct route *route, char **texts, const json_t *root)
{
    if (Js_CopyText(route->name, sizeof(route->name), root, "name") ||
        Js_CopyText(route->service, sizeof(route->service), root, "service")) {
        return -1;
    }
    route->host =
        store_text(texts, json_string_value(json_object_get(root, "host")));
    route->prefix =
        store_text(texts, json_string_value(json_object_get(root, "prefix")));
    route->timeout_ms = read_u32(root, "timeout_ms");
    route->target_ms = read_u32(root, "target_ms");
    route->stretch_percent = read_u32(root, "stretch_percent");
    route->max_attempts = read_u32(root, "max_attempts");
    route->priority = read_u32(root, "priority");
    route->needs_advice = json_is_true(json_object_get(root, "needs_advice"));
    return 0;
}

int
Routes_Read(struct route_table *table, const json_t *root, struct err *err)
{
    size_t i;
    const json_t *item;
    const json_t *list = json_object_get(root, "routes");
    size_t count = json_array_size(list);
    size_t size = 0;
    Route_Init(table);
    if (!json_is_array(list) || count > ROUTE_MAX) {
        return Err_Set(err, CODE_BAD_FIELD,
                       "routes must be an array of at most %d items",
                       ROUTE_MAX);
    }
    json_array_foreach(list, i, item)
    {
        size += texts_size(item);
    }
    table->items = calloc(count + 1, sizeof(*table->items));
    table->texts = malloc(size + 1);
    if (!table->items || !table->texts) {
        Route_Finish(table);
        return Err_Set(err, CODE_NO_MEMORY, "no memory for %zu routes", count);
    }
    char *end = table->texts;
    json_array_foreach(list, i, item)
    {
        struct route *route = &table->items[table->count];
        if (texts_size(item) && read_route(route, &end, item) == 0) {
            table->count++;
            continue;
        }
        LOG_WARN("config",
                 "Route is left out: its name, host, prefix or service is "
                 "missing or too long. index=%zu",
                 i);
    }
    table->version =
        (uint64_t)json_integer_value(json_object_get(root, "version"));
    table->max_body = read_u32(root, "max_body");
    return 0;
}
