/* The configuration: changes, the value of a setting and its explanation, and
 * the JSON form. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shell/config_json.h"

#define NOW_S 1000

static struct config config;
static struct config copy;

static const struct cfg_change change_header = {"change-1", "erika", NOW_S};

static const struct cfg_data_centres data_centres = {
    .count = 3,
    .items = {{"great-lakes", "erie-shore"},
              {"great-lakes", "huron-bay"},
              {"portland", "buff-bay"}},
};

static int
set_up(void **state)
{
    (void)state;
    Cfg_Init(&config);
    return 0;
}

static enum code
apply_one(struct cfg_op op)
{
    struct err err = {0};
    Cfg_Apply(&config, &change_header, &op, 1, &data_centres, &err);
    return err.code;
}

static struct cfg_op
make_exception(enum cfg_scope scope, const char *name, const char *setting,
               int64_t value)
{
    struct cfg_op op = {.type = CFG_ADD_EXCEPTION,
                        .scope = scope,
                        .value = value,
                        .reason = "a reason"};
    snprintf(op.name, sizeof(op.name), "%s", name);
    snprintf(op.setting, sizeof(op.setting), "%s", setting);
    return op;
}

static struct cfg_op
make_out_of_service(enum cfg_scope scope, const char *name)
{
    struct cfg_op op = make_exception(scope, name, "", 0);
    op.type = CFG_TAKE_OUT_OF_SERVICE;
    return op;
}

static int64_t
resolve_value(const struct cfg_subject *subject, enum policy_id setting)
{
    struct policy policy;
    Cfg_Resolve(&config, subject, NOW_S, &policy);
    assert_int_equal(policy.value[setting],
                     Cfg_Explain(&config, subject, setting, NOW_S).value);
    return policy.value[setting];
}

static void
narrowest_scope_takes_precedence(void **state)
{
    (void)state;
    struct cfg_subject subject = {"great-lakes", "erie-shore", "r1",
                                  "finishing",   "inspectors", "agent-1"};
    static const struct {
        enum cfg_scope scope;
        const char *name;
    } scopes[] = {
        {CFG_REGION, "great-lakes"},
        {CFG_DATA_CENTRE, "erie-shore"},
        {CFG_RACK, "r1"},
        {CFG_SERVICE, "finishing"},
        {CFG_TEAM, "inspectors"},
        {CFG_WORKER, "agent-1"},
        {CFG_UPSTREAM, "agent-1"},
    };
    for (int i = 6; i >= 0; i--) {
        assert_int_equal(
            apply_one(make_exception(scopes[i].scope, scopes[i].name,
                                     "lease_ms", 1000 + i)),
            CODE_OK);
        assert_int_equal(resolve_value(&subject, POL_LEASE_MS), 1006);
    }
    while (config.exception_count) {
        struct cfg_explanation explanation =
            Cfg_Explain(&config, &subject, POL_LEASE_MS, NOW_S);
        struct cfg_op op = {.type = CFG_REMOVE_EXCEPTION,
                            .id = explanation.exception->id};
        assert_int_equal(explanation.value, 999 + config.exception_count);
        assert_int_equal(apply_one(op), CODE_OK);
    }
    assert_int_equal(resolve_value(&subject, POL_LEASE_MS), 60000);
}

static void
out_of_service_in_any_scope_takes_precedence(void **state)
{
    (void)state;
    struct cfg_subject subject = {
        .region = "great-lakes", .dc = "erie-shore", .node = "agent-1"};
    assert_int_equal(
        apply_one(make_out_of_service(CFG_DATA_CENTRE, "erie-shore")),
        CODE_OK);
    assert_int_equal(
        apply_one(make_exception(CFG_UPSTREAM, "agent-1", "in_service", 1)),
        CODE_OK);
    assert_int_equal(resolve_value(&subject, POL_IN_SERVICE), 0);
}

static void
expired_exception_has_no_effect(void **state)
{
    (void)state;
    struct cfg_subject subject = {.dc = "erie-shore"};
    struct cfg_op op =
        make_exception(CFG_DATA_CENTRE, "erie-shore", "lease_ms", 7000);
    op.expires_s = NOW_S + 10;
    assert_int_equal(apply_one(op), CODE_OK);
    assert_int_equal(Cfg_NextExpiry(&config, NOW_S), NOW_S + 10);
    assert_int_equal(
        Cfg_Explain(&config, &subject, POL_LEASE_MS, NOW_S + 9).value, 7000);
    assert_int_equal(
        Cfg_Explain(&config, &subject, POL_LEASE_MS, NOW_S + 10).value, 60000);
}

static void
invalid_changes_are_rejected(void **state)
{
    (void)state;
    struct cfg_op invalid[] = {
        make_exception(CFG_DATA_CENTRE, "nowhere", "lease_ms", 1000),
        make_exception(CFG_REGION, "nowhere", "lease_ms", 1000),
        make_exception(CFG_FLEET, "", "lease_ms", 1000),
        make_exception(CFG_SCOPE_COUNT, "x", "lease_ms", 1000),
        make_exception(CFG_SERVICE, "", "lease_ms", 1000),
        make_exception(CFG_SERVICE, "finishing", "no_such", 1000),
        make_exception(CFG_SERVICE, "finishing", "lease_ms", 99),
        make_exception(CFG_SERVICE, "finishing", "lease_ms", 3600001),
        make_exception(CFG_SERVICE, "finishing", "lease_ms", 1000),
        make_exception(CFG_SERVICE, "finishing", "lease_ms", 1000),
        {.type = CFG_SET_DEFAULT, .setting = "no_such", .value = 1},
        {.type = CFG_REMOVE_EXCEPTION, .id = 77},
        {.type = CFG_RETURN_TO_SERVICE,
         .scope = CFG_DATA_CENTRE,
         .name = "huron-bay"},
        {.type = CFG_SET_TEAM, .name = "t", .value = -1},
        {.type = CFG_SET_TEAM, .name = "t", .token_hash = "abc"},
        {.type = CFG_REMOVE_TEAM, .name = "t"},
    };
    snprintf(invalid[8].reason, sizeof(invalid[8].reason), " \t");
    invalid[9].expires_s = NOW_S;
    copy = config;
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        assert_int_equal(apply_one(invalid[i]), CODE_BAD_FIELD);
        assert_memory_equal(&config, &copy, sizeof(config));
    }
}

static void
change_is_atomic(void **state)
{
    (void)state;
    struct err err = {0};
    struct cfg_op ops[2] = {
        make_exception(CFG_SERVICE, "finishing", "lease_ms", 1000),
        make_exception(CFG_SERVICE, "finishing", "lease_ms", 1),
    };
    copy = config;
    assert_int_equal(
        Cfg_Apply(&config, &change_header, ops, 2, &data_centres, &err), -1);
    assert_memory_equal(&config, &copy, sizeof(config));
}

static void
last_data_centre_needs_force(void **state)
{
    (void)state;
    struct err err = {0};
    struct cfg_data_centres forced = data_centres;
    struct cfg_op removal = make_out_of_service(CFG_REGION, "portland");
    forced.force = 1;
    assert_int_equal(
        apply_one(make_out_of_service(CFG_DATA_CENTRE, "erie-shore")),
        CODE_OK);
    assert_int_equal(
        apply_one(make_out_of_service(CFG_DATA_CENTRE, "huron-bay")), CODE_OK);
    assert_int_equal(apply_one(removal), CODE_LAST_DATA_CENTRE);
    assert_int_equal(config.version, 2);
    assert_int_equal(
        Cfg_Apply(&config, &change_header, &removal, 1, &forced, &err), 0);
}

/* Processes exchange changes and configurations as JSON. One that loses a
 * field would give them different configurations of the same version. */
