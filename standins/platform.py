"""Stand-in for the users' platform in scenarios: the table service and
executors (the platform's upstreams), each on a port of its own. All are in one
process, so that a scenario can make them fail.

Arguments: port of the table service, then for each executor the port of its
agent and its own port.

Requests to the table service's port that control the stand-in:
  PUT /op/KEY         write a row of the operator's table; an empty body
                      removes it
  GET /runs           list all starts; count the running tasks ("running") and
                      the starts that exceeded an executor's CPU ("over")
  PUT /down BOOL      answer requests for rows with status 503
  PUT /quiet BOOL     stop the heartbeats of the first executor
  PUT /padding [STORE, EXECUTORS]
                      send so many bytes more with each answer of the table
                      service and of the executors
  PUT /draining BOOL  set the state of the first executor to draining or ready
"""
import base64
import json
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
import http.client

CAPACITY = {"cpu": 8000, "requestedMemoryMb": 4096, "gpu": 0}
PADDING = {"store": 0, "executor": 0}  # bytes that answers have in addition
STOP_DELAY_S = 0.05  # time that a run takes to stop


def clock_ms():
    return int(time.monotonic() * 1000)


class Store:
    def __init__(self):
        self.changed = threading.Condition()  # guards the rows; notified when they change
        self.version = 0
        self.rows = {}  # (table, key): (value, version); a removed row has the value None
        self.is_down = False

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[table, key] = (value, self.version)
            self.changed.notify_all()

    def list(self, table, after=-1, with_removed=False):
        """Rows changed after a version, in the order of their keys; with the
        removed rows, in the order of their versions."""
        out = []
        for (name, key), (value, version) in sorted(
                self.rows.items(), key=lambda item: item[1][1] if with_removed else 0):
            if name != table or version <= after or (value is None and not with_removed):
                continue
            row = {"table": table, "part": "", "key": key,
                   "versionNumber": version}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = value
            out.append(row)
        return out if with_removed else sorted(out, key=lambda row: row["key"])

    def transact(self, change):
        with self.changed:
            for row in change["expectedRevision"]:
                value, version = self.rows.get((row["table"], row["key"]),
                                               (None, 0))
                if row["versionNumber"] != (version if value is not None else 0):
                    return 412
            self.version += 1
            for row in change["setKeys"]:
                self.rows[row["table"], row["key"]] = (row["value"], self.version)
            for row in change["remove"]:
                self.rows[row["table"], row["key"]] = (None, self.version)
            self.changed.notify_all()
            return 200


class Executor:
    def __init__(self, agent, port, number):
        self.agent, self.port, self.number = agent, port, number
        self.born = int(time.time() * 1000)
        self.lock = threading.Condition()  # guards the runs; notified when one ends
        self.fence, self.lease_end_ms, self.end_count, self.sequence = 0, 0, 0, 0
        self.running = {}  # (task, run number): run
        self.ended = []  # rows [number of the end, task, run number, outcome, checkpoint]
        self.last_number = {}  # task: highest run number ended or ordered to stop
        self.starts = []  # rows [task, run number, time in ms]
        self.over_capacity = 0  # starts that exceeded CAPACITY
        self.state, self.is_silent = "ready", False

    def send_heartbeat(self):
        self.sequence += 1
        body = {"service": "finishing", "address": f"127.0.0.1:{self.port}",
                "zone": "erie-shore", "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0,
                "capacity": CAPACITY, "labels": ["a", "r1-1"],
                "clockMs": clock_ms(), "sequence": self.sequence,
                "born": self.born}
        try:
            conn = http.client.HTTPConnection("127.0.0.1", self.agent, timeout=1)
            conn.request("POST", f"/jacinthpick/Executors.Heartbeat/i-{self.number}",
                         json.dumps(body), {"Content-Type": "application/json"})
            conn.getresponse().read()
            conn.close()
        except OSError:
            pass

    def end(self, key, outcome):
        del self.running[key]
        self.end_count += 1
        self.last_number[key[0]] = max(self.last_number.get(key[0], 0), key[1])
        self.ended.append([self.end_count, key[0], key[1], outcome, ""])
        self.lock.notify_all()

    def run(self):
        next_heartbeat = 0
        while True:
            time.sleep(0.005)
            with self.lock:
                for key, run in list(self.running.items()):
                    if run["stop"] and time.monotonic() > run["stop"]:
                        self.end(key, "stopped")
                    elif clock_ms() > self.lease_end_ms:
                        self.end(key, "lapsed")
                    elif clock_ms() > run["end"]:
                        self.end(key, "failed" if run["fails"] else "done")
            if time.monotonic() > next_heartbeat and not self.is_silent:
                next_heartbeat = time.monotonic() + 0.5
                self.send_heartbeat()

    def order(self, path, body):
        with self.lock:
            if body["fencingToken"] < self.fence:
                return 409, {"reason": "fence"}
            self.fence = body["fencingToken"]
            self.lease_end_ms = max(self.lease_end_ms, body.get("deadlineMs", 0))
            if path.endswith("run-start"):
                return self.start(body)
            if path.endswith("run-stop"):
                key = (body["task"], body["run"])
                self.last_number[key[0]] = max(self.last_number.get(key[0], 0), key[1])
                if key in self.running and not self.running[key]["stop"]:
                    self.running[key]["stop"] = time.monotonic() + STOP_DELAY_S
                return 200, {}
            return self.hold(body)

    def start(self, body):
        key = (body["task"], body["run"])
        if key in self.running:
            return 200, {}
        if key[1] <= self.last_number.get(key[0], 0):
            return 409, {"reason": "old"}
        if body["deadlineMs"] < clock_ms():
            return 409, {"reason": "late"}
        spec = json.loads(body["specification"])
        self.running[key] = {"end": clock_ms() + spec["ms"], "stop": 0,
                             "fails": spec.get("fails"), "cpu": spec["cpu"]}
        self.starts.append([key[0], key[1], clock_ms()])
        self.over_capacity += sum(r["cpu"] for r in self.running.values()) > CAPACITY["cpu"]
        return 200, {}

    def hold(self, body):
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        if not self.ended and body.get("waitMs"):
            self.lock.wait(body["waitMs"] / 1000)
        now = clock_ms()
        # Rows [task, run number, checkpoint, percent]; the percentage is made up.
        return 200, {"running": [[k[0], k[1], "", now % 100] for k, r in
                                 self.running.items() if not r["stop"]],
                     "ended": self.ended}


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def answer(self, status, body, sender="store"):
        data = json.dumps(body).encode()
        data += b" " * PADDING[sender]
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


