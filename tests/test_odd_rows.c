/* Rows of the table service and heartbeats that another writer left in a form
 * of its own. They name nothing to be used; the others hold. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "base/json.h"
#include "platform/store.h"
#include "platform/upstream.h"
#include "shell/registry.h"
#include "text.h"

#define MEMBER                                                                \
    "{\"node\":\"side-1\",\"address\":\"%s\",\"data_centre\":\"z\","          \
    "\"role\":\"agent\",\"incarnation\":\"00000000000000ab\","                \
    "\"note\":{\"service\":\"finishing\",\"cpu\":%s,\"memory_mb\":1024,"      \
    "\"gpu\":0,\"labels\":[\"a\"]}}"

/* Nested arrays, to be freed. */
static char *
nest(size_t depth)
{
    char *out = malloc(2 * depth + 1);
    memset(out, '[', depth);
    memset(out + depth, ']', depth);
    out[2 * depth] = '\0';
    return out;
}

static json_t *
make_row(const char *key, const char *value)
{
    char *base64 = malloc(2 * strlen(value) + 8);
    sodium_bin2base64(base64, 2 * strlen(value) + 8,
                      (const unsigned char *)value, strlen(value),
                      sodium_base64_VARIANT_ORIGINAL);
    json_t *row = json_pack("{s:s,s:s,s:i}", "key", key, "value", base64,
                            "versionNumber", 7);
    free(base64);
    return row;
}

/* Reads an answer of the table service with an odd row between two others, and
 * checks that an entry can pass what it read on to other entries. */
static void
read_and_relay(const char *odd)
{
    struct pf_rows rows;
    struct err err = {0};
    json_t *list = json_array();
    json_array_append_new(list, make_row("member/a", "{\"node\":\"a\"}"));
    json_array_append_new(list, make_row("member/odd", odd));
    json_array_append_new(list, make_row("member/b", "{\"node\":\"b\"}"));
    AUTO_JSON answer =
        json_pack("{s:i,s:o}", "versionNumber", 9, "rows", list);
    char *body = json_dumps(answer, 0);
    assert_int_equal(Pf_ReadRows(&rows, text(body), &err), 0);
    free(body);
    assert_int_equal(json_array_size(rows.list), 3);
    assert_true(json_is_object(
        json_object_get(json_array_get(rows.list, 0), "value")));
    assert_true(json_is_object(
        json_object_get(json_array_get(rows.list, 2), "value")));
    AUTO_JSON relayed = json_pack("{s:i,s:o}", "since", 0, "rows", rows.list);
    char *text = json_dumps(relayed, JSON_COMPACT);
    AUTO_JSON received = json_loads(text, 0, NULL);
    assert_non_null(received);
    free(text);
}

/* Entries that lag behind would get no rows at all from others. */
static void
an_odd_row_does_not_keep_other_rows_from_entries(void **state)
{
    static const size_t depths[] = {1, 100, 2040, 2046, 2047, 2048, 20000};
    static const char *const values[] = {
        "", "null", "7", "1e300", "1e400", "-1", "\"x\"", "{\"node\":"};
    (void)state;
    for (size_t i = 0; i < sizeof(depths) / sizeof(depths[0]); i++) {
        char *odd = nest(depths[i]);
        read_and_relay(odd);
        free(odd);
    }
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        read_and_relay(values[i]);
    }
    read_and_relay("99999999999999999999999999999999");
}

static int
read_member(struct ent_member *member, const char *address, const char *cpu)
{
    char body[512];
    snprintf(body, sizeof(body), MEMBER, address, cpu);
    AUTO_JSON value = json_loads(body, 0, NULL);
    return Reg_ReadMember(member, "member/side-1", value, 5);
}

/* The capacity of a service is the sum over its agents. */
static void
a_capacity_out_of_range_is_not_counted(void **state)
{
    static const char *const odd[] = {"-1",         "4294967296",
                                      "4294968296", "9223372036854775807",
                                      "1e300",      "4294967295"};
    struct ent_member member;
    (void)state;
    assert_int_equal(read_member(&member, "10.1.0.1:7720", "1000"), 0);
    assert_int_equal(member.capacity.cpu, 1000);
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        assert_int_equal(read_member(&member, "10.1.0.1:7720", odd[i]), 0);
        assert_int_equal(member.capacity.cpu, 0);
        assert_string_equal(member.service, "");
    }
}

