"""A rack loses power for good under light traffic. Do jobs run on the other rack of its zone, whose workers are sound and
idle?"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from stand_ins import Entries, Fleet, job_id, main  # noqa: E402

# Zone a has rack a-1 (3 workers) and rack a-2 (5), zones b and c have 7 workers each.
PLACES = ["zone-a a-1"] * 3 + ["zone-a a-2"] * 5 + ["zone-b b-1"] * 7 + ["zone-c c-1"] * 7
ENTRIES = 3
FINISH_S, STUCK_S = 14.0, 3.0


def play(record, trouble):
    fleet = Fleet(record, len(PLACES))
    fleet.configure()
    for worker, place in zip(fleet.workers.values(), PLACES):
        worker.zone, worker.rack = place.split()
        fleet.do(worker.report)
    entries = Entries(fleet, ENTRIES)
    traffic_over = threading.Event()

    def light_traffic():
        while not traffic_over.wait(0.3):
            entries.submit(job_id(), [{"count": 1, "cpu": 1300, "memMb": 1000, "estimatedMs": 640}], queue="urgent")

    try:
        entries.wait_ready()
        time.sleep(2)
        first = job_id()
        step = {"count": 3, "cpu": 9000, "memMb": 4000, "estimatedMs": 12000, "maxPerServer": 1,
                "requiredLabel": "a-1"}
        if not entries.submit(first, [step]):
            raise RuntimeError("the first job was not accepted")
        time.sleep(2)
        light = threading.Thread(target=light_traffic)
        light.start()
        if trouble:
            for worker in fleet.workers.values():
                if worker.rack == "a-1":
                    fleet.do(lambda lost=worker: lost.crash(silent=True))  # for good
        time.sleep(20)
        jobs = [job_id() for _ in range(6)]
        for number, job in enumerate(jobs):
            step = {"count": 2, "cpu": 900, "memMb": 2600, "estimatedMs": 2000, "requiredLabel": "a-2"}
            if not entries.submit(job, [step]):
                raise RuntimeError(f"job {number} was not accepted")
        elsewhere = job_id()
        entries.submit(elsewhere, [{"count": 2, "cpu": 900, "memMb": 2600, "estimatedMs": 2000}])
        traffic_over.set()
        light.join()
        record.write("the traffic ends")
        end = time.monotonic() + FINISH_S + STUCK_S
        idle_since = None
        while time.monotonic() < end:
            running = fleet.do(lambda: any(worker.running for worker in fleet.workers.values()))
            idle_since = None if running else idle_since or time.monotonic()
            time.sleep(0.1)
        idle_s = time.monotonic() - idle_since if idle_since else 0
        states = [entries.state(job) for job in jobs]
        started = {task.split(".")[0] for _, task, _, _ in fleet.starts}
        stuck = [job for job in jobs if job not in started]
        sound = [worker for worker in fleet.workers.values() if worker.up and worker.rack == "a-2"]
        record.write(f"{FINISH_S + STUCK_S} s later: states of the six jobs for rack a-2 {states}; never started: {len(stuck)}; "
                     f"its workers that are up: {len(sound)}; nothing has run on any worker for {idle_s:.1f} s; "
                     f"a job without a label is {entries.state(elsewhere)}")
        # LOST: a job has nothing running for 3 s while a task's turn has come and the workers are idle.
        return not (stuck and idle_s >= STUCK_S)
    finally:
        traffic_over.set()
        entries.close()


main(play)
