/* Words of the users' platform, in and out, well formed and not. */
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

static struct bytes
text(const char *data)
{
    return (struct bytes){data, (uint32_t)strlen(data)};
}

static void
a_job_is_read(void **state)
{
    struct pf_job job;
    struct err err = {0};
    (void)state;
    assert_int_equal(
        Pf_ReadJob(&job,
                   text("{\"specification\":\"cut\",\"bestEffort\":true,"
                        "\"new\":[1],\"steps\":[{\"count\":3,\"cpu\":500,"
                        "\"requestedMemoryMb\":256,\"estimatedMs\":90}]}"),
                   &err),
        0);
    assert_false(job.is_kept);
    assert_int_equal(job.sub.task_count, 3);
    assert_int_equal(job.sub.steps[0].need.cpu, 500);
    assert_int_equal(job.sub.steps[0].need.memory_mb, 256);
    assert_int_equal(job.sub.steps[0].need.gpu, 0);
    assert_int_equal(job.tasks[2].no, 2);
    assert_int_equal(job.tasks[2].run_ms, 90);
    assert_memory_equal(job.tasks[2].input.data, "cut", 3);
    Pf_FreeJob(&job);
}

static void
a_bad_job_is_refused_and_named(void **state)
{
    static const struct {
        const char *body;
        enum code code;
    } cases[] = {
        {"", CODE_BAD_JSON},
        {"[]", CODE_BAD_JSON},
        {"{\"steps\":", CODE_BAD_JSON},
        {"{}", CODE_BAD_FIELD},
        {"{\"steps\":[]}", CODE_BAD_FIELD},
        {"{\"steps\":{\"count\":1}}", CODE_BAD_FIELD},
        {"{\"steps\":[4]}", CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":0}]}", CODE_TOO_MANY_TASKS},
        {"{\"steps\":[{\"count\":821}]}", CODE_TOO_MANY_TASKS},
        {"{\"steps\":[{\"count\":-1}]}", CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":\"2\"}]}", CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":1,\"cpu\":1e300}]}", CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":400},{\"count\":421}]}", CODE_TOO_MANY_TASKS},
        {"{\"steps\":[{\"count\":1,\"after\":[0]}]}", CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":1,\"after\":0}]}", CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[1]}]}",
         CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[-1]}]}",
         CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[0.5]}]}",
         CODE_BAD_FIELD},
        {"{\"steps\":[{\"count\":1,\"requirements\":7}]}", CODE_BAD_FIELD},
        {"{\"specification\":7,\"steps\":[{\"count\":1}]}", CODE_BAD_FIELD},
    };
    (void)state;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct pf_job job;
        struct err err = {0};
        assert_int_equal(Pf_ReadJob(&job, text(cases[i].body), &err), -1);
        assert_int_equal(err.code, cases[i].code);
        assert_true(strlen(err.text) > 0);
    }
}

static void
steps_are_read(void **state)
{
    struct pf_job job;
    struct err err = {0};
    (void)state;
    assert_int_equal(
        Pf_ReadJob(&job,
                   text("{\"bestEffort\":true,\"steps\":["
                        "{\"count\":2,\"cpu\":500,\"requirements\":\"a\"},"
                        "{\"count\":1,\"gpu\":1,\"affinity\":\"r1-3\","
                        "\"rackSensitive\":true},"
                        "{\"count\":3,\"after\":[0,1],\"antiAffinity\":2,"
                        "\"estimatedMs\":70,\"speculative\":true}]}"),
                   &err),
        0);
    assert_null(job.unserved);
    assert_int_equal(job.sub.step_count, 3);
    assert_int_equal(job.sub.task_count, 6);
    assert_string_equal(job.steps[0].label, "a");
    assert_string_equal(job.steps[1].near, "r1-3");
    assert_int_equal(job.steps[1].need.gpu, 1);
    assert_int_equal(job.steps[0].one_rack, 0);
    assert_int_equal(job.steps[1].one_rack, 1);
    assert_int_equal(job.steps[2].after, 3);
    assert_int_equal(job.steps[2].most_together, 2);
    assert_int_equal(job.sub.tasks[5].no, (2 << PF_STEP_SHIFT) + 2);
    assert_int_equal(job.sub.tasks[5].step, 2);
    assert_int_equal(job.sub.tasks[5].run_ms, 70);
    Pf_FreeJob(&job);
}

