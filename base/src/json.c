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
