/* The logger with a pipe as standard output. If its reader is slow, the pipe
 * fills up; lines must then be dropped and counted. */
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/log.h"

static int saved_stdout;
static int pipe_reader;

static int
redirect_output(void **state)
{
    int ends[2];
    (void)state;
    saved_stdout = dup(STDOUT_FILENO);
    if (pipe(ends) || dup2(ends[1], STDOUT_FILENO) < 0) {
        return -1;
    }
    close(ends[1]);
    pipe_reader = ends[0];
    return fcntl(pipe_reader, F_SETFL, O_NONBLOCK);
}

static int
restore_output(void **state)
{
    (void)state;
    close(pipe_reader);
    return dup2(saved_stdout, STDOUT_FILENO) < 0;
}

static size_t
read_output(char *text, size_t size)
{
    ssize_t count = read(pipe_reader, text, size - 1);
    text[count > 0 ? count : 0] = '\0';
    return count > 0 ? (size_t)count : 0;
}

static void
buffered_lines_are_written_by_flush(void **state)
{
    char text[4096];
    (void)state;
    Log_EnableBuffering();
    LOG_INFO("test", "One.");
    LOG_INFO("test", "Two.");
    assert_int_equal(read_output(text, sizeof(text)), 0);
    Log_Flush();
    read_output(text, sizeof(text));
    assert_non_null(strstr(text, "test: One.\n"));
    assert_non_null(strstr(text, "test: Two.\n"));
}

static void
error_is_written_at_once(void **state)
{
    char text[4096];
    (void)state;
    LOG_INFO("test", "Before.");
    LOG_ERROR("test", "Wrong.");
    read_output(text, sizeof(text));
    assert_non_null(strstr(text, "Before."));
    assert_non_null(strstr(text, "Wrong."));
}

static void
lines_dropped_on_full_pipe_are_reported(void **state)
{
    static char text[1 << 20];
    char line[512];
    (void)state;
    memset(line, 'x', sizeof(line));
    line[sizeof(line) - 1] = '\0';
    uint64_t before = Log_Dropped();
    for (int i = 0; i < 250; i++) {
        LOG_INFO("test", "%s", line);
    }
    Log_Flush();
    assert_true(Log_Dropped() > before);
    while (read_output(text, sizeof(text))) {
    }
    LOG_ERROR("test", "Last.");
    read_output(text, sizeof(text));
    assert_non_null(strstr(text, "Lines were dropped. count="));
    assert_non_null(strstr(text, "Last."));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(buffered_lines_are_written_by_flush,
                                        redirect_output, restore_output),
        cmocka_unit_test_setup_teardown(error_is_written_at_once,
                                        redirect_output, restore_output),
        cmocka_unit_test_setup_teardown(
            lines_dropped_on_full_pipe_are_reported, redirect_output,
            restore_output),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
