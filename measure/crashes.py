"""Counts crashes of upstreams under each task in the logs of a simulated day.

Reads log lines of all entries and agents on standard input, each preceded by
the time in seconds and the node, as `fleetbench run --log all` writes them.
An upstream crashes under a task when the task runs there at that time. Prints

crashes: their number, and how many upstreams they concern;
under a task: the number of tasks by crashes under them, and of those that
    began within SUSPECT_S before: these may have caused them;
starts after: starts of tasks after so many crashes that they may have caused;
kinds: the routes of the jobs of these tasks, and how their jobs ended.
"""

import collections
import re
import sys

# A task that crashes its upstream does so this soon after its start.
SUSPECT_S = 0.04

FIELDS = re.compile(r"(\w+)=(\S+)")


def read(lines):
    """Yields (time, node, text) of each log line."""
    for line in lines:
        parts = line.split(None, 5)
        if len(parts) == 6 and re.match(r"-?\d+\.\d+$", parts[0]):
            yield float(parts[0]), parts[1], parts[5]


class Crashes:
    """Replays the runs of a day."""

    def __init__(self):
        self.route = {}  # by job
        self.ended = {}  # code of the latest answer, by job
        self.running = collections.defaultdict(dict)  # node: task: start
        self.nodes = collections.Counter()  # crashes by node
        self.aboard = collections.Counter()  # crashes by task
        self.young = collections.Counter()  # the same, begun just before
        self.starts = collections.Counter()  # by young crashes before

    def handle(self, at, node, text):
        fields = dict(FIELDS.findall(text))
        job = fields.get("job")
        task = (job, fields.get("task"))
        if "Job received." in text:
            self.route[job] = fields["route"]
        elif "Job answered." in text:
            self.ended[job] = fields["code"]
        elif "Run ordered." in text:
            self.running[node][task] = at
            self.starts[self.young[task]] += 1
        elif "Upstream has crashed" in text:
            self.on_crash(at, node)
        elif "Run ended." in text:
            self.running[node].pop(task, None)

    def on_crash(self, at, node):
        self.nodes[node] += 1
        for task, since in self.running[node].items():
            self.aboard[task] += 1
            if at - since < SUSPECT_S + 0.04:
                self.young[task] += 1
        self.running[node].clear()

    def report(self):
        print("crashes", sum(self.nodes.values()), "upstreams",
              len(self.nodes))
        for name, counts in (("under a task", self.aboard),
                             ("of these soon after its start", self.young)):
            print(name, sorted(collections.Counter(
                count for count in counts.values() if count).items()))
        print("starts after", sorted(
            item for item in self.starts.items() if item[0]))
        jobs = {task[0] for task, count in self.young.items() if count > 1}
        print("jobs of tasks with two or more by route and end",
              sorted(collections.Counter(
                  (self.route.get(job, "?"), self.ended.get(job, "open"))
                  for job in jobs).items()))


def main():
    crashes = Crashes()
    for at, node, text in sorted(read(sys.stdin), key=lambda item: item[0]):
        crashes.handle(at, node, text)
    crashes.report()


if __name__ == "__main__":
    main()
