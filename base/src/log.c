#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LINE_SIZE 512

static const char *const level_names[] = {"error", "warn", "info", "debug"};
static enum log_level max_level = LOG_LEVEL_INFO;

void
Log_SetLevel(enum log_level level)
{
    max_level = level;
}

int
Log_ParseLevel(const char *word, enum log_level *level)
{
    for (int i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++) {
        if (strcmp(word, level_names[i]) == 0) {
            *level = (enum log_level)i;
            return 0;
        }
    }
    return -1;
}

void
Log_Write(enum log_level level, const char *part, const char *format, ...)
{
    if (level > max_level) {
        return;
    }
    char line[LINE_SIZE];
    va_list args;
    va_start(args, format);
    vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    struct tm utc;
    gmtime_r(&now.tv_sec, &utc);
    char stamp[32];
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
    fprintf(stderr, "%s.%03ldZ %-5s %s: %s\n", stamp, now.tv_nsec / 1000000,
            level_names[level], part, line);
}
