/* docs/RESULT-CODES.md lists each result code as the code has it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "base/code.h"

#define DOC JP_SOURCE_DIR "/docs/RESULT-CODES.md"

static char doc[65536];

static int
read_doc(void **state)
{
    FILE *file = fopen(DOC, "r");
    (void)state;
    if (!file) {
        return -1;
    }
    size_t size = fread(doc, 1, sizeof(doc) - 1, file);
    doc[size] = '\0';
    fclose(file);
    return size ? 0 : -1;
}

static void
each_code_has_its_row(void **state)
{
    char row[256];
    (void)state;
#define X(name, number, status, run, text)                                    \
    snprintf(row, sizeof(row), "| %d | %s | %d | %s | %s |\n", number, #name, \
             status, Code_RunText(run), text);                                \
    if (!strstr(doc, row)) {                                                  \
        fail_msg("not in the page: %s", row);                                 \
    }
    CODE_TABLE(X)
#undef X
}

static void
the_page_has_no_other_rows(void **state)
{
    int rows = 0;
    int codes = 0;
    (void)state;
    for (const char *at = doc; (at = strstr(at, "\n| ")); at++) {
        rows++;
    }
#define X(name, number, status, run, text) codes++;
    CODE_TABLE(X)
#undef X
    /* Two rows are the table's head. */
    assert_int_equal(rows, codes + 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_code_has_its_row),
        cmocka_unit_test(the_page_has_no_other_rows),
    };
    return cmocka_run_group_tests(tests, read_doc, NULL);
}
