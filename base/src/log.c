#include "base/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_SIZE 640
/* Token bucket: the sustained rate of lines and the burst allowed after a
 * pause. Half of the burst is reserved for errors and warnings. */
#define LINES_PER_S 300
#define LINES_BURST 600

static const char *const level_names[] = {"error", "warn", "info", "debug"};
static enum log_level max_level = LOG_LEVEL_INFO;
static double tokens = LINES_BURST;
static struct timespec last_refill;
static uint64_t dropped;
static uint64_t unreported; /* Dropped lines that no log line reports yet. */
/* Buffered lines. Linux writes up to 4,096 bytes (PIPE_BUF) to a pipe
 * atomically, so a flush is never written in part. */
static char buffer[4096];
static size_t buffer_size;
static uint64_t buffered_lines;
/* Dropped lines that a buffered line reports. They become unreported again if
 * that line is itself dropped. */
static uint64_t buffered_report;
static int is_buffering;

void
Log_SetLevel(enum log_level level)
{
    max_level = level;
}

int
Log_ParseLevel(const char *name, enum log_level *level)
{
    for (int i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++) {
        if (strcmp(name, level_names[i]) == 0) {
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
    double seconds = (double)(now.tv_sec - last_refill.tv_sec) +
                     (double)(now.tv_nsec - last_refill.tv_nsec) / 1e9;
    double reserved = level <= LOG_LEVEL_WARN ? 0 : LINES_BURST / 2.0;
    last_refill = now;
    tokens += seconds * LINES_PER_S;
    tokens = tokens > LINES_BURST ? LINES_BURST : tokens;
    if (tokens - 1 < reserved) {
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

/* A slow reader of standard output must not delay the process, so lines are
 * dropped instead of waiting for it. */
void
Log_Flush(void)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    if (buffer_size == 0) {
        return;
    }
    if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
        write(STDOUT_FILENO, buffer, buffer_size) != (ssize_t)buffer_size) {
        drop_lines(buffered_lines);
        unreported += buffered_report;
    }
    buffer_size = 0;
    buffered_lines = 0;
    buffered_report = 0;
}

static void
buffer_line(const char *line, size_t size)
{
    if (buffer_size + size > sizeof(buffer)) {
        Log_Flush();
    }
    memcpy(buffer + buffer_size, line, size);
    buffer_size += size;
    buffered_lines++;
}

void
Log_EnableBuffering(void)
{
    is_buffering = 1;
}

static size_t
write_prefix(char *line, size_t capacity, enum log_level level,
             const char *part)
{
    struct timespec now;
    struct tm utc;
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    size_t size = strftime(line, capacity, "%Y-%m-%dT%H:%M:%S", &utc);
    return size + (size_t)snprintf(line + size, capacity - size,
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
    size_t size = write_prefix(line, sizeof(line), LOG_LEVEL_WARN, "log");
    size += (size_t)snprintf(line + size, sizeof(line) - size,
                             "Lines were dropped. count=%llu\n",
                             (unsigned long long)unreported);
    buffer_line(line, size);
    buffered_report += unreported;
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
    size_t size = write_prefix(line, sizeof(line), level, part);
    va_list args;
    va_start(args, format);
    vsnprintf(line + size, sizeof(line) - size - 1, format, args);
    va_end(args);
    size = strlen(line);
    line[size++] = '\n';
    buffer_line(line, size);
    if (!is_buffering || level == LOG_LEVEL_ERROR) {
        Log_Flush();
    }
}
