"""A cancelled job runs on: a replaced coordinator answers DELETE with 410 for a job that it does not know."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from world import BOUNDS, TROUBLE, Connection, play  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 2000} |
         ({"after": [number - 1]} if number else {}) for number in range(7)]
CUT_S = 5.5


async def scenario(world):
    leader = world.daemon(world.store.last_conditional)
    others = [daemon for daemon in world.daemons if daemon is not leader]
    client = Connection(world, leader)  # stays open, as clients' connections do
    await client.call("GET", world.prefix)
    if TROUBLE:
        leader.gate.closed = True
        world.record("store_cut", daemon=leader.name)
        asyncio.get_running_loop().call_later(CUT_S, heal, world, leader)
    await asyncio.sleep(3.0)
    world.record("coordinator", last_conditional_write_by=world.store.last_conditional)
    if not await world.submit(JOB, STEPS, others):
        return []  # nothing was accepted
    await asyncio.sleep(0.5)
    cancelled_at = None
    for daemon in [leader, *others, *others]:  # a client asks another daemon when it gets no answer
        connection = client if daemon is leader else Connection(world, daemon)
        answer = await connection.call("DELETE", world.prefix + JOB)
        if 200 <= answer.status < 300 or answer.status == 410:
            cancelled_at = world.now()
            world.record("cancel_acknowledged", by=daemon.name, status=answer.status)
            break
        await asyncio.sleep(0.2)
    if cancelled_at is None:
        return []
    await asyncio.sleep(16)
    state = await world.state(JOB, others)
    limit = cancelled_at + BOUNDS["cancel_ms"] / 1000
    late = [row for row in world.events("run_start", JOB) if row["t"] > limit]
    if not late:
        return []
    return [f"UNASKED: {len(late)} tasks of a cancelled job started later than cancel_ms after the "
            f"cancelling was acknowledged with {answer.status}, the last "
            f"{late[-1]['t'] - cancelled_at:.2f} s after it; the job is shown as {state}"]


def heal(world, leader):
    leader.gate.closed = False
    world.record("store_cut_ends", daemon=leader.name)


if __name__ == "__main__":
    play(CASE, scenario)
