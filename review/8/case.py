"""Two entries, four agents. A caller hands in a job of one task of 3 s and,
on the same connection, asks for the length of the queue while it waits. The
connection is then reset; 1.3 s later the caller sends the job again, to the
other entry. TROUBLE=0 leaves the reset out.

The front address is a relay, which forwards each connection to one entry, as
the platform does, and resets both sides of a connection when told to."""
import json
import os
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as f

HERE = os.path.dirname(os.path.abspath(__file__))
JOB = "/desk/5c0e7a21d94b36f8"
DEADLINE_MS = 6000
RUN_MS = 3000


class Relay:
    """Forwards connections to one address."""

    def __init__(self, address, target):
        self.target, self.pairs = target, []
        self.listener = socket.create_server(address)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            far = socket.create_connection(self.target)
            self.pairs.append((near, far))
            for a, b in ((near, far), (far, near)):
                a.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.pump, args=(a, b), daemon=True).start()

    @staticmethod
    def pump(a, b):
        try:
            while data := a.recv(65536):
                b.sendall(data)
            b.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def reset(self):
        for pair in self.pairs:
            for side in pair:
                side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                try:
                    side.shutdown(socket.SHUT_RD)  # wakes the thread that reads
                except OSError:
                    pass
                side.close()
        self.pairs.clear()


def request(method, path, body=None):
    data = json.dumps(body).encode() if body else b""
    length = f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n" if body else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {f.HOST}\r\n{length}"
            f"Jacinthpick-Request-Deadline: {DEADLINE_MS}\r\n\r\n").encode() + data


def read_all(conn, count, seconds):
    """Reads until `count` answers, the end of the connection, or the time."""
    text = b""
    end = time.monotonic() + seconds
    conn.settimeout(0.1)
    while time.monotonic() < end and text.count(b"HTTP/1.1 ") < count:
        try:
            data = conn.recv(65536)
        except TimeoutError:
            continue
        except OSError as error:
            return text, type(error).__name__
        if not data:
            return text, "closed"
        text += data
    return text, "open"


def main():
    fleet = f.Fleet(HERE, 2, 4)
    fleet.start_all()
    relays = [Relay((fleet.ip(0, 10 + i), f.PORTS["frontAddress"]), fleet.front(i))
              for i in range(2)]
    body = f.job(RUN_MS, 1, cpu=6200)
    conn = socket.create_connection((fleet.ip(0, 10), f.PORTS["frontAddress"]))
    fleet.record(f"caller sends POST {JOB}, by way of entry-1")
    conn.sendall(request("POST", JOB, body))
    time.sleep(0.2)
    fleet.record("caller sends GET /desk/ on the same connection")
    conn.sendall(request("GET", "/desk/"))
    time.sleep(0.3)
    if f.has_trouble():
        relays[0].reset()
        fleet.record("the connection is reset, on both sides")
    text, state = read_all(conn, 2, RUN_MS / 1000 + 1)
    fleet.record(f"caller got {text.count(b'HTTP/1.1 ')} answers, connection: {state}")
    if text.count(b"HTTP/1.1 200") < 1:
        time.sleep(f.BOUNDS["resendMs"] / 1000)
        fleet.request((fleet.ip(0, 11), f.PORTS["frontAddress"]), "POST", JOB, body,
                      DEADLINE_MS)
    time.sleep(0.5)
    found = f.overlaps(fleet.runs())
    for a, b, seconds in found:
        fleet.record(f"two runs of {a.task} at the same time: run {a.number} on "
                     f"{a.executor.name}, run {b.number} on {b.executor.name}, "
                     f"for {seconds * 1000:.0f} ms")
    fleet.finish(1 if found else 0)


main()