static const char *const odd_addresses[] = {
    "",          "10.1.0.1",           "10.1.0.1:",   "10.1.0.1:0",
    "10.1.0.1:", "10.1.0.1:99999",     "10.1.0.1:-1", "10.1.0.1:80x",
    ":8080",     "10.1.0.1:4294967297"};

static void
a_member_at_no_address_is_no_member(void **state)
{
    struct ent_member member;
    (void)state;
    for (size_t i = 0; i < sizeof(odd_addresses) / sizeof(odd_addresses[0]);
         i++) {
        assert_int_equal(read_member(&member, odd_addresses[i], "1"), -1);
    }
}

/* The agent would use it in place of its upstream. A name would be looked up
 * while the agent waits. */
static void
a_heartbeat_without_an_address_names_no_upstream(void **state)
{
    struct pf_heartbeat heartbeat;
    struct err err = {0};
    char body[512];
    (void)state;
    for (size_t i = 0; i <= sizeof(odd_addresses) / sizeof(odd_addresses[0]);
         i++) {
        snprintf(body, sizeof(body),
                 "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
                 "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                 "\"coldRemainingMs\":0,\"sequence\":1,"
                 "\"capacity\":{\"cpu\":1,\"requestedMemoryMb\":1,"
                 "\"gpu\":0},\"labels\":[],\"born\":5}",
                 i ? odd_addresses[i - 1] : "upstream.example:8080");
        assert_int_equal(Pf_ReadHeartbeat(&heartbeat, text(body), &err), -1);
    }
}

/* Number of changes that make_odd() knows. */
#define ODD_CHANGES 4

/* Removes a field, or gives it a value of another type. */
static void
make_odd(json_t *object, const char *field, int change)
{
    const json_t *value = json_object_get(object, field);
    switch (change) {
    case 0:
        json_object_del(object, field);
        break;
    case 1:
        json_object_set_new(object, field, json_null());
        break;
    case 2:
        json_object_set_new(object, field,
                            json_is_string(value) ? json_integer(7)
                                                  : json_string("7"));
        break;
    default:
        json_object_set_new(object, field, json_pack("[n]"));
        break;
    }
}

/* Reads a valid heartbeat with one odd field, a member of the object `field`
 * if `member` is not NULL. */
static int
read_changed(const char *field, const char *member, int change)
{
    struct pf_heartbeat heartbeat;
    struct err err = {0};
    AUTO_JSON root = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:i,s:i,s:[s],s:{s:i,s:i,s:i}}",
        "service", "s", "address", "10.1.0.1:8080", "zone", "z", "version",
        "v1", "slots", 8, "state", "ready", "coldRemainingMs", 0, "clockMs", 5,
        "sequence", 4, "born", 5, "labels", "a", "capacity", "cpu", 1,
        "requestedMemoryMb", 1, "gpu", 0);
    char *body = json_dumps(root, 0);
    assert_int_equal(Pf_ReadHeartbeat(&heartbeat, text(body), &err), 0);
    free(body);
    make_odd(member ? json_object_get(root, field) : root,
             member ? member : field, change);
    body = json_dumps(root, 0);
    int status = Pf_ReadHeartbeat(&heartbeat, text(body), &err);
    free(body);
    return status;
}

/* Each would replace the agent's upstream, or take its place with what the
 * writer left out as 0 or as empty. */
static void
a_heartbeat_with_an_odd_field_names_no_upstream(void **state)
{
    static const char *const fields[] = {
        "service",  "address", "zone",  "version",  "slots", "coldRemainingMs",
        "sequence", "born",    "state", "capacity", "labels"};
    static const char *const amounts[] = {"cpu", "requestedMemoryMb", "gpu"};
    (void)state;
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        for (int change = 0; change < ODD_CHANGES; change++) {
            assert_int_equal(read_changed(fields[i], NULL, change), -1);
        }
    }
    for (size_t i = 0; i < sizeof(amounts) / sizeof(amounts[0]); i++) {
        for (int change = 0; change < ODD_CHANGES; change++) {
            assert_int_equal(read_changed("capacity", amounts[i], change), -1);
        }
    }
    assert_int_equal(read_changed("machine", NULL, 0), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(an_odd_row_does_not_keep_other_rows_from_entries),
        cmocka_unit_test(a_capacity_out_of_range_is_not_counted),
        cmocka_unit_test(a_member_at_no_address_is_no_member),
        cmocka_unit_test(a_heartbeat_without_an_address_names_no_upstream),
        cmocka_unit_test(a_heartbeat_with_an_odd_field_names_no_upstream),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
