"""Urgent jobs of a team come in a burst shortly before the traffic ends. Does a batch gang of the team, which fits its
limit, run once all urgent jobs have ended and the workers are idle?"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from stand_ins import Entries, Fleet, job_id, main  # noqa: E402

WORKERS, ENTRIES = 8, 3
LIMIT, USUAL_PER_S, BURST_X, BURST_S = 30000, 7, 2.2, 4.0
FINISH_S, STUCK_S = 14.0, 3.0


def play(record, trouble):
    fleet = Fleet(record, WORKERS)
    fleet.configure(limit_cpu=LIMIT)
    entries = Entries(fleet, ENTRIES)
    threads = []
    step = [{"count": 1, "cpu": 3000, "memMb": 4000, "estimatedMs": 640}]

    def urgent_jobs(seconds, per_s):
        begin = time.monotonic()
        for number in range(int(seconds * per_s)):
            time.sleep(max(0, begin + number / per_s - time.monotonic()))
            thread = threading.Thread(target=entries.submit, args=(job_id(), step, 10, "urgent"))
            thread.start()
            threads.append(thread)

    try:
        entries.wait_ready()
        time.sleep(2)
        urgent_jobs(4, USUAL_PER_S)
        record.write(f"the last {BURST_S} s of the traffic{': ' + str(BURST_X) + ' times as many' if trouble else ''}")
        urgent_jobs(BURST_S, USUAL_PER_S * (BURST_X if trouble else 1))
        gang = job_id()
        if not entries.submit(gang, [{"count": 8, "cpu": 3150, "memMb": 4000, "estimatedMs": 2000, "gang": True}]):
            raise RuntimeError("the gang was not accepted")
        for thread in threads:
            thread.join()
        record.write("the traffic ends")
        ended = time.monotonic()
        while time.monotonic() < ended + FINISH_S:
            time.sleep(0.05)
        idle_since = time.monotonic()
        while time.monotonic() < ended + FINISH_S + STUCK_S:
            if fleet.do(lambda: any(worker.running for worker in fleet.workers.values())):
                idle_since = time.monotonic()
            time.sleep(0.05)
        idle_s = time.monotonic() - idle_since
        begun = [at - ended for at, task, _, _ in fleet.starts if task.startswith(gang)]
        record.write(f"{FINISH_S + STUCK_S} s after the traffic: the gang is {entries.state(gang)}, "
                     f"begun: {f'{begun[0]:.1f} s after it' if begun else 'no'}; idle: {idle_s:.1f} s")
        broken = not begun and idle_s >= STUCK_S - 0.1
        while not begun and time.monotonic() < ended + 40:
            time.sleep(0.2)
            begun = [at - ended for at, task, _, _ in fleet.starts if task.startswith(gang)]
        record.write(f"the gang began {f'{begun[0]:.1f}' if begun else 'not within 40'} s after the end of the traffic")
        return not broken
    finally:
        entries.close()


main(play)
