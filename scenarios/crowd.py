"""Plays one crowd against an entry and an agent, see scenarios/crowd.

Guards against processes that end, hang or outgrow their machine because of
clients that nobody controls. What is checked does not depend on the speed of
the machine: the processes live, their peak memory and their descriptors stay
within what scenarios/crowd gives them, and an ordinary request is answered
while the crowd is still there.

Usage: crowd.py CASE BASE_PORT DAEMON WORK ENTRY_PID AGENT_PID [ENTRY_2_PID]
WORK has the settings of the processes."""
import http.client
import json
import os
import resource
import signal
import socket
import ssl
import subprocess
import sys
import time

# The crowd, and the bounds for each process.
BODIES = 300  # connections with a body, of MAX_BODY bytes but for the last 100
IDLE = 600  # connections with an endless head, or with nothing
FAT_JOBS = 200  # jobs with as much text and as many tasks as a job may have
PIPELINING = 20  # connections with a request behind another one
WAVES = 10
LARGE_ANSWER = 15 << 20  # below the limit of one answer, 16 MiB
CHANGES = 3
MAX_BODY = 262144  # limits.maxBodyBytes of the configuration
MEMORY_KB = 64 * 1024
DESCRIPTORS = 400
WAVE_GROWTH_KB = 4096  # from the second wave to the last
PIECE = 4096
HANG_S = 60

case, base, daemon, work = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4]
pids = {"entry": int(sys.argv[5]), "agent": int(sys.argv[6])}
if len(sys.argv) > 7:
    pids["entry 2"] = int(sys.argv[7])
SETTINGS = {"entry": f"{work}/entry-1.json", "agent": f"{work}/agent-2.json",
            "entry 2": f"{work}/entry-3.json"}
CALLERS, READY, OWN, INTERNAL = base + 13, base + 14, base + 11, base + 12
CALLERS_2 = base + 33
AGENT_UPSTREAM, AGENT_OWN, AGENT_INTERNAL = base + 25, base + 21, base + 22
failures = []
most_descriptors = dict.fromkeys(pids, 0)
started = []
last_job = [0]
versions = [2]  # of the configuration


def check(name, passed, seen=""):
    print("ok" if passed else "failed:", name, seen)
    if not passed:
        failures.append(name)


def memory_kb(pid, field="VmHWM"):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith(field + ":"):
                return int(line.split()[1])
    return 0  # a process that has ended


def watch():
    for role, pid in pids.items():
        try:
            count = len(os.listdir(f"/proc/{pid}/fd"))
        except FileNotFoundError:
            continue
        most_descriptors[role] = max(most_descriptors[role], count)


def next_path():
    last_job[0] += 1
    return f"/desk/{last_job[0]:016x}"


def call(port, method, path, body=None, headers=None):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    conn.request(method, path, body, {
        "Host": "desk.example", "Content-Type": "application/json",
        "Jacinthpick-Request-Deadline": "4000", **(headers or {})})
    reply = conn.getresponse()
    text = reply.read()
    conn.close()
    return reply.status, text


def job(tasks=1, text=""):
    return json.dumps({
        "specification": json.dumps({"ms": 20, "cpu": 1000, "text": text}),
        "bestEffort": True, "steps": [{
            "count": tasks, "cpu": 1000, "requestedMemoryMb": 64, "estimatedMs": 20}]})


def is_answered(port=CALLERS):
    try:
        return call(port, "POST", next_path(), job())[0] == 200
    except (OSError, http.client.HTTPException):
        return False


def is_ready():
    try:
        return call(READY, "GET", "/jacinthpick/readiness")[0] == 200
    except (OSError, http.client.HTTPException):
        return False


def is_own_answered():
    try:
        return call(OWN, "GET", "/v1/health")[0] == 200
    except (OSError, http.client.HTTPException):
        return False


def wait_until(condition):
    """Tries again as a caller would. The limit only ends a test of a process
    that hangs."""
    end = time.monotonic() + HANG_S
    while not condition():
        watch()
        if time.monotonic() > end:
            return False
        time.sleep(0.5)
    return True


