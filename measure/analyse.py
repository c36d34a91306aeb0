"""Figures of one cell: answers, journals and counters in, a dict out."""

import json

import ideal

KINDS_ALL = "all"
SETTLE_S = 2.0
# Codes whose answers say that nothing was run.
NOT_RUN = "not run"
# Counters by role; each counts one or more messages that did no work.
WASTED = {
    "start_retried": 2,  # A start and its refusal.
    "start_resent": 1,
    "result_duplicate": 1,
    "result_stale": 1,
}


def quantile(values, q):
    if not values:
        return None
    values = sorted(values)
    return values[min(len(values) - 1, int(q * len(values)))]


def read_journals(paths):
    """{(key, task): [(start_us, stop_us or None), ...]}"""
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
            what, key, task, _, at = fields
            name = (key, task)
            if what == "start":
                run = [int(at), None]
                runs.setdefault(name, []).append(run)
                open_runs.setdefault(name, []).append(run)
            elif open_runs.get(name):
                open_runs[name].pop(0)[1] = int(at)
    return runs


def witness(jobs, runs):
    """What must be zero."""
    started = {key for key, _ in runs}
    repeatable = {job["key"] for job in jobs
                  if job["kind"] in ("pane-lookup",)}
    repeats = sum(len(list_) - 1 for (key, _), list_ in runs.items()
                  if key not in repeatable)
    partial = sum(1 for job in jobs if job["status"] == 200
                  and job["returned"] != len(job["runs"]))
    untrue = sum(1 for job in jobs if job["status"] > 0
                 and job["run"] == NOT_RUN and job["key"] in started)
    return {"repeated_starts": repeats, "partial_answers": partial,
            "untrue_refusals": untrue}


def clip(start, stop, low, high):
    return max(0, min(stop, high) - max(start, low))


def goodput(jobs, runs, began_us, seconds, slots):
    """Share of the slots' time that went into complete jobs, and into all."""
    low = began_us + SETTLE_S * 1e6
    high = began_us + seconds * 1e6
    good = {job["key"] for job in jobs if job["status"] == 200}
    tasks = {job["key"] for job in jobs if not job["request"]}
    useful = busy = 0
    for (key, _), list_ in runs.items():
        if key not in tasks:
            continue
        for start, stop in list_:
            part = clip(start, stop or high, low, high)
            busy += part
            useful += part if key in good else 0
    room = slots * (high - low)
    return useful / room, busy / room


def ratios(jobs, slots):
    """Adds the ideals and the ratios to each job."""
    central = ideal.central_ms(jobs, slots)
    for job, central_ms in zip(jobs, central):
        job["bound_ms"] = (max(job["runs"]) if job["request"]
                           else ideal.bound_ms(job, slots))
        job["central_ms"] = central_ms
        job["ms"] = job["latency_us"] / 1000


def spread(values):
    return {name: quantile(values, q)
            for name, q in (("p50", .5), ("p99", .99), ("p999", .999))}


def describe_kind(jobs, names):
    group = [job for job in jobs if job["kind"] in names]
    done = [job for job in group if job["status"] == 200]
    ideal_done = [job["central_ms"] for job in group if job["central_ms"]]
    both = [job for job in done if job["central_ms"]]
    codes = {}
    for job in group:
        name = str(job["code"]) if job["status"] > 0 else "no answer"
        codes[name] = codes.get(name, 0) + 1
    met = [job for job in done if job["ms"] <= job["deadline_ms"]]
    own = spread([job["ms"] for job in done])
    central = spread(ideal_done)
    return {
        "submitted": len(group), "complete": len(done),
        "in_time": len(met), "codes": codes,
        "response_ms": own,
        "central_ms": central,
        "over_central_each": spread(
            [job["ms"] / job["central_ms"] for job in both]),
        "over_bound_each": spread(
            [job["ms"] / job["bound_ms"] for job in done]),
        "over_central": {q: own[q] / central[q]
                         if own[q] and central[q] else None for q in own},
    }


def messages(counters):
    entry, agent = counters["entry"], counters["agent"]

    def get(group, name):
        return group.get("jacinthpick_" + name, 0)
    sent = get(entry, "messages_sent") + get(agent, "messages_sent")
    starts = get(agent, "tasks_started")
    wasted = sum(times * get(entry, name) for name, times in WASTED.items())
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


def analyse(jobs, journals, began_us, seconds, slots, counters):
    runs = read_journals(journals)
    ratios(jobs, slots)
    useful, busy = goodput(jobs, runs, began_us, seconds, slots)
    kinds = sorted({job["kind"] for job in jobs})
    tasks = [job["kind"] for job in jobs if not job["request"]]
    return {
        "kinds": {kind: describe_kind(jobs, {kind}) for kind in kinds},
        "jobs": describe_kind(jobs, set(tasks)),
        "goodput": useful, "busy": busy,
        "messages": messages(counters),
        "witness": witness(jobs, runs),
    }


def read_answers(path):
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.startswith("{")]
