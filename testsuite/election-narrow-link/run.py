"""A VM with a narrow link is the first to start after all were killed. A page of the stored workflows
takes it seconds. When a strong VM starts, that one coordinates, and the stored work goes on.

Guards against a weak coordinator that never finishes loading and keeps the leader key.
"""

import concurrent.futures
import sys
import time

from harness.platform_entries import Entries, configure
from harness.platform_standin import Fleet, Platform

NARROW_MBPS = 2
JOBS = 400
SPEC_BYTES = 3_900
STRONG, WEAK = "entry-0", "entry-1"
LONG_WORK_S = 600  # nothing ends before all are killed
TASK_LEASE_S = 6
DEADLINE_S = 40


def wait_until(condition, what, timeout=DEADLINE_S):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError(f"not within {timeout} s: {what}")


def stored_bytes(platform, prefix):
    return platform.do(lambda: sum(len(entry[0]) for key, entry in platform.fleet.store.items.items()
                                   if key.startswith(prefix)))


def main():
    platform = Platform(Fleet(advised=False, work_s=LONG_WORK_S))
    fleet = platform.fleet
    fleet.disturbed = True
    platform.do(lambda: setattr(fleet.store, "page_items", 500))
    configure(platform)
    entries = Entries(platform, 2, vms=[
        {"processor_share": 0.5, "link_mbps": 200},
        {"processor_share": 0.3, "link_mbps": NARROW_MBPS,
         "store": platform.store_behind(NARROW_MBPS)}])
    jobs = [f"{number:016x}" for number in range(JOBS)]
    steps = [{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 300}]

    try:
        entries.wait_ready()
        wait_until(lambda: entries.coordinator() == STRONG, "the strong VM coordinates at first")
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda job: entries.submit(job, steps, spec="x" * SPEC_BYTES), jobs))
        size = stored_bytes(platform, "verbenalever/w/")
        assert size > 1 << 20, f"the stored workflows are no load for the link: {size} bytes"

        for name in (STRONG, WEAK):
            entries.kill(name)
        time.sleep(TASK_LEASE_S + 0.5)  # what ran stops
        platform.do(lambda: setattr(fleet, "work_s", 0.1))
        before = len(list(entries.lines("leadership_won")))
        entries.start(WEAK)
        wait_until(lambda: len(list(entries.lines("leadership_won"))) > before,
                   "a weak VM coordinates while it is alone")
        time.sleep(0.5)  # it is reading the first page
        loads = len(list(entries.lines("loaded")))

        entries.start(STRONG)
        wait_until(lambda: entries.coordinator() == STRONG, "the strong VM coordinates")
        wait_until(lambda: len(list(entries.lines("loaded"))) > loads, "the workflows are loaded")
        entries.wait_ready(DEADLINE_S)
        entries.submit("f" * 16, steps)
        entries.wait_completed([*jobs, "f" * 16], 2 * DEADLINE_S)

        reasons = [(line["process"], line["reason"], line["member"])
                   for line in entries.lines("handing_over")]
        assert (WEAK, "weak", STRONG) in reasons, reasons
        assert entries.coordinator() == STRONG, "it was handed back"
        assert not fleet.violations, fleet.violations[:5]
        for name, process in entries.processes.items():
            assert process.poll() is None, f"{name} ended with {process.returncode}"
        entries.keep_folder = False
    finally:
        entries.close()


if __name__ == "__main__":
    sys.exit(main())
