#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>

int
Err_Set(struct err *err, enum code code, const char *format, ...)
{
    if (!err || err->code != CODE_OK) {
        return -1;
    }
    err->code = code;
    va_list args;
    va_start(args, format);
    vsnprintf(err->text, sizeof(err->text), format, args);
    va_end(args);
    return -1;
}
