#include "core/policy.h"

#include <string.h>

static const struct policy_spec specs[] = {
#define X(NAME, name, unit, min, max, default_value, help)                    \
    {name, unit, min, max, default_value, help},
    POLICY_TABLE(X)
#undef X
};

const struct policy_spec *
Pol_Spec(enum policy_id id)
{
    return &specs[id];
}

enum policy_id
Pol_Find(const char *name)
{
    int id = 0;
    while (id < POL_COUNT && strcmp(specs[id].name, name) != 0) {
        id++;
    }
    return (enum policy_id)id;
}

void
Pol_Init(struct policy *policy)
{
    for (int id = 0; id < POL_COUNT; id++) {
        policy->value[id] = specs[id].default_value;
    }
}
