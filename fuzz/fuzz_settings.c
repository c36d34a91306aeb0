/* Fuzzes the parser of settings files. */
#include "fuzz.h"
#include "shell/settings.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct settings settings;
    struct err err = {0};
    Set_Parse(&settings, (const char *)data, size, &err);
    return 0;
}
