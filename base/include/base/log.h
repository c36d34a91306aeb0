/** @file
 * Logger. A line holds the time, the level, the name of the component that
 * logs, one short sentence and key=value fields. The rate of lines is limited,
 * and a slow reader of standard output does not delay the process: lines that
 * exceed the rate or are not accepted at once are dropped and counted. */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>

/** Severity, most severe first. */
enum log_level {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARN,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
};

/** Log lines of `level` and of more severe levels only. The default is
 * LOG_LEVEL_INFO. */
void Log_SetLevel(enum log_level level);

/** Parse "error", "warn", "info" or "debug". Returns -1 on any other name. */
int Log_ParseLevel(const char *name, enum log_level *level);

/** Return the number of lines dropped since the process started. */
uint64_t Log_Dropped(void);

/** Log one line. `part` names the component that logs; `format` gives the
 * sentence and the fields, without a newline. Lines longer than about 600
 * bytes are truncated. */
void Log_Write(enum log_level level, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Buffer lines until Log_Flush() from now on, so that an event loop writes
 * all lines of one iteration with one system call. Lines of LOG_LEVEL_ERROR
 * are still written at once, with those buffered before them. */
void Log_EnableBuffering(void);

/** Write the buffered lines. Does not block: if standard output does not
 * accept them at once, they are dropped and counted. */
void Log_Flush(void);

#define LOG_ERROR(part, ...) Log_Write(LOG_LEVEL_ERROR, part, __VA_ARGS__)
#define LOG_WARN(part, ...) Log_Write(LOG_LEVEL_WARN, part, __VA_ARGS__)
#define LOG_INFO(part, ...) Log_Write(LOG_LEVEL_INFO, part, __VA_ARGS__)
#define LOG_DEBUG(part, ...) Log_Write(LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
