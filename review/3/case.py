"""A refused and cancelled job runs: its first record is stored after its submission was answered with 503."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from world import BOUNDS, TROUBLE, Connection, play  # noqa: E402

FIRST, JOB, OTHER = "77aa00c2d94b36f8", "5c0e7a21d94b36f8", "a1b2c3d4e5f60718"
STEPS = [{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 1000}]
OTHER_STEPS = [{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 6000},
               {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 6000, "after": [0]}]
DOWN_S = 4.5  # the store answers nobody


async def scenario(world):
    leader = world.daemon(world.store.last_conditional)
    others = [daemon for daemon in world.daemons if daemon is not leader]
    await world.submit(FIRST, STEPS, others)  # the traffic before the outage
    if TROUBLE:
        set_store(world, down=True)
        asyncio.get_running_loop().call_later(DOWN_S, set_store, world, False)
    other = asyncio.ensure_future(world.submit(OTHER, OTHER_STEPS, others))
    answers, cancelled_at = [], None
    submission = asyncio.ensure_future(submit_once(world, others[0], answers))
    await asyncio.sleep(0.3)
    for number in range(6):  # the client does not want the job any more, and asks until it is told so
        answer = await Connection(world, others[number % 2]).call("DELETE", world.prefix + JOB)
        if 200 <= answer.status < 300 or answer.status == 410:
            cancelled_at = world.now()
            world.record("cancel_acknowledged", by=others[number % 2].name, status=answer.status)
            break
        await asyncio.sleep(0.3)
    await submission
    if not await other:
        return []
    await asyncio.sleep(5)  # the store is back
    leader = world.daemon(world.store.last_conditional)
    if TROUBLE:
        world.record("kill", daemon=leader.name)
        leader.process.kill()
        await leader.process.wait()
        await asyncio.sleep(1)
        await leader.run()
    await asyncio.sleep(10)
    starts = world.events("run_start", JOB)
    breaches = []
    if starts and answers and all(status in (429, 503) for status in answers):
        breaches.append(f"REFUSED: the only submission of job {JOB} was answered with {answers[0]}, and "
                        f"{len(starts)} tasks of it were started")
    if cancelled_at is not None:
        late = [row for row in starts if row["t"] > cancelled_at + BOUNDS["cancel_ms"] / 1000]
        if late:
            breaches.append(f"UNASKED: {len(late)} tasks of job {JOB} started later than cancel_ms after its "
                            f"cancelling was acknowledged, the last {late[-1]['t'] - cancelled_at:.1f} s after")
    return breaches


async def submit_once(world, daemon, answers):
    world.jobs[JOB] = body = {"spec": "x", "steps": STEPS}
    answer = await Connection(world, daemon).call("POST", world.prefix + JOB, body)
    answers.append(answer.status)


def set_store(world, down):
    world.store.set_down(down)
    for daemon in world.daemons:
        daemon.gate.closed = down
    world.record("store_down" if down else "store_up")


if __name__ == "__main__":
    play(CASE, scenario)
