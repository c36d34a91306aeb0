"""What a day's logs say of response times and of idle workers.

Reads log lines of all entries and agents on standard input, each with the
time in seconds and the node before it (`fleetbench run --log all` writes
them so), and prints for each route and in all

over ideal: the time from a job's coming to its answer, over its longest run
    plus the network both ways. Jobs of one step that were completed.
idle: core-seconds that agents had free for a task while one waited, for
    longer than the messages of a start take; and the same as a part of what
    the tasks took.
"""

import collections
import re
import sys

NETWORK_S = 0.004  # caller to worker and back, as the users' pages have it
CALLERS_PART_S = 0.002  # of that, what an entry cannot see
START_S = 0.005  # a start on its way, with a look over the queues
SILENT_S = 0.5  # an agent that wrote nothing for this long takes no tasks

FIELDS = re.compile(r"(\w+)=(\S+)")


class Job:
    def __init__(self, at, fields):
        self.at = at
        self.route = fields["route"]
        self.steps = int(fields["steps"])
        self.cpu = int(fields["cpu"]) / 1000
        self.end = at + int(fields["deadline_ms"]) / 1000
        self.left = int(fields["tasks"])
        self.begun = set()
        self.longest_s = 0.0


def read(lines):
    """Yields (time, node, what happened, its fields) in order of time."""
    events = []
    for line in lines:
        parts = line.split(None, 5)
        if len(parts) < 6 or not re.match(r"\d+\.\d+$", parts[0]):
            continue
        what = parts[5].split(": ", 1)[-1].split(".", 1)[0]
        fields = dict(FIELDS.findall(parts[5]))
        events.append((float(parts[0]), parts[1], what, fields))
    return sorted(events, key=lambda event: event[0])


class Day:
    def __init__(self):
        self.jobs = {}
        self.runs = {}  # (node, job, task): cores
        self.used = collections.Counter()
        self.all = {}
        self.heard = {}
        self.over = collections.defaultdict(list)
        self.idle_s = 0.0
        self.taken_s = 0.0
        self.coming = collections.deque()  # jobs that do not wait yet
        self.waiting = {}
        self.now = 0.0

    def pass_until(self, at):
        """Count what was idle since the event before."""
        while self.coming and self.coming[0][0] <= at:
            since, name = self.coming.popleft()
            self.count(since)
            if name in self.jobs and self.jobs[name].left > 0:
                self.waiting[name] = self.jobs[name]
        self.count(at)

    def count(self, at):
        if at <= self.now:
            return
        span = at - self.now
        self.now = at
        self.taken_s += span * sum(self.used.values())
        self.waiting = {name: job for name, job in self.waiting.items()
                        if job.end > at}
        wanted = sum(job.left * job.cpu for job in self.waiting.values())
        if wanted:
            least = min(job.cpu for job in self.waiting.values())
            free = sum((all_ - self.used[node]) // least * least
                       for node, all_ in self.all.items()
                       if all_ > self.used[node] and
                       at - self.heard[node] < SILENT_S)
            self.idle_s += span * min(free, wanted)

    def take(self, at, node, what, fields):
        self.pass_until(at)
        self.heard[node] = at
        name = fields.get("job")
        if what == "Job received":
            self.jobs[name] = Job(at, fields)
            self.coming.append((at + START_S, name))
        elif what == "Run ordered":
            self.order(node, name, fields)
        elif what == "Run ended":
            self.end(node, name, fields)
        elif what == "Job answered":
            self.answer(name, fields)
        elif what == "Caller disconnected":
            self.waiting.pop(name, None)

    def order(self, node, name, fields):
        self.all[node] = int(fields["capacity_cpu"]) / 1000
        self.used[node] = int(fields["used_cpu"]) / 1000
        self.runs[node, name, fields["task"]] = int(fields["cpu"]) / 1000
        job = self.jobs.get(name)
        if not job or fields["task"] in job.begun:
            return
        job.begun.add(fields["task"])
        job.left -= 1
        if job.left == 0:
            self.waiting.pop(name, None)

    def end(self, node, name, fields):
        self.used[node] -= self.runs.pop((node, name, fields["task"]), 0)
        job = self.jobs.get(name)
        if job and fields["code"] == "OK":
            run_s = int(fields["run_us"]) / 1e6
            job.longest_s = max(job.longest_s, run_s)

    def answer(self, name, fields):
        self.waiting.pop(name, None)
        job = self.jobs.pop(name, None)
        if not job or fields["code"] != "OK" or job.steps > 1:
            return
        took_s = int(fields["after_ms"]) / 1e3 + CALLERS_PART_S
        self.over[job.route].append(took_s / (job.longest_s + NETWORK_S))


def part(values, share):
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def main():
    day = Day()
    for event in read(sys.stdin):
        day.take(*event)
    every = [value for values in day.over.values() for value in values]
    for name, values in sorted(day.over.items()) + [("all", every)]:
        if values:
            print(f"{name:12} jobs {len(values):6} over ideal: median "
                  f"{part(values, .5):.3f}, 95 of 100 {part(values, .95):.2f}, "
                  f"99 of 100 {part(values, .99):.2f}")
    print(f"idle while a task waits: {day.idle_s:.1f} core-seconds, "
          f"{100 * day.idle_s / max(day.taken_s, 1e-9):.2f}% of the "
          f"{day.taken_s:.0f} taken")


if __name__ == "__main__":
    main()
