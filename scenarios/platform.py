"""What callers and the operator see of processes on the platform. Arguments:
base port, process numbers of the two entries, log of the first."""
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
faults = []
number = [0]


def check(name, good, seen=""):
    print("ok" if good else "failed:", name, "" if good else str(seen)[:300])
    if not good:
        faults.append(name)


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


def wait_for(name, good, seconds=8):
    end = time.monotonic() + seconds
    while not good():
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
    number[0] += 1
    return call(port, "POST", f"/desk/{name or format(number[0], '016x')}", body,
                wait_ms=wait_ms)


def config(version, prefixes):
    platform("PUT", "/op/config", {
        "version": version, "limits": {"maxBodyBytes": 65536}, "services": [],
        "routes": [{"name": f"r{p}", "host": "desk.example", "prefix": p,
                    "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
                    "priority": 1, "service": "finishing", "maxAttempts": 3,
                    "stretch": 1.6} for p in prefixes]})


# Before there is a configuration.
time.sleep(1)
check("no configuration: 503", submit(CALLERS[0], job())[0] == 503)
check("no configuration: not ready", call(READY[0], "GET", "/jacinthpick/readiness")[0] == 503)
config(3, ["/desk/"])
wait_for("ready", lambda: all(
    call(port, "GET", "/jacinthpick/readiness")[0] == 200 for port in READY))

# Jobs.
status, text = submit(CALLERS[0], job())
check("a job is completed", status == 200 and json.loads(text) == {"state": "completed"},
      (status, text))
status, text = submit(CALLERS[1], job(fails=True, tasks=1))
check("a job that fails is failed", json.loads(text) == {"state": "failed"}, text)
runs = [s for s in platform("GET", "/runs")["starts"] if s[0].startswith(format(number[0], "016x"))]
check("it had its three attempts", len(runs) == 3, runs)
check("queue", call(CALLERS[0], "GET", "/desk/") == (200, '{"waiting":0}'))
check("unknown route", call(CALLERS[0], "GET", "/attic/")[0] == 404)
check("unknown host", call(CALLERS[0], "GET", "/desk/", host="x.example")[0] == 404)
check("unknown job", call(CALLERS[0], "GET", "/desk/00000000000000ff")[0] == 410)

# Bad input.
for name, body in [("no JSON", "{"), ("no steps", {}), ("a step of text", {"steps": ["x"]}),
                   ("too many tasks", {"bestEffort": True, "steps": [{"count": 5000}]}),
                   ("an empty body", "")]:
    status, text = submit(CALLERS[0], body)
    check(f"bad input, {name}: a clear answer", 400 <= status < 500, (status, text))
status, text = submit(CALLERS[0], "x" * 300000)
check("a body beyond the limit", status == 413, status)
with socket.create_connection(("127.0.0.1", CALLERS[0]), 5) as slow:
    data = json.dumps(job()).encode()
    head = (f"POST /desk/00000000000a0001 HTTP/1.1\r\nHost: desk.example\r\n"
            f"Content-Length: {len(data)}\r\n\r\n").encode()
    for byte in head + data:
        slow.sendall(bytes([byte]))
    check("slow bytes", b"completed" in slow.recv(4096))

# Overload: no more than the capacity, every caller gets an answer.
answers = []
threads = [threading.Thread(target=lambda: answers.append(submit(CALLERS[len(threads) % 2], job(200, 2))))
           for _ in range(40)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
check("every caller is answered", len(answers) == 40 and all(a[0] in (200, 503) for a in answers),
      [a[0] for a in answers])
check("the capacity is kept", platform("GET", "/runs")["over"] == 0)

# A caller that leaves.
with socket.create_connection(("127.0.0.1", CALLERS[0]), 5) as leaver:
    data = json.dumps(job(20000, 2)).encode()
    leaver.sendall((f"POST /desk/00000000000b0001 HTTP/1.1\r\nHost: desk.example\r\n"
                    f"Jacinthpick-Request-Deadline: 60000\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
    wait_for("its tasks run", lambda: platform("GET", "/runs")["running"] == 2)
wait_for("its tasks end when it leaves", lambda: platform("GET", "/runs")["running"] == 0, 1)

# The operator's changes.
config(4, ["/desk/", "/annex/"])
wait_for("a new route in force", lambda: call(CALLERS[1], "GET", "/annex/")[0] == 200, 2)
config(9, ["/desk/"])
wait_for("a dropped route is gone", lambda: call(CALLERS[0], "GET", "/annex/")[0] == 404, 2)
platform("PUT", "/op/evacuate/erie-shore", {})
time.sleep(2)
before = len(platform("GET", "/runs")["starts"])
submit(CALLERS[0], job(), wait_ms=700)
check("nothing starts in an evacuated data centre",
      len(platform("GET", "/runs")["starts"]) == before)
call(base, "PUT", "/op/evacuate/erie-shore", "")
wait_for("it serves again", lambda: submit(CALLERS[0], job())[0] == 200, 5)

# A draining executor.
platform("PUT", "/draining", "true")
time.sleep(0.3)
before = len([s for s in platform("GET", "/runs")["starts"]])
status, _ = submit(CALLERS[0], job(50, 2))
check("a job goes to the other executor", status == 200, status)
platform("PUT", "/draining", "false")

# The table service away: jobs go on.
platform("PUT", "/down", "true")
time.sleep(1)
check("served without the table service", submit(CALLERS[0], job())[0] == 200)
platform("PUT", "/down", "false")

# An entry dies; its caller comes back to the other one.
name = "00000000000c0001"
result = []


def lost():
    try:
        result.append(submit(CALLERS[0], job(3000, 2), name, 9000))
    except OSError:
        result.append("broken")


thread = threading.Thread(target=lost)
thread.start()
wait_for("the job runs", lambda: platform("GET", "/runs")["running"] == 2)
os.kill(first, signal.SIGKILL)
thread.join()
time.sleep(1.25)
check("its tasks have ended before the caller is back", platform("GET", "/runs")["running"] == 0)
check("it runs through the other entry", submit(CALLERS[1], job(300, 2), name)[0] == 200)

# A graceful stop breaks off nothing.
late = []
thread = threading.Thread(target=lambda: late.append(submit(CALLERS[1], job(1500, 2), wait_ms=6000)))
thread.start()
time.sleep(0.3)
os.kill(second, signal.SIGTERM)
time.sleep(0.2)
check("not ready while it stops", call(READY[1], "GET", "/jacinthpick/readiness")[0] == 503)
check("a job still served while it stops", submit(CALLERS[1], job())[0] == 200)
thread.join()
check("a job under way is answered", late and late[0][0] == 200, late)

# The log leads from a job's name to its answer.
with open(sys.argv[4], encoding="utf-8") as log:
    lines = [line for line in log if "job=0000000000000002" in line]
check("the log has the job's coming and its answer",
      any("Job received" in x for x in lines) and any("Job answered" in x for x in lines), lines)
print(f"{len(faults)} faults")
sys.exit(1 if faults else 0)
