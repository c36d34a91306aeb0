"""An executor as a process of its own, for scripts in which an executor gets many
orders at once and has to answer each within milliseconds. It behaves as
fleet.Executor does, and prints a line for each start and each end of a run, with
the time by the machine's steady clock: "start TIME TASK RUN" and "end TIME TASK
RUN HOW".

Arguments: name, address and port of the executor, address and port of its agent,
capacity in thousandths of a core."""
import asyncio
import json
import sys
import time

HEARTBEAT_S, MAX_HOLD_MS, STOP_S = 1.5, 1000, 0.03
name, host, port, agent_host, agent_port, cpu = sys.argv[1:7]
BORN_MS, BORN_S = int(time.time() * 1000), time.monotonic()


def clock_ms():
    return int((time.monotonic() - BORN_S) * 1000) + 1000


class State:
    fence, lease_end_ms, end_count, sequence = 0, 0, 0, 0
    running, ended, last_number = {}, [], {}
    changed = None


def say(*words):
    print(*words, flush=True)


def end(key, how):
    State.running.pop(key)
    State.end_count += 1
    State.last_number[key[0]] = max(State.last_number.get(key[0], 0), key[1])
    State.ended.append([State.end_count, key[0], key[1], how, ""])
    say("end", f"{time.monotonic():.4f}", *key, how)
    State.changed.set()


def start(key, body):
    if key in State.running:
        return 200, {}
    if key[1] <= State.last_number.get(key[0], 0):
        return 409, {"reason": "old"}
    if body["deadlineMs"] <= clock_ms():
        return 409, {"reason": "late"}
    State.running[key] = [time.monotonic() + json.loads(body["specification"])["ms"] / 1000, None]
    say("start", f"{time.monotonic():.4f}", *key)
    return 200, {}


async def hold(body):
    State.ended = [row for row in State.ended if row[0] > body["lastSeen"]]
    if not State.ended and body.get("waitMs"):
        State.changed.clear()
        try:
            await asyncio.wait_for(State.changed.wait(), body["waitMs"] / 1000)
        except asyncio.TimeoutError:
            pass
    running = [[task, number, "", 50, 0] for (task, number), run in State.running.items()
               if run[1] is None]
    return 200, {"running": running, "ended": State.ended[:500]}


async def order(path, body, expected):
    if expected and expected != f"i-{name}":
        return 421, {}
    if body.get("fencingToken", 0) < State.fence:
        return 409, {"reason": "fence"}
    State.fence = body.get("fencingToken", 0)
    if "deadlineMs" in body:
        longest = clock_ms() + MAX_HOLD_MS
        State.lease_end_ms = max(State.lease_end_ms, min(body["deadlineMs"], longest))
    key = (body.get("task"), body.get("run"))
    if path == "/jacinthpick/run-start":
        return start(key, body)
    if path == "/jacinthpick/run-stop":
        State.last_number[key[0]] = max(State.last_number.get(key[0], 0), key[1])
        run = State.running.get(key)
        if run and run[1] is None:
            run[1] = time.monotonic() + STOP_S
        return 200, {}
    return await hold(body)


async def serve(reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in head[1:])}
            text = await reader.readexactly(int(fields.get("content-length", 0)))
            status, reply = await order(head[0].split()[1], json.loads(text),
                                        fields.get("jacinthpick-expected-instance"))
            data = json.dumps(reply | {"clockMs": clock_ms(), "born": BORN_MS}).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n%s" % (status, len(data), data))
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        writer.close()


async def beat():
    while True:
        State.sequence += 1
        body = json.dumps({
            "service": "finishing", "address": f"{host}:{port}", "zone": "erie-shore",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": {"cpu": int(cpu), "requestedMemoryMb": 131072, "gpu": 0},
            "labels": ["a", "r1-1"], "clockMs": clock_ms(), "sequence": State.sequence,
            "born": BORN_MS}).encode()
        try:
            reader, writer = await asyncio.open_connection(agent_host, int(agent_port))
            writer.write(b"POST /jacinthpick/Executors.Heartbeat/i-%s HTTP/1.1\r\nHost: a\r\n"
                         b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                         % (name.encode(), len(body), body))
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(HEARTBEAT_S)


async def main():
    State.changed = asyncio.Event()
    await asyncio.start_server(serve, host, int(port), backlog=256)
    beats = asyncio.ensure_future(beat())
    while not beats.done():
        await asyncio.sleep(0.002)
        now, clock = time.monotonic(), clock_ms()
        for key, (due, stop) in list(State.running.items()):
            if clock > State.lease_end_ms:
                end(key, "lapsed")
            elif stop is not None and now > stop:
                end(key, "stopped")
            elif now > due:
                end(key, "done")


asyncio.run(main())
