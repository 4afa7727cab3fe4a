"""Coordinators are killed and the store refuses or loses replies: no job is lost or run twice."""

import sys
import threading
import time

from harness.platform_entries import Entries, configure
from harness.platform_standin import Fleet, Platform


def submit_all(entries, jobs, problems):
    try:
        for job in jobs:
            entries.submit(job, [{"count": 2, "cpu": 1000, "memMb": 100, "estimatedMs": 300,
                                  "gang": int(job, 16) % 4 == 0},
                                 {"count": 1, "cpu": 500, "estimatedMs": 300, "after": [0]}],
                           tries=60)
            time.sleep(0.02)
    except AssertionError as problem:
        problems.append(problem)


def main():
    platform = Platform(Fleet(work_s=0.3))
    configure(platform)
    entries = Entries(platform, 3)
    jobs = [f"{number:016x}" for number in range(1, 121)]
    problems = []
    try:
        entries.wait_ready()
        callers = [threading.Thread(target=submit_all, args=(entries, jobs[part::3], problems))
                   for part in range(3)]
        for caller in callers:
            caller.start()
        for _ in range(2):
            time.sleep(1.0)
            killed = entries.coordinator()
            entries.kill(killed)
            time.sleep(0.3)
            entries.start(killed)
            time.sleep(1.5)
            platform.do(lambda: setattr(platform.fleet.store, "answers_to_lose", 2))
        platform.do(lambda: setattr(platform.fleet.store, "refusing", True))
        time.sleep(1.5)
        platform.do(lambda: setattr(platform.fleet.store, "refusing", False))
        for caller in callers:
            caller.join(60)
        assert not problems, problems
        entries.wait_completed(jobs, 60)
        assert not platform.fleet.violations, platform.fleet.violations[:5]
        assert len({line["term"] for line in entries.lines("leadership_won")}) >= 3
        entries.keep_folder = False
    finally:
        entries.close()


if __name__ == "__main__":
    sys.exit(main())
