"""One entry daemon is left. The store is down and slow in turn a few times, and then sound for good. Does the work
that was accepted go on?"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from stand_ins import Entries, Fleet, job_id, main  # noqa: E402

WORKERS, ENTRIES = 8, 3
OUTAGES, DOWN_S, SLOW_S, SLOW_X = 2, 2.5, 1.0, 60
FINISH_S, STUCK_S, CONTACT_S = 14.0, 3.0, 3.0


def play(record, trouble):
    fleet = Fleet(record, WORKERS)
    fleet.configure()
    entries = Entries(fleet, ENTRIES)
    store = fleet.store
    usual = store.answer_s
    try:
        entries.wait_ready()
        time.sleep(2)
        if trouble:
            left = entries.coordinator()
            for name in sorted(entries.processes):
                if name != left:
                    entries.kill(name)
            record.write(f"{left} is the only entry daemon left")
            time.sleep(3)
        jobs = [job_id() for _ in range(4)]
        steps = [{"count": 2, "cpu": 900, "memMb": 2600, "estimatedMs": 3000},
                 {"count": 2, "cpu": 900, "memMb": 2600, "estimatedMs": 1000, "after": [0]}]
        for job in jobs:
            if not entries.submit(job, steps):
                raise RuntimeError("a job was not accepted")
        time.sleep(1)
        for _ in range(OUTAGES if trouble else 0):
            record.write(f"the store is down for {DOWN_S} s")
            store.down = True
            time.sleep(DOWN_S)
            record.write(f"the store answers again, slowly, for {SLOW_S} s")
            store.answer_s, store.down = usual * SLOW_X, False
            time.sleep(SLOW_S)
        store.answer_s = usual
        record.write("the store is sound from now on")
        end = time.monotonic() + FINISH_S + STUCK_S
        idle_since, late = None, job_id()
        while time.monotonic() < end:
            running = fleet.do(lambda: sum(len(worker.running) for worker in fleet.workers.values()))
            idle_since = None if running else idle_since or time.monotonic()
            time.sleep(0.1)
        idle_s = time.monotonic() - idle_since if idle_since else 0
        states = [entries.state(job) for job in jobs]
        new = entries.submit(late, steps[:1], tries=5)
        record.write(f"{FINISH_S + STUCK_S} s later: states {states}; nothing has run on any worker for {idle_s:.1f} s; "
                     f"a new job is {'accepted' if new else 'refused five times'}")
        stalled = entries.events("transaction_stalled")
        record.write(f"log: {len(stalled)} transactions stalled" + (f", last: {stalled[-1]['answer']}" if stalled else ""))
        # LOST: a job has nothing running for 3 s while a task's turn has come and all workers are idle.
        return not (any(state != "completed" for state in states) and idle_s >= STUCK_S)
    finally:
        entries.close()


main(play)