/* A job whose terms are not kept must not run: it is refused, by name. */
static void
what_is_not_served_is_named(void **state)
{
    static const struct {
        const char *body;
        const char *field;
    } cases[] = {
        {"{\"steps\":[{\"count\":1},{\"count\":2,\"gangScheduled\":true}]}",
         "gangScheduled"},
        {"{\"steps\":[{\"count\":1,\"longRunning\":true}]}", "longRunning"},
        {"{\"longRunning\":true,\"steps\":[{\"count\":1}]}", "longRunning"},
        {"{\"repetitions\":3,\"steps\":[{\"count\":1}]}", "repetitions"},
        {"{\"steps\":[{\"count\":1,\"fills\":true}]}", "fills"},
        {"{\"steps\":[{\"count\":1,\"mayMiss\":2}]}", "mayMiss"},
        {"{\"repetitions\":0,\"steps\":[{\"count\":1,\"fills\":false}]}",
         NULL},
    };
    (void)state;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct pf_job job;
        struct err err = {0};
        assert_int_equal(Pf_ReadJob(&job, text(cases[i].body), &err), 0);
        if (cases[i].field) {
            assert_non_null(job.unserved);
            assert_string_equal(job.unserved, cases[i].field);
        }
        else {
            assert_null(job.unserved);
        }
        Pf_FreeJob(&job);
    }
}

static void
an_input_at_its_limit_is_taken(void **state)
{
    char *body = malloc(4200);
    struct pf_job job;
    struct err err = {0};
    (void)state;
    for (int over = 0; over < 2; over++) {
        int at = snprintf(body, 200,
                          "{\"steps\":[{\"count\":1}],"
                          "\"specification\":\"");
        memset(body + at, 'x', 4000 + (size_t)over);
        snprintf(body + at + 4000 + over, 3, "\"}");
        assert_int_equal(Pf_ReadJob(&job, text(body), &err), -over);
        Pf_FreeJob(&job);
    }
    free(body);
}

static void
a_path_names_a_queue_or_a_job(void **state)
{
    struct route route = {.prefix = "/pufi/"};
    struct pf_path path;
    (void)state;
    Pf_ReadPath(&path, &route, "/pufi/");
    assert_int_equal(path.target, PF_QUEUE);
    Pf_ReadPath(&path, &route, "/pufi/5c0e7a21d94b36f8");
    assert_int_equal(path.target, PF_JOB);
    assert_true(path.name == 0x5c0e7a21d94b36f8ull);
    static const char *const others[] = {
        "/pufi/5c0e7a21d94b36f", "/pufi/5c0e7a21d94b36f80",
        "/pufi/5c0e7a21d94b36fg", "/pufi/5c0e7a21d94b36f8/"};
    for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
        Pf_ReadPath(&path, &route, others[i]);
        assert_int_equal(path.target, PF_NOTHING);
    }
}

static void
a_caller_says_how_long_it_waits(void **state)
{
    struct route route = {.timeout_ms = 1500};
    (void)state;
    assert_int_equal(Pf_ReadDeadline("4200", &route), 4200);
    assert_int_equal(Pf_ReadDeadline("", &route), 1500);
    assert_int_equal(Pf_ReadDeadline("soon", &route), 1500);
    assert_int_equal(Pf_ReadDeadline("0", &route), 1500);
}

