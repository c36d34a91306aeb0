/* Changes of the settings while the process runs: live settings are applied,
 * the others are reported as deferred to the next start. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "shell/settings.h"

static void
parse(struct settings *settings, const char *members)
{
    char text[1024];
    struct err err = {0};
    snprintf(text, sizeof(text),
             "{\"role\":\"entry\",\"node\":\"e-1\",\"region\":\"r\","
             "\"data_centre\":\"d\",\"listen_internal\":\"127.0.0.1:2\","
             "\"table_service\":\"127.0.0.1:3\","
             "\"cluster_key\":\"a passphrase for tests\",%s}",
             members);
    assert_int_equal(Set_Parse(settings, text, strlen(text), &err), 0);
}

static void
only_live_settings_are_applied(void **state)
{
    struct settings settings;
    struct settings updated;
    struct set_change change;
    (void)state;
    parse(&settings, "\"listen_http\":\"127.0.0.1:1\"");
    parse(&updated, "\"listen_http\":\"127.0.0.1:9\",\"log_level\":\"debug\","
                    "\"stop_limit_s\":7,\"job_capacity\":32");
    Set_ApplyLive(&settings, &updated, &change);
    assert_string_equal(change.applied, "log_level,stop_limit_s");
    assert_string_equal(change.deferred, "listen_http,job_capacity");
    assert_string_equal(settings.log_level, "debug");
    assert_int_equal(settings.stop_limit_s, 7);
    assert_string_equal(settings.listen_http, "127.0.0.1:1");
    assert_int_equal(settings.job_capacity, 100000);
}

static void
unchanged_settings_are_not_reported(void **state)
{
    struct settings settings;
    struct settings updated;
    struct set_change change;
    (void)state;
    parse(&settings, "\"listen_http\":\"127.0.0.1:1\"");
    parse(&updated, "\"listen_http\":\"127.0.0.1:1\",\"log_level\":\"info\"");
    Set_ApplyLive(&settings, &updated, &change);
    assert_string_equal(change.applied, "");
    assert_string_equal(change.deferred, "");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_live_settings_are_applied),
        cmocka_unit_test(unchanged_settings_are_not_reported),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
