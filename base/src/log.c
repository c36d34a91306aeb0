#include "base/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_SIZE 640
/* Lines a second that are written on average, and at once after a pause.
 * Errors and warnings have half of the second to themselves. */
#define LINES_PER_S 300
#define LINES_BURST 600

static const char *const level_names[] = {"error", "warn", "info", "debug"};
static enum log_level max_level = LOG_LEVEL_INFO;
static double tokens = LINES_BURST;
static struct timespec filled;
static uint64_t dropped;
static uint64_t unreported;
/* Lines that wait for Log_Flush(). A pipe takes up to 4,096 bytes whole. */
static char held[4096];
static size_t held_size;
static uint64_t held_lines;
static uint64_t held_report; /* Dropped lines that a held line tells of. */
static int is_holding;

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

uint64_t
Log_Dropped(void)
{
    return dropped;
}

static int
take_token(enum log_level level)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    double seconds = (double)(now.tv_sec - filled.tv_sec) +
                     (double)(now.tv_nsec - filled.tv_nsec) / 1e9;
    double least = level <= LOG_LEVEL_WARN ? 0 : LINES_BURST / 2.0;
    filled = now;
    tokens += seconds * LINES_PER_S;
    tokens = tokens > LINES_BURST ? LINES_BURST : tokens;
    if (tokens - 1 < least) {
        return -1;
    }
    tokens -= 1;
    return 0;
}

static void
drop_lines(uint64_t count)
{
    dropped += count;
    unreported += count;
}

/* A reader that is slow costs lines, never time. */
void
Log_Flush(void)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    if (held_size == 0) {
        return;
    }
    if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
        write(STDOUT_FILENO, held, held_size) != (ssize_t)held_size) {
        drop_lines(held_lines);
        unreported += held_report;
    }
    held_size = 0;
    held_lines = 0;
    held_report = 0;
}

static void
hold_line(const char *line, size_t size)
{
    if (held_size + size > sizeof(held)) {
        Log_Flush();
    }
    memcpy(held + held_size, line, size);
    held_size += size;
    held_lines++;
}

void
Log_EnableBuffering(void)
{
    is_holding = 1;
}

static size_t
write_head(char *line, size_t room, enum log_level level, const char *part)
{
    struct timespec now;
    struct tm utc;
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    size_t size = strftime(line, room, "%Y-%m-%dT%H:%M:%S", &utc);
    return size + (size_t)snprintf(line + size, room - size,
                                   ".%03ldZ %-5s %s: ", now.tv_nsec / 1000000,
                                   level_names[level], part);
}

static void
report_dropped(void)
{
    char line[LINE_SIZE];
    if (unreported == 0) {
        return;
    }
    size_t size = write_head(line, sizeof(line), LOG_LEVEL_WARN, "log");
    size += (size_t)snprintf(line + size, sizeof(line) - size,
                             "Lines were dropped. count=%llu\n",
                             (unsigned long long)unreported);
    hold_line(line, size);
    held_report += unreported;
    unreported = 0;
}

void
Log_Write(enum log_level level, const char *part, const char *format, ...)
{
    char line[LINE_SIZE];
    if (level > max_level) {
        return;
    }
    if (take_token(level)) {
        drop_lines(1);
        return;
    }
    report_dropped();
    size_t size = write_head(line, sizeof(line), level, part);
    va_list args;
    va_start(args, format);
    vsnprintf(line + size, sizeof(line) - size - 1, format, args);
    va_end(args);
    size = strlen(line);
    line[size++] = '\n';
    hold_line(line, size);
    if (!is_holding || level == LOG_LEVEL_ERROR) {
        Log_Flush();
    }
}
