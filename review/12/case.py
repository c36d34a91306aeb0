"""A zone is taken back while all entries are down. The executors of the zone
are never used again."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from world import *  # noqa: F403

ZONE = "erie-shore"
CALM_S, EVACUATED_S, DOWN_S, RECOVERY_S, AFTER_S = 25, 8, 6, 12, 15
PAUSE_S = 0.25


async def scenario(world):
    await world.start(zones=(ZONE,), entries=2, agents=2)
    answers = []  # (time sent, status)

    async def client(i):
        for n in range(100000):
            sent = now()
            entry = world.entries[(i + n) % 2]
            status, _ = await world.submit(entry, f"{0x1000000 * (i + 1) + n:016x}", job(60, 2), 1500)
            answers.append((sent, status))
            await asyncio.sleep(PAUSE_S)

    clients = [asyncio.create_task(client(i)) for i in range(4)]
    await asyncio.sleep(CALM_S)
    world.record(f"operator evacuates {ZONE}")
    await world.store.put("evacuate/" + ZONE, {})
    await asyncio.sleep(EVACUATED_S - DOWN_S / 2)
    fault = now()
    if TROUBLE:
        for entry in world.entries:
            entry.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S / 2)
    world.record(f"operator takes {ZONE} back")
    await world.store.put("evacuate/" + ZONE, None)
    await asyncio.sleep(DOWN_S / 2)
    if TROUBLE:
        await asyncio.gather(*(entry.restart(0) for entry in world.entries))
    back = now()
    world.record("all machines are back")
    await asyncio.sleep(RECOVERY_S + AFTER_S)
    for task in clients:
        task.cancel()
    await asyncio.gather(*clients, return_exceptions=True)

    def share(wanted):
        statuses = [status for sent, status in answers if wanted(sent)]
        served = statuses.count(200)
        return served / max(1, len(statuses)), f"{served} of {len(statuses)} requests"

    before, text = share(lambda sent: sent < fault)
    world.record("before the final fault served: " + text)
    print("before the final fault served:", text)
    after, text = share(lambda sent: sent > back + RECOVERY_S)
    world.record(f"sent {RECOVERY_S} s or more after the machines are back, served: " + text)
    print(f"sent {RECOVERY_S} s or more after the machines are back, served:", text)
    if before < 0.25:
        raise CannotRun("less than a quarter was served before the fault")
    return [f"after the recovery served: {text}"] if after < 0.25 else []


main(scenario, os.path.dirname(os.path.abspath(__file__)))
