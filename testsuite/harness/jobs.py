"""Helpers of the tests of jobs: submitting, waiting, and the checks after all jobs have finished."""

import collections
import threading
import time

from .client import call
from .cluster import Cluster

KEY = "red-key"
RELEASE_TIMEOUT_S = 10


def submit(cluster, entry, key=KEY, timeout=10.0, **job):
    """Submit one job; returns the response."""
    return call(cluster.entry(entry), "POST", "/v1/jobs", {"queue": "batch", **job}, key,
                timeout=timeout)


def accept(cluster, entry, key=KEY, **job):
    """Submit one job that must be accepted; returns its id."""
    answer = submit(cluster, entry, key, **job)
    assert answer.status == 202, answer
    return answer.json()["job"]


def show(cluster, job, entry=None, key=KEY, wait_ms=0):
    names = [entry] if entry else [e for e in cluster.entries if e in cluster.processes]
    for name in names:
        answer = call(cluster.entry(name), "GET", f"/v1/jobs/{job}?wait={wait_ms}", key=key,
                      timeout=40)
        if answer.status in (200, 404):
            return answer
    return answer


def wait_finished(cluster, jobs, timeout, key=KEY):
    """Wait until all jobs have finished; returns the final status of each."""
    shown = {}

    def finished():
        for job in jobs:
            if job not in shown:
                answer = show(cluster, job, key=key)
                if answer.status != 200 or not answer.json()["finished"]:
                    return False
                shown[job] = answer.json()
        return True

    try:
        Cluster.wait(finished, timeout, "")
    except AssertionError:
        left = [show(cluster, job, key=key).body.decode()[:2000] for job in jobs
                if job not in shown]
        raise AssertionError("jobs have not finished: " + "\n".join(left)) from None
    return [shown[job] for job in jobs]


def states(job):
    return collections.Counter(task["state"] for task in job["tasks"])


def check_recorded_once(cluster):
    """Check that no task was recorded as done twice."""
    recorded = collections.Counter(e["task"] for e in cluster.events("task_done_recorded"))
    twice = {task: count for task, count in recorded.items() if count > 1}
    assert not twice, twice


def reserved_slots(cluster):
    """Reserved slots of each target, as counted by the entry that holds its lease."""
    reserved = {}
    for entry in cluster.entries:
        answer = cluster.admin("targets", entry) if entry in cluster.processes else None
        if answer is not None and answer.status == 200:
            reserved.update({t["name"]: t["reserved"]["slots"] for t in answer.json()["targets"]
                             if t["may_start"]})
    return reserved


def check_no_slots_reserved(cluster):
    """Check that no slots stay reserved once all jobs have finished."""
    try:
        Cluster.wait(lambda: not any(reserved_slots(cluster).values()), RELEASE_TIMEOUT_S, "")
    except AssertionError:
        raise AssertionError(f"slots are still reserved: {reserved_slots(cluster)}") from None


def check_all(cluster, *flags):
    """Run all checks on jobs; call it once all jobs have finished."""
    cluster.check_trace(*flags)
    check_recorded_once(cluster)
    check_no_slots_reserved(cluster)


def keep_submitting(cluster, entries, jobs, pause_s, **job):
    """Submit JOBS jobs from a thread, each with its own id, until each is accepted.

    After a refusal or an unknown outcome the job is submitted again with the same id at the next
    entry, as callers are expected to do. Returns the thread and the
    dictionary of accepted jobs by the caller's id.
    """
    accepted = {}

    def run():
        for number in range(jobs):
            name = f"job-{number}"
            for attempt in range(200):
                live = [e for e in entries if e in cluster.processes]
                if not live:
                    return
                answer = submit(cluster, live[(number + attempt) % len(live)], id=name, **job)
                if answer.status == 202:
                    accepted[name] = answer.json()["job"]
                    break
                time.sleep(0.2)
            time.sleep(pause_s)

    thread = threading.Thread(target=run)
    thread.start()
    return thread, accepted
