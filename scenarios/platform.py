"""Tests what callers and the operator observe of two entries and two agents that run
on the platform stand-in.

Usage: platform.py BASE_PORT ENTRY_1_PID ENTRY_2_PID ENTRY_1_LOG"""
import http.client
import json
import os
import signal
import socket
import sys
import threading
import time

base, first, second = map(int, sys.argv[1:4])
CALLERS, READY = [base + 13, base + 23], [base + 14, base + 24]
failures = []
last_job = [0]


def check(name, passed, seen=""):
    print("ok" if passed else "failed:", name, "" if passed else str(seen)[:300])
    if not passed:
        failures.append(name)


def call(port, method, path, body=None, host="desk.example", wait_ms=4000):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    data = json.dumps(body) if isinstance(body, dict) else body
    conn.request(method, path, data, {
        "Host": host, "Content-Type": "application/json",
        "Jacinthpick-Request-Deadline": str(wait_ms)})
    reply = conn.getresponse()
    text = reply.read().decode()
    conn.close()
    return reply.status, text


def platform(method, path, body=None):
    return json.loads(call(base, method, path, body)[1] or "{}")


def wait_for(name, condition, seconds=8):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            check(name, False)
            return False
        time.sleep(0.02)
    check(name, True)
    return True


def job(ms=50, tasks=4, cpu=3000, **more):
    spec = json.dumps({"ms": ms, "cpu": cpu, **more})
    return {"specification": spec, "bestEffort": True, "steps": [
        {"count": tasks, "cpu": cpu, "requestedMemoryMb": 64, "estimatedMs": ms}]}


def submit(port, body, name=None, wait_ms=4000):
    last_job[0] += 1
    return call(port, "POST", f"/desk/{name or format(last_job[0], '016x')}", body,
                wait_ms=wait_ms)


def config(version, prefixes):
    platform("PUT", "/op/config", {
        "version": version, "limits": {"maxBodyBytes": 65536}, "services": [],
        "routes": [{"name": f"r{p}", "host": "desk.example", "prefix": p,
                    "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
                    "priority": 1, "service": "finishing", "maxAttempts": 3,
                    "stretch": 1.6} for p in prefixes]})


# Without a configuration the entries refuse jobs.
time.sleep(1)
check("no configuration: 503", submit(CALLERS[0], job())[0] == 503)
check("no configuration: not ready", call(READY[0], "GET", "/jacinthpick/readiness")[0] == 503)
config(3, ["/desk/"])
wait_for("ready", lambda: all(
    call(port, "GET", "/jacinthpick/readiness")[0] == 200 for port in READY))

# Jobs.
status, text = submit(CALLERS[0], job())
check("a job completes", status == 200 and json.loads(text) == {"state": "completed"},
      (status, text))
status, text = submit(CALLERS[1], job(fails=True, tasks=1))
check("a job whose task fails is reported as failed", json.loads(text) == {"state": "failed"}, text)
runs = [s for s in platform("GET", "/runs")["starts"] if s[0].startswith(format(last_job[0], "016x"))]
check("the failed task was attempted three times", len(runs) == 3, runs)
check("queue length", call(CALLERS[0], "GET", "/desk/") == (200, '{"waiting":0}'))
check("unknown route", call(CALLERS[0], "GET", "/attic/")[0] == 404)
check("unknown host", call(CALLERS[0], "GET", "/desk/", host="x.example")[0] == 404)
check("unknown job", call(CALLERS[0], "GET", "/desk/00000000000000ff")[0] == 410)

# Invalid input.
for name, body in [("invalid JSON", "{"), ("no steps", {}), ("a step that is a string", {"steps": ["x"]}),
                   ("too many tasks", {"bestEffort": True, "steps": [{"count": 5000}]}),
                   ("an empty body", "")]:
    status, text = submit(CALLERS[0], body)
    check(f"invalid input, {name}: refused with 4xx", 400 <= status < 500, (status, text))
status, text = submit(CALLERS[0], "x" * 300000)
check("a body above the size limit", status == 413, status)
with socket.create_connection(("127.0.0.1", CALLERS[0]), 5) as slow:
    data = json.dumps(job()).encode()
    header = (f"POST /desk/00000000000a0001 HTTP/1.1\r\nHost: desk.example\r\n"
              f"Content-Length: {len(data)}\r\n\r\n").encode()
    for byte in header + data:
        slow.sendall(bytes([byte]))
    check("a request sent byte by byte", b"completed" in slow.recv(4096))

