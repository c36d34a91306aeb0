"""Stand-ins of the users' platform, and process control, for the scripts of
the second review: the table service, executors, the client's side of HTTP and
the platform's front address. All are in the process of the script; the
project's own programs are started as processes of their own, with the commands
and the templates of deploy/system.toml.

Every address is in 127.0.0.0/8. Each machine has an address of its own there,
so that ports are the same on all machines of a script."""
import base64
import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "desk.example"
SERVICE = "finishing"
# As in DEPLOY.md and in the small site files.
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 6, "configurationApplyMs": 2000,
          "evacuationMs": 5000, "maxHoldMs": 1000, "stopTimeoutMs": 50, "cancel_ms": 3000,
          "resendMs": 1300}
HEARTBEAT_S = 1.5
STOP_S = 0.03  # time that a run takes to stop, of 50 ms at most
PORTS = {"frontAddress": 8161, "readyAddress": 8167, "controlPlane": 8166, "app": 8165,
         "first": 7720, "last": 7735}
T0 = time.monotonic()


def now_s():
    return time.monotonic() - T0


class Record:
    """record.txt: what was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{now_s():9.3f} s  {text}\n")
            self.file.flush()


class Quiet(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # a connection that was closed by the other side


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body):
        data = json.dumps(body).encode()
        head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n").encode()
        self.wfile.write(head + data)


def serve(address, handler):
    server = Quiet(address, handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05},
                     daemon=True).start()
    return server


class Store:
    """The platform's metadata store, as far as the programs use it."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}  # (table, part, key): (value or None, version)
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                url = urllib.parse.urlparse(self.path)
                args = {k: v[0] for k, v in
                        urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                if url.path == "/jacinthpick/rows-get":
                    self.answer(200, store.get(args))
                elif url.path == "/jacinthpick/rows-feed":
                    self.answer(200, store.feed(args))
                else:
                    self.answer(404, {})

            def do_POST(self):
                data = json.loads(self.body())
                if self.path == "/jacinthpick/rows-tx":
                    self.answer(*store.transact(data))
                else:
                    self.answer(404, {})

        self.server = serve(address, StoreHandler)

    @staticmethod
    def row(name, value, version):
        out = {"table": name[0], "part": name[1], "key": name[2], "versionNumber": version}
        if value is None:
            out["deleted"] = True
        else:
            out["value"] = value
        return out

    def clock(self):
        return {"versionNumber": self.version, "nowMs": int(time.monotonic() * 1000)}

    def get(self, args):
        with self.changed:
            limit = min(int(args.get("limit", 500)), 500)
            found = sorted((n, v) for n, v in self.rows.items()
                           if n[0] == args["table"] and n[1] == args.get("part", "")
                           and v[0] is not None and args.get("from", "") <= n[2]
                           and ("to" not in args or n[2] < args["to"]))
            return {"rows": [self.row(n, *v) for n, v in found[:limit]],
                    "hasMore": len(found) > limit} | self.clock()

    def changes(self, table, after):
        found = [(n, v) for n, v in self.rows.items() if n[0] == table and v[1] > after]
        return [self.row(n, *v) for n, v in sorted(found, key=lambda item: item[1][1])]

    def feed(self, args):
        table, after = args["table"], int(args["after"])
        with self.changed:
            self.changed.wait_for(lambda: self.changes(table, after),
                                  min(int(args.get("waitMs", 0)), 30000) / 1000)
            return {"rows": self.changes(table, after)} | self.clock()

    def transact(self, change):
        with self.changed:
            wrong = []
            for row in change.get("expectedRevision", []):
                name = (row["table"], row.get("part", ""), row["key"])
                value, version = self.rows.get(name, (None, 0))
                if row["versionNumber"] != (version if value is not None else 0):
                    wrong.append(self.row(name, value, version))
            if wrong:
                return 412, {"rows": wrong} | self.clock()
            self.version += 1
            for row in change.get("setKeys", []):
                name = (row["table"], row.get("part", ""), row["key"])
                self.rows[name] = (row["value"], self.version)
            for row in change.get("remove", []):
                name = (row["table"], row.get("part", ""), row["key"])
                self.rows[name] = (None, self.version)
            self.changed.notify_all()
            return 200, self.clock()

    def put(self, key, value):
        """The operator writes a row; None removes it."""
        with self.changed:
            self.version += 1
            text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
            self.rows["op", "", key] = (text, self.version)
            self.changed.notify_all()


class Run:
    def __init__(self, executor, task, number, spec, cpu):
        self.executor, self.task, self.number, self.cpu = executor, task, number, cpu
        self.begun_s, self.ended_s, self.how = now_s(), None, None
        self.due_s = self.begun_s + spec["ms"] / 1000
        self.stop_s = None


class Executor:
    """An executor that starts whatever it is told to start. The specification
    of a job is a JSON text with "ms", the run time of its tasks."""

    def __init__(self, record, name, address, agent, cpu=64000, labels=("a", "r1-1"),
                 zone="erie-shore"):
        self.record, self.name, self.address, self.agent = record, name, address, agent
        self.cpu, self.labels, self.zone = cpu, list(labels), zone
        self.id = f"i-{name}"
        self.lock = threading.Condition()
        self.state = "ready"
        self.runs = []  # all runs, of all its lives
        self.alive = threading.Event()
        self.life = 0  # rises with each crash
        self.beat_at_s = 0
        self.begin_life()
        self.listen()
        threading.Thread(target=self.loop, daemon=True).start()

    def begin_life(self):
        self.born_ms = int(time.time() * 1000)
        self.born_s = now_s()
        self.fence, self.lease_end_ms, self.end_count, self.sequence = 0, 0, 0, 0
        self.running, self.ended, self.last_number = {}, [], {}

    def listen(self):
        executor = self

        life = self.life

        class ExecutorHandler(Handler):
            def do_POST(self):
                body = json.loads(self.body())
                if executor.life != life:  # the process that it connected to has ended
                    self.close_connection = True
                    return
                expected = self.headers.get("Jacinthpick-Expected-Instance")
                status, reply = executor.order(self.path, body, expected)
                self.answer(status, reply | {"clockMs": executor.clock_ms(),
                                             "born": executor.born_ms})

        self.server = serve(self.address, ExecutorHandler)
        self.alive.set()

    def clock_ms(self):
        return int((now_s() - self.born_s) * 1000) + 1000

    def order(self, path, body, expected):
        with self.lock:
            if not self.alive.is_set():
                raise ConnectionResetError
            if expected and expected != self.id:
                return 421, {}
            if body.get("fencingToken", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body.get("fencingToken", 0)
            if "deadlineMs" in body:
                longest = self.clock_ms() + BOUNDS["maxHoldMs"]
                self.lease_end_ms = max(self.lease_end_ms, min(body["deadlineMs"], longest))
            if path == "/jacinthpick/run-start":
                return self.start(body)
            if path == "/jacinthpick/run-stop":
                return self.stop(body)
            if path == "/jacinthpick/hold":
                return self.hold(body)
            return 404, {}

    def start(self, body):
        task, number = body["task"], body["run"]
        if (task, number) in self.running:
            return 200, {}
        if number <= self.last_number.get(task, 0):
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        spec = json.loads(body["specification"])
        run = Run(self, task, number, spec, spec.get("cpu", 1000))
        self.running[task, number] = run
        self.runs.append(run)
        self.record(f"{self.name} starts {task} run {number}")
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.last_number[task] = max(self.last_number.get(task, 0), number)
        run = self.running.get((task, number))
        if run and run.stop_s is None:
            run.stop_s = now_s() + STOP_S
        return 200, {}

    def hold(self, body):
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        if not self.ended and body.get("waitMs"):
            self.lock.wait(body["waitMs"] / 1000)
        percent = lambda run: int(100 * (now_s() - run.begun_s) /
                                  max(run.due_s - run.begun_s, 0.001))
        return 200, {"running": [[t, n, "", min(percent(run), 99), run.cpu]
                                 for (t, n), run in self.running.items() if run.stop_s is None],
                     "ended": self.ended[:500]}

    def end(self, run, how):
        del self.running[run.task, run.number]
        run.ended_s, run.how = now_s(), how
        self.end_count += 1
        self.last_number[run.task] = max(self.last_number.get(run.task, 0), run.number)
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.record(f"{self.name} ends {run.task} run {run.number}: {how}")
        self.lock.notify_all()

    def loop(self):
        while True:
            time.sleep(0.004)
            if not self.alive.is_set():
                continue
            with self.lock:
                for run in list(self.running.values()):
                    if self.clock_ms() > self.lease_end_ms:
                        self.end(run, "lapsed")
                    elif run.stop_s is not None and now_s() > run.stop_s:
                        self.end(run, "stopped")
                    elif now_s() > run.due_s:
                        self.end(run, "done")
            if now_s() >= self.beat_at_s:
                self.beat_at_s = now_s() + HEARTBEAT_S
                threading.Thread(target=self.beat, daemon=True).start()

    def beat_body(self):
        self.sequence += 1
        return {"service": SERVICE, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "requestedMemoryMb": 131072, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock_ms(), "sequence": self.sequence,
                "born": self.born_ms}

    def beat(self):
        status = call(self.agent, "POST", f"/jacinthpick/Executors.Heartbeat/{self.id}",
                      self.beat_body(), timeout=1)[0]
        return status

    def crash(self):
        """The process ends: what it ran has ended, connections are refused."""
        with self.lock:
            self.life += 1
            self.alive.clear()
            for run in list(self.running.values()):
                run.ended_s, run.how = now_s(), "crashed"
            self.running.clear()
        self.server.shutdown()
        self.server.server_close()
        self.record(f"{self.name} crashes")

    def restart(self, beat_after_s=0.0, **changes):
        """A new life under the same identifier, at the same address."""
        for key, value in changes.items():
            setattr(self, key, value)
        with self.lock:
            self.begin_life()
        self.beat_at_s = now_s() + beat_after_s
        self.listen()
        self.record(f"{self.name} has started again: cpu={self.cpu} labels={self.labels}")


def call(address, method, path, body=None, host=None, headers=None, timeout=10, source=None):
    """An HTTP request on a connection of its own; status 0 for no answer."""
    conn = http.client.HTTPConnection(address[0], address[1], timeout=timeout,
                                      source_address=(source, 0) if source else None)
    try:
        data = json.dumps(body) if body is not None else None
        conn.request(method, path, data, {"Host": host or "%s:%d" % address,
                                          "Content-Type": "application/json"} | (headers or {}))
        reply = conn.getresponse()
        return reply.status, reply.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return 0, type(error).__name__
    finally:
        conn.close()


def job(ms, tasks=1, cpu=1000, steps=None, **more):
    """A job without storage. `steps` is a list of (count, extra fields)."""
    spec = json.dumps({"ms": ms, "cpu": cpu})
    steps = steps or [(tasks, {})]
    return {"specification": spec, "bestEffort": True, "steps": [
        {"count": count, "cpu": cpu, "requestedMemoryMb": 64, "estimatedMs": ms} | extra
        for count, extra in steps]} | more


def route(prefix, name=None, host=HOST):
    return {"name": name or "r-" + prefix.strip("/"), "host": host, "prefix": prefix,
            "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60, "priority": 1,
            "service": SERVICE, "maxAttempts": 3, "stretch": 1.6}


def config(version, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 64,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
                          "rejectsOverload": False, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template, fields):
    """Fills in a settings template: the placeholders and sections that the
    project's templates use."""
    def section(match):
        value = look_up(fields, match[1])
        return match[2].replace("{{.}}", str(value)) if value else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(look_up(fields, match[1]) or ""), text)


class Fleet:
    """Machines with the project's programs, the store and the executors."""

    def __init__(self, folder, entries, agents, zones=("erie-shore",), store_proxy=None,
                 executor_options=None):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="jp-review-")
        self.processes = {}
        # An error of the script itself says nothing of the rule.
        sys.excepthook = self.on_error
        signal.signal(signal.SIGTERM, lambda *_: self.finish(2))
        self.net = self.free_net()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.store = Store((self.ip(0, 1), 8169))
        self.store_address = store_proxy(self) if store_proxy else (self.ip(0, 1), 8169)
        self.entries, self.agents, self.executors = [], [], []
        for i in range(entries):
            self.entries.append(self.machine("entry", 1, i, zones[i % len(zones)]))
        for i in range(agents):
            zone = zones[i % len(zones)]
            machine = self.machine("agent", 2, i, zone)
            self.agents.append(machine)
            options = executor_options[i] if executor_options else {}
            self.executors.append(Executor(
                self.record, f"executor-{i + 1}", (machine["ipAddress"], PORTS["app"]),
                (machine["ipAddress"], PORTS["controlPlane"]), zone=zone, **options))

    def ip(self, group, number):
        return f"127.{self.net}.{group}.{number}"

    @staticmethod
    def free_net():
        """A part of the loopback range on which the ports used are free."""
        for _ in range(50):
            net = random.randint(2, 250)
            try:
                for group, number, port in [(0, 1, 8169), (1, 1, 8161), (1, 1, 7720),
                                            (2, 1, 8166), (2, 1, 8165), (2, 1, 7720)]:
                    with socket.socket() as probe:
                        probe.bind((f"127.{net}.{group}.{number}", port))
                return net
            except OSError:
                continue
        raise OSError("no free part of the loopback range")

    def machine(self, role, group, index, zone):
        ip = self.ip(group, index + 1)
        return {"role": role, "nodeName": f"{role}-{index + 1}", "ipAddress": ip, "zone": zone,
                "region": "great-lakes", "internalPortRange": [PORTS["first"], PORTS["last"]],
                "listenAddresses": {k: f"{ip}:{PORTS[k]}" for k in
                                    ("frontAddress", "readyAddress", "controlPlane")},
                "platform": {"address": "%s:%d" % self.store_address}, "bounds": BOUNDS}

    def start(self, machine):
        name = machine["nodeName"]
        role = self.roles[machine["role"]]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), machine)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.processes[name] = subprocess.Popen(
            role["run"].split(), cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env=env | {"JACINTHPICK_CONFIG": path})
        self.record(f"{name} is started")

    def signal(self, machine, number):
        name = machine["nodeName"]
        os.kill(self.processes[name].pid, number)
        self.record(f"{name} gets {signal.Signals(number).name}")

    def start_all(self, routes=("/desk/",), settle_s=4.0):
        self.store.put("config", config(3, [route(prefix) for prefix in routes]))
        for machine in self.entries + self.agents:
            self.start(machine)
        end = now_s() + 15
        while now_s() < end:
            if all(self.is_ready(machine) for machine in self.entries):
                time.sleep(settle_s)
                return
            time.sleep(0.1)
        self.record("not ready within 15 s: the case cannot run")
        self.finish(2)

    def is_ready(self, machine):
        return call((machine["ipAddress"], PORTS["readyAddress"]), "GET",
                    "/jacinthpick/readiness", timeout=1)[0] == 200

    def front(self, index):
        return (self.entries[index]["ipAddress"], PORTS["frontAddress"])

    def request(self, address, method, path, body=None, deadline_ms=1500, source=None,
                host=HOST):
        """A client's request; written to the record with its answer."""
        self.record(f"client sends {method} {path} to {address[0]}, deadline {deadline_ms} ms")
        status, text = call(address, method, path, body, host,
                            {"Jacinthpick-Request-Deadline": str(deadline_ms)},
                            timeout=deadline_ms / 1000, source=source)
        self.record(f"client gets {status or 'no answer'} for {method} {path}: {text[:80]}")
        return status, text

    def runs(self):
        return sorted((run for e in self.executors for run in e.runs),
                      key=lambda run: run.begun_s)

    def logs(self, *words):
        """Copies lines of the programs' logs with one of the words to the record."""
        for name in sorted(os.listdir(self.folder)):
            if not name.endswith(".log"):
                continue
            with open(os.path.join(self.folder, name), encoding="utf-8", errors="replace") as f:
                for line in f:
                    if any(word in line for word in words):
                        self.record(f"log of {name[:-4]}: {line.strip()}")

    def on_error(self, kind, error, trace):
        sys.__excepthook__(kind, error, trace)
        self.record(f"error of the script: {error!r}")
        self.finish(2)

    def finish(self, status):
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record({0: "the rule held", 1: "the rule was broken",
                     2: "the case could not run"}[status])
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(status)


def overlaps(runs, least_s=0.01):
    """Pairs of runs of one task that were at work at the same time."""
    found = []
    end = lambda run: run.ended_s if run.ended_s is not None else now_s()
    for i, a in enumerate(runs):
        for b in runs[i + 1:]:
            if a.task == b.task and min(end(a), end(b)) - max(a.begun_s, b.begun_s) > least_s:
                found.append((a, b, min(end(a), end(b)) - max(a.begun_s, b.begun_s)))
    return found


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"
