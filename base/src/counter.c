#include "base/counter.h"

#include <stdio.h>

#include "base/code.h"
#include "base/log.h"

static const char *const names[] = {
#define X(name, description) #name,
    COUNTER_TABLE(X)
#undef X
};

static const enum code codes[] = {
#define X(name, number, status, run, text) CODE_##name,
    CODE_TABLE(X)
#undef X
};

#define CODE_ROWS (sizeof(codes) / sizeof(codes[0]))
_Static_assert(CODE_ROWS <= COUNTER_CODE_MAX, "raise COUNTER_CODE_MAX");

void
Ctr_CountCode(struct counters *counters, unsigned code)
{
    for (unsigned i = 0; i < CODE_ROWS; i++) {
        if ((unsigned)codes[i] == code) {
            counters->code[i]++;
            return;
        }
    }
}

static int
print_line(char *out, int size, int used, const char *name, uint64_t value)
{
    int available = used < size ? size - used : 0;
    return snprintf(available ? out + used : NULL, (size_t)available,
                    "jacinthpick_%s %llu\n", name, (unsigned long long)value);
}

int
Ctr_Print(const struct counters *counters, char *out, int size)
{
    int used = 0;
    for (int i = 0; i < CTR_COUNT; i++) {
        used += print_line(out, size, used, names[i], counters->value[i]);
    }
    used += print_line(out, size, used, "log_dropped", Log_Dropped());
    for (unsigned i = 0; i < CODE_ROWS; i++) {
        char name[64];
        snprintf(name, sizeof(name), "code{code=\"%d\",name=\"%s\"}",
                 (int)codes[i], Code_Name(codes[i]));
        used += print_line(out, size, used, name, counters->code[i]);
    }
    return used;
}
