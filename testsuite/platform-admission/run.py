"""A team that submits several times what its limit can run: entries refuse what would end too late
to be of use, with Retry-After, and no job that is known."""

import sys

from harness.platform_entries import Entries, configure
from harness.platform_standin import Fleet, Platform

LEARNED, BURST = 15, 60


def jobs(kind, count):
    return [f"{kind}{number:015x}" for number in range(count)]


def main():
    platform = Platform(Fleet(work_s=0.5))
    configure(platform)
    entries = Entries(platform, 2, settings="admission: deadline")
    body = {"spec": "x", "steps": [{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 500}]}
    try:
        entries.wait_ready()
        for job in jobs("a", LEARNED):
            entries.submit(job, body["steps"])
        entries.wait_completed(jobs("a", LEARNED), 30)
        configure(platform, limit_cpu=2000, version=4)
        platform.fleet.jobs.update({job: body for job in jobs("b", BURST)})
        answers = {job: entries.job("POST", job, body) for job in jobs("b", BURST)}
        accepted = [job for job, answer in answers.items() if answer.status == 200]
        refused = [answer for answer in answers.values() if answer.status == 503]
        assert accepted and refused, sorted(answer.status for answer in answers.values())
        for answer in refused:
            assert 1 <= int(answer.headers["Retry-After"]) <= 2, answer.headers
        assert entries.job("POST", accepted[0], body).status == 200
        lines = list(entries.lines("submission_refused"))
        assert lines and all(line["cause"] == "team" for line in lines), lines[:3]
        entries.wait_completed(accepted, 60)
        started = {line["workflow"] for line in lines} & {
            line.get("workflow") for line in entries.lines("run_ended")}
        assert not started, started
        assert not platform.fleet.violations, platform.fleet.violations
        entries.keep_folder = False
    finally:
        entries.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
