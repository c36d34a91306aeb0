"""Computes response times and idle capacity from the logs of a simulated day.

Reads log lines of all entries and agents on standard input, each preceded by
the time in seconds and the node, as `fleetbench run --log all` writes them.
Prints per route and in total

over ideal: response time of a job divided by its longest run time plus the
    network round trip. Counts completed jobs of one step.
idle while a task waits: core-seconds that agents had free and that a waiting
    task could have used, and their ratio to the core-seconds that tasks used.
    A task counts as waiting only after the time that a start message takes.
"""

import collections
import re
import sys

# Network round trip from caller to worker, as documented by the users.
NETWORK_S = 0.004
# The part of it between caller and entry, which the entry's log lacks.
CALLER_NETWORK_S = 0.002
# Time for a start message to reach its agent, with a pass over the queues.
START_S = 0.005
# An agent without log lines for this long is taken to accept no tasks.
SILENT_S = 0.5

FIELDS = re.compile(r"(\w+)=(\S+)")


class Job:
    """A job that has been submitted and not answered."""

    def __init__(self, at, fields):
        self.at = at
        self.route = fields["route"]
        self.steps = int(fields["steps"])
        self.cpu = int(fields["cpu"]) / 1000
        self.deadline = at + int(fields["deadline_ms"]) / 1000
        self.unstarted = int(fields["tasks"])
        self.started = set()
        self.longest_run_s = 0.0


def read(lines):
    """Returns (time, node, event, fields) of each log line in order of time.

    The event is the sentence that begins the log text.
    """
    events = []
    for line in lines:
        parts = line.split(None, 5)
        if len(parts) < 6 or not re.match(r"\d+\.\d+$", parts[0]):
            continue
        event = parts[5].split(": ", 1)[-1].split(".", 1)[0]
        fields = dict(FIELDS.findall(parts[5]))
        events.append((float(parts[0]), parts[1], event, fields))
    return sorted(events, key=lambda item: item[0])


class Day:
    """Replays the events of a day and sums up the figures."""

    def __init__(self):
        self.jobs = {}
        self.runs = {}  # (node, job, task): cores
        self.used = collections.Counter()  # cores by node
        self.capacity = {}  # cores by node
        self.last_event = {}  # time by node
        self.over_ideal = collections.defaultdict(list)  # ratios by route
        self.idle_s = 0.0  # core-seconds
        self.used_s = 0.0  # core-seconds
        # (time, job): jobs that count as waiting from that time on.
        self.arriving = collections.deque()
        self.waiting = {}
        self.now = 0.0

    def advance(self, at):
        """Counts used and idle capacity up to the time `at`."""
        while self.arriving and self.arriving[0][0] <= at:
            since, name = self.arriving.popleft()
            self.count(since)
            if name in self.jobs and self.jobs[name].unstarted > 0:
                self.waiting[name] = self.jobs[name]
        self.count(at)

    def count(self, at):
        """Counts capacity up to `at`, if no job starts to wait before."""
        if at <= self.now:
            return
        span = at - self.now
        self.now = at
        self.used_s += span * sum(self.used.values())
        self.waiting = {name: job for name, job in self.waiting.items()
                        if job.deadline > at}
        wanted = sum(job.unstarted * job.cpu for job in self.waiting.values())
        if wanted:
            smallest = min(job.cpu for job in self.waiting.values())
            free = sum((capacity - self.used[node]) // smallest * smallest
                       for node, capacity in self.capacity.items()
                       if capacity > self.used[node] and
                       at - self.last_event[node] < SILENT_S)
            self.idle_s += span * min(free, wanted)

    def handle(self, at, node, event, fields):
        self.advance(at)
        self.last_event[node] = at
        name = fields.get("job")
        if event == "Job received":
            self.jobs[name] = Job(at, fields)
            self.arriving.append((at + START_S, name))
        elif event == "Run ordered":
            self.on_run_ordered(node, name, fields)
        elif event == "Run ended":
            self.on_run_ended(node, name, fields)
        elif event == "Job answered":
            self.on_answered(name, fields)
        elif event == "Caller disconnected":
            self.waiting.pop(name, None)

    def on_run_ordered(self, node, name, fields):
        self.capacity[node] = int(fields["capacity_cpu"]) / 1000
        self.used[node] = int(fields["used_cpu"]) / 1000
        self.runs[node, name, fields["task"]] = int(fields["cpu"]) / 1000
        job = self.jobs.get(name)
        if not job or fields["task"] in job.started:
            return
        job.started.add(fields["task"])
        job.unstarted -= 1
        if job.unstarted == 0:
            self.waiting.pop(name, None)

    def on_run_ended(self, node, name, fields):
        self.used[node] -= self.runs.pop((node, name, fields["task"]), 0)
        job = self.jobs.get(name)
        if job and fields["code"] == "OK":
            run_s = int(fields["run_us"]) / 1e6
            job.longest_run_s = max(job.longest_run_s, run_s)

    def on_answered(self, name, fields):
        self.waiting.pop(name, None)
        job = self.jobs.pop(name, None)
        if not job or fields["code"] != "OK" or job.steps > 1:
            return
        response_s = int(fields["after_ms"]) / 1e3 + CALLER_NETWORK_S
        ideal_s = job.longest_run_s + NETWORK_S
        self.over_ideal[job.route].append(response_s / ideal_s)


def quantile(values, share):
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def main():
    day = Day()
    for event in read(sys.stdin):
        day.handle(*event)
    total = [ratio for ratios in day.over_ideal.values() for ratio in ratios]
    for name, ratios in sorted(day.over_ideal.items()) + [("all", total)]:
        if ratios:
            print(f"{name:12} jobs {len(ratios):6} over ideal: median "
                  f"{quantile(ratios, .5):.3f}, "
                  f"p95 {quantile(ratios, .95):.2f}, "
                  f"p99 {quantile(ratios, .99):.2f}")
    print(f"idle while a task waits: {day.idle_s:.1f} core-seconds, "
          f"{100 * day.idle_s / max(day.used_s, 1e-9):.2f}% of the "
          f"{day.used_s:.0f} core-seconds used by tasks")


if __name__ == "__main__":
    main()
