"""Two operators change the same setting concurrently through two entries.

Every change answered as accepted must be in the history once. Every other change
must be answered as a conflict that names a change in the history.

Usage: races.py ENTRY ENTRY ROUNDS"""
import json
import os
import sys
import threading
import urllib.error
import urllib.request

entries = sys.argv[1:3]
rounds = int(sys.argv[3])
tokens = [os.environ["OPERATOR_TOKEN"], os.environ["OPERATOR_TOKEN_2"]]


def call(side, path, body=None):
    request = urllib.request.Request(
        f"http://{entries[side]}/v1/admin/{path}",
        json.dumps(body).encode() if body else None,
        {"Authorization": f"Bearer {tokens[side]}"})
    try:
        with urllib.request.urlopen(request, timeout=60) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as error:
        return json.load(error)


def race(number, answers, barrier):
    def request_change(side):
        body = {"id": f"race-{number:03d}-{side}",
                "ops": [{"op": "set_default", "setting": "lease_ms",
                         "value": 1000 + 2 * number + side}]}
        barrier.wait()
        answers[side] = call(side, "changes", body)
    threads = [threading.Thread(target=request_change, args=(s,)) for s in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


accepted = conflicts = 0
failures = []
for number in range(rounds):
    answers = [None, None]
    race(number, answers, threading.Barrier(2))
    history = {c["id"]: c for c in call(0, "changes")["changes"]}
    versions = [c["version"] for c in history.values()]
    if len(set(versions)) != len(versions):
        failures.append("the history contains a version twice")
    for side, answer in enumerate(answers):
        own_id = f"race-{number:03d}-{side}"
        if answer.get("state") == "accepted":
            accepted += 1
            if history.get(own_id, {}).get("version") != answer["version"]:
                failures.append(f"{own_id} was accepted but is not in the history")
        elif answer.get("name") == "CONFLICT":
            conflicts += 1
            other_id = answer.get("detail", "").split()[1]
            if own_id in history or other_id not in history:
                failures.append(f"{own_id}: the conflict names {other_id}")
        else:
            failures.append(f"{own_id}: unexpected answer {answer}")
final = call(1, "status")["config"]
if final != accepted:
    failures.append(f"{accepted} changes accepted, but the version is {final}")
print(f"   {rounds} rounds: {accepted} accepted, {conflicts} conflicts, "
      f"version {final}, {len(failures)} faults")
for failure in failures[:5]:
    print("  ", failure)
sys.exit(1 if failures else 0)
