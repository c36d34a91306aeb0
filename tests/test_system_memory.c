/* The memory that the operating system allows a process.
 *
 * Guards against budgets that follow the memory of the whole machine, although
 * a control group or a limit of the process allows far less. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#include "shell/intake.h"
#include "shell/system_memory.h"

#define MIB (1ull << 20)
#define PATH_SIZE 512

static char root[PATH_SIZE / 2];

/* Writes a file below `root`, with its directories. */
static void
write_file(const char *name, const char *text)
{
    char path[PATH_SIZE];
    snprintf(path, sizeof(path), "%s%s", root, name);
    for (char *p = path + strlen(root) + 1; (p = strchr(p, '/')); p++) {
        *p = '\0';
        mkdir(path, 0700);
        *p = '/';
    }
    FILE *file = fopen(path, "we");
    assert_non_null(file);
    assert_true(fputs(text, file) >= 0);
    assert_int_equal(fclose(file), 0);
}

static int
set_up(void **state)
{
    (void)state;
    snprintf(root, sizeof(root), JP_BUILD_DIR "/test-memory-XXXXXX");
    return mkdtemp(root) ? 0 : -1;
}

static int
tear_down(void **state)
{
    char command[PATH_SIZE];
    (void)state;
    snprintf(command, sizeof(command), "rm -r '%s'", root);
    return system(command);
}

static void
budgets_follow_the_limits_of_the_process(void **state)
{
    static const int resources[] = {RLIMIT_AS, RLIMIT_DATA};
    (void)state;
    for (size_t i = 0; i < 2; i++) {
        struct intake intake;
        struct rlimit before;
        assert_int_equal(getrlimit(resources[i], &before), 0);
        struct rlimit limit = {512 * MIB, before.rlim_max};
        assert_int_equal(setrlimit(resources[i], &limit), 0);
        Intake_Init(&intake, 0, 0);
        assert_int_equal(setrlimit(resources[i], &before), 0);
        assert_true(intake.max_bytes <= 128 * MIB);
    }
}

static void
the_least_limit_of_nested_groups_counts(void **state)
{
    (void)state;
    write_file("/proc/self/cgroup", "0::/a.slice/b.service\n");
    write_file("/sys/fs/cgroup/a.slice/b.service/memory.max", "max\n");
    assert_true(Sysmem_Limit(root) > 100 * MIB);
    write_file("/sys/fs/cgroup/a.slice/memory.max", "104857600\n");
    assert_true(Sysmem_Limit(root) == 100 * MIB);
    write_file("/sys/fs/cgroup/a.slice/b.service/memory.max", "67108864\n");
    assert_true(Sysmem_Limit(root) == 64 * MIB);
    write_file("/sys/fs/cgroup/memory.max", "33554432\n");
    assert_true(Sysmem_Limit(root) == 32 * MIB);
}

static void
groups_of_version_1_and_of_a_namespace_count(void **state)
{
    (void)state;
    write_file("/proc/self/cgroup",
               "9:name=systemd:/x\n8:cpu,memory:/c\n7:memoryless:/d\n0::/\n");
    write_file("/sys/fs/cgroup/memory/c/memory.limit_in_bytes", "67108864\n");
    write_file("/sys/fs/cgroup/memory/d/memory.limit_in_bytes", "1\n");
    assert_true(Sysmem_Limit(root) == 64 * MIB);
    write_file("/sys/fs/cgroup/memory.max", "33554432\n");
    assert_true(Sysmem_Limit(root) == 32 * MIB);
}

static void
files_that_are_missing_or_odd_are_no_limit(void **state)
{
    (void)state;
    uint64_t machine = Sysmem_Limit(root);
    assert_true(machine > 100 * MIB);
    write_file("/proc/self/cgroup", "0\n::\n0:\n\n0::a\n0::/a//\n");
    write_file("/sys/fs/cgroup/a/memory.max", "");
    assert_true(Sysmem_Limit(root) == machine);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(budgets_follow_the_limits_of_the_process),
        TEST(the_least_limit_of_nested_groups_counts),
        TEST(groups_of_version_1_and_of_a_namespace_count),
        TEST(files_that_are_missing_or_odd_are_no_limit),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
