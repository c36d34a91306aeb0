/* What an entry answers to submissions before and after its agents have
 * reported their services. */
#include "caller.h"

#define CONN(n) (((conn_id)1 << 63) + (n))

static struct net net;

static int
set_up(void **state)
{
    *state = &net;
    Net_Init(&net);
    return 0;
}

static void
a_job_waits_until_the_agents_are_heard(void **state)
{
    (void)state;
    Net_AddAgent(&net, "a");
    struct net_node *entry = Net_AddEntry(&net, "e");
    struct key key = Net_IssueKey(entry);
    Net_Submit(entry, CONN(1), &key, 2, 0, 0, 5000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_PENDING);
    Net_Run(&net, 3000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_OK);
    assert_int_equal(Net_Starts(&net, &key), 2);
}

static void
an_unknown_service_is_refused_once_the_agents_are_known(void **state)
{
    (void)state;
    struct net_node *entry = Net_AddEntry(&net, "e");
    Net_Run(&net, 2500);
    struct key key = Net_IssueKey(entry);
    Net_Submit(entry, CONN(1), &key, 2, 0, 0, 5000);
    assert_int_equal(Net_Answer(&net, CONN(1)), CODE_UNKNOWN_SERVICE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(a_job_waits_until_the_agents_are_heard,
                                        set_up, Net_TearDown),
        cmocka_unit_test_setup_teardown(
            an_unknown_service_is_refused_once_the_agents_are_known, set_up,
            Net_TearDown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
