"""An unhealthy executor fails part of its requests: some starts are carried
out without a response, others get 503. Rule: REFUSED (a task starts, and all
attempts to hand its job in were rejected)."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import fleet as fl  # noqa: E402

EXECUTORS = 12  # one of them is unhealthy: a share of 0.083
GREY_S = 6.5
KINDS = ["a", "a", "b"]
RACK = 3
DEADLINE_MS = 1500
ROUNDS = 4
FULL = 10  # tasks of 6.2 cores on an executor of 64 cores


def job(count, work_ms):
    return fl.job({"ms": work_ms}, count, 6200, requirements="b")


class UnhealthyExecutor:
    @staticmethod
    async def create():
        fleet = fl.Fleet(entries=3, agents=EXECUTORS)
        for number, machine in enumerate(fleet.agents):
            kind = KINDS[number % len(KINDS)]
            fleet.add_executor(machine, f"i-{number}",
                               labels=(kind, f"r1-{number // RACK}"))
        return fleet

    @staticmethod
    async def run(fleet, trouble):
        await fleet.start()
        with_b = [e for e in fleet.executors if "b" in e.labels]
        grey = None
        until = 0
        seen = {}

        async def fail_part(executor, kind, body):
            """While the executor is unhealthy, every second request to start a
            run gets no response, although the run starts; the others are
            rejected."""
            if (executor is not grey or kind != "run-start" or
                    fl.now_ms() > until):
                return None
            key = (body["task"], body["run"])
            seen[key] = seen.get(key, 0) + 1
            if seen[key] % 2:
                await executor.order(kind, body)
                fleet.record.add("start-without-response", id=executor.id,
                                 task=key[0], run=key[1])
                return None, None
            fleet.record.add("start-rejected", id=executor.id, task=key[0],
                             run=key[1], status=503)
            return 503, {"clockMs": executor.clock()}

        for executor in with_b:
            executor.on_order = (lambda kind, body, executor=executor:
                                 fail_part(executor, kind, body))
        broken = []
        statuses = {}
        for _ in range(ROUNDS):
            # Other callers' jobs take all executors of this kind; one of them
            # is free again sooner. That one is unhealthy for a while.
            calls = [asyncio.create_task(fleet.request(
                fleet.entries[i % 3], "POST", fl.new_id(), job(FULL, work_ms),
                DEADLINE_MS)) for i, work_ms in enumerate(
                    [1200, 1200, 1200, 300])]
            await asyncio.sleep(0.45)
            grey = next((e for e in with_b if len(e.running) < FULL), None)
            if grey is None:
                raise RuntimeError("no executor became free")
            until = fl.now_ms() + GREY_S * 1000 if trouble else 0
            names = [fl.new_id() for _ in range(4)]
            answers = await asyncio.gather(*[
                fleet.request(fleet.entries[i % 3], "POST", name, job(2, 900),
                              DEADLINE_MS) for i, name in enumerate(names)])
            until = 0
            await asyncio.gather(*calls)
            await asyncio.sleep(2)
            for name, (status, _) in zip(names, answers):
                statuses[status] = statuses.get(status, 0) + 1
                runs = [row for executor in fleet.executors
                        for row in executor.log if row[0].startswith(name)]
                if status in (429, 503) and runs:
                    broken.append(name)
                    fleet.record.add("rejected-but-ran", job=name,
                                     status=status, starts=len(runs))
        return bool(broken), (f"answers={statuses} rejected jobs of which a "
                              f"task had started: {len(broken)}")


if __name__ == "__main__":
    fl.run_case(HERE, UnhealthyExecutor)
