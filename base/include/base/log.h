/** @file
 * Logger: one short sentence a line, with a fixed prefix for each part, then
 * fields as key=value. Lines beyond a bounded rate, and those that standard
 * output does not take at once, are dropped and counted. */
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

/** Print lines up to and with `level`. The default is info. */
void Log_SetLevel(enum log_level level);

/** Parse "error", "warn", "info" or "debug". Returns -1 on another word. */
int Log_ParseLevel(const char *word, enum log_level *level);

/** Lines dropped so far. */
uint64_t Log_Dropped(void);

/** Write one line to standard output: time, level, part, sentence. */
void Log_Write(enum log_level level, const char *part, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** From now on lines wait for Log_Flush(), which a loop calls once a round:
 * one write for all lines of the round. Errors do not wait. */
void Log_EnableBuffering(void);

/** Write what waits. */
void Log_Flush(void);

#define LOG_ERROR(part, ...) Log_Write(LOG_LEVEL_ERROR, part, __VA_ARGS__)
#define LOG_WARN(part, ...) Log_Write(LOG_LEVEL_WARN, part, __VA_ARGS__)
#define LOG_INFO(part, ...) Log_Write(LOG_LEVEL_INFO, part, __VA_ARGS__)
#define LOG_DEBUG(part, ...) Log_Write(LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
