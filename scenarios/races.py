"""Two operators race for the same change through two entries.

Usage: races.py ENTRY ENTRY ROUNDS. Every change that was answered accepted
is in the history once; every other one was answered as a conflict that names
a change of the history."""
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
    def one(side):
        body = {"id": f"race-{number:03d}-{side}",
                "ops": [{"op": "set_default", "setting": "lease_ms",
                         "value": 1000 + 2 * number + side}]}
        barrier.wait()
        answers[side] = call(side, "changes", body)
    threads = [threading.Thread(target=one, args=(s,)) for s in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


accepted = conflicts = 0
faults = []
for number in range(rounds):
    answers = [None, None]
    race(number, answers, threading.Barrier(2))
    history = {c["id"]: c for c in call(0, "changes")["changes"]}
    versions = [c["version"] for c in history.values()]
    if len(set(versions)) != len(versions):
        faults.append("a version stands twice")
    for side, answer in enumerate(answers):
        mine = f"race-{number:03d}-{side}"
        if answer.get("state") == "accepted":
            accepted += 1
            if history.get(mine, {}).get("version") != answer["version"]:
                faults.append(f"{mine} accepted, not in the history")
        elif answer.get("name") == "CONFLICT":
            conflicts += 1
            named = answer.get("detail", "").split()[1]
            if mine in history or named not in history:
                faults.append(f"{mine}: conflict names {named}")
        else:
            faults.append(f"{mine}: {answer}")
final = call(1, "status")["config"]
if final != accepted:
    faults.append(f"{accepted} accepted, version {final}")
print(f"   {rounds} rounds: {accepted} accepted, {conflicts} conflicts, "
      f"version {final}, {len(faults)} faults")
for fault in faults[:5]:
    print("  ", fault)
sys.exit(1 if faults else 0)
