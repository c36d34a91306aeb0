/* Names and values that the platform allows and that exceed the sizes used in
 * our own messages and tables.
 *
 * Guards against a configuration that is rejected, and nobody served after a
 * restart, because of one route, and against names that count as others. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/json.h"
#include "platform/ingress.h"
#include "platform/store.h"
#include "platform/upstream.h"
#include "shell/settings.h"
#include "shell/store.h"
#include "text.h"

/* The longest key of a row, in bytes. */
#define KEY_LENGTH 200

/* A name of `length` bytes that begins like all others and ends in `end`. */
static const char *
long_name(size_t length, char end)
{
    static char names[4][1024];
    static int next;
    char *name = names[next++ % 4];
    memset(name, 'n', length - 1);
    name[length - 1] = end;
    name[length] = '\0';
    return name;
}

static json_t *
make_route(const char *name, const char *prefix)
{
    return json_pack("{s:s,s:s,s:s,s:s,s:i}", "name", name, "host",
                     "h.example", "prefix", prefix, "service", "s",
                     "timeoutMs", 1500);
}

/* Applies a configuration with these routes. Returns the routes in force. */
static json_t *
convert(struct pf_operator *op, json_t *routes, int version)
{
    struct err err = {0};
    AUTO_JSON rows = json_pack("[{s:s,s:i,s:{s:o}}]", "key", "config",
                               "version", version, "value", "routes", routes);
    Pf_ApplyOperatorRows(op, rows, &err);
    AUTO_JSON own = Pf_WriteOwnRows(op);
    const json_t *value = json_object_get(json_array_get(own, 0), "value");
    return json_incref(json_object_get(value, "routes"));
}

static const char *
text_of(const json_t *routes, size_t index, const char *field)
{
    return json_string_value(
        json_object_get(json_array_get(routes, index), field));
}

static void
a_long_route_name_keeps_the_configuration(void **state)
{
    struct pf_operator op;
    json_t *list = json_array();
    (void)state;
    Pf_InitOperator(&op);
    json_array_append_new(list, make_route("r-1", "/a/"));
    json_array_append_new(list, make_route(long_name(46, 'x'), "/b/"));
    json_array_append_new(list, make_route(long_name(46, 'y'), "/c/"));
    AUTO_JSON routes = convert(&op, list, 7);
    assert_int_equal(json_array_size(routes), 3);
    assert_string_equal(text_of(routes, 0, "name"), "r-1");
    /* Names tell queues and their statistics apart. */
    assert_string_not_equal(text_of(routes, 1, "name"),
                            text_of(routes, 2, "name"));
    Pf_FinishOperator(&op);
}

static void
a_route_that_cannot_be_used_leaves_the_others(void **state)
{
    struct pf_operator op;
    json_t *list = json_array();
    (void)state;
    Pf_InitOperator(&op);
    json_array_append_new(list, make_route("r-1", "/a/"));
    json_array_append_new(list, json_integer(7));
    json_array_append_new(list,
                          json_pack("{s:s,s:i}", "host", "h", "prefix", 7));
    json_array_append_new(list, make_route("r-2", "/b/"));
    AUTO_JSON routes = convert(&op, list, 7);
    assert_int_equal(json_array_size(routes), 2);
    assert_string_equal(text_of(routes, 1, "name"), "r-2");
    assert_int_equal(op.version, 7);
    /* One without any that can be used is no configuration. */
    AUTO_JSON kept = convert(&op, json_pack("[i]", 7), 9);
    assert_int_equal(json_array_size(kept), 2);
    Pf_FinishOperator(&op);
}

static void
hosts_and_prefixes_are_kept_whole(void **state)
{
    struct pf_operator op;
    const char *prefix = long_name(1000, '/');
    const char *host = long_name(253, 'e');
    json_t *route = make_route("r", prefix);
    (void)state;
    json_object_set_new(route, "host", json_string(host));
    Pf_InitOperator(&op);
    AUTO_JSON routes = convert(&op, json_pack("[o]", route), 7);
    assert_string_equal(text_of(routes, 0, "prefix"), prefix);
    assert_string_equal(text_of(routes, 0, "host"), host);
    Pf_FinishOperator(&op);
}

