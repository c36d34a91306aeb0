/* Tables, errors, counters and the rate limit of the log. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <unistd.h>
#include <fcntl.h>

#include <string.h>

#include "base/log.h"
#include "base/code.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/tab.h"

struct row {
    struct tab_row head;
    int value;
};

static void
handle_of_removed_row_is_invalid(void **state)
{
    (void)state;
    struct tab tab;
    assert_int_equal(Tab_Init(&tab, sizeof(struct row), 2), 0);
    struct row *first = Tab_Add(&tab);
    tab_handle handle = Tab_Handle(&tab, first);
    assert_ptr_equal(Tab_Get(&tab, handle), first);
    Tab_Remove(&tab, first);
    assert_null(Tab_Get(&tab, handle));
    struct row *reused = Tab_Add(&tab);
    assert_ptr_equal(reused, first);
    assert_null(Tab_Get(&tab, handle));
    Tab_Finish(&tab);
}

static void
add_to_full_table_fails(void **state)
{
    (void)state;
    struct tab tab;
    assert_int_equal(Tab_Init(&tab, sizeof(struct row), 2), 0);
    assert_non_null(Tab_Add(&tab));
    assert_non_null(Tab_Add(&tab));
    assert_null(Tab_Add(&tab));
    assert_int_equal(tab.used, 2);
    Tab_Finish(&tab);
}

static void
first_error_is_kept(void **state)
{
    (void)state;
    struct err err = {0};
    assert_int_equal(Err_Set(&err, CODE_BAD_JSON, "line %d", 3), -1);
    Err_Set(&err, CODE_BAD_FIELD, "second");
    assert_int_equal(err.code, CODE_BAD_JSON);
    assert_string_equal(err.text, "line 3");
}

static void
counters_are_printed_by_name_and_code(void **state)
{
    (void)state;
    struct counters counters = {0};
    char text[16384];
    CTR_INC(&counters, takeovers);
    Ctr_CountCode(&counters, CODE_QUEUE_FULL);
    int used = Ctr_Print(&counters, text, sizeof(text));
    assert_in_range(used, 1, sizeof(text) - 1);
    assert_non_null(strstr(text, "jacinthpick_takeovers 1\n"));
    assert_non_null(strstr(text, "name=\"QUEUE_FULL\"} 1\n"));
}

static void
log_drops_lines_above_its_rate(void **state)
{
    int saved_stdout = dup(STDOUT_FILENO);
    int null_device = open("/dev/null", O_WRONLY);
    char text[65536];
    struct counters counters = {{0}, {0}};
    (void)state;
    assert_true(saved_stdout >= 0 && null_device >= 0);
    dup2(null_device, STDOUT_FILENO);
    for (int i = 0; i < 5000; i++) {
        LOG_INFO("test", "A line. number=%d", i);
    }
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    close(null_device);
    assert_true(Log_Dropped() > 1000);
    assert_true(Log_Dropped() < 5000);
    assert_true(Ctr_Print(&counters, text, sizeof(text)) > 0);
    assert_non_null(strstr(text, "jacinthpick_log_dropped "));
}

/* Connections add flags to handles; a row that is reused for months must not
 * set the same bits. */
static void
top_bits_of_handles_stay_free(void **state)
{
    struct tab tab;
    struct row {
        struct tab_row row;
    } * row;
    (void)state;
    assert_int_equal(Tab_Init(&tab, sizeof(struct row), 1), 0);
    row = Tab_Add(&tab);
    row->row.generation = (1u << 28) - 1;
    Tab_Remove(&tab, row);
    row = Tab_Add(&tab);
    tab_handle handle = Tab_Handle(&tab, row);
    assert_true(handle != 0);
    assert_int_equal(handle >> 60, 0);
    assert_ptr_equal(Tab_Get(&tab, handle), row);
    Tab_Finish(&tab);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(handle_of_removed_row_is_invalid),
        cmocka_unit_test(add_to_full_table_fails),
        cmocka_unit_test(top_bits_of_handles_stay_free),
        cmocka_unit_test(first_error_is_kept),
        cmocka_unit_test(counters_are_printed_by_name_and_code),
        cmocka_unit_test(log_drops_lines_above_its_rate),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
