"""A configuration lowers a team's limit while an urgent gang of that team waits, so that the gang no longer fits it.
Do the team's other jobs run, while the team uses nothing of its limit and the workers are idle?"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from stand_ins import Entries, Fleet, job_id, main  # noqa: E402

WORKERS, ENTRIES = 8, 3
HIGH, LOW = 96000, 10000  # maxCount of the team: 96 cores of 128, then 10
FINISH_S, STUCK_S = 14.0, 3.0


def play(record, trouble):
    fleet = Fleet(record, WORKERS)
    fleet.configure(version=7, limit_cpu=HIGH)
    entries = Entries(fleet, ENTRIES)
    try:
        entries.wait_ready()
        time.sleep(2)
        if trouble:
            fleet.configure(version=9, limit_cpu=LOW)
            record.write(f"configuration 9: maxCount.cpu of team-1 is {LOW} instead of {HIGH}")
            time.sleep(3)
        gang = job_id()
        step = {"count": 8, "cpu": 3000, "memMb": 4000, "estimatedMs": 640, "gang": True}
        if not entries.submit(gang, [step], queue="urgent"):
            raise RuntimeError("the gang was not accepted")
        batch = []
        for _ in range(6):
            batch.append(job_id())
            if not entries.submit(batch[-1], [{"count": 2, "cpu": 900, "memMb": 2600, "estimatedMs": 2000}]):
                raise RuntimeError("a job was not accepted")
        record.write("the traffic ends")
        # 14 s after the end of the traffic, 3 s of which are looked at: nothing of the team runs.
        end = time.monotonic() + FINISH_S + STUCK_S
        idle_since = None
        while time.monotonic() < end:
            running = fleet.do(lambda: sum(len(worker.running) for worker in fleet.workers.values()))
            idle_since = None if running else idle_since or time.monotonic()
            time.sleep(0.1)
        idle_s = time.monotonic() - idle_since if idle_since else 0
        states = {job: entries.state(job) for job in batch}
        started = {task.split(".")[0] for _, task, _, _ in fleet.starts}
        stuck = [job for job in batch if states[job] not in ("completed", "cancelled") and job not in started]
        record.write(f"the gang is {entries.state(gang)}; states of the six other jobs: {sorted(map(str, states.values()))}; "
                     f"never started: {len(stuck)}; nothing has run on any worker for {idle_s:.1f} s")
        # LOST: for 3 s a job has nothing running while a task's turn has come, there is capacity for it twice
        # over, its tenant has under half of maxCount and under half of the service's capacity is in use.
        return not (stuck and idle_s >= STUCK_S)
    finally:
        entries.close()


main(play)
