#include "base/code.h"

#include <stddef.h>

struct code_row {
    enum code code;
    const char *name;
    int status;
    enum code_run run;
    const char *text;
};

static const struct code_row rows[] = {
#define X(name, number, status, run, text)                                    \
    {CODE_##name, #name, status, run, text},
    CODE_TABLE(X)
#undef X
};

static const struct code_row *
find_row(unsigned number)
{
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        if ((unsigned)rows[i].code == number) {
            return &rows[i];
        }
    }
    return NULL;
}

const char *
Code_Name(enum code code)
{
    const struct code_row *row = find_row(code);
    return row ? row->name : "UNKNOWN_CODE";
}

const char *
Code_Text(enum code code)
{
    const struct code_row *row = find_row(code);
    return row ? row->text : "unknown code";
}

int
Code_HttpStatus(enum code code)
{
    const struct code_row *row = find_row(code);
    return row ? row->status : 500;
}

enum code_run
Code_Run(enum code code)
{
    const struct code_row *row = find_row(code);
    return row ? row->run : CODE_UNKNOWN;
}

const char *
Code_RunText(enum code_run run)
{
    switch (run) {
    case CODE_RAN:
        return "run";
    case CODE_NOT_RUN:
        return "not run";
    case CODE_PARTLY:
        return "partly run";
    case CODE_UNKNOWN:
        return "unknown";
    }
    return "unknown";
}

int
Code_IsKnown(unsigned number)
{
    return find_row(number) != NULL;
}
