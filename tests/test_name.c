/* Names of any length in the size that messages have for them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "wire/name.h"

static void
a_name_that_fits_is_not_changed(void **state)
{
    char out[WIRE_NAME_SIZE];
    const char *longest = "0123456789012345678901234567890";
    (void)state;
    Name_Fit(out, "");
    assert_string_equal(out, "");
    Name_Fit(out, longest);
    assert_string_equal(out, longest);
}

/* Services, labels and data centres are compared by name. */
static void
long_names_stay_different(void **state)
{
    char first[WIRE_NAME_SIZE];
    char second[WIRE_NAME_SIZE];
    (void)state;
    Name_Fit(first, "01234567890123456789012345678901");
    Name_Fit(second, "01234567890123456789012345678902");
    assert_int_equal(strlen(first), WIRE_NAME_SIZE - 1);
    assert_memory_equal(first, "01234567890123~", 15);
    assert_string_not_equal(first, second);
    Name_Fit(second, "01234567890123456789012345678901");
    assert_string_equal(first, second);
    Name_Fit(second, first);
    assert_string_equal(first, second);
}

/* Names are written as JSON, which has to be UTF-8. */
static void
a_character_is_not_split(void **state)
{
    char out[WIRE_NAME_SIZE];
    (void)state;
    Name_Fit(out, "0123456789012\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
                  "\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9");
    assert_memory_equal(out, "0123456789012~", 14);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_name_that_fits_is_not_changed),
        cmocka_unit_test(long_names_stay_different),
        cmocka_unit_test(a_character_is_not_split),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
