/* docs/RESULT-CODES.md must list exactly the codes of CODE_TABLE, with their
 * numbers, HTTP statuses and texts. A failure prints the missing row. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "base/code.h"

#define PAGE JP_SOURCE_DIR "/docs/RESULT-CODES.md"

static char page[65536];

static int
read_page(void **state)
{
    FILE *file = fopen(PAGE, "r");
    (void)state;
    if (!file) {
        return -1;
    }
    size_t size = fread(page, 1, sizeof(page) - 1, file);
    page[size] = '\0';
    fclose(file);
    return size ? 0 : -1;
}

static void
every_code_is_documented(void **state)
{
    char row[256];
    (void)state;
#define X(name, number, status, run, text)                                    \
    snprintf(row, sizeof(row), "| %d | %s | %d | %s | %s |\n", number, #name, \
             status, Code_RunText(run), text);                                \
    if (!strstr(page, row)) {                                                 \
        fail_msg("%s lacks the row: %s", PAGE, row);                          \
    }
    CODE_TABLE(X)
#undef X
}

static void
no_other_code_is_documented(void **state)
{
    int rows = 0;
    int codes = 0;
    (void)state;
    for (const char *at = page; (at = strstr(at, "\n| ")); at++) {
        rows++;
    }
#define X(name, number, status, run, text) codes++;
    CODE_TABLE(X)
#undef X
    /* The heading and the delimiter row of the Markdown table are counted
     * too. */
    assert_int_equal(rows, codes + 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_code_is_documented),
        cmocka_unit_test(no_other_code_is_documented),
    };
    return cmocka_run_group_tests(tests, read_page, NULL);
}
