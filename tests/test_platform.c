/* Messages of upstreams and of the table service in the format of the users'
 * platform, valid and invalid ones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform/ingress.h"
#include "platform/store.h"
#include "platform/upstream.h"
#include "text.h"

#define HEARTBEAT                                                             \
    "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\","               \
    "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","         \
    "\"coldRemainingMs\":0,\"capacity\":{\"cpu\":%s,"                         \
    "\"requestedMemoryMb\":0,\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],"         \
    "\"clockMs\":482113,\"sequence\":4,\"born\":1776540983535}"

static int
read_heartbeat(struct pf_heartbeat *heartbeat, const char *state_name,
               const char *cpu)
{
    char body[512];
    struct err err = {0};
    memset(heartbeat, 0, sizeof(*heartbeat));
    snprintf(body, sizeof(body), HEARTBEAT, state_name, cpu);
    return Pf_ReadHeartbeat(heartbeat, text(body), &err);
}

static void
valid_heartbeat_is_parsed(void **state)
{
    struct pf_heartbeat heartbeat;
    (void)state;
    assert_int_equal(read_heartbeat(&heartbeat, "ready", "16000"), 0);
    assert_string_equal(heartbeat.announcement.service, "huvo11a");
    assert_string_equal(heartbeat.address, "10.128.0.9:8080");
    assert_int_equal(heartbeat.announcement.capacity.cpu, 16000);
    assert_int_equal(heartbeat.announcement.leaving, 0);
    assert_int_equal(heartbeat.announcement.labels.count, 2);
    assert_true(Labels_Has(&heartbeat.announcement.labels, "r1-3"));
    assert_false(Labels_Has(&heartbeat.announcement.labels, "r1"));
    assert_true(heartbeat.born_ms == 1776540983535ull);
    assert_int_equal(heartbeat.clock_ms, 482113);
    assert_int_equal(read_heartbeat(&heartbeat, "draining", "16000"), 0);
    assert_int_equal(heartbeat.announcement.leaving, 1);
}

static void
an_upstream_without_capacity_has_no_slots(void **state)
{
    struct pf_heartbeat heartbeat;
    (void)state;
    assert_int_equal(read_heartbeat(&heartbeat, "ready", "0"), 0);
    assert_int_equal(heartbeat.announcement.slots, 0);
    assert_int_equal(read_heartbeat(&heartbeat, "ready", "1"), 0);
    assert_true(heartbeat.announcement.slots > 0);
}

static void
invalid_heartbeats_are_rejected(void **state)
{
    struct pf_heartbeat heartbeat;
    struct err err = {0};
    (void)state;
    assert_int_equal(read_heartbeat(&heartbeat, "asleep", "16000"), -1);
    assert_int_equal(read_heartbeat(&heartbeat, "ready", "\"many\""), -1);
    assert_int_equal(read_heartbeat(&heartbeat, "ready", "-4"), -1);
    assert_int_equal(Pf_ReadHeartbeat(&heartbeat, text("\xff\x00"), &err), -1);
    assert_int_equal(
        Pf_ReadHeartbeat(&heartbeat, text("{\"service\":4}"), &err), -1);
}

static void
request_paths_of_upstreams_are_parsed(void **state)
{
    char id[PF_UPSTREAM_ID_SIZE];
    (void)state;
    assert_int_equal(
        Pf_ReadUpstreamPath("/jacinthpick/Executors.Heartbeat/i-7f", id,
                            sizeof(id)),
        PF_HEARTBEAT);
    assert_string_equal(id, "i-7f");
    assert_int_equal(Pf_ReadUpstreamPath("/jacinthpick/Executors.Leave/i-7f",
                                         id, sizeof(id)),
                     PF_LEAVE);
    assert_int_equal(
        Pf_ReadUpstreamPath("/jacinthpick/Executors.Leave/", id, sizeof(id)),
        PF_NO_CALL);
}

static void
orders_are_encoded(void **state)
{
    struct pf_order order;
    struct rn_act act = {.type = RN_START,
                         .id = {0x5c0e7a21d94b36f8ull, 17, 2},
                         .fence = 7,
                         .lease_end_ms = 486000};
    (void)state;
    act.input = text("cut \"here\"");
    assert_int_equal(Pf_WriteOrder(&order, &act), 0);
    assert_string_equal(order.path, "/jacinthpick/run-start");
    assert_non_null(strstr(order.body, "\"5c0e7a21d94b36f8.0.0.17\""));
    assert_non_null(strstr(order.body, "\"run\":2"));
    assert_non_null(strstr(order.body, "\"deadlineMs\":486000"));
    assert_non_null(strstr(order.body, "cut \\\"here\\\""));
    free(order.body);
    act.type = RN_POLL;
    act.lease_end_ms = 0;
    assert_int_equal(Pf_WriteOrder(&order, &act), 0);
    /* Without a deadline the upstream leaves the leases unchanged. */
    assert_null(strstr(order.body, "deadlineMs"));
    free(order.body);
}

