"""A gang is given up, and its end comes while it asks for advice again: the room kept for it is not given back."""

import asyncio
import os
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from world import BOUNDS, TROUBLE, Gate, Unusable, Worker, World, play  # noqa: E402

JOB, SMALL = "3d0e9b21a94b36f8", "b4c0d1e2f3a40718"
WORKERS, OF_KIND_B = 48, 12
CPU, MEM_MB = 32000, 65536  # of a worker; each holds one task of the job
MEMBERS, NEXT = 8, 5
TASK = {"cpu": 9000, "memMb": 34000, "estimatedMs": 2000, "gang": True}
STEPS = [TASK | {"count": MEMBERS}, TASK | {"count": NEXT, "requiredLabel": "b", "after": [0]}]
SMALL_TASK = {"cpu": 4000, "memMb": 2600, "estimatedMs": 90000, "requiredLabel": "a", "maxPerServer": 1}
SMALL_ROUTE = {"name": "r-small", "host": "small.example", "prefix": "/s/", "kind": "unsafe", "timeoutMs": 3000,
               "targetLatencyMs": 3000, "priority": 2, "maxAttempts": 4, "stretch": 4.0, "public": False}
DECIDE_MS, EACH_MS, VALID_MS = 500.0, 7.1, 1500
CUT_AFTER_S = 1.2  # after the gang has started
CUT_S = float(os.environ.get("CUT_S", 5.4))


class ResetGate(Gate):
    """Connections to a worker that is cut off are closed at once."""

    async def hold(self, reader):
        pass


class GangWorker(Worker):
    """The tasks of a gang work from the moment when all of one run are present; a member that ends otherwise
    than as done ends the others, and one that waits too long for the others ends alone."""

    def tick(self):
        now = time.monotonic()
        for task, entry in list(self.running.items()):
            job, _, step, _ = task.split(".")
            spec = self.world.jobs[job]["steps"][int(step)]
            run = (job, step, entry["run"])
            if not spec.get("gang"):
                continue
            if run in self.world.broken:
                self._end(task, "broken")
            elif run not in self.world.together:
                entry["since"] = now
                entry.setdefault("arrived", now)
                present = [name for worker in self.world.workers for name, other in worker.running.items()
                           if name.startswith(f"{job}.0.{step}.") and other["run"] == entry["run"]]
                if len(present) == spec["count"]:
                    self.world.together.add(run)
                elif now - entry["arrived"] > BOUNDS["gangMs"] / 1000:
                    self._end(task, "alone")
        super().tick()

    def _end(self, task, how):
        job, _, step, _ = task.split(".")
        if how != "done":
            self.world.broken.add((job, step, self.running[task]["run"]))
        super()._end(task, how)


class GangWorld(World):
    def __init__(self, case, **shape):
        super().__init__(case, **shape)
        self.together, self.broken = set(), set()
        for number, worker in enumerate(self.workers):
            worker.__class__ = GangWorker
            worker.gate = ResetGate()
            if number < OF_KIND_B:
                worker.kind = "b"

    def ticket(self, worker, step):
        return None if step.startswith(SMALL) else super().ticket(worker, step)

    async def submit_small(self, job, steps):
        host, prefix = self.host, self.prefix
        self.host, self.prefix = SMALL_ROUTE["host"], SMALL_ROUTE["prefix"]
        accepted = await self.submit(job, steps)
        self.host, self.prefix = host, prefix
        return accepted

    def configuration(self, version, **changes):
        config = super().configuration(version, extra_routes=[SMALL_ROUTE | {"service": self.service}])
        config["routes"][0]["advice"] = {"decideMs": DECIDE_MS, "eachMs": EACH_MS, "validMs": VALID_MS}
        return config

    async def _advise(self, method, path, query, headers, body):
        self.record("advice_asked", step=body["step"], workers=sorted(body["workers"]))
        await asyncio.sleep((DECIDE_MS + EACH_MS * len(body["workers"])) / 1000)
        self.record("advice_given", step=body["step"], workers=len(body["workers"]))
        return 200, {"granted": [[name, self.ticket(name, body["step"])] for name in body["workers"]],
                     "validMs": VALID_MS}


async def scenario(world):
    count = WORKERS - OF_KIND_B
    await world.submit_small(SMALL, [SMALL_TASK | {"count": count}])
    await wait_until(lambda: len(world.events("run_start", SMALL)) == count)
    await world.submit(JOB, STEPS)
    await wait_until(lambda: len(starts(world, 0)) == MEMBERS)
    await asyncio.sleep(CUT_AFTER_S)
    used = {row["worker"] for row in starts(world, 0)}
    if TROUBLE:
        cut(world, used, True)
        await asyncio.sleep(CUT_S)
        cut(world, used, False)
    await asyncio.sleep(BOUNDS["finish_s"])
    begin, longest = None, 0.0  # while nothing of the job runs though there is room for it twice over
    for _ in range(50):
        if waits_beside_room(world):
            begin = world.now() if begin is None else begin
            longest = max(longest, world.now() - begin)
        else:
            begin = None
        await asyncio.sleep(0.1)
    state = await world.state(JOB)
    world.record("asked", state=state, waited_beside_room_s=round(longest, 1), room_for=room(world))
    if longest > 3:
        return [f"LOST: job {JOB} is {state}; for {longest:.1f} s nothing of it ran though its first step was done, its "
                f"second needs {NEXT} workers of kind b, and {room(world)} had room for a task"]
    return []


def waits_beside_room(world):
    done = [row for row in world.events("run_end", JOB) if row["how"] == "done"]
    runs = any(task.startswith(JOB) for worker in world.workers for task in worker.running)
    first_done = any(row["task"].split(".")[2] == "0" for row in done)
    second_done = any(row["task"].split(".")[2] == "1" for row in done)
    specs = [spec for worker in world.workers for spec in running_specs(worker)]
    half_free = (sum(spec["cpu"] for spec in specs) < CPU * WORKERS / 2 and
                 sum(spec["memMb"] for spec in specs) < MEM_MB * WORKERS / 2)
    return first_done and not second_done and not runs and half_free and room(world) >= 2 * NEXT


def running_specs(worker):
    return [worker.world.jobs[task.split(".")[0]]["steps"][int(task.split(".")[2])] for task in worker.running]


def room(world):
    """Workers of kind b that have room for a task of the second step."""
    found = 0
    for worker in world.workers:
        specs = running_specs(worker)
        found += (worker.kind == "b" and worker.up and
                  CPU - sum(spec["cpu"] for spec in specs) >= TASK["cpu"] and
                  MEM_MB - sum(spec["memMb"] for spec in specs) >= TASK["memMb"])
    return found


async def wait_until(condition):
    for _ in range(1500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise Unusable("the jobs have not started")


def starts(world, step):
    return [row for row in world.events("run_start", JOB) if row["task"].split(".")[2] == str(step)]


def cut(world, names, closed):
    for worker in world.workers:
        if worker.name in names:
            worker.gate.closed = closed
    world.record("cut" if closed else "cut_healed", workers=sorted(names))


if __name__ == "__main__":
    play(CASE, scenario, world_class=GangWorld, workers=WORKERS, cpu=CPU, mem_mb=MEM_MB)