static void
values_over_our_limits_count_as_the_limits(void **state)
{
    static const char *const fields[] = {"timeoutMs", "targetLatencyMs",
                                         "priority", "maxAttempts", "stretch"};
    (void)state;
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        struct pf_operator op;
        json_t *route = make_route("r", "/a/");
        json_object_set_new(route, fields[i], json_integer(5000000000));
        Pf_InitOperator(&op);
        AUTO_JSON routes = convert(&op, json_pack("[o]", route), 7);
        assert_int_equal(json_array_size(routes), 1);
        Pf_FinishOperator(&op);
    }
}

static int
read_heartbeat(struct pf_heartbeat *heartbeat, const char *service,
               const char *label)
{
    struct err err = {0};
    AUTO_JSON root = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:i,s:[s],s:{s:i,s:i,s:i}}",
        "service", service, "address", "10.1.0.1:8080", "zone", "z", "version",
        "v1", "slots", 8, "state", "ready", "coldRemainingMs", 0, "sequence",
        4, "born", 5, "labels", label, "capacity", "cpu", 1,
        "requestedMemoryMb", 1, "gpu", 0);
    char *body = json_dumps(root, 0);
    int status = Pf_ReadHeartbeat(heartbeat, text(body), &err);
    free(body);
    return status;
}

/* No upstream would be found for the tasks of such a route. */
static void
a_long_service_is_the_same_in_routes_and_heartbeats(void **state)
{
    struct pf_operator op;
    struct pf_heartbeat heartbeat;
    const char *service = long_name(120, 'x');
    json_t *route = make_route("r", "/a/");
    (void)state;
    json_object_set_new(route, "service", json_string(service));
    Pf_InitOperator(&op);
    AUTO_JSON routes = convert(&op, json_pack("[o]", route), 7);
    assert_int_equal(read_heartbeat(&heartbeat, service, "a"), 0);
    assert_string_equal(heartbeat.announcement.service,
                        text_of(routes, 0, "service"));
    assert_int_equal(read_heartbeat(&heartbeat, long_name(120, 'y'), "a"), 0);
    assert_string_not_equal(heartbeat.announcement.service,
                            text_of(routes, 0, "service"));
    Pf_FinishOperator(&op);
}

static void
a_long_label_is_the_same_in_jobs_and_heartbeats(void **state)
{
    struct pf_heartbeat heartbeat;
    struct pf_job job;
    struct err err = {0};
    const char *label = long_name(60, 'x');
    AUTO_JSON root = json_pack(
        "{s:[{s:i,s:s,s:s,s:I}]}", "steps", "count", 1, "requirements", label,
        "affinity", long_name(60, 'y'), "estimatedMs", (json_int_t)5000000000);
    char *body = json_dumps(root, 0);
    (void)state;
    assert_int_equal(Pf_ReadJob(&job, text(body), &err), 0);
    assert_int_equal(read_heartbeat(&heartbeat, "s", label), 0);
    assert_true(
        Labels_Has(&heartbeat.announcement.labels, job.steps[0].label));
    assert_false(Labels_Has(&heartbeat.announcement.labels,
                            job.steps[0].preferred_label));
    Pf_FreeJob(&job);
    free(body);
}

static void
a_data_centre_with_a_long_name_is_taken_out_of_service(void **state)
{
    static struct settings settings;
    struct pf_operator op;
    struct err err = {0};
    char file[1024];
    char key[KEY_LENGTH + 1];
    const char *zone = long_name(100, 'x');
    (void)state;
    snprintf(file, sizeof(file),
             "{\"role\":\"agent\",\"node\":\"%s\",\"region\":\"%s\","
             "\"data_centre\":\"%s\",\"listen_http\":\"127.0.0.1:1\","
             "\"listen_internal\":\"127.0.0.1:2\",\"table_service\":"
             "\"127.0.0.1:3\",\"cluster_key\":\"a passphrase for tests\"}",
             long_name(100, 'y'), long_name(100, 'z'), zone);
    assert_int_equal(Set_Parse(&settings, file, strlen(file), &err), 0);
    Pf_InitOperator(&op);
    snprintf(key, sizeof(key), "evacuate/%s", zone);
    AUTO_JSON rows =
        json_pack("[{s:s,s:i,s:{}}]", "key", key, "version", 3, "value");
    assert_int_equal(Pf_ApplyOperatorRows(&op, rows, &err), 1);
    assert_non_null(json_object_get(op.out_of_service, settings.data_centre));
    assert_int_equal(json_object_size(op.out_of_service), 1);
    Pf_FinishOperator(&op);
}