def head(size=None, path=None):
    length = "Transfer-Encoding: chunked" if size is None else f"Content-Length: {size}"
    return (f"POST {path or next_path()} HTTP/1.1\r\nHost: desk.example\r\n"
            f"Content-Type: application/json\r\n{length}\r\n\r\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def padded_job(size=MAX_BODY):
    return job().encode().ljust(size)


def open_clients(port, count, receive_buffer=None):
    clients = []
    for _ in range(count):
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.settimeout(10)
        try:
            client.connect(("127.0.0.1", port))
        except OSError:
            client.close()  # refused, which is allowed
            continue
        clients.append(client)
    watch()
    return clients


def send(client, data):
    """Returns False when the server has closed the connection, or reads no
    more from it; both are allowed."""
    try:
        client.sendall(data)
        return True
    except OSError:
        return False


def send_in_turn(clients, streams):
    """Sends the pieces of each client's stream, one of each client in turn."""
    pairs = list(zip(clients, streams))
    while pairs:
        pairs = [(client, stream) for client, stream in pairs
                 if (piece := next(stream, None)) is not None and send(client, piece)]
        watch()


def pieces(data):
    return (data[i:i + PIECE] for i in range(0, len(data), PIECE))


def crowd_whole(port=CALLERS):
    clients = open_clients(port, BODIES)
    for client in clients:
        send(client, head(MAX_BODY) + padded_job()[:-100])
        watch()
    return clients


def crowd_pieces(port=CALLERS):
    clients = open_clients(port, BODIES)
    send_in_turn(clients, [pieces(head(MAX_BODY) + padded_job()[:-100]) for _ in clients])
    return clients


def crowd_chunked(port=CALLERS):
    def stream():
        yield head()
        yield from (chunk(piece) for piece in pieces(padded_job()[:-100]))
    clients = open_clients(port, BODIES)
    send_in_turn(clients, [stream() for _ in clients])
    return clients


def crowd_heads():
    clients = open_clients(CALLERS, IDLE)
    for client in clients:
        send(client, head(10)[:-2] + b"Padding: " + b"x" * 8000)
    watch()
    return clients


def crowd_idle(port=CALLERS):
    return open_clients(port, IDLE)


def crowd_unread():
    """Each asks 200 times, without a pause, and reads no answer."""
    clients = open_clients(CALLERS, BODIES)
    ask = b"GET /desk/ HTTP/1.1\r\nHost: desk.example\r\n\r\n" * 200
    for client in clients:
        client.settimeout(1)
        send(client, ask)
        watch()
    return clients


def is_idle(role):
    """The process has next to nothing to do: no more of the crowd's requests
    can be answered."""
    def ticks():
        with open(f"/proc/{pids[role]}/stat") as stat:
            return sum(map(int, stat.read().rsplit(")", 1)[1].split()[11:13]))
    before = ticks()
    time.sleep(1)
    return ticks() - before < os.sysconf("SC_CLK_TCK") // 10


def crowd_unread_answers(port=OWN):
    """Each asks for far more than the buffers of a connection hold, and reads
    nothing."""
    clients = []
    ask = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 2000
    for _ in range(BODIES):
        for client in open_clients(port, 1, receive_buffer=4096):
            send(client, ask)
            clients.append(client)
    wait_until(lambda: is_idle("entry"))
    return clients


def crowd_jobs():
    """Complete jobs that a caller may send, all at once."""
    clients = open_clients(CALLERS, FAT_JOBS)
    body = job(tasks=820, text="x" * 3900).encode()
    for client in clients:
        send(client, head(len(body)) + body)
        watch()
    return clients


def crowd_pipelined():
    """Each sends a second job behind a request, without waiting for the
    answer to it."""
    body = job().encode()
    ask = b"GET /desk/ HTTP/1.1\r\nHost: desk.example\r\n\r\n"
    clients = open_clients(CALLERS, PIPELINING)
    for i, client in enumerate(clients):
        send(client, (ask if i % 2 else head(len(body)) + body) + head(len(body)) + body)
    watch()
    return clients


# What a process sends first on a connection to an internal port: the header of
# nng's TCP transport for a PUSH socket.
INTERNAL_HELLO = b"\0SP\0\0\x50\0\0"


def crowd_internal_idle(port=INTERNAL):
    """As our own processes open them, without the key of the cluster."""
    clients = open_clients(port, IDLE)
    for client in clients:
        send(client, INTERNAL_HELLO)
        watch()
    return clients


def crowd_internal_frames(port=INTERNAL):
    """Each sends a frame but for the last 100 bytes."""
    clients = open_clients(port, BODIES)
    for client in clients:
        send(client, INTERNAL_HELLO + MAX_BODY.to_bytes(8, "big") + bytes(MAX_BODY - 100))
        watch()
    return clients


def set_padding(store, upstream):
    """The call itself is answered with the padding that it sets."""
    call(base, "PUT", "/padding", json.dumps([store, upstream]))


def play_large_rows():
    """The table service sends far more than it should with each answer."""
    set_padding(LARGE_ANSWER, 0)
    for _ in range(CHANGES):
        call(base, "PUT", "/op/config", configuration())
        check("answered beside large answers", wait_until(is_answered))
    set_padding(0, 0)
    return []


def play_large_orders():
    """The upstream does so, while many starts are in progress."""
    set_padding(0, LARGE_ANSWER)
    clients = open_clients(CALLERS, PIPELINING)
    body = job(tasks=8).encode()
    for client in clients:
        send(client, head(len(body)) + body)
    for client in clients:
        try:
            client.recv(1)  # an answer of any kind
        except OSError:
            pass
        watch()
    set_padding(0, 0)
    return clients


def tls_context():
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


def open_tls_clients(count):
    """Connections to the own port after their handshake."""
    context = tls_context()
    clients = []
    for client in open_clients(OWN, count):
        try:
            clients.append(context.wrap_socket(client))
        except OSError:
            client.close()  # evicted, which is allowed
        watch()
    return clients


def tls_call(data):
    """Sends the pieces of a request over TLS; returns the answer."""
    client = open_tls_clients(1)[0]
    send_in_turn([client], [iter(data)])
    answer = client.recv(4096)
    client.close()
    return answer


def is_answered_over_tls():
    try:
        return b" 200 " in tls_call([b"GET /v1/health HTTP/1.1\r\nHost: a\r\n\r\n"])
    except (OSError, IndexError):
        return False


def key_request(size=None):
    return head(size, "/v1/keys")


def has_two_keys(answer):
    """The number is in the body; without a body one key is answered."""
    return b" 200 " in answer[:20] and answer.count(b'","') == 1


def play_tls_calm():
    body = b'{"count": 2}'.ljust(MAX_BODY)
    check("answered over TLS", wait_until(is_answered_over_tls))
    whole = tls_call([key_request(MAX_BODY) + body])
    check("whole body over TLS", has_two_keys(whole), whole)
    cut = tls_call(pieces(key_request(MAX_BODY) + body))
    check("body in pieces over TLS", has_two_keys(cut), cut)
    chunked = tls_call([key_request(), *map(chunk, pieces(body)), b"0\r\n\r\n"])
    # A server may ask for the length instead of reading chunks.
    check("chunked body over TLS", has_two_keys(chunked) or b" 411 " in chunked[:20], chunked)
    return []


def crowd_tls_pipelined():
    body = b'{"count": 2}'
    post = key_request(len(body)) + body
    clients = open_tls_clients(PIPELINING)
    for i, client in enumerate(clients):
        send(client, (post if i % 2 else b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n") + post)
    watch()
    return clients


def client_hello():
    """The first flight of a client, taken from a handshake in memory."""
    out = ssl.MemoryBIO()
    try:
        tls_context().wrap_bio(ssl.MemoryBIO(), out).do_handshake()
    except ssl.SSLWantReadError:
        pass
    return out.read()


def crowd_tls_handshakes():
    """Each sends a half of its first flight."""
    clients = open_clients(OWN, IDLE)
    hello = client_hello()
    for client in clients:
        send(client, hello[:len(hello) // 2])
        watch()
    return clients


def crowd_tls_hellos():
    """Each announces a ClientHello of 130,000 bytes, and sends it but for the
    last 100, in records of the largest size."""
    clients = open_clients(OWN, IDLE)
    hello = b"\1" + (130000).to_bytes(3, "big") + b"\3\3" + bytes(129800)
    records = b"".join(b"\x16\3\1" + len(part).to_bytes(2, "big") + part
                       for part in (hello[i:i + 16384] for i in range(0, len(hello), 16384)))
    for client in clients:
        send(client, records)
        watch()
    return clients


def crowd_tls_heads():
    clients = open_tls_clients(IDLE)
    for client in clients:
        send(client, key_request(10)[:-2] + b"Padding: " + b"x" * 8000)
    watch()
    return clients


def crowd_tls_whole():
    clients = open_tls_clients(BODIES)
    for client in clients:
        send(client, key_request(MAX_BODY) + bytes(MAX_BODY - 100))
        watch()
    return clients


def crowd_tls_chunked():
    def stream():
        yield key_request()
        yield from (chunk(piece) for piece in pieces(bytes(MAX_BODY - 100)))
    clients = open_tls_clients(BODIES)
    send_in_turn(clients, [stream() for _ in clients])
    return clients


def crowd_tls_unread():
    clients = open_tls_clients(BODIES)
    for client in clients:
        client.settimeout(1)
        send(client, b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 200)
        watch()
    return clients


def close(clients):
    for client in clients:
        client.close()


def play_waves():
    after = []
    for _ in range(WAVES):
        clients = crowd_whole()
        close(clients)
        check("answered after a wave", wait_until(is_answered))
        after.append(memory_kb(pids["entry"], "VmRSS"))
    check("memory does not grow with the waves", after[-1] <= after[1] + WAVE_GROWTH_KB,
          f"kB after each: {after}")
    return []


def has_ended(role):
    return not os.path.exists(f"/proc/{pids[role]}") or is_zombie(pids[role])


def start_again(role):
    process = subprocess.Popen([daemon, SETTINGS[role]], stdout=subprocess.DEVNULL)
    started.append(process)
    pids[role] = process.pid
    most_descriptors[role] = 0


def listens(port):
    with socket.socket() as client:
        return client.connect_ex(("127.0.0.1", port)) == 0


def play_restart():
    """All crowds, a part of each; the entry is killed and started among them."""
    clients = crowd_whole()[::3] + crowd_idle()[::3]
    os.kill(pids["entry"], signal.SIGKILL)
    wait_until(lambda: has_ended("entry"))
    start_again("entry")
    # Its callers are back before the entry is, and come as soon as it listens.
    wait_until(lambda: listens(CALLERS))
    return clients + crowd_pieces() + crowd_heads() + crowd_unread() + crowd_whole()


def stop_in_use(role, clients):
    """Stops a process; its clients go on using their connections until it is
    gone."""
    os.kill(pids[role], signal.SIGTERM)

    def is_gone():
        for client in clients:
            client.settimeout(0.01)
            send(client, b"x")
        return has_ended(role)
    check(f"the {role} ends when it is stopped", wait_until(is_gone))


def play_stop():
    """The entry and the agent are stopped and started again beside the crowd,
    which comes back."""
    clients = crowd_whole() + crowd_unread() + crowd_idle()[::3]
    stop_in_use("entry", clients)
    start_again("entry")
    wait_until(lambda: listens(CALLERS))
    others = crowd_whole(AGENT_UPSTREAM)
    stop_in_use("agent", others)
    start_again("agent")
    wait_until(lambda: listens(AGENT_UPSTREAM))
    return clients + crowd_pieces() + crowd_heads() + crowd_whole(AGENT_UPSTREAM)


def play_next_entry():
    """The entry closes; its crowd moves on to the next, which has one of its
    own."""
    clients = crowd_whole() + crowd_idle()[::3] + crowd_whole(CALLERS_2)
    stop_in_use("entry", clients[:BODIES])
    close(clients[:BODIES])
    clients = clients[BODIES:] + crowd_whole(CALLERS_2) + crowd_idle(CALLERS_2)
    check("the next entry answers", wait_until(lambda: is_answered(CALLERS_2)))
    start_again("entry")
    wait_until(lambda: listens(CALLERS))
    return clients + crowd_pieces()


def play_reload():
    """The settings change and the processes are told so, again and again."""
    clients = []
    for level in ("debug", "info") * 5:
        for role in ("entry", "agent"):
            with open(SETTINGS[role]) as file:
                settings = json.load(file)
            with open(SETTINGS[role], "w") as file:
                json.dump(settings | {"log_level": level}, file)
            os.kill(pids[role], signal.SIGHUP)
        clients += crowd_whole()[::10] + crowd_idle()[::10]
        os.kill(pids["entry"], signal.SIGHUP)
    return clients


def play_store_away():
    """The table service is away while the crowd comes, and comes back."""
    call(base, "PUT", "/down", "true")
    clients = crowd_whole() + crowd_unread()
    check("answered without the table service", wait_until(is_answered))
    call(base, "PUT", "/down", "false")
    return clients + crowd_pieces() + crowd_idle()


def is_zombie(pid):
    try:
        with open(f"/proc/{pid}/stat") as stat:
            return stat.read().rsplit(")", 1)[1].split()[0] == "Z"
    except FileNotFoundError:
        return True


def play_calm():
    """Single requests of the largest size, one after the other."""
    body = padded_job()
    check("whole body of the limit", call(CALLERS, "POST", next_path(), body)[0] == 200)
    client = open_clients(CALLERS, 1)[0]
    send_in_turn([client], [pieces(head(MAX_BODY) + body)])
    check("body of the limit in pieces", b" 200 " in client.recv(4096)[:20])
    client = open_clients(CALLERS, 1)[0]
    send_in_turn([client], [iter([head(), *map(chunk, pieces(body)), b"0\r\n\r\n"])])
    try:
        answer = client.recv(4096)[:20]
    except ConnectionResetError:
        answer = b"reset"
    # A server may ask for the length instead of reading chunks.
    check("chunked body of the limit", b" 200 " in answer or b" 411 " in answer, answer)
    return [client]


CASES = {
    "calm": play_calm,
    "whole": crowd_whole,
    "pieces": crowd_pieces,
    "chunked": crowd_chunked,
    "heads": crowd_heads,
    "idle": crowd_idle,
    "unread": crowd_unread,
    "jobs": crowd_jobs,
    "pipelined": crowd_pipelined,
    "waves": play_waves,
    "restart": play_restart,
    "own-port": lambda: crowd_whole(OWN),
    "readiness-port": lambda: crowd_whole(READY),
    "upstream-port": lambda: crowd_whole(AGENT_UPSTREAM),
    "agent-port": lambda: crowd_whole(AGENT_OWN),
    "stop": play_stop,
    "next-entry": play_next_entry,
    "reload": play_reload,
    "store-away": play_store_away,
    "unread-answers": crowd_unread_answers,
    "large-rows": play_large_rows,
    "large-orders": play_large_orders,
    "internal-idle": crowd_internal_idle,
    "internal-frames": crowd_internal_frames,
    "agent-internal-idle": lambda: crowd_internal_idle(AGENT_INTERNAL),
    "agent-internal-frames": lambda: crowd_internal_frames(AGENT_INTERNAL),
    "tls-calm": play_tls_calm,
    "tls-pipelined": crowd_tls_pipelined,
    "tls-handshakes": crowd_tls_handshakes,
    "tls-hellos": crowd_tls_hellos,
    "tls-idle": lambda: open_tls_clients(IDLE),
    "tls-heads": crowd_tls_heads,
    "tls-whole": crowd_tls_whole,
    "tls-chunked": crowd_tls_chunked,
    "tls-unread": crowd_tls_unread,
}

def configuration():
    versions[0] += 1
    return json.dumps({
        "version": versions[0], "limits": {"maxBodyBytes": MAX_BODY}, "services": [],
        "routes": [{"name": "desk", "host": "desk.example", "prefix": "/desk/",
                    "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60,
                    "priority": 1, "service": "finishing", "maxAttempts": 3, "stretch": 1.6}]})


resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
call(base, "PUT", "/op/config", configuration())
check("answered before the crowd", wait_until(is_answered))
clients = CASES[case]()
check("answered beside the crowd", wait_until(is_answered))
check("the agent is ready beside the crowd",
      wait_until(is_ready))
if not case.startswith("tls-"):
    check("the own port answers beside the crowd", wait_until(is_own_answered))
if case.startswith("tls-"):
    check("answered over TLS beside the crowd", wait_until(is_answered_over_tls))
watch()
for role, pid in pids.items():
    alive = os.path.exists(f"/proc/{pid}") and not is_zombie(pid)
    check(f"{role} lives", alive)
    if alive:
        check(f"memory of the {role}", memory_kb(pid) <= MEMORY_KB, f"peak kB: {memory_kb(pid)}")
    check(f"descriptors of the {role}", most_descriptors[role] <= DESCRIPTORS,
          f"most: {most_descriptors[role]}")
close(clients)
for process in started:
    process.kill()
print(len(failures), "faults")
sys.exit(1 if failures else 0)
