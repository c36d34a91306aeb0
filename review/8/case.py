"""One entry, three agents with their executors. Jobs of one task of 0.9 s run.
A heartbeat of another writer, which names a service that no configuration and
no settings file names, arrives at the agent beside one of the running tasks.
TROUBLE=0 leaves that heartbeat out."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

HERE = os.path.dirname(os.path.abspath(__file__))
JOBS = 3


def send_foreign_heartbeat(fleet, executor):
    """The address that it names is one at which nobody answers."""
    body = {"service": "archive", "address": f"{fleet.ip(3, 1)}:{f.PORTS['app']}",
            "zone": "erie-shore", "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": 64000, "requestedMemoryMb": 131072, "gpu": 0},
            "labels": ["a", "r1-1"], "clockMs": 1000, "sequence": 1,
            "born": int(time.time() * 1000)}
    fleet.record(f"heartbeat of another writer to the agent beside {executor.name}: {body}")
    status, _ = f.call(executor.agent, "POST", "/jacinthpick/Executors.Heartbeat/i-other", body)
    fleet.record(f"it is answered with {status or 'nothing'}")


def main():
    fleet = f.Fleet(HERE, 1, 3)
    fleet.start_all()
    callers = [threading.Thread(target=fleet.request, kwargs={
        "address": fleet.front(0), "method": "POST", "path": f"/desk/{i + 1:016x}",
        "body": f.job(900, 1, cpu=6200), "deadline_ms": 4000}) for i in range(JOBS)]
    for caller in callers:
        caller.start()
    time.sleep(0.3)
    running = [run for run in fleet.runs() if run.ended_s is None]
    if len(running) != JOBS:
        fleet.record(f"{len(running)} of {JOBS} tasks run")
        fleet.finish(2)
    if f.has_trouble():
        send_foreign_heartbeat(fleet, running[0].executor)
    for caller in callers:
        caller.join()
    time.sleep(0.5)
    found = f.overlaps(fleet.runs())
    for a, b, seconds in found:
        fleet.record(f"two runs of {a.task} at the same time: run {a.number} on "
                     f"{a.executor.name}, run {b.number} on {b.executor.name}, "
                     f"for {seconds * 1000:.0f} ms")
    fleet.finish(1 if found else 0)


main()
