"""Sound jobs are shown as failed: runs that are lost with a crashed worker are counted as the task's fault."""

import asyncio
import pathlib
import random
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from world import TROUBLE, play  # noqa: E402

ATTEMPTS = 4  # maxAttempts of the queue
WAVES, DOWN_S, SHARE = 20, 1.5, 0.14
WORKERS = 15
JOBS, JOB_GAP_S = 50, 0.6
STEP = [{"count": 1, "cpu": 9000, "memMb": 17000, "estimatedMs": 5000}]


async def crash_waves(world):
    chance = random.Random(7)  # which workers crash does not depend on what runs there
    for _ in range(WAVES):
        hit = chance.sample(world.workers, int(SHARE * WORKERS))
        for worker in hit:
            worker.crash()
        await asyncio.sleep(DOWN_S)
        for worker in hit:
            worker.restart()


async def scenario(world):
    jobs = []
    waves = asyncio.ensure_future(crash_waves(world)) if TROUBLE else None

    async def submit(job):
        if await world.submit(job, STEP):
            jobs.append(job)

    callers = []
    for number in range(JOBS):
        callers.append(asyncio.ensure_future(submit(f"{number + 1:016x}")))
        await asyncio.sleep(JOB_GAP_S)
    await asyncio.gather(*callers)
    if waves:
        await waves
    await asyncio.sleep(24)  # finish_s and more
    breaches = []
    for job in sorted(jobs):
        state = await world.state(job)
        ends = [row for row in world.events("run_end", job) if row["how"] == "failed"]
        lost = [row for row in world.events("run_lost", job)]
        if state in ("failed", "cancelled", "410") and len(ends) < ATTEMPTS:
            breaches.append(f"LOST: job {job} was accepted, nobody has cancelled it, and it is shown as "
                            f"{state} after {len(ends)} ends `failed` (maxAttempts {ATTEMPTS}) and "
                            f"{len(lost)} runs lost with their worker")
    world.record("jobs", accepted=len(jobs), lost_runs=len(world.events("run_lost")),
                 failed_ends=sum(row["how"] == "failed" for row in world.events("run_end")))
    return breaches


if __name__ == "__main__":
    play(CASE, scenario, workers=WORKERS, cpu=16000)
