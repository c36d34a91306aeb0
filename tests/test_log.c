/* The logger on a pipe that takes what it can. */
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

static int saved;
static int reader;

static int
swap_output(void **state)
{
    int ends[2];
    (void)state;
    saved = dup(STDOUT_FILENO);
    if (pipe(ends) || dup2(ends[1], STDOUT_FILENO) < 0) {
        return -1;
    }
    close(ends[1]);
    reader = ends[0];
    return fcntl(reader, F_SETFL, O_NONBLOCK);
}

static int
restore_output(void **state)
{
    (void)state;
    close(reader);
    return dup2(saved, STDOUT_FILENO) < 0;
}

static size_t
read_output(char *text, size_t size)
{
    ssize_t count = read(reader, text, size - 1);
    text[count > 0 ? count : 0] = '\0';
    return count > 0 ? (size_t)count : 0;
}

static void
lines_wait_for_the_end_of_the_round(void **state)
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
an_error_does_not_wait(void **state)
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
a_full_pipe_costs_lines_that_are_reported(void **state)
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
        cmocka_unit_test_setup_teardown(lines_wait_for_the_end_of_the_round,
                                        swap_output, restore_output),
        cmocka_unit_test_setup_teardown(an_error_does_not_wait, swap_output,
                                        restore_output),
        cmocka_unit_test_setup_teardown(
            a_full_pipe_costs_lines_that_are_reported, swap_output,
            restore_output),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
