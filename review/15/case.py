"""The settings change: the grace time becomes 6.5 s. The entries are restarted in turn, as planned, and
have to come up with the new settings."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from deployment import BOUNDS, TROUBLE, main  # noqa: E402

JOB = "b6a1e07c94d25f83"
RESTART_S = 0.5  # "A process that exits or is killed is restarted after a short delay"
TRIES = 3        # restarts that each entry gets


def configuration():
    return {"version": 3, "routes": [
        {"name": "plans", "host": "desk.example", "prefix": "/plans/", "kind": "unsafe",
         "timeoutMs": 3000, "targetLatencyMs": 3000, "priority": 2, "service": "desk",
         "maxAttempts": 3, "stretch": 4.0, "public": False}],
        "services": [{"name": "desk", "admissionCheck": False}], "limits": {},
        "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "weight": 10,
                     "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def play(site):
    site.operator("op/config", configuration())
    site.start_all()
    site.submit(f"/plans/{JOB}", {"spec": "x", "steps": [
        {"count": 1, "cpu": 900, "memMb": 2600, "estimatedMs": 1000}]})
    if TROUBLE:
        site.bounds["graceS"] = 6.5
    for name in site.entries:
        site.signal(name, signal.SIGHUP)
    for name in site.entries:
        process = site.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        site.record("signal", process=name, signal="SIGTERM", status=process.wait(10))
        time.sleep(RESTART_S)
        for _ in range(TRIES):
            site.start_entry(name)
            time.sleep(2)
            if site.processes[name].poll() is None:
                break
            site.record("process ended by itself", process=name,
                        status=site.processes[name].returncode)
    time.sleep(BOUNDS["recoverS"])
    alive = [name for name in site.entries if site.processes[name].poll() is None]
    answers = [site.job("GET", f"/plans/{JOB}", entry=name)[0] for name in site.entries]
    if len(alive) == len(site.entries) and 200 in answers:
        return None
    return (f"Fault: {len(site.entries) - len(alive)} of {len(site.entries)} entries ended by themselves "
            f"at each of {TRIES} starts; {BOUNDS['recoverS']} s later they answer a GET of an accepted "
            f"job with {answers} (0: no connection)")


if __name__ == "__main__":
    sys.exit(main(FOLDER, play))
