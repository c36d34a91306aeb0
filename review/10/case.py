"""Two entries, three agents. The operator adds a route to the configuration;
the name of the new route has 46 characters. Right after the store has
acknowledged it all processes are killed, and started again 0.7 s later. From
12 s after that, jobs are sent to the route that there was before. TROUBLE=0
leaves out the change and the kill."""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

HERE = os.path.dirname(os.path.abspath(__file__))
NAME = "finishing-scratch-review-front-desk-erie-shore"
DOWN_S = 0.7
RECOVERY_S = 12
JOBS = 40


def share_served(fleet, first):
    """Sends jobs to the old route, to each entry in turn."""
    served = 0
    for i in range(JOBS):
        status, _ = fleet.request(fleet.front(i % len(fleet.entries)), "POST",
                                  f"/desk/{first + i:016x}", f.job(60, 2, cpu=6200))
        served += status == 200
        time.sleep(0.05)
    fleet.record(f"{served} of {JOBS} jobs served")
    return served / JOBS


def main():
    fleet = f.Fleet(HERE, 2, 3)
    fleet.start_all()
    before = share_served(fleet, 1)
    if before < 0.25:
        fleet.finish(2)
    if f.has_trouble():
        routes = [f.route("/desk/"), f.route("/review/", name=NAME)]
        fleet.store.put("config", f.config(7, routes))
        fleet.record(f"configuration 7 is acknowledged: a further route, {NAME}")
        machines = fleet.entries + fleet.agents
        for machine in machines:
            fleet.signal(machine, signal.SIGKILL)
            fleet.processes[machine["nodeName"]].wait()
        time.sleep(DOWN_S)
        for machine in machines:
            fleet.start(machine)
    fleet.record(f"waiting {RECOVERY_S} s")
    time.sleep(RECOVERY_S + 0.5)
    after = share_served(fleet, 1001)
    fleet.logs("Rejected an invalid operator row")
    fleet.finish(1 if after < 0.25 else 0)


main()
