"""One entry, eight agents with their executors. A task is started on X; the
start order gets no answer, and is carried out 2.5 s later. The agent repeats the
order 30 ms after the first, and the task runs. It fails by its own fault and is
started on another executor, where it runs for 3 s. Meanwhile X, which runs
nothing by then, crashes and starts again under its identifier. TROUBLE=0 leaves
out the lost answer, the late order and the crash."""
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

HERE = os.path.dirname(os.path.abspath(__file__))
JOB = "5c0e7a21d94b36f8"
LATE_S = 2.5
CRASH_AFTER_S = 1.0
DOWN_S = 0.3


class LateExecutor(f.Executor):
    """Fails the first run of each task of JOB, and can leave an order without
    an answer and carry it out later, in whatever life it is in by then."""

    late_orders = 0
    is_failing = False

    def order(self, path, body, expected):
        if path == "/jacinthpick/run-start" and body["task"].startswith(JOB) and self.late_orders:
            self.late_orders -= 1
            self.record(f"{self.name} gets the start of {body['task']} run {body['run']}, "
                        f"fencingToken {body['fencingToken']}, deadlineMs "
                        f"{body['deadlineMs']}: no answer")
            threading.Thread(target=self.carry_out, args=(path, body, expected),
                             daemon=True).start()
            time.sleep(0.5)  # the agent waits no longer than 150 ms
            raise ConnectionResetError
        return super().order(path, body, expected)

    def carry_out(self, path, body, expected):
        time.sleep(LATE_S)
        status, reply = super().order(path, body, expected)
        self.record(f"{self.name} carries out the late start of {body['task']} run "
                    f"{body['run']}: {status} {reply}")

    def start(self, body):
        status, reply = super().start(body)
        run = self.running.get((body["task"], body["run"]))
        if run and self.is_failing and body["task"].startswith(JOB):
            run.due_s, run.fails, self.is_failing = run.begun_s + 0.1, True, False
        return status, reply

    def end(self, run, how):
        super().end(run, "failed" if how == "done" and getattr(run, "fails", False) else how)


def main():
    f.Executor = LateExecutor
    # X, the first, has the label b too, and more room.
    fleet = f.Fleet(HERE, 1, 8, executor_options=[{"cpu": 64000, "labels": ["a", "b"]}] +
                    [{"cpu": 60000, "labels": ["a"]}] * 7)
    x = fleet.executors[0]
    # Its steady clock stands at 482 s, as in the examples of PROTOCOL.md: it has
    # been up for that long when the programs are started.
    for executor in fleet.executors:
        executor.born_s -= 481
    fleet.start_all()
    x.is_failing = True
    x.late_orders = 1 if f.has_trouble() else 0
    caller = threading.Thread(target=fleet.request, args=(
        fleet.front(0), "POST", f"/desk/{JOB}", f.job(3000, 1, cpu=6200), 6000))
    caller.start()
    time.sleep(0.02)
    # Work that only X can do, so that the others have more room when the task fails.
    threading.Thread(target=fleet.request, args=(
        fleet.front(0), "POST", "/desk/00000000000000aa",
        f.job(600, cpu=20000, steps=[(1, {"requirements": "b"})]), 3000)).start()
    time.sleep(CRASH_AFTER_S)
    if f.has_trouble():
        if x.running:
            fleet.record("executor-1 still runs something")
            fleet.finish(2)
        x.crash()
        time.sleep(DOWN_S)
        x.restart()
    caller.join()
    time.sleep(0.5)
    found = f.overlaps(fleet.runs())
    for a, b, seconds in found:
        fleet.record(f"two runs of {a.task} at the same time: run {a.number} on "
                     f"{a.executor.name}, run {b.number} on {b.executor.name}, "
                     f"for {seconds * 1000:.0f} ms")
    fleet.logs("Upstream has restarted", "Upstream is usable")
    fleet.finish(1 if found else 0)


main()
