"""One entry, six agents with their executors of 64 cores. Usual traffic: jobs of
two tasks of 3 s, five a second. Ten bursts of 4 s, in each of them five large
jobs of 100 tasks, of 0.06 s on 0.02 of a core each. TROUBLE=0 leaves the large
jobs out. Nothing is killed, cut, slowed or reset.

The executors are processes of their own, so that each answers an order within
milliseconds, also while others have many."""
import os
import random
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(HERE, "..", "standins-2")
sys.path.insert(0, STANDINS)
import fleet as f

BURSTS, BURST_S, PAUSE_S, LARGE_JOBS = 10, 4.0, 2.0, 5
LARGE_TASKS = 100
# Runs that overlap by less may be due to the step of the stand-in's clock.
LEAST_S = 0.01


class RemoteRun:
    def __init__(self, executor, begun_s, task, number):
        self.executor, self.begun_s, self.task, self.number = executor, begun_s, task, number
        self.ended_s, self.how = None, None


class RemoteExecutor:
    """Takes the place of fleet.Executor; start() starts the process."""

    def __init__(self, record, name, address, agent, **_):
        self.record, self.name, self.address, self.agent = record, name, address, agent
        self.runs, self.running = [], {}

    def start(self, fleet):
        command = [sys.executable, os.path.join(STANDINS, "fast_executor.py"), self.name,
                   self.address[0], str(self.address[1]), self.agent[0], str(self.agent[1]),
                   "64000"]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        fleet.processes[self.name] = process
        threading.Thread(target=self.read, args=(process.stdout,), daemon=True).start()

    def read(self, lines):
        for line in lines:
            word, at, task, number, *how = line.split()
            at_s, key = float(at) - f.T0, (task, int(number))
            if word == "start":
                run = RemoteRun(self, at_s, *key)
                self.running[key] = run
                self.runs.append(run)
            else:
                run = self.running.pop(key)
                run.ended_s, run.how = at_s, how[0]
            self.record(f"at {at_s:.3f} s {self.name} {word}s {task} run {number} {' '.join(how)}")


class Load:
    def __init__(self, fleet):
        self.fleet, self.count, self.is_over = fleet, 0, False
        self.lock = threading.Lock()
        self.answers = {}

    def post(self, kind, body, deadline_ms):
        with self.lock:
            self.count += 1
            name = f"/desk/{self.count:016x}"
        self.fleet.record(f"client sends POST {name}, {kind}, {body['steps'][0]['count']} tasks")
        status, _ = f.call(self.fleet.front(0), "POST", name, body, f.HOST,
                           {"Jacinthpick-Request-Deadline": str(deadline_ms)},
                           timeout=deadline_ms / 1000)
        self.fleet.record(f"client gets {status or 'no answer'} for POST {name}")
        with self.lock:
            self.answers[kind, status] = self.answers.get((kind, status), 0) + 1

    def send(self, *args):
        threading.Thread(target=self.post, args=args, daemon=True).start()

    def usual(self):
        while not self.is_over:
            self.send("usual", f.job(3000, 2, cpu=6200), 8000)
            time.sleep(0.2)


def main():
    f.Executor = RemoteExecutor
    fleet = f.Fleet(HERE, 1, 6)
    for executor in fleet.executors:
        executor.start(fleet)
    fleet.start_all()
    load = Load(fleet)
    threading.Thread(target=load.usual, daemon=True).start()
    time.sleep(3)
    for _ in range(BURSTS):
        for _ in range(LARGE_JOBS):
            if f.has_trouble():
                load.send("large", f.job(60, LARGE_TASKS, cpu=20), 4000)
            time.sleep(BURST_S / LARGE_JOBS * random.uniform(0.8, 1.2))
        time.sleep(PAUSE_S)
    load.is_over = True
    time.sleep(9)
    found = f.overlaps(fleet.runs(), LEAST_S)
    for a, b, seconds in found:
        fleet.record(f"two runs of {a.task} at the same time: run {a.number} on "
                     f"{a.executor.name} ({a.how}), run {b.number} on {b.executor.name}, "
                     f"for {seconds * 1000:.0f} ms")
    fleet.record(f"answers: {load.answers}")
    fleet.finish(1 if found else 0)


main()