static void
json_round_trip_is_lossless(void **state)
{
    (void)state;
    struct err err = {0};
    struct cj_change change = {.header = change_header, .count = 3};
    struct cj_change parsed = {.count = 0};
    change.ops[0] = make_exception(CFG_RACK, "r1", "lease_ms", 1234);
    change.ops[0].expires_s = NOW_S + 5;
    change.ops[1] = (struct cfg_op){
        .type = CFG_SET_TEAM, .name = "inspectors", .value = 40};
    memset(change.ops[1].token_hash, 'a', CFG_HASH_SIZE - 1);
    change.ops[2] = (struct cfg_op){
        .type = CFG_SET_DEFAULT, .setting = "queue_limit", .value = 17};
    json_t *root = Cj_WriteChange(&change, 1);
    assert_int_equal(Cj_ReadChange(&parsed, root, &err), 0);
    json_decref(root);
    assert_memory_equal(&parsed, &change, sizeof(change));
    assert_int_equal(
        Cfg_Apply(&config, &change_header, change.ops, 3, &data_centres, &err),
        0);
    root = Cj_Write(&config, 1);
    assert_int_equal(Cj_Read(&copy, root, &err), 0);
    json_decref(root);
    assert_memory_equal(&config, &copy, sizeof(config));
}

static void
token_hashes_are_not_written(void **state)
{
    (void)state;
    struct cfg_op op = {.type = CFG_SET_TEAM, .name = "inspectors"};
    memset(op.token_hash, 'a', CFG_HASH_SIZE - 1);
    assert_int_equal(apply_one(op), CODE_OK);
    json_t *root = Cj_Write(&config, 0);
    char *text = json_dumps(root, 0);
    assert_null(strstr(text, op.token_hash));
    free(text);
    json_decref(root);
}