static void
replies_are_classified(void **state)
{
    uint64_t clock;
    struct bytes none = {NULL, 0};
    (void)state;
    assert_int_equal(Pf_ReadReply(200, 1, text("{\"clockMs\":5}"), &clock),
                     RN_DONE);
    assert_int_equal(clock, 5);
    assert_int_equal(Pf_ReadReply(0, 1, none, &clock), RN_NO_ANSWER);
    assert_int_equal(Pf_ReadReply(0, 0, none, &clock), RN_UNREACHED);
    assert_int_equal(
        Pf_ReadReply(409, 1, text("{\"reason\":\"fence\"}"), &clock),
        RN_FENCED);
    assert_int_equal(
        Pf_ReadReply(409, 1, text("{\"reason\":\"room\"}"), &clock),
        RN_NO_ROOM);
    assert_int_equal(Pf_ReadReply(409, 1, none, &clock), RN_NOT_NOW);
    assert_int_equal(Pf_ReadReply(421, 1, none, &clock), RN_OTHER_INSTANCE);
    assert_int_equal(Pf_ReadReply(503, 1, none, &clock), RN_NOT_NOW);
    assert_int_equal(Pf_ReadReply(429, 1, none, &clock), RN_NOT_NOW);
    /* Nothing is said of whether these were carried out. */
    assert_int_equal(Pf_ReadReply(500, 1, none, &clock), RN_NO_ANSWER);
    assert_int_equal(Pf_ReadReply(504, 1, none, &clock), RN_NO_ANSWER);
    assert_int_equal(Pf_ReadReply(302, 1, none, &clock), RN_NO_ANSWER);
}

static void
lists_of_runs_are_parsed_without_foreign_rows(void **state)
{
    static struct rn_view view;
    (void)state;
    assert_int_equal(
        Pf_ReadView(200, 1,
                    text("{\"clockMs\":482113,\"born\":9,\"running\":["
                         "[\"5c0e7a21d94b36f8.0.0.17\",2,\"\",41],"
                         "[\"other\",1,\"\",1],7],"
                         "\"ended\":[[58,\"5c0e7a21d94b36f8.0.0.9\",1,"
                         "\"done\",\"\"],[59,\"5c0e7a21d94b36f8.0.0.8\",1,"
                         "\"odd\",\"\"]]}"),
                    &view),
        RN_DONE);
    assert_int_equal(view.running_count, 1);
    assert_int_equal(view.running[0].id.task, 17);
    assert_int_equal(view.running[0].percent, 41);
    assert_int_equal(view.ended_count, 2);
    assert_int_equal(view.ended[0].seq, 58);
    assert_int_equal(view.ended[0].outcome, RN_OUTCOME_DONE);
    assert_int_equal(view.ended[1].outcome, RN_OUTCOME_LOST);
    /* An invalid answer must not end the runs. */
    assert_int_equal(Pf_ReadView(200, 1, text("oops"), &view), RN_NO_ANSWER);
}

/* The upstream lists 500 ends at a time. A run whose end is the next one is in
 * neither list. */
static void
a_full_list_of_ends_is_partial(void **state)
{
    static struct rn_view view;
    static const int counts[] = {499, 500};
    (void)state;
    for (int i = 0; i < 2; i++) {
        json_t *rows = json_array();
        for (int seq = 1; seq <= counts[i]; seq++) {
            json_array_append_new(rows, json_pack("[i,s,i,s,s]", seq,
                                                  "5c0e7a21d94b36f8.0.0.9", 1,
                                                  "done", ""));
        }
        json_t *root = json_pack("{s:i,s:[],s:o}", "clockMs", 5, "running",
                                 "ended", rows);
        char *body = json_dumps(root, 0);
        assert_int_equal(Pf_ReadView(200, 1, text(body), &view), RN_DONE);
        assert_int_equal(view.ended_count, counts[i]);
        assert_int_equal(view.is_partial, i);
        free(body);
        json_decref(root);
    }
}

