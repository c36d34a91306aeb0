"""The outside world of a small deployment, for the scripts of this review: the
platform's store, executors, clients, and the processes of the system, which
run with the commands and templates of the deploy file.

Everything but the system's processes is in one asyncio process. All
addresses are on 127.0.0.1. See PROTOCOL.md and DEPLOY.md of the users' pages
for what the stand-ins do; where a page is silent they answer at once.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 6, "cancel_ms": 3000,
          "maxHoldMs": 1000, "stopTimeoutMs": 50, "resendMs": 1300,
          "configurationApplyMs": 2000, "evacuationMs": 5000}
HOST = "desk.example"
SERVICE = "finishing"


class CannotRun(Exception):
    """The case cannot run here; the script exits with 2."""


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f} {text}\n")


# HTTP/1.1, as much as the stand-ins need.


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


async def serve(handler, port=0):
    """Serves HTTP. `handler(method, path, headers, body)` returns status and
    body, or None to close the connection without an answer."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await handler(method, path, headers, body)
                if answer is None:
                    break
                data = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


def encode_request(method, path, body=None, deadline_ms=None, host=HOST):
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    if body is not None:
        head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
    if deadline_ms:
        head += f"Jacinthpick-Request-Deadline: {deadline_ms}\r\n"
    return head.encode() + b"\r\n" + data