/* A configuration with an exception for no data centre is rejected. */
static void
an_evacuation_of_nothing_is_ignored(void **state)
{
    struct pf_operator op;
    struct err err = {0};
    (void)state;
    Pf_InitOperator(&op);
    AUTO_JSON rows = json_pack("[{s:s,s:i,s:{}}]", "key", "evacuate/",
                               "version", 3, "value");
    Pf_ApplyOperatorRows(&op, rows, &err);
    assert_int_equal(json_object_size(op.out_of_service), 0);
    Pf_FinishOperator(&op);
}

/* A table is read on from the last key of a page. From a shorter one the same
 * page would come again, for ever. */
static void
a_table_is_read_on_from_the_longest_key(void **state)
{
    char path[PF_STORE_PATH_SIZE];
    char key[KEY_LENGTH + 1];
    struct store_feed feed;
    (void)state;
    memset(key, '/', KEY_LENGTH);
    key[KEY_LENGTH] = '\0';
    assert_true(sizeof(feed.last_key) > KEY_LENGTH);
    Pf_TablePath(path, PF_TABLE_OWN, key);
    const char *encoded = strstr(path, "%2F");
    for (int i = 0; i < KEY_LENGTH; i++) {
        assert_memory_equal(encoded + (size_t)3 * i, "%2F", 3);
    }
    assert_string_equal(encoded + (size_t)3 * KEY_LENGTH, "%01");
    Pf_RowPath(path, key);
    assert_non_null(strstr(path, "%2F%01&limit=1"));
}

static void
a_key_that_cannot_be_used_leaves_the_other_rows(void **state)
{
    struct pf_rows rows;
    struct err err = {0};
    (void)state;
    assert_int_equal(
        Pf_ReadRows(&rows,
                    text("{\"rows\":[{\"key\":\"a\\u0000b\","
                         "\"versionNumber\":4,\"value\":\"e30=\"},"
                         "{\"key\":\"k\",\"versionNumber\":5,"
                         "\"value\":\"e30=\"}],\"versionNumber\":9}"),
                    &err),
        0);
    assert_int_equal(json_array_size(rows.list), 1);
    json_decref(rows.list);
}

static void
an_upstream_with_a_long_id_is_heard(void **state)
{
    char id[PF_UPSTREAM_ID_SIZE];
    char path[512];
    (void)state;
    snprintf(path, sizeof(path), "/jacinthpick/Executors.Heartbeat/%s",
             long_name(200, 'x'));
    assert_int_equal(Pf_ReadUpstreamPath(path, id, sizeof(id)), PF_HEARTBEAT);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_long_route_name_keeps_the_configuration),
        cmocka_unit_test(a_route_that_cannot_be_used_leaves_the_others),
        cmocka_unit_test(hosts_and_prefixes_are_kept_whole),
        cmocka_unit_test(values_over_our_limits_count_as_the_limits),
        cmocka_unit_test(a_long_service_is_the_same_in_routes_and_heartbeats),
        cmocka_unit_test(a_long_label_is_the_same_in_jobs_and_heartbeats),
        cmocka_unit_test(
            a_data_centre_with_a_long_name_is_taken_out_of_service),
        cmocka_unit_test(an_evacuation_of_nothing_is_ignored),
        cmocka_unit_test(a_table_is_read_on_from_the_longest_key),
        cmocka_unit_test(a_key_that_cannot_be_used_leaves_the_other_rows),
        cmocka_unit_test(an_upstream_with_a_long_id_is_heard),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
