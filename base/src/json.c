#include "base/json.h"

#include <string.h>

void
Js_Free(json_t **json)
{
    json_decref(*json);
}

int
Js_CopyText(char *out, size_t size, const json_t *root, const char *field)
{
    const json_t *text = json_object_get(root, field);
    if (!json_is_string(text) || json_string_length(text) >= size) {
        return -1;
    }
    memcpy(out, json_string_value(text), json_string_length(text) + 1);
    return 0;
}

int
Js_IsDeeper(const json_t *json, unsigned limit)
{
    size_t i;
    const char *key;
    json_t *value;
    if (!json_is_array(json) && !json_is_object(json)) {
        return 0;
    }
    if (limit == 0) {
        return 1;
    }
    json_array_foreach(json, i, value)
    {
        if (Js_IsDeeper(value, limit - 1)) {
            return 1;
        }
    }
    json_object_foreach((json_t *)json, key, value)
    {
        if (Js_IsDeeper(value, limit - 1)) {
            return 1;
        }
    }
    return 0;
}