/* A 429 or 503 promises that nothing of the job ever runs. */
static void
only_what_has_not_run_is_refused(void **state)
{
    struct pf_answer answer;
    (void)state;
#define X(name, number, status_, run, text_)                                  \
    Pf_WriteAnswer(&answer, CODE_##name, 0);                                  \
    if (answer.status == 503 || answer.status == 429) {                       \
        assert_int_equal(run, CODE_NOT_RUN);                                  \
    }                                                                         \
    else {                                                                    \
        assert_int_not_equal(answer.status, 404);                             \
    }
    CODE_TABLE(X)
#undef X
    Pf_WriteAnswer(&answer, CODE_OK, 0);
    assert_string_equal(answer.body, "{\"state\":\"completed\"}");
    Pf_WriteAnswer(&answer, CODE_TASK_FAILED, 0);
    assert_int_equal(answer.status, 200);
    assert_string_equal(answer.body, "{\"state\":\"failed\"}");
}

#define BEAT                                                                  \
    "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\","               \
    "\"zone\":\"z\",\"slots\":8,\"state\":\"%s\",\"capacity\":{\"cpu\":%s},"  \
    "\"labels\":[\"a\",7,\"r1-3\"],"                                          \
    "\"clockMs\":482113,\"sequence\":4,\"born\":1776540983535}"

static int
read_beat(struct pf_beat *beat, const char *word, const char *cpu)
{
    char body[512];
    struct err err = {0};
    memset(beat, 0, sizeof(*beat));
    snprintf(body, sizeof(body), BEAT, word, cpu);
    return Pf_ReadBeat(beat, text(body), &err);
}

static void
a_heartbeat_is_read(void **state)
{
    struct pf_beat beat;
    (void)state;
    assert_int_equal(read_beat(&beat, "ready", "16000"), 0);
    assert_string_equal(beat.offer.service, "huvo11a");
    assert_string_equal(beat.address, "10.128.0.9:8080");
    assert_int_equal(beat.offer.capacity.cpu, 16000);
    assert_int_equal(beat.offer.leaving, 0);
    assert_int_equal(beat.offer.labels.count, 2);
    assert_true(Labels_Has(&beat.offer.labels, "r1-3"));
    assert_false(Labels_Has(&beat.offer.labels, "r1"));
    assert_true(beat.born_ms == 1776540983535ull);
    assert_int_equal(beat.clock_ms, 482113);
    assert_int_equal(read_beat(&beat, "draining", "16000"), 0);
    assert_int_equal(beat.offer.leaving, 1);
}

static void
a_heartbeat_of_another_writer_is_kept_out(void **state)
{
    struct pf_beat beat;
    struct err err = {0};
    (void)state;
    assert_int_equal(read_beat(&beat, "asleep", "16000"), -1);
    assert_int_equal(read_beat(&beat, "ready", "\"many\""), -1);
    assert_int_equal(read_beat(&beat, "ready", "-4"), -1);
    assert_int_equal(Pf_ReadBeat(&beat, text("\xff\x00"), &err), -1);
    assert_int_equal(Pf_ReadBeat(&beat, text("{\"service\":4}"), &err), -1);
}

static void
calls_of_an_upstream_are_told_apart(void **state)
{
    char id[PF_ID_SIZE];
    (void)state;
    assert_int_equal(
        Pf_ReadUpstreamPath("/jacinthpick/Executors.Heartbeat/i-7f", id,
                            sizeof(id)),
        PF_BEAT);
    assert_string_equal(id, "i-7f");
    assert_int_equal(Pf_ReadUpstreamPath("/jacinthpick/Executors.Leave/i-7f",
                                         id, sizeof(id)),
                     PF_LEAVE);
    assert_int_equal(
        Pf_ReadUpstreamPath("/jacinthpick/Executors.Leave/", id, sizeof(id)),
        PF_NO_CALL);
}

static void
an_order_is_written(void **state)
{
    struct pf_order order;
    struct rn_act act = {.type = RN_START,
                         .id = {0x5c0e7a21d94b36f8ull, 17, 2},
                         .fence = 7,
                         .until_ms = 486000};
    (void)state;
    act.input = text("cut \"here\"");
    assert_int_equal(Pf_WriteOrder(&order, &act), 0);
    assert_string_equal(order.path, "/jacinthpick/run-start");
    assert_non_null(strstr(order.body, "\"5c0e7a21d94b36f8.0.0.17\""));
    assert_non_null(strstr(order.body, "\"run\":2"));
    assert_non_null(strstr(order.body, "\"deadlineMs\":486000"));
    assert_non_null(strstr(order.body, "cut \\\"here\\\""));
    free(order.body);
    act.type = RN_LOOK;
    act.until_ms = 0;
    assert_int_equal(Pf_WriteOrder(&order, &act), 0);
    /* Leases are left as they are. */
    assert_null(strstr(order.body, "deadlineMs"));
    free(order.body);
}

static void
replies_are_told_apart(void **state)
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
    assert_int_equal(Pf_ReadReply(421, 1, none, &clock), RN_OTHER_LIFE);
    assert_int_equal(Pf_ReadReply(503, 1, none, &clock), RN_NOT_NOW);
}

