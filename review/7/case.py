"""All workers of one kind are lost, and urgent jobs that need this kind go on coming and wait. Do batch jobs that need
no kind run on the other workers, which are idle?"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from stand_ins import Entries, Fleet, job_id, main  # noqa: E402

WORKERS, OF_KIND_B, ENTRIES = 15, 2, 3
PER_S, TRAFFIC_S = 20, 24
FINISH_S, STUCK_S = 14.0, 3.0


def play(record, trouble):
    fleet = Fleet(record, WORKERS)
    fleet.configure()
    of_kind_b = list(fleet.workers.values())[:OF_KIND_B]
    for worker in of_kind_b:
        worker.kind = "b"
        fleet.do(worker.report)
    entries = Entries(fleet, ENTRIES)
    accepted, threads = [], []

    def hand_in(job):
        step = {"count": 1, "cpu": 1300, "memMb": 1000, "estimatedMs": 640, "requiredLabel": "b"}
        if entries.submit(job, [step], queue="urgent"):
            accepted.append(job)

    try:
        entries.wait_ready()
        time.sleep(2)
        if trouble:
            for worker in of_kind_b:
                fleet.do(worker.crash)  # for good
            time.sleep(1)
        begin = time.monotonic()
        for number in range(PER_S * TRAFFIC_S):
            time.sleep(max(0, begin + number / PER_S - time.monotonic()))
            thread = threading.Thread(target=hand_in, args=(job_id(),))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        batch = []
        for _ in range(6):
            batch.append(job_id())
            if not entries.submit(batch[-1], [{"count": 2, "cpu": 900, "memMb": 2600, "estimatedMs": 2000}]):
                raise RuntimeError("a batch job was not accepted")
        record.write(f"the traffic ends; {len(accepted)} urgent jobs that need kind b were accepted")
        end = time.monotonic() + FINISH_S + STUCK_S
        idle_since = None
        while time.monotonic() < end:
            running = fleet.do(lambda: any(worker.running for worker in fleet.workers.values()))
            idle_since = None if running else idle_since or time.monotonic()
            time.sleep(0.1)
        idle_s = time.monotonic() - idle_since if idle_since else 0
        states = [entries.state(job) for job in batch]
        started = {task.split(".")[0] for _, task, _, _ in fleet.starts}
        stuck = [job for job in batch if job not in started]
        record.write(f"{FINISH_S + STUCK_S} s later: states of the six batch jobs {states}; never started: {len(stuck)}; "
                     f"nothing has run on any worker for {idle_s:.1f} s; workers that are up: "
                     f"{sum(worker.up for worker in fleet.workers.values())}")
        # LOST: a job has nothing running for 3 s while a task's turn has come and the workers are idle.
        return not (stuck and idle_s >= STUCK_S)
    finally:
        entries.close()


main(play)