# Overload: no more tasks run than the capacity allows, and every caller is answered.
answers = []
threads = [threading.Thread(target=lambda: answers.append(submit(CALLERS[len(threads) % 2], job(200, 2))))
           for _ in range(40)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
check("every caller is answered", len(answers) == 40 and all(a[0] in (200, 503) for a in answers),
      [a[0] for a in answers])
check("the capacity is not exceeded", platform("GET", "/runs")["over"] == 0)

# A caller disconnects. Any 16 digits name a job, also those of the number 0.
for name in ("00000000000b0001", "0000000000000000"):
    with socket.create_connection(("127.0.0.1", CALLERS[0]), 5) as caller:
        data = json.dumps(job(20000, 2)).encode()
        caller.sendall((f"POST /desk/{name} HTTP/1.1\r\nHost: desk.example\r\n"
                        f"Jacinthpick-Request-Deadline: 60000\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
        wait_for("the tasks of the job run", lambda: platform("GET", "/runs")["running"] == 2)
        check(f"the job {name} is found", call(CALLERS[0], "GET", f"/desk/{name}")[0] == 200)
    wait_for(f"the tasks of {name} end when the caller disconnects",
             lambda: platform("GET", "/runs")["running"] == 0, 1)

# A caller disconnects while its entry is paused, and its job waits for capacity.
blocker = threading.Thread(target=submit, args=(CALLERS[1], job(700, 2, 8000)))
blocker.start()
wait_for("all capacity is taken", lambda: platform("GET", "/runs")["running"] == 2)
name = "00000000000b0002"
with socket.create_connection(("127.0.0.1", CALLERS[0]), 5) as caller:
    data = json.dumps(job(3000, 2, 8000)).encode()
    caller.sendall((f"POST /desk/{name} HTTP/1.1\r\nHost: desk.example\r\n"
                    f"Jacinthpick-Request-Deadline: 60000\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
    time.sleep(0.2)
    os.kill(first, signal.SIGSTOP)
blocker.join()
time.sleep(0.8)
os.kill(first, signal.SIGCONT)
time.sleep(0.5)
check("a job whose caller left during a pause does not start",
      not [s for s in platform("GET", "/runs")["starts"] if s[0].startswith(name)])

# Configuration changes and an evacuation by the operator.
config(4, ["/desk/", "/annex/"])
wait_for("a new route is in force", lambda: call(CALLERS[1], "GET", "/annex/")[0] == 200, 2)
long_prefix = "/" + "a" * 1000 + "/"
config(5, ["/desk/", long_prefix])
wait_for("a route with a long name and prefix is in force",
         lambda: call(CALLERS[1], "GET", long_prefix)[0] == 200, 2)
check("it leaves the others in force", submit(CALLERS[0], job())[0] == 200)
config(9, ["/desk/"])
wait_for("a removed route is unknown", lambda: call(CALLERS[0], "GET", "/annex/")[0] == 404, 2)
platform("PUT", "/op/evacuate/erie-shore", {})
time.sleep(2)
before = len(platform("GET", "/runs")["starts"])
submit(CALLERS[0], job(), wait_ms=700)
check("nothing starts in an evacuated data centre",
      len(platform("GET", "/runs")["starts"]) == before)
call(base, "PUT", "/op/evacuate/erie-shore", "")
wait_for("the data centre serves again", lambda: submit(CALLERS[0], job())[0] == 200, 5)

# A draining executor.
platform("PUT", "/draining", "true")
time.sleep(0.3)
before = len([s for s in platform("GET", "/runs")["starts"]])
status, _ = submit(CALLERS[0], job(50, 2))
check("a job runs on the other executor", status == 200, status)
platform("PUT", "/draining", "false")

# More orders at once than an agent has connections to its upstream.
def check_large_job(name, where):
    status = submit(CALLERS[0], job(100, 820, 10), name, 30000)[0]
    starts = [s for s in platform("GET", "/runs")["starts"] if s[0].startswith(name)]
    check(f"a job of 820 small tasks completes on {where}", status == 200, status)
    check(f"its tasks start once each on {where}", len(starts) == 820, len(starts))


check_large_job("00000000000e0001", "two agents")
platform("PUT", "/draining", "true")
time.sleep(0.3)
check_large_job("00000000000e0002", "one agent")
platform("PUT", "/draining", "false")
time.sleep(0.3)

# Heartbeats of other writers arrive beside running tasks. A run that they end for its
# agent goes on at the executor, and its task is started elsewhere.


def send_foreign_heartbeats(number):
    """To agent 3 or 4, whose executor calls itself i-1 or i-3."""
    own = f"i-{2 * number - 5}"
    agent = base + 10 * number + 5
    address = f"127.0.0.1:{base + 10 * number + 8}"
    body = {"service": "finishing", "address": address, "zone": "erie-shore",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": {"cpu": 8000, "requestedMemoryMb": 4096, "gpu": 0},
            "labels": ["a"], "clockMs": 1000, "sequence": 1,
            "born": int(time.time() * 1000)}
    nowhere = f"127.0.0.1:{base + 9}"
    for own_id, change in [("i-other", {"service": "archive", "address": nowhere}),
                           ("i-other", {"address": nowhere}), ("i-other", {}),
                           (own, {"service": "archive"}),
                           (own, {}),
                           (own, {"born": 1 << 52}),
                           (own, {"zone": 7}),
                           (own, {"address": nowhere})]:
        call(agent, "POST", f"/jacinthpick/Executors.Heartbeat/{own_id}", body | change)
        time.sleep(0.02)


name = "00000000000d0001"
result = []
thread = threading.Thread(
    target=lambda: result.append(submit(CALLERS[0], job(1200, 2, 1000), name)))
thread.start()
wait_for("the tasks run", lambda: platform("GET", "/runs")["running"] == 2)
send_foreign_heartbeats(3)
send_foreign_heartbeats(4)
thread.join()
starts = [s for s in platform("GET", "/runs")["starts"] if s[0].startswith(name)]
check("heartbeats of other writers end no run", result[0][0] == 200 and len(starts) == 2,
      (result, starts))
check("the executors serve on", submit(CALLERS[0], job(50, 4))[0] == 200)

# Jobs run while the table service is unavailable.
platform("PUT", "/down", "true")
time.sleep(1)
check("a job completes without the table service", submit(CALLERS[0], job())[0] == 200)
platform("PUT", "/down", "false")

# An entry dies, and its caller submits the job again to the other entry.
name = "00000000000c0001"
result = []


def submit_to_first():
    try:
        result.append(submit(CALLERS[0], job(3000, 2), name, 9000))
    except OSError:
        result.append("broken")


thread = threading.Thread(target=submit_to_first)
thread.start()
wait_for("the job runs", lambda: platform("GET", "/runs")["running"] == 2)
os.kill(first, signal.SIGKILL)
thread.join()
time.sleep(1.25)
check("the tasks have ended before the caller submits again", platform("GET", "/runs")["running"] == 0)
check("the job completes through the other entry", submit(CALLERS[1], job(300, 2), name)[0] == 200)

# A graceful stop interrupts no job.
answers_at_stop = []
thread = threading.Thread(target=lambda: answers_at_stop.append(submit(CALLERS[1], job(1500, 2), wait_ms=6000)))
thread.start()
time.sleep(0.3)
os.kill(second, signal.SIGTERM)
time.sleep(0.2)
check("an entry that stops is not ready", call(READY[1], "GET", "/jacinthpick/readiness")[0] == 503)
check("an entry that stops still serves jobs", submit(CALLERS[1], job())[0] == 200)
thread.join()
check("a job in progress is answered", answers_at_stop and answers_at_stop[0][0] == 200, answers_at_stop)

# The log of an entry shows a job from its arrival to its answer.
with open(sys.argv[4], encoding="utf-8") as log:
    lines = [line for line in log if "job=0000000000000002" in line]
check("the log contains the arrival and the answer of a job",
      any("Job received" in x for x in lines) and any("Job answered" in x for x in lines), lines)
print(f"{len(failures)} faults")
sys.exit(1 if failures else 0)