static void
corrupt_rows_are_rejected(void **state)
{
    (void)state;
    static const char *const texts[] = {
        "null",
        "[]",
        "{}",
        "{\"format\":1}",
        "{\"format\":2,\"version\":1,\"defaults\":{},\"exceptions\":[],"
        "\"teams\":[]}",
        "{\"format\":1,\"version\":0,\"defaults\":{},\"exceptions\":[],"
        "\"teams\":[]}",
        "{\"format\":1,\"version\":1,\"defaults\":{\"lease_ms\":1},"
        "\"exceptions\":[],\"teams\":[]}",
        "{\"format\":1,\"version\":1,\"defaults\":{\"what\":1},"
        "\"exceptions\":[],\"teams\":[]}",
        "{\"format\":1,\"version\":1,\"defaults\":{},\"exceptions\":[{}],"
        "\"teams\":[]}",
        "{\"format\":1,\"version\":1,\"defaults\":{},\"exceptions\":[],"
        "\"teams\":[{\"quota\":1}]}",
        "{\"format\":1,\"version\":\"1\",\"defaults\":{},\"exceptions\":[],"
        "\"teams\":[]}",
    };
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        struct err err = {0};
        json_t *root = json_loads(texts[i], JSON_DECODE_ANY, NULL);
        assert_int_equal(Cj_Read(&config, root, &err), -1);
        assert_int_equal(err.code, CODE_BAD_FIELD);
        json_decref(root);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(narrowest_scope_takes_precedence, set_up),
        cmocka_unit_test_setup(out_of_service_in_any_scope_takes_precedence,
                               set_up),
        cmocka_unit_test_setup(expired_exception_has_no_effect, set_up),
        cmocka_unit_test_setup(invalid_changes_are_rejected, set_up),
        cmocka_unit_test_setup(change_is_atomic, set_up),
        cmocka_unit_test_setup(last_data_centre_needs_force, set_up),
        cmocka_unit_test_setup(json_round_trip_is_lossless, set_up),
        cmocka_unit_test_setup(token_hashes_are_not_written, set_up),
        cmocka_unit_test_setup(corrupt_rows_are_rejected, set_up),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
