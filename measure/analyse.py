"""Computes the figures of one cell of a measurement.

The input is the output of measure-load, the journals of the upstreams and the
counters of the daemons.
"""

import json

import ideal

KINDS_ALL = "all"
# Goodput is measured from this time after the start of the load.
WARMUP_S = 2.0
# Field "run" of an answer that says that no task was run.
NOT_RUN = "not run"
# Counters of an entry and the number of wasted messages per count.
WASTED = {
    "start_retried": 2,  # The start and its refusal.
    "start_resent": 1,
    "result_duplicate": 1,
    "result_stale": 1,
}


def quantile(values, q):
    """Returns the quantile `q` (0 to 1) of `values`; None if there are none."""
    if not values:
        return None
    values = sorted(values)
    return values[min(len(values) - 1, int(q * len(values)))]


def read_journals(paths):
    """Returns the runs of each task, {(key, task): [[start_us, stop_us]]}.

    stop_us is None for a run that has not ended. Missing files are skipped.
    """
    runs = {}
    for path in paths:
        try:
            with open(path, encoding="ascii") as file:
                lines = file.readlines()
        except OSError:
            continue
        open_runs = {}
        for line in lines:
            fields = line.split()
            if len(fields) != 5:
                continue
            event, key, task, _, time_us = fields
            name = (key, task)
            if event == "start":
                run = [int(time_us), None]
                runs.setdefault(name, []).append(run)
                open_runs.setdefault(name, []).append(run)
            elif open_runs.get(name):
                open_runs[name].pop(0)[1] = int(time_us)
    return runs


def count_violations(jobs, runs):
    """Counts violations of the dispatcher's guarantees; all must be zero.

    repeated_starts: further starts of a task that must start at most once.
    partial_answers: successful answers that lack results of tasks.
    untrue_refusals: answers "not run" to jobs of which a task was started.
    """
    started = {key for key, _ in runs}
    idempotent = {job["key"] for job in jobs
                  if job["kind"] in ("pane-lookup",)}
    repeats = sum(len(task_runs) - 1 for (key, _), task_runs in runs.items()
                  if key not in idempotent)
    partial = sum(1 for job in jobs if job["status"] == 200
                  and job["returned"] != len(job["runs"]))
    untrue = sum(1 for job in jobs if job["status"] > 0
                 and job["run"] == NOT_RUN and job["key"] in started)
    return {"repeated_starts": repeats, "partial_answers": partial,
            "untrue_refusals": untrue}


def overlap(start, stop, low, high):
    """Length of the part of [start, stop] within [low, high]."""
    return max(0, min(stop, high) - max(start, low))


def goodput(jobs, runs, load_start_us, seconds, slots):
    """Shares of the slot time spent on completed jobs and on all jobs."""
    low = load_start_us + WARMUP_S * 1e6
    high = load_start_us + seconds * 1e6
    completed = {job["key"] for job in jobs if job["status"] == 200}
    job_keys = {job["key"] for job in jobs if not job["request"]}
    useful = busy = 0
    for (key, _), task_runs in runs.items():
        if key not in job_keys:
            continue
        for start, stop in task_runs:
            run_us = overlap(start, stop or high, low, high)
            busy += run_us
            useful += run_us if key in completed else 0
    slot_us = slots * (high - low)
    return useful / slot_us, busy / slot_us


def add_ideals(jobs, slots):
    """Adds bound_ms, central_ms (see ideal.py) and ms, the response time."""
    central = ideal.central_ms(jobs, slots)
    for job, central_ms in zip(jobs, central):
        job["bound_ms"] = (max(job["runs"]) if job["request"]
                           else ideal.bound_ms(job, slots))
        job["central_ms"] = central_ms
        job["ms"] = job["latency_us"] / 1000


def quantiles(values):
    return {name: quantile(values, q)
            for name, q in (("p50", .5), ("p99", .99), ("p999", .999))}


def describe_kinds(jobs, names):
    """Figures over all jobs of the kinds `names`."""
    group = [job for job in jobs if job["kind"] in names]
    done = [job for job in group if job["status"] == 200]
    central_times = [job["central_ms"] for job in group if job["central_ms"]]
    in_both = [job for job in done if job["central_ms"]]
    codes = {}
    for job in group:
        name = str(job["code"]) if job["status"] > 0 else "no answer"
        codes[name] = codes.get(name, 0) + 1
    in_time = [job for job in done if job["ms"] <= job["deadline_ms"]]
    response = quantiles([job["ms"] for job in done])
    central = quantiles(central_times)
    return {
        "submitted": len(group), "complete": len(done),
        "in_time": len(in_time), "codes": codes,
        "response_ms": response,
        "central_ms": central,
        "over_central_each": quantiles(
            [job["ms"] / job["central_ms"] for job in in_both]),
        "over_bound_each": quantiles(
            [job["ms"] / job["bound_ms"] for job in done]),
        "over_central": {q: response[q] / central[q]
                         if response[q] and central[q] else None
                         for q in response},
    }


def describe_messages(counters):
    """Message counts of all entries and agents."""
    entry, agent = counters["entry"], counters["agent"]

    def get(group, name):
        return group.get("jacinthpick_" + name, 0)
    sent = get(entry, "messages_sent") + get(agent, "messages_sent")
    starts = get(agent, "tasks_started")
    wasted = sum(weight * get(entry, name) for name, weight in WASTED.items())
    wasted += get(agent, "start_duplicate")
    task_messages = get(entry, "tasks_sent") * 2
    return {
        "starts": starts, "messages": sent,
        "frames": get(entry, "frames_sent") + get(agent, "frames_sent"),
        "bytes": get(entry, "bytes_sent") + get(agent, "bytes_sent"),
        "messages_per_task": sent / starts if starts else None,
        "refused_starts": get(entry, "start_retried"),
        "wasted": wasted,
        "wasted_share": wasted / task_messages if task_messages else None,
    }


def analyse(jobs, journals, load_start_us, seconds, slots, counters):
    """Returns the figures of a cell as a dict.

    jobs: dicts from read_answers(). journals: paths. seconds: length of the
    load that started at load_start_us. counters: increase by role and name.
    """
    runs = read_journals(journals)
    add_ideals(jobs, slots)
    useful, busy = goodput(jobs, runs, load_start_us, seconds, slots)
    kinds = sorted({job["kind"] for job in jobs})
    job_kinds = {job["kind"] for job in jobs if not job["request"]}
    return {
        "kinds": {kind: describe_kinds(jobs, {kind}) for kind in kinds},
        "jobs": describe_kinds(jobs, job_kinds),
        "goodput": useful, "busy": busy,
        "messages": describe_messages(counters),
        "witness": count_violations(jobs, runs),
    }


def read_answers(path):
    """Reads the output of measure-load: one dict per submission."""
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.startswith("{")]