static void
lists_are_read_and_rows_of_others_left_out(void **state)
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
    assert_int_equal(view.ended[0].n, 58);
    assert_int_equal(view.ended[0].how, RN_HOW_DONE);
    assert_int_equal(view.ended[1].how, RN_HOW_LOST);
    /* An answer that is none must not end what runs. */
    assert_int_equal(Pf_ReadView(200, 1, text("oops"), &view), RN_NO_ANSWER);
}

static void
rows_of_the_table_service_are_read(void **state)
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
row(const char *key, int version, const char *value)
{
    return json_pack("[{s:s,s:i,s:o}]", "key", key, "version", version,
                     "value", json_loads(value, JSON_DECODE_ANY, NULL));
}

static int
take(struct pf_operator *op, json_t *rows)
{
    struct err err = {0};
    int status = Pf_TakeOperatorRows(op, rows, &err);
    json_decref(rows);
    return status;
}

#define ROUTES                                                                \
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","      \
    "\"prefix\":\"/p/\",\"service\":\"s\",\"timeoutMs\":1500,"                \
    "\"targetLatencyMs\":60,\"priority\":2,\"maxAttempts\":3,"                \
    "\"stretch\":1.6}],\"limits\":{\"maxBodyBytes\":262144}}"

static void
the_operators_rows_become_ours(void **state)
{
    struct pf_operator op;
    (void)state;
    assert_int_equal(Pf_InitOperator(&op), 0);
    assert_int_equal(take(&op, row("evacuate/erie-shore", 3, "{}")), 1);
    /* Nothing is in force before there is a configuration. */
    assert_null(Pf_WriteOwnRows(&op));
    assert_int_equal(take(&op, row("config", 5, ROUTES)), 1);
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
    /* A row that cannot be read leaves the good one in force. */
    assert_int_equal(take(&op, row("config", 6, "{\"routes\":[{}]}")), -1);
    assert_int_equal(take(&op, row("evacuate/erie-shore", 8, "null")), 1);
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
a_commit_is_written(void **state)
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

static void
the_longest_prefix_of_the_host_wins(void **state)
{
    struct route items[] = {
        {.name = "a", .host = "x.example", .prefix = "/p/"},
        {.name = "b", .host = "x.example", .prefix = "/p/q/"},
        {.name = "c", .host = "y.example", .prefix = "/p/q/r/"},
    };
    struct route_table table = {.version = 1, .count = 3, .items = items};
    (void)state;
    assert_string_equal(Route_Find(&table, "X.example:80", "/p/q/1")->name,
                        "b");
    assert_string_equal(Route_Find(&table, "x.example", "/p/1")->name, "a");
    assert_null(Route_Find(&table, "x.example", "/q/"));
    assert_null(Route_Find(&table, "z.example", "/p/1"));
    assert_null(Route_Find(&table, "", "/p/1"));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_job_is_read),
        cmocka_unit_test(a_bad_job_is_refused_and_named),
        cmocka_unit_test(steps_are_read),
        cmocka_unit_test(what_is_not_served_is_named),
        cmocka_unit_test(an_input_at_its_limit_is_taken),
        cmocka_unit_test(a_path_names_a_queue_or_a_job),
        cmocka_unit_test(a_caller_says_how_long_it_waits),
        cmocka_unit_test(only_what_has_not_run_is_refused),
        cmocka_unit_test(a_heartbeat_is_read),
        cmocka_unit_test(a_heartbeat_of_another_writer_is_kept_out),
        cmocka_unit_test(calls_of_an_upstream_are_told_apart),
        cmocka_unit_test(an_order_is_written),
        cmocka_unit_test(replies_are_told_apart),
        cmocka_unit_test(lists_are_read_and_rows_of_others_left_out),
        cmocka_unit_test(rows_of_the_table_service_are_read),
        cmocka_unit_test(the_operators_rows_become_ours),
        cmocka_unit_test(a_commit_is_written),
        cmocka_unit_test(the_longest_prefix_of_the_host_wins),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
