"""A job whose ID is all zeros is sent again after its connection was reset. Its
tasks run twice at the same time."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from world import *  # noqa: F403

RESEND_S = 1.3  # resendMs
TASK_MS = 3600
NAME = "0000000000000000"


async def scenario(world):
    await world.start(entries=2, agents=2)
    balancer = Balancer(world)
    await balancer.start()
    path = "/desk/" + NAME
    body = job(TASK_MS, 2)

    async def send():
        world.record(f"client POST {path}")
        status, answer = await call(balancer.port, "POST", path, body, 9000)
        world.record(f"client answered {status} {json.dumps(answer)}")
        return status

    first = asyncio.create_task(send())
    if TROUBLE:
        await asyncio.sleep(0.5)
        balancer.reset_all()
    status = await first
    if status in (0, 502, 504):
        await asyncio.sleep(RESEND_S)
        status = await send()
    print("last answer:", status)
    await asyncio.sleep(TASK_MS / 1000)
    runs = {}
    for executor in world.executors:
        ends = {(task, run): at for at, task, run, _ in executor.ends}
        for at, task, run, _ in executor.starts:
            runs.setdefault(task, []).append((at, ends.get((task, run), now()), executor.name, run))
    breaches = []
    for task, spans in runs.items():
        spans.sort()
        for one, other in zip(spans, spans[1:]):
            if other[0] < one[1]:
                breaches.append(f"{task} ran at {one[2]} from {one[0]:.3f} to {one[1]:.3f} and at "
                                f"{other[2]} from {other[0]:.3f} to {other[1]:.3f}")
    return breaches


main(scenario, os.path.dirname(os.path.abspath(__file__)))
