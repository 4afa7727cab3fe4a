"""Two of fifteen workers are lost, and one second later the entry daemon that coordinates is killed. How many jobs are
said to wait, while jobs that were handed in just after the loss have not begun?"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from stand_ins import Entries, Fleet, job_id, main  # noqa: E402

WORKERS, LOST, ENTRIES, JOBS = 15, 2, 3, 12
VISIBLE_S = 3.0 + 2.0  # visible_ms + 2 s
CONTACT_S = 3.0


def play(record, trouble):
    fleet = Fleet(record, WORKERS)
    fleet.configure()
    entries = Entries(fleet, ENTRIES)
    broken = 0
    try:
        entries.wait_ready()
        time.sleep(2)
        # Some work runs already, as on any day: one job with two long tasks.
        busy = job_id()
        step = {"count": 2, "cpu": 9000, "memMb": 4000, "estimatedMs": 25000}
        if not entries.submit(busy, [step]):
            raise RuntimeError("the first job was not accepted")
        time.sleep(1)
        used = [worker for worker in fleet.workers.values() if worker.running]
        others = [worker for worker in fleet.workers.values() if not worker.running]
        if trouble:
            for worker in (used + others)[:LOST]:
                fleet.do(lambda lost=worker: lost.crash(silent=True))
        lost_at = time.monotonic()
        accepted = {}
        for _ in range(JOBS):
            job = job_id()
            if entries.submit(job, [{"count": 1, "cpu": 1000, "memMb": 1000, "estimatedMs": 640}], tries=1):
                accepted[job] = time.monotonic()
        time.sleep(max(0, lost_at + 1 - time.monotonic()))
        killed = entries.coordinator()
        if trouble:
            entries.kill(killed)
        asked = 0
        while time.monotonic() < lost_at + 12:
            time.sleep(0.2)
            if time.monotonic() < lost_at + VISIBLE_S:
                continue
            for name in sorted(entries.processes):
                # These daemons were not touched, and the store was not either: they are in touch.
                sent = time.monotonic()
                status, answer = entries.call("GET", entry=name)
                now = time.monotonic()
                begun = {task.split(".")[0] for at, task, _, _ in list(fleet.starts)}
                waiting = [job for job, at in accepted.items() if at < sent - VISIBLE_S and job not in begun]
                if status == 200 and waiting:
                    asked += 1
                    said = answer["waiting"]
                    record.write(f"{name} says that {said} wait; {len(waiting)} accepted over "
                                 f"{VISIBLE_S} s before have not begun")
                    broken += said * 2 < len(waiting)
        record.write(f"accepted {len(accepted)} of {JOBS}; answers while such jobs waited: {asked}, "
                     f"of them with under half: {broken}")
        if len(accepted) < JOBS // 2:
            raise RuntimeError("too few jobs were accepted")
        return broken == 0
    finally:
        entries.close()


main(play)