def store_handler(store, executors):
    class StoreHandler(Handler):
        def do_GET(self):
            url = urllib.parse.urlparse(self.path)
            args = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
            if url.path == "/runs":
                self.answer(200, {"starts": [s for e in executors for s in e.starts],
                                  "over": sum(e.over_capacity for e in executors),
                                  "running": sum(len(e.running) for e in executors)})
            elif store.is_down:
                self.answer(503, {})
            elif url.path == "/jacinthpick/rows-get":
                with store.changed:
                    rows = [r for r in store.list(args["table"])
                            if args.get("from", "") <= r["key"]
                            and ("to" not in args or r["key"] < args["to"])]
                    self.answer(200, {"rows": rows, "hasMore": False,
                                      "versionNumber": store.version, "nowMs": clock_ms()})
            else:
                after = int(args["after"])
                with store.changed:
                    store.changed.wait_for(lambda: store.list(args["table"], after, True),
                                          int(args["waitMs"]) / 1000)
                    rows = store.list(args["table"], after, True)
                    self.answer(200, {"rows": rows, "versionNumber": store.version,
                                      "nowMs": clock_ms()})

        def do_POST(self):
            body = self.body()
            if store.is_down:
                self.answer(503, {})
                return
            status = store.transact(json.loads(body))
            self.answer(status, {"versionNumber": store.version, "nowMs": clock_ms()})

        def do_PUT(self):
            body = self.body()
            if self.path == "/down":
                store.is_down = json.loads(body)
            elif self.path == "/quiet":
                executors[0].is_silent = json.loads(body)
            elif self.path == "/padding":
                PADDING["store"], PADDING["executor"] = json.loads(body)
            elif self.path == "/draining":
                executors[0].state = "draining" if json.loads(body) else "ready"
                executors[0].send_heartbeat()
            else:
                key = self.path.removeprefix("/op/")
                value = base64.b64encode(body).decode() if body else None
                store.put("op", key, value)
            self.answer(200, {})

    return StoreHandler


def executor_handler(executor):
    class ExecutorHandler(Handler):
        def do_POST(self):
            order = json.loads(self.body())
            meant = self.headers.get("Jacinthpick-Expected-Instance")
            status, body = (executor.order(self.path, order)
                            if meant in (None, f"i-{executor.number}") else (421, {}))
            self.answer(status, body | {"clockMs": clock_ms(), "born": executor.born},
                        "executor")

    return ExecutorHandler


class Server(ThreadingHTTPServer):
    request_queue_size = 128  # connections of one agent, and some


def serve(port, handler):
    server = Server(("127.0.0.1", port), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main():
    ports = list(map(int, sys.argv[1:]))
    store = Store()
    executors = [Executor(ports[i], ports[i + 1], i) for i in range(1, len(ports), 2)]
    serve(ports[0], store_handler(store, executors))
    for executor in executors:
        serve(executor.port, executor_handler(executor))
        threading.Thread(target=executor.run, daemon=True).start()
    threading.Event().wait()


main()
