"""Runs the examples of docs/API.md, then sends invalid input to every interface.

Usage: api.py API_PAGE BASE_PORT ENTRY_PID AGENT_PID"""
import http.client
import json
import os
import re
import socket
import subprocess
import sys

page, base, entry_pid, agent_pid = sys.argv[1], *map(int, sys.argv[2:5])
ENTRY, INTERNAL, AGENT = base + 101, base + 201, base + 301
failures = []


def check(name, passed, seen=""):
    if not passed:
        failures.append(name)
        print("failed:", name, str(seen)[:300])


def matches(want, got):
    """Compares with the JSON of an example, in which "*" stands for any value."""
    if want == "*":
        return got is not None
    if isinstance(want, dict):
        return isinstance(got, dict) and all(
            k in got and matches(v, got[k]) for k, v in want.items())
    if isinstance(want, list):
        return isinstance(got, list) and len(want) == len(got) and all(
            map(matches, want, got))
    return want == got


def call(method, path, body=None, key=None, port=ENTRY):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    conn.request(method, path, body, {"Idempotency-Key": key} if key else {})
    reply = conn.getresponse()
    data = reply.read()
    conn.close()
    return reply.status, data


def keys(count):
    return json.loads(call("POST", "/v1/keys", json.dumps({"count": count}))[1])["keys"]


def counter(name, port=ENTRY):
    for line in call("GET", "/metrics", port=port)[1].decode().splitlines():
        if line.split()[0] in (name, 'code_' + name, 'jacinthpick_' + name):
            return int(line.split()[-1])
    return 0


def run_examples():
    blocks = re.findall(r"```(sh|json)\n(.*?)```", open(page).read(), re.S)
    env = dict(os.environ, ENTRY="127.0.0.1:%d" % ENTRY)
    env.update({"KEY%d" % (i + 1): k for i, k in enumerate(keys(9))})
    count = 0
    for (kind, command), (_, want) in zip(blocks[::2], blocks[1::2]):
        out = subprocess.run(["sh", "-c", command], env=env, capture_output=True, text=True).stdout
        try:
            matched = matches(json.loads(want), json.loads(out))
        except ValueError:
            matched = False
        check("example " + command.strip()[:60], kind == "sh" and matched, out)
        count += 1
    return count


def raw(port, data, wait=True):
    """Sends bytes to a port. Returns the answer, or b"" if the connection was closed."""
    sock = socket.create_connection(("127.0.0.1", port), timeout=3)
    try:
        sock.sendall(data)
        return sock.recv(4096) if wait else b""
    except OSError:
        return b""
    finally:
        sock.close()


def job(tasks, **more):
    return json.dumps(dict({"service": "finishing", "tasks": tasks}, **more))


def bad_jobs():
    one = [{"input": "{}"}]
    cases = [
        (job([{"input": "{}"}] * 821), 400, 1005),
        (job([]), 400, 1003),
        (job(one, service=7), 400, 1003),
        (job(one, service="x" * 32), 400, 1003),
        (job(one, deadline_ms=-1), 400, 1003),
        (job(one, deadline_ms=0), 504, 1007),
        (job(one, priority="soon"), 400, 1003),
        (job([{"no": -1}]), 400, 1003),
        (job([{"no": 2 ** 31}]), 400, 1003),
        (job([{"no": 3}, {"no": 3}]), 400, 1006),
        (job([[]]), 400, 1003),
        (job(one, memory_mb=1 << 23), 422, 1104),
        (job(one, service="nobody"), 404, 1008),
        ("[]", 400, 1002),
        ("{", 400, 1002),
        ("\xff\xfe", 400, 1002),
        ("[" * 5000, 400, 1002),
        ('{"service":"a","service":"b","tasks":[{}]}', 400, 1002),
        ("", 400, 1002),
    ]
    for i, (body, status, code) in enumerate(cases):
        got, data = call("POST", "/v1/jobs", body, keys(1)[0])
        reply = json.loads(data)
        check("bad job %d" % i, got == status and reply["code"] == code, (got, data))
    for key in (None, "x", "A" * 54, keys(1)[0][:-2] + "zz", "k" * 300):
        got, data = call("POST", "/v1/jobs", job(one), key)
        check("bad key", got == 400 and json.loads(data)["code"] == 1010, (got, data))
    for body in ('{"count": 0}', '{"count": 1001}', '{"count": "a"}'):
        got, data = call("POST", "/v1/keys", body)
        check("bad count", got == 400 and json.loads(data)["code"] == 1003, data)
    got, data = call("POST", "/v1/requests", json.dumps({"service": "finishing"}), keys(1)[0])
    check("idempotent is required", json.loads(data)["code"] == 1003, data)
    got, data = call("GET", "/v1/nothing")
    check("no such path", got == 404 and json.loads(data)["code"] == 1009, data)
    return len(cases) + 10


def bad_http():
    huge = b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n"
    check("oversized body", b"413" in raw(ENTRY, huge).split(b"\r\n")[0])
    for port in (ENTRY, AGENT):
        for data in (b"\0" * 64, b"GET\r\n\r\n", b"BREW / HTTP/1.1\r\nHost: a\r\n\r\n",
                     b"GET / HTTP/9.9\r\n\r\n", b"POST /v1/jobs HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                     b"POST /v1/announce HTTP/1.1\r\nContent-Length: 3\r\n\r\n{{{",
                     b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
                     b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 4000 + b"\r\n",
                     os.urandom(512)):
            raw(port, data, wait=False)
    for body in ("", "{}", "[1]", '{"service":"finishing","address":"x","slots":0,"connections":1}'):
        got, data = call("POST", "/v1/announce", body, port=AGENT)
        check("bad announcement", got == 400, data)


def frame(data):
    """Frames a message as the link transport does: 64-bit big-endian length, then data."""
    return len(data).to_bytes(8, "big") + data


def bad_frames():
    hello = b"\0SP\0" + (80).to_bytes(2, "big") + b"\0\0"  # Protocol header of an nng push socket.
    for port in (INTERNAL, base + 401):
        raw(port, os.urandom(256), wait=False)
        raw(port, b"GET / HTTP/1.1\r\n\r\n", wait=False)
        raw(port, hello + b"\xff" * 8, wait=False)
        sock = socket.create_connection(("127.0.0.1", port), timeout=3)
        sock.sendall(hello)
        sock.recv(8)
        for data in (b"", b"short", os.urandom(16), os.urandom(4096)):
            sock.sendall(frame(data))
        sock.close()


def main():
    examples = run_examples()
    slow = keys(1)[0]
    call("POST", "/v1/jobs", job([{"input": '{"ms": 4000}'}], wait=False, deadline_ms=20000), slow)
    bad = bad_jobs()
    bad_http()
    bad_frames()
    got, data = call("GET", "/v1/jobs/%s?wait=1" % slow)
    check("a job submitted before the invalid input completes", got == 200 and json.loads(data)["state"] == "complete", data)
    for port in (ENTRY, AGENT):
        seen = counter("frame_bad_mac", port) + counter("frame_bad", port)
        check("invalid frames are counted", seen >= 2, seen)
    for pid in (entry_pid, agent_pid):
        check("process still runs", os.path.exists("/proc/%d" % pid))
    print("api: examples %d, bad inputs %d and on raw ports, failed %d" % (examples, bad, len(failures)))
    return 1 if failures else 0


sys.exit(main())
