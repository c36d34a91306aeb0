/* Calls of callers in the words of the users' platform, and their answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "core/route.h"
#include "platform/ingress.h"
#include "text.h"

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
    assert_false(job.is_durable);
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
    assert_null(job.unsupported);
    assert_int_equal(job.sub.step_count, 3);
    assert_int_equal(job.sub.task_count, 6);
    assert_string_equal(job.steps[0].label, "a");
    assert_string_equal(job.steps[1].preferred_label, "r1-3");
    assert_int_equal(job.steps[1].need.gpu, 1);
    assert_int_equal(job.steps[0].prefer_one_rack, 0);
    assert_int_equal(job.steps[1].prefer_one_rack, 1);
    assert_int_equal(job.steps[2].after, 3);
    assert_int_equal(job.steps[2].max_per_worker, 2);
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
            assert_non_null(job.unsupported);
            assert_string_equal(job.unsupported, cases[i].field);
        }
        else {
            assert_null(job.unsupported);
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
        assert_int_equal(path.target, PF_BAD_PATH);
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
    Pf_WriteOutcome(&answer, CODE_##name, 0);                                 \
    if (answer.status == 503 || answer.status == 429) {                       \
        assert_int_equal(run, CODE_NOT_RUN);                                  \
    }                                                                         \
    else {                                                                    \
        assert_int_not_equal(answer.status, 404);                             \
    }
    CODE_TABLE(X)
#undef X
    Pf_WriteOutcome(&answer, CODE_OK, 0);
    assert_string_equal(answer.body, "{\"state\":\"completed\"}");
    Pf_WriteOutcome(&answer, CODE_TASK_FAILED, 0);
    assert_int_equal(answer.status, 200);
    assert_string_equal(answer.body, "{\"state\":\"failed\"}");
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
        cmocka_unit_test(the_longest_prefix_of_the_host_wins),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