async def call(port, method, path, body=None, deadline_ms=None, timeout_s=60):
    """One request on a new connection; (0, None) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode_request(method, path, body, deadline_ms))
            await writer.drain()
            first, _, data = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(data or b"null")
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, None
    finally:
        if writer:
            writer.close()


# The platform's store.


class Store:
    def __init__(self):
        self.rows = {}  # (table, part, key): (value or None, version)
        self.version = 0
        self.changed = asyncio.Condition()

    async def start(self):
        _, self.port = await serve(self.handle)

    async def put(self, key, value, table="op"):
        """Writes or, with None, removes a row of the operator."""
        async with self.changed:
            self.version += 1
            data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[table, "", key] = (data, self.version)
            self.changed.notify_all()

    def select(self, table, after=None, part=None):
        out = []
        for (row_table, row_part, key), (value, version) in self.rows.items():
            if row_table != table or (part is not None and row_part != part):
                continue
            if (after is None and value is None) or (after is not None and version <= after):
                continue
            row = {"table": table, "part": row_part, "key": key, "versionNumber": version}
            row |= {"deleted": True} if value is None else {"value": value}
            out.append(row)
        return sorted(out, key=lambda row: row["versionNumber"] if after is not None else row["key"])

    def answer(self, **more):
        return 200, more | {"versionNumber": self.version, "nowMs": int(now() * 1000)}

    async def handle(self, method, path, headers, body):
        url = urllib.parse.urlparse(path)
        args = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        name = url.path.rpartition("/")[2]
        if name == "rows-tx":
            return await self.transact(json.loads(body))
        if name == "rows-get":
            rows = [r for r in self.select(args["table"], part=args.get("part", ""))
                    if args.get("from", "") <= r["key"] and ("to" not in args or r["key"] < args["to"])]
            limit = min(int(args.get("limit", 500)), 500)
            return self.answer(rows=rows[:limit], hasMore=len(rows) > limit)
        if name == "rows-feed":
            after = int(args["after"])
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: self.select(args["table"], after)),
                        int(args.get("waitMs", 0)) / 1000)
                except TimeoutError:
                    pass
            return self.answer(rows=self.select(args["table"], after))
        return 404, {}

    async def transact(self, change):
        async with self.changed:
            for row in change.get("expectedRevision", []):
                value, version = self.rows.get((row["table"], row["part"], row["key"]), (None, 0))
                if row["versionNumber"] != (0 if value is None else version):
                    return 412, {"rows": [], "versionNumber": self.version}
            for row in change.get("setKeys", []) + change.get("remove", []):
                if row["table"] in ("op", "servers"):
                    return 403, {}
            self.version += 1
            for row in change.get("setKeys", []):
                self.rows[row["table"], row["part"], row["key"]] = (row["value"], self.version)
            for row in change.get("remove", []):
                self.rows[row["table"], row["part"], row["key"]] = (None, self.version)
            self.changed.notify_all()
        return self.answer()


# Executors.


class Run:
    def __init__(self, task, number, spec, at):
        self.task, self.number, self.spec, self.at = task, number, spec, at
        self.end_at, self.stop_at = at + spec.get("ms", 100) / 1000, None


class Executor:
    """One life of a worker. The specification of a task is a JSON text with
    its run time `ms` and, for the check of capacities, its `cpu`."""

    def __init__(self, world, name, zone, cpu=64000, beat_s=1.5, reply_s=0):
        self.world, self.name, self.zone, self.cpu = world, name, zone, cpu
        self.beat_s, self.reply_s = beat_s, reply_s
        self.identifier = f"i-{name}"
        self.born_ms = int(time.time() * 1000)
        self.born_at = now()
        self.fence = self.lease_ms = self.end_count = self.sequence = 0
        self.running, self.last, self.ended = {}, {}, []
        self.state = "ready"
        self.starts = []  # (time, task, run number, specification)
        self.ends = []  # (time, task, run number, how)
        self.ended_event = asyncio.Event()
        self.acked = {}  # state of a heartbeat: when one with it was first acknowledged

    async def start(self, control_port):
        self.control_port = control_port
        self.server, self.port = await serve(self.handle)
        self.tasks = [asyncio.create_task(self.beat_on()), asyncio.create_task(self.work())]

    def clock_ms(self):
        return int((now() - self.born_at) * 1000) + 1000

    async def beat(self):
        self.sequence += 1
        state = self.state
        status, _ = await call(self.control_port, "POST",
                               f"/jacinthpick/Executors.Heartbeat/{self.identifier}", {
                                   "service": SERVICE, "address": f"127.0.0.1:{self.port}",
                                   "zone": self.zone, "version": "v1", "slots": 8, "state": state,
                                   "coldRemainingMs": 0,
                                   "capacity": {"cpu": self.cpu, "requestedMemoryMb": 131072, "gpu": 0},
                                   "labels": ["a", "r1-1"], "clockMs": self.clock_ms(),
                                   "sequence": self.sequence, "born": self.born_ms}, timeout_s=1)
        if 200 <= status < 300 and state not in self.acked:
            self.acked[state] = now()
            self.world.record(f"{self.name} {state} acknowledged")

    async def beat_on(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.beat_s)

    def finish(self, key, how):
        del self.running[key]
        self.end_count += 1
        self.last[key[0]] = max(self.last.get(key[0], 0), key[1])
        self.ended.append([self.end_count, key[0], key[1], how, ""])
        self.ends.append((now(), key[0], key[1], how))
        self.world.record(f"{self.name} end task={key[0]} run={key[1]} {how}")
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def end_runs(self):
        """Ends what has run, was stopped or has no lease any more."""
        at = now()
        lapsed = self.clock_ms() > self.lease_ms
        for key, run in list(self.running.items()):
            if lapsed:
                self.finish(key, "lapsed")
            elif run.stop_at is not None and at >= run.stop_at:
                self.finish(key, "stopped")
            elif at >= run.end_at and run.stop_at is None:
                self.finish(key, "done")

    async def work(self):
        while True:
            await asyncio.sleep(0.002)
            self.end_runs()

    async def handle(self, method, path, headers, body):
        if self.reply_s:
            await asyncio.sleep(self.reply_s)
        if headers.get("jacinthpick-expected-instance", self.identifier) != self.identifier:
            return 421, {}
        status, answer = await self.order(path.rpartition("/")[2], json.loads(body))
        return status, answer | {"clockMs": self.clock_ms(), "born": self.born_ms}

    def extend(self, order):
        if "deadlineMs" in order:
            self.lease_ms = max(self.lease_ms, min(order["deadlineMs"], self.clock_ms() + 1000))

    async def order(self, name, order):
        self.end_runs()
        if order.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = order.get("fencingToken", 0)
        if name == "run-start":
            return self.start_run(order)
        if name == "run-stop":
            key = (order["task"], order["run"])
            self.last[key[0]] = max(self.last.get(key[0], 0), key[1])
            run = self.running.get(key)
            if run and run.stop_at is None:
                run.stop_at = now() + 0.04
            return 200, {}
        if name == "hold":
            self.extend(order)
            self.ended = [row for row in self.ended if row[0] > order["lastSeen"]]
            if not self.ended and order.get("waitMs"):
                try:
                    await asyncio.wait_for(self.ended_event.wait(), order["waitMs"] / 1000)
                except TimeoutError:
                    pass
            at = now()
            running = [[k[0], k[1], "", min(99, int(100 * (at - r.at) / max(0.001, r.end_at - r.at)))]
                       for k, r in self.running.items()]
            return 200, {"running": running, "ended": self.ended[:500]}
        return 400, {}

    def start_run(self, order):
        key = (order["task"], order["run"])
        if key in self.running:
            self.extend(order)
            return 200, {}
        if key[1] <= self.last.get(key[0], 0):
            self.extend(order)
            return 409, {"reason": "old"}
        if order["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(order)
        spec = json.loads(order["specification"])
        self.running[key] = Run(key[0], key[1], spec, now())
        self.starts.append((now(), key[0], key[1], order["specification"]))
        self.world.record(f"{self.name} start task={key[0]} run={key[1]}")
        return 200, {}


# The platform's address for clients.


class Balancer:
    """Forwards connections of one client to an entry: the first one, until a
    connection to it was reset; a retry reaches the next one."""

    def __init__(self, world):
        self.world = world
        self.node = 0
        self.resets_next = False  # the next connection, before anything passes
        self.open = set()

    async def start(self):
        server = await asyncio.start_server(self.forward, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    @staticmethod
    def abort(writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def reset_all(self):
        """Resets the open connections, on both sides."""
        self.world.record(f"connections to {self.world.entries[self.node].name} are reset")
        for writer in list(self.open):
            self.abort(writer)
        self.node = (self.node + 1) % len(self.world.entries)

    async def forward(self, reader, writer):
        if self.resets_next:
            self.resets_next = False
            self.world.record(f"a connection to {self.world.entries[self.node].name} is reset")
            self.node = (self.node + 1) % len(self.world.entries)
            self.abort(writer)
            return
        entry = self.world.entries[self.node]
        self.world.record(f"balancer: connection to {entry.name}")
        try:
            from_entry, to_entry = await asyncio.open_connection("127.0.0.1", entry.front)
        except OSError:
            writer.close()
            return
        self.open |= {writer, to_entry}

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, to_entry), pump(from_entry, writer))
        self.open -= {writer, to_entry}


# The processes of the system.


def render(text, fields):
    """A template of DEPLOY.md: placeholders, and sections of single values."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = find(match[1])
        return match[2].replace("{{.}}", str(value)) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m[1]) or ""), text)


