"""The whole path on the users' platform: jobs of several steps, gangs, failing tasks, cancelling,
and what is refused."""

import sys

from harness.platform_entries import Entries, configure
from harness.platform_standin import Fleet, Platform

FAILS_ONCE = "00000000000000aa.0.0.0"


def main():
    platform = Platform(Fleet(failing=[FAILS_ONCE]))
    configure(platform)
    entries = Entries(platform, 3)
    try:
        entries.wait_ready()
        jobs = []
        for number in range(24):
            job = f"{number:016x}"
            first = {"count": 3, "cpu": 1000, "memMb": 100, "estimatedMs": 100,
                     "gang": number % 3 == 0}
            second = {"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 100, "after": [0]}
            entries.submit(job, [first, second])
            jobs.append(job)
        entries.submit("00000000000000aa", [{"count": 1, "cpu": 500, "estimatedMs": 100}])
        entries.wait_completed(jobs + ["00000000000000aa"], 30)
        entries.submit(jobs[0], platform.fleet.jobs[jobs[0]]["steps"])  # the same job again
        assert entries.job("GET", "ffffffffffffffff").status == 410
        assert entries.job("DELETE", "ffffffffffffffff").status == 410
        assert entries.job("GET").json() == {"waiting": 0}
        assert entries.job("POST", "1" * 16, {"spec": "x", "steps": []}).status == 400
        assert entries.job("POST", "short", {"spec": "x", "steps": [{"count": 1}]}).status == 400
        assert entries.job("GET", jobs[0], key="wrong").status == 401
        platform.fleet.work_s = 30
        entries.submit("00000000000000bb", [{"count": 2, "cpu": 500, "estimatedMs": 100}])
        assert entries.job("DELETE", "00000000000000bb").status == 200
        assert entries.job("GET", "00000000000000bb").json()["state"] == "cancelled"
        assert not platform.fleet.violations, platform.fleet.violations
        assert entries.kill("entry-0", how=15) == 0
        entries.keep_folder = False
    finally:
        entries.close()


if __name__ == "__main__":
    sys.exit(main())
