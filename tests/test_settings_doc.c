/* docs/CONFIGURATION.md must list every setting with its range, default and
 * help text. A failure prints the missing line. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/policy.h"
#include "shell/settings.h"

static char *
read_page(void)
{
    size_t size = 1u << 20;
    char *text = calloc(1, size);
    FILE *file = fopen(JP_SOURCE_DIR "/docs/CONFIGURATION.md", "r");
    assert_non_null(text);
    assert_non_null(file);
    assert_true(fread(text, 1, size - 1, file) > 0);
    fclose(file);
    return text;
}

static void
check_line(const char *page, const char *line)
{
    if (!strstr(page, line)) {
        fail_msg("docs/CONFIGURATION.md lacks the line: %s", line);
    }
}

static void
page_lists_all_policy_settings(void **state)
{
    (void)state;
    char *page = read_page();
    for (int id = 0; id < POL_COUNT; id++) {
        char line[512];
        const struct policy_spec *spec = Pol_Spec(id);
        snprintf(line, sizeof(line),
                 "| `%s` | %s | %lld to %lld | %lld | %s |", spec->name,
                 spec->unit, (long long)spec->min, (long long)spec->max,
                 (long long)spec->default_value, spec->help);
        check_line(page, line);
    }
    free(page);
}

static void
page_lists_all_process_settings(void **state)
{
    (void)state;
    char *page = read_page();
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    assert_non_null(out);
    Set_Describe(out);
    fclose(out);
    char *next_row = text;
    char *row;
    while ((row = strsep(&next_row, "\n")) && *row) {
        char line[512];
        const char *name = strsep(&row, "\t");
        const char *allowed = strsep(&row, "\t");
        const char *default_value = strsep(&row, "\t");
        const char *help = strsep(&row, "\t");
        snprintf(line, sizeof(line), "| `%s` | `%s` | %s | %s | %s |", name,
                 allowed, default_value, help, row);
        check_line(page, line);
    }
    free(text);
    free(page);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(page_lists_all_policy_settings),
        cmocka_unit_test(page_lists_all_process_settings),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
