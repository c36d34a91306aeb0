"""Runs the processes of one deployment on the loopback interface."""

import json
import os
import signal
import subprocess
import time
import urllib.request

DEPLOYMENTS = {
    "lakeshore": {
        "region": "great-lakes",
        "data_centres": ["erie-shore", "huron-bay", "superior-north"],
        "service": "finishing",
        "cores": 64,
    },
    "portland": {
        "region": "portland",
        "data_centres": ["port-antonio", "buff-bay", "manchioneal"],
        "service": "commission-desk",
        "cores": 32,
    },
}
AGENTS = 11
SLOTS = 8  # Per upstream.
CONNECTIONS = 64  # Per upstream.
ENTRIES = 3
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def http(addr, method, path, body=None, timeout=3):
    """Sends a request, with `body` as JSON, and returns the response body.

    Raises an OSError if there is no response or its status is an error.
    """
    request = urllib.request.Request(
        f"http://{addr}{path}", method=method,
        data=json.dumps(body).encode() if body is not None else None)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


def processor_s(pid):
    """User and system time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_kb(pid):
    """Resident memory of a process in kB; 0 once it has exited."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


class Cluster:
    """Daemons of one deployment with a stand-in for the table service and one
    upstream beside each agent.

    As a context manager it starts the processes, waits until they are ready,
    and kills them at the end. Logs, settings and journals are written to
    work_dir. Ports are counted from base_port: the table service has base_port
    itself, HTTP of entries +100, internal links of entries +200, HTTP of
    agents +300, internal links of agents +400, upstreams +500. `settings` maps
    a role to additional settings of its daemons.
    """

    def __init__(self, build, work_dir, base_port, deployment, agents=AGENTS,
                 entries=ENTRIES, slots=SLOTS, connections=CONNECTIONS,
                 settings=None):
        self.build = build
        self.work_dir = work_dir
        self.base_port = base_port
        self.name = deployment
        self.deployment = DEPLOYMENTS[deployment]
        self.agents = agents
        self.entries = entries
        self.slots = slots
        self.connections = connections
        self.extra_settings = settings or {}
        self.processes = {}
        os.makedirs(work_dir, exist_ok=True)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def data_centre(self, number):
        return self.deployment["data_centres"][number % 3]

    def entry_addr(self, number):
        return f"127.0.0.1:{self.base_port + 100 + number}"

    def agent_addr(self, number):
        return f"127.0.0.1:{self.base_port + 300 + number}"

    def upstream_addr(self, number):
        return f"127.0.0.1:{self.base_port + 500 + number}"

    def journal(self, number):
        return os.path.join(self.work_dir, f"journal-{number}")

    def spawn(self, name, *command):
        with open(os.path.join(self.work_dir, name + ".log"), "a",
                  encoding="utf-8") as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log)

    def spawn_daemon(self, role, number, http_port, internal_port):
        node = f"{role}-{number}"
        settings = {
            "role": role, "node": node,
            "region": self.deployment["region"],
            "data_centre": self.data_centre(number),
            "listen_http": f"127.0.0.1:{http_port}",
            "listen_internal": f"127.0.0.1:{internal_port}",
            "table_service": f"127.0.0.1:{self.base_port}",
            "cluster_key": "measuring key, not secret",
        }
        settings.update(self.extra_settings.get(role, {}))
        path = os.path.join(self.work_dir, node + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.spawn(node, f"{self.build}/daemon/jacinthpickd", path)

    def spawn_agent(self, number):
        self.spawn_daemon("agent", number, self.base_port + 300 + number,
                          self.base_port + 400 + number)

    def spawn_upstream(self, number):
        self.spawn(f"upstream-{number}",
                   f"{self.build}/standins/standin-upstream",
                   "--listen", self.upstream_addr(number),
                   "--agent", self.agent_addr(number),
                   "--service", self.deployment["service"],
                   "--slots", str(self.slots),
                   "--connections", str(self.connections),
                   "--cores", str(self.deployment["cores"]),
                   "--journal", self.journal(number))

    def start(self):
        for number in range(self.agents):
            if os.path.exists(self.journal(number)):
                os.unlink(self.journal(number))
        self.spawn("store", f"{self.build}/standins/standin-tablestore",
                   "--listen", f"127.0.0.1:{self.base_port}")
        time.sleep(0.2)
        for number in range(self.entries):
            self.spawn_daemon("entry", number, self.base_port + 100 + number,
                              self.base_port + 200 + number)
        for number in range(self.agents):
            self.spawn_agent(number)
        time.sleep(0.3)
        for number in range(self.agents):
            self.spawn_upstream(number)
        self.wait_ready()

    def wait_ready(self):
        """Waits until all entries are healthy and all members registered.

        Raises RuntimeError after 30 s.
        """
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            try:
                rows = json.loads(http(f"127.0.0.1:{self.base_port}", "GET",
                                       "/v1/rows?since=0"))["rows"]
                for number in range(self.entries):
                    http(self.entry_addr(number), "GET", "/v1/health")
                if len(rows) >= self.agents + self.entries:
                    time.sleep(2.5)
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.1)
        raise RuntimeError(f"{self.entries} entries and {self.agents} agents "
                           "were not ready within 30 s")

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}

    def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def set_faults(self, number, **faults):
        """Sets faults of an upstream, or ends them with their defaults."""
        http(self.upstream_addr(number), "POST", "/faults", faults)

    def agents_in(self, data_centre):
        return [n for n in range(self.agents)
                if self.data_centre(n) == data_centre]

    def processor_s(self, role):
        """Processor time of all processes of a role in seconds."""
        return sum(processor_s(process.pid)
                   for name, process in self.processes.items()
                   if name.startswith(role + "-"))

    def memory_kb(self, role):
        """Resident memory of the largest process of a role in kB."""
        sizes = [memory_kb(process.pid)
                 for name, process in self.processes.items()
                 if name.startswith(role + "-")]
        return max(sizes, default=0)

    def counters(self, role):
        """Sums of the counters over all processes of a role that answer."""
        total = {}
        addr = self.entry_addr if role == "entry" else self.agent_addr
        count = self.entries if role == "entry" else self.agents
        for number in range(count):
            try:
                text = http(addr(number), "GET", "/metrics")
            except OSError:
                continue
            for line in text.splitlines():
                name, _, value = line.rpartition(" ")
                if line.startswith("#") or not name:
                    continue
                try:
                    total[name] = total.get(name, 0) + float(value)
                except ValueError:
                    pass
        return total