def free_ports(count):
    held = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        held.append(sock)
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, world, role, name, zone, memory_mb, descriptors):
        self.world, self.role, self.name = world, role, name
        inner, outer, self.front, self.ready, self.control = free_ports(5)
        fields = {"nodeName": name, "zone": zone, "region": "great-lakes",
                  "ipAddress": "127.0.0.1", "internalPortRange": [inner, outer],
                  "platform": {"address": f"127.0.0.1:{world.store.port}"},
                  "listenAddresses": {"frontAddress": f"127.0.0.1:{self.front}",
                                      "readyAddress": f"127.0.0.1:{self.ready}",
                                      "controlPlane": f"127.0.0.1:{self.control}"},
                  "bounds": BOUNDS,
                  "limits": {"memoryMb": memory_mb, "fileDescriptors": descriptors}}
        with open(os.path.join(ROOT, world.deploy["roles"][role]["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.settings = os.path.join(world.folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.memory_mb = memory_mb
        self.process = None

    async def start(self):
        command = self.world.deploy["roles"][self.role]["run"].split()
        path = os.path.join(ROOT, command[0])
        if not os.access(path, os.X_OK):
            raise CannotRun(f"{command[0]} is not built")
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            path, *command[1:], cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": self.world.folder,
                 "JACINTHPICK_CONFIG": self.settings})
        log.close()
        self.world.record(f"{self.name} started")

    def signal(self, number):
        self.world.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def restart(self, delay_s=0.5):
        """The platform starts a process that has ended after a short delay."""
        await self.process.wait()
        await asyncio.sleep(delay_s)
        await self.start()

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        return (await call(self.ready, "GET", "/jacinthpick/readiness", timeout_s=1))[0] == 200


class World:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.store = Store()
        self.entries, self.agents, self.executors = [], [], []
        self.config_version = 0

    async def start(self, zones=("erie-shore", "huron-bay"), entries=2, agents=2, entry_mb=260,
                    entry_fds=4100, agent_mb=128, **executor):
        """Starts the store, machines and executors, which lie in the zones by
        turns, and waits until all entries are ready."""
        await self.store.start()
        for i in range(agents):
            zone = zones[i % len(zones)]
            agent = Machine(self, "agent", f"side-{zone}-{i + 1}", zone, agent_mb, 4096)
            await agent.start()
            self.agents.append(agent)
            self.executors.append(Executor(self, f"executor-{i + 1}", zone, **executor))
            await self.executors[-1].start(agent.control)
        for i in range(entries):
            zone = zones[i % len(zones)]
            entry = Machine(self, "entry", f"frontend-{zone}-{i + 1}", zone, entry_mb, entry_fds)
            await entry.start()
            self.entries.append(entry)
        await self.configure()
        await self.wait_ready()

    async def configure(self, prefixes=("/desk/",), timeout_ms=60000):
        self.config_version += 3
        await self.store.put("config", {
            "version": self.config_version,
            "routes": [{"name": "r" + prefix.strip("/"), "host": HOST, "prefix": prefix,
                        "kind": "unsafe", "timeoutMs": timeout_ms, "targetLatencyMs": 60,
                        "priority": 1, "service": SERVICE, "maxAttempts": 4, "stretch": 1.6}
                       for prefix in prefixes],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 64,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
                          "rejectsOverload": False, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})

    async def wait_ready(self, entries=None, seconds=15):
        end = now() + seconds
        for entry in entries or self.entries:
            while not await entry.is_ready():
                if now() > end:
                    raise CannotRun(f"{entry.name} is not ready after {seconds} s")
                await asyncio.sleep(0.05)
        # All agents have found all entries by then.
        await asyncio.sleep(2)

    async def submit(self, entry, name, body, deadline_ms=20000, prefix="/desk/"):
        self.record(f"client POST {prefix}{name} to {entry.name}")
        status, answer = await call(entry.front, "POST", prefix + name, body, deadline_ms,
                                    deadline_ms / 1000 + 5)
        self.record(f"client {name} answered {status} {json.dumps(answer)}")
        return status, answer

    async def stop(self):
        for machine in self.entries + self.agents:
            if machine.process and machine.process.returncode is None:
                try:
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                except ProcessLookupError:
                    pass
                await machine.process.wait()
        for executor in self.executors:
            for task in executor.tasks:
                task.cancel()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job(ms, count=1, cpu=1000, steps=1, memory_mb=1, estimate_ms=None):
    """A best-effort job whose steps follow one another."""
    out = []
    for i in range(steps):
        step = {"count": count, "cpu": cpu, "requestedMemoryMb": memory_mb,
                "estimatedMs": estimate_ms or ms}
        if i:
            step["after"] = [i - 1]
        out.append(step)
    return {"specification": json.dumps({"ms": ms, "cpu": cpu}), "bestEffort": True, "steps": out}


def main(scenario, folder, limit_s=110):
    """Runs `scenario(world)`, which returns a list of breaches of the rule."""

    async def play():
        record = Record(os.path.join(folder, "record.txt"))
        record(f"trouble={int(TROUBLE)}")
        world = World(record)
        try:
            async with asyncio.timeout(limit_s):
                return record, await scenario(world)
        except (CannotRun, TimeoutError) as error:
            record(f"cannot run: {error!r}")
            print("cannot run:", repr(error))
            return record, None
        finally:
            await world.stop()

    record, breaches = asyncio.run(play())
    if breaches is None:
        sys.exit(2)
    for breach in breaches:
        record("BREACH " + breach)
        print("breach:", breach)
    print("rule broken" if breaches else "rule held")
    record("rule broken" if breaches else "rule held")
    record.file.close()
    sys.exit(1 if breaches else 0)
