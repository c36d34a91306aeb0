"""Submits jobs from several callers until SIGTERM, then writes a JSON report.

A caller whose entry does not answer submits its job again through another entry with
the same key.

Usage: steady.py JOB_FILE REPORT_FILE ENTRY..."""
import collections
import json
import signal
import sys
import threading
import time
import urllib.error
import urllib.request

CALLERS = 6
MAX_ATTEMPTS = 60
job = open(sys.argv[1], "rb").read()
entries = sys.argv[3:]
stopping = threading.Event()
lock = threading.Lock()
count = collections.Counter()
lost = []


def post(entry, path, body, key=None):
    headers = {"Idempotency-Key": key} if key else {}
    request = urllib.request.Request(f"http://{entry}{path}", body, headers)
    try:
        with urllib.request.urlopen(request, timeout=40) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as error:
        return json.load(error)
    except (OSError, ValueError):
        return None


def request_key(first):
    for attempt in range(MAX_ATTEMPTS):
        answer = post(entries[(first + attempt) % len(entries)], "/v1/keys",
                      b"{}")
        if answer and "keys" in answer:
            return answer["keys"][0]
        time.sleep(0.1)
    return None


def run_one(first):
    key = request_key(first)
    answer = None
    for attempt in range(MAX_ATTEMPTS):
        if not key:
            break
        answer = post(entries[(first + attempt) % len(entries)], "/v1/jobs",
                      job, key)
        if answer and answer["state"] == "complete":
            with lock:
                count["complete"] += 1
                count["resubmitted"] += attempt > 0
            return
        if answer and answer["state"] == "failed" and \
                answer["name"] not in ("OWNER_AWAY", "TRY_AGAIN"):
            break
        time.sleep(0.1)
    with lock:
        count["lost"] += 1
        lost.append(answer)


def caller(first):
    while not stopping.is_set():
        run_one(first)
        first += 1


signal.signal(signal.SIGTERM, lambda *_: stopping.set())
threads = [threading.Thread(target=caller, args=(n,)) for n in range(CALLERS)]
for thread in threads:
    thread.start()
stopping.wait()
for thread in threads:
    thread.join()
report = {k: count[k] for k in ("complete", "resubmitted", "lost")}
report["examples"] = lost[:3]
with open(sys.argv[2], "w") as out:
    json.dump(report, out)
    out.write("\n")
