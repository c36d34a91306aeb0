#include <string.h>

#include "wire/msg.h"

void
Labels_Add(struct labels *labels, const char *label)
{
    size_t size = label ? strlen(label) + 1 : 0;
    if (size > 1 && size <= WIRE_NAME_SIZE &&
        labels->count < WIRE_MAX_LABELS) {
        memcpy(labels->names[labels->count++], label, size);
    }
}

int
Labels_Has(const struct labels *labels, const char *label)
{
    if (label[0] == '\0') {
        return 1;
    }
    for (uint32_t i = 0; i < labels->count; i++) {
        if (strcmp(labels->names[i], label) == 0) {
            return 1;
        }
    }
    return 0;
}

int
Labels_HasAll(const struct labels *labels, const struct labels *required)
{
    for (uint32_t i = 0; i < required->count; i++) {
        if (!Labels_Has(labels, required->names[i])) {
            return 0;
        }
    }
    return 1;
}
