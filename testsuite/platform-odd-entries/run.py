"""Odd registrations among those of the targets, before the start and during the run: no process ends,
nobody uses them, what runs goes on, and the list is followed all the same."""

import collections
import json
import sys
import threading
import time

from harness.client import call
from harness.platform_entries import Entries, configure
from harness.platform_standin import Fleet, Platform, Target

LARGE = 2**63 - 1


class Trap:
    """A listener that the odd registrations name and that answers as an idle target does; no order
    may reach it."""

    def __init__(self):
        self.calls = collections.Counter()

    async def handle(self, path):
        self.calls[path] += 1
        return 200, {"clockMs": 1, "running": [], "ended": []}


def odd_values(address, born):
    """Returns registrations that name no target, and one that does, as bytes."""
    good = {"service": "pool", "address": address, "zone": "z1", "version": "v1", "slots": 8,
            "state": "ready", "capacity": {"cpu": 4000, "memMb": 64000, "gpu": 0},
            "labels": ["a"], "born": born, "seq": 1}

    def patched(**members):
        return json.dumps({**good, **members}).encode()

    nested = b"[" * 300_000 + b"]" * 300_000
    text = json.dumps(good).encode()
    without = [json.dumps({k: v for k, v in good.items() if k != name}).encode()
               for name in ("service", "address", "zone", "state", "born")]
    return [*without,
        b"", b"\xff\xfe\x00", b"null", b"[]", nested, text[:-1], text[:-1] + b',"labels":' + nested + b"}",
        text[:-1] + b',"other":' + nested + b"}", text.replace(b"64000", b"1e400"),
        patched(capacity={"cpu": LARGE, "memMb": LARGE, "gpu": LARGE}),
        patched(capacity={"cpu": 2**64 - 1, "memMb": 1, "gpu": 0}),
        patched(capacity={"cpu": 4000, "memMb": -5, "gpu": 0}),
        patched(capacity={"cpu": 10**40, "memMb": 1, "gpu": 0}), patched(capacity=[]),
        patched(born=0), patched(born=-1), patched(born=LARGE), patched(born=2**64 - 1),
        patched(born="1"), patched(labels=[1]), patched(labels=["x"] * 10_000),
        patched(zone="z" * 100_000), patched(service=7), patched(state="odd"),
        patched(address="127.0.0.1:70000"), patched(address="127.0.0.1:-1"),
        patched(address="0.0.0.0:" + address.split(":")[1]), patched(address="127.0.0.1:0"),
        patched(address="224.0.0.1:80"), patched(address=address.replace(":", "\0:"))], text


class GrantingFleet(Fleet):
    """Its advisor grants each target, so that which targets are used depends on their entries only."""

    def policy_allows(self, job, target):
        return True


class CountedTarget(Target):
    starts = 0

    def start(self, body):
        self.starts += 1
        return super().start(body)


def write_odd_entries(platform, odd, stop):
    """Replace the registrations of two targets by odd ones, in bursts, until stopped. The targets
    write theirs again each second, so that they are used between the bursts."""
    number = 0
    while not stop.wait(0.1 if number % 30 else 1.5):
        for key in ("servers/i-0", "servers/i-1", f"servers/new-{number % 40}"):
            value = odd[number % len(odd)]
            platform.do(lambda k=key, v=value: platform.fleet.store.put(k, v))
            number += 1


def refusals(entries):
    total = 0
    for name in entries.processes:
        text = call(entries.addresses[name]["metrics"], "GET", "/metrics").body.decode()
        total += sum(int(line.split()[1]) for line in text.splitlines()
                     if line.startswith("verbenalever_target_entries_refused "))
    return total


def main():
    platform = Platform(GrantingFleet(work_s=0.3))
    fleet, store, trap = platform.fleet, platform.fleet.store, Trap()
    address = platform.run(platform._serve(lambda m, p, q, b: trap.handle(p)))
    odd, possible = odd_values(address, fleet.targets["i-0"].born)
    later = json.dumps({**json.loads(possible), "born": LARGE}).encode()
    for number, value in enumerate(odd):
        platform.do(lambda k=f"servers/a-{number}", v=value: store.put(k, v))
    for key in ("servers/", "servers/a b", "servers/a\r\nX-Odd: 1", "servers/\0", "servers/\u00e9",
                "servers/" + "k" * 201):
        platform.do(lambda k=key: store.put(k, possible))
    configure(platform)
    entries = Entries(platform, 3)
    stop = threading.Event()
    writer = threading.Thread(target=write_odd_entries, args=(platform, odd, stop))
    jobs = []

    def submit(count, width=3):
        new = [f"{len(jobs) + number:016x}" for number in range(count)]
        for job in new:
            entries.submit(job, [{"count": width, "cpu": 1000, "memMb": 100, "estimatedMs": 300},
                                 {"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 300,
                                  "after": [0]}])
        jobs.extend(new)
        return new

    try:
        entries.wait_ready()
        entries.wait_completed(submit(4), 10)

        fleet.work_s = 1.5
        wide = submit(1, width=20)
        busy = fleet.targets["i-0"]
        end = time.monotonic() + 5
        while not busy.running and time.monotonic() < end:
            time.sleep(0.01)
        assert busy.running, "the target whose registration is replaced has no work"
        for value in (later, odd[0]):  # its runs go on: they may not be started elsewhere
            platform.do(lambda v=value: store.put("servers/i-0", v))
            time.sleep(0.4)
        fleet.work_s = 0.3
        entries.wait_completed(wide, 8)

        writer.start()
        entries.wait_completed(submit(8, width=8), 12)

        added = CountedTarget(fleet, "i-later", 4000)
        fleet.addresses[added.name] = platform.run(
            platform._serve(lambda m, p, q, b: added.handle(p, b)))
        platform.do(lambda: fleet.targets.update({added.name: added}))
        end = time.monotonic() + 6
        while not added.starts and time.monotonic() < end:
            entries.wait_completed(submit(1, width=40), 8)  # more than the others have room for
        assert added.starts, "a target that was added later got no work"

        key, put = f"servers/{added.name}", store.put

        def put_others(other, value, lease=0):
            if other != key:
                put(other, value, lease)

        def leave():
            store.put = put_others
            store.revision += 1
            store.delete(key)

        platform.do(leave)
        time.sleep(1)
        starts = added.starts
        entries.wait_completed(submit(1, width=40), 10)
        assert added.starts == starts, "a target that had left got work"
        stop.set()
        writer.join()
        assert not fleet.violations, fleet.violations[:5]
        assert not trap.calls, trap.calls
        assert refusals(entries) >= len(odd)
        reasons = {line["reason"] for line in entries.lines("entry_unreadable")}
        assert {"size", "syntax", "key", "state", "born", "capacity", "address"} <= reasons, reasons
        for name, process in entries.processes.items():
            assert process.poll() is None, f"{name} ended with {process.returncode}"
            process.terminate()
        for name, process in entries.processes.items():
            assert process.wait(10) == 0, f"{name} ended with {process.returncode}"
        entries.keep_folder = False
    finally:
        stop.set()
        entries.close()


if __name__ == "__main__":
    sys.exit(main())