static void
rows_of_table_service_are_parsed(void **state)
{
    struct pf_rows rows;
    struct err err = {0};
    (void)state;
    /* "eyJhIjoxfQ==" is {"a":1}. */
    assert_int_equal(
        Pf_ReadRows(&rows,
                    text("{\"rows\":[{\"key\":\"k\",\"versionNumber\":412,"
                         "\"value\":\"eyJhIjoxfQ==\"},{\"key\":\"gone\","
                         "\"versionNumber\":413,\"deleted\":true},"
                         "{\"key\":\"bad\",\"versionNumber\":414,"
                         "\"value\":\"%%%\"},{\"versionNumber\":4}],"
                         "\"hasMore\":true,\"versionNumber\":530}"),
                    &err),
        0);
    assert_int_equal(rows.version, 530);
    assert_true(rows.has_more);
    assert_int_equal(json_array_size(rows.list), 3);
    json_t *value = json_object_get(json_array_get(rows.list, 0), "value");
    assert_int_equal(json_integer_value(json_object_get(value, "a")), 1);
    assert_true(
        json_is_null(json_object_get(json_array_get(rows.list, 1), "value")));
    assert_true(
        json_is_false(json_object_get(json_array_get(rows.list, 2), "value")));
    json_decref(rows.list);
    assert_int_equal(Pf_ReadRows(&rows, text("<html>"), &err), -1);
}

static json_t *
make_row(const char *key, int version, const char *value)
{
    return json_pack("[{s:s,s:i,s:o}]", "key", key, "version", version,
                     "value", json_loads(value, JSON_DECODE_ANY, NULL));
}

static int
apply_rows(struct pf_operator *op, json_t *rows)
{
    struct err err = {0};
    int status = Pf_ApplyOperatorRows(op, rows, &err);
    json_decref(rows);
    return status;
}

#define ROUTES                                                                \
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","      \
    "\"prefix\":\"/p/\",\"service\":\"s\",\"timeoutMs\":1500,"                \
    "\"targetLatencyMs\":60,\"priority\":2,\"maxAttempts\":3,"                \
    "\"stretch\":1.6}],\"limits\":{\"maxBodyBytes\":262144}}"

static void
operator_rows_are_converted(void **state)
{
    struct pf_operator op;
    (void)state;
    assert_int_equal(Pf_InitOperator(&op), 0);
    assert_int_equal(apply_rows(&op, make_row("evacuate/erie-shore", 3, "{}")),
                     1);
    /* No rows are written before the operator's configuration is known. */
    assert_null(Pf_WriteOwnRows(&op));
    assert_int_equal(apply_rows(&op, make_row("config", 5, ROUTES)), 1);
    json_t *own = Pf_WriteOwnRows(&op);
    json_t *routes = json_object_get(json_array_get(own, 0), "value");
    json_t *route = json_array_get(json_object_get(routes, "routes"), 0);
    json_t *config = json_object_get(json_array_get(own, 1), "value");
    assert_int_equal(json_integer_value(json_object_get(routes, "version")),
                     5);
    assert_int_equal(
        json_integer_value(json_object_get(route, "stretch_percent")), 160);
    assert_int_equal(json_array_size(json_object_get(config, "exceptions")),
                     1);
    json_decref(own);
    /* An invalid row leaves the last valid one in force. */
    assert_int_equal(
        apply_rows(&op, make_row("config", 6, "{\"routes\":[{}]}")), -1);
    assert_int_equal(
        apply_rows(&op, make_row("evacuate/erie-shore", 8, "null")), 1);
    own = Pf_WriteOwnRows(&op);
    config = json_object_get(json_array_get(own, 1), "value");
    assert_int_equal(json_integer_value(json_object_get(config, "version")),
                     8);
    assert_int_equal(json_array_size(json_object_get(config, "exceptions")),
                     0);
    json_decref(own);
    Pf_FinishOperator(&op);
}

static void
commit_is_encoded(void **state)
{
    (void)state;
    json_t *change =
        json_pack("{s:[{s:s,s:i}],s:[{s:s,s:{s:i}},{s:s,s:n}]}", "checks",
                  "key", "member/a", "version", 4, "writes", "key", "member/a",
                  "value", "a", 1, "key", "member/b", "value");
    char *body = Pf_WriteCommit(change);
    assert_non_null(strstr(body, "\"versionNumber\":4"));
    assert_non_null(strstr(body, "\"value\":\"eyJhIjoxfQ==\""));
    assert_non_null(strstr(body, "\"remove\":[{"));
    free(body);
    json_decref(change);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(valid_heartbeat_is_parsed),
        cmocka_unit_test(an_upstream_without_capacity_has_no_slots),
        cmocka_unit_test(invalid_heartbeats_are_rejected),
        cmocka_unit_test(request_paths_of_upstreams_are_parsed),
        cmocka_unit_test(orders_are_encoded),
        cmocka_unit_test(replies_are_classified),
        cmocka_unit_test(lists_of_runs_are_parsed_without_foreign_rows),
        cmocka_unit_test(a_full_list_of_ends_is_partial),
        cmocka_unit_test(rows_of_table_service_are_parsed),
        cmocka_unit_test(operator_rows_are_converted),
        cmocka_unit_test(commit_is_encoded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
