"""Starts a platform, targets and entry daemons, and injects the faults that tests need."""

import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from .client import call

BUILD = pathlib.Path(os.environ.get("VERBENALEVER_BUILD", "build"))
PROGRAMS = {
    "entry": BUILD / "src/verbenaleverd/verbenaleverd",
    "tool": BUILD / "src/verbenalever/verbenalever",
    "platform": BUILD / "src/standins/standin_platform",
    "target": BUILD / "src/standins/standin_target",
    "proxy": BUILD / "src/standins/standin_fault_proxy",
}
OPERATOR_KEY = "operator-key-of-the-tests"
ZONE_LETTERS = "abcdefgh"
START_TIMEOUT_S = 20


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class Subnet:
    """A part of the loopback range that no other test uses at the same time."""

    def __init__(self):
        for number in range(10, 250):
            self.lock = socket.socket()
            try:
                self.lock.bind((f"127.{number}.255.1", 6999))
                self.prefix = f"127.{number}"
                with socket.socket() as probe:  # in use if processes of a killed test remain
                    probe.bind((self.address(250, 1), 8000))
                return
            except OSError:
                self.lock.close()
        raise RuntimeError("no free loopback subnet")

    def address(self, zone, host):
        return f"{self.prefix}.{zone}.{host}"


class Cluster:
    """One site: availability zones with their own entries and targets, and the platform.

    Entry x1 of zone x is at 127.N.Z.1, so that the proxy can tell zones apart by their addresses.
    With proxy=True all traffic between entries, to targets and to the platform goes through it.
    """

    def __init__(self, zones=3, entries=1, targets=2, proxy=False, times=None, slots=8,
                 target_flags=(), configuration=None, binaries=None, settings=None):
        self.subnet = Subnet()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="verbenalever-"))
        self.programs = {**PROGRAMS, **(binaries or {})}
        self.processes = {}
        self.proxied = proxy
        self.times = times or {}
        self.extra_settings = settings or {}
        self.slots = slots
        self.target_flags = list(target_flags)
        self.zones = list(ZONE_LETTERS[:zones])
        self.entries = {f"entry-{z}{n}": (z, n) for z in self.zones for n in range(1, entries + 1)}
        self.targets = {f"target-{z}{n}": (z, n) for z in self.zones for n in range(1, targets + 1)}
        self.configuration = configuration or default_configuration()
        self.links = 0

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, kind, error, trace):
        if kind is not None:
            print(f"logs are kept in {self.folder}", file=sys.stderr)
        self.close(keep=kind is not None)

    # -- addresses -------------------------------------------------------------------------

    def zone_number(self, zone):
        return self.zones.index(zone) + 1

    def zone_prefix(self, zone):
        """Prefix of the addresses from which the entries of a zone connect."""
        return f"{self.subnet.prefix}.{self.zone_number(zone)}."

    def entry_ip(self, name):
        zone, number = self.entries[name]
        return self.subnet.address(self.zone_number(zone), number)

    def entry(self, name):
        """Address of an entry's HTTP interface for callers."""
        return f"{self.entry_ip(name)}:8000"

    def target_ip(self, name):
        zone, number = self.targets[name]
        return self.subnet.address(self.zone_number(zone), 100 + number)

    def target(self, name):
        """Address on which a target listens; the proxy is not in between."""
        return f"{self.target_ip(name)}:8000"

    @property
    def platform(self):
        return f"{self.subnet.address(250, 1)}:8000"

    @property
    def proxy(self):
        return f"{self.subnet.address(250, 2)}:8000"

    def through_proxy(self, link, address):
        """Address under which others connect to ADDRESS: with the proxy, that of a new link to it."""
        if not self.proxied:
            return address
        host, port = address.split(":")
        listen = f"{host}:{int(port) + 1000}"
        answer = call(self.proxy, "PUT", f"/control/links/{link}",
                      {"listen": listen, "upstream": address})
        assert answer.status in (200, 409), answer
        return listen

    # -- processes -------------------------------------------------------------------------

    def launch(self, name, program, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(self.programs[program]), *arguments], stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def start(self):
        self.launch("platform", "platform", "--listen", self.platform)
        self.wait_port(self.platform)
        if self.proxied:
            self.launch("proxy", "proxy", "--listen", self.proxy)
            self.wait_port(self.proxy)
        self.platform_address = self.through_proxy("platform", self.platform)
        for name in self.targets:
            self.start_target(name)
        for name in self.entries:
            self.start_entry(name)
        for name in self.entries:
            self.wait_port(self.entry(name))
        answer = self.apply(self.configuration, 0)
        assert answer.status == 200, answer
        self.wait_ready()

    def start_target(self, name):
        self.launch(name, "target", "--listen", self.target(name), "--name", name,
                    "--slots", str(self.slots), "--availability_zone",
                    f"zone-{self.targets[name][0]}", *self.target_flags)
        self.wait_port(self.target(name))
        self.announce_target(name)

    def announce_target(self, name, state="live"):
        zone, number = self.targets[name]
        capacity = {"slots": self.slots, "processors_milli": 16000, "memory_mb": 65536,
                    "accelerators": 0}
        self.announce(name, {
            "role": "target", "availability_zone": f"zone-{zone}", "rack": f"rack-{zone}{number % 2}",
            "address": self.through_proxy(f"{zone}-{name}", self.target(name)),
            "capacity": capacity, "state": state})

    def start_entry(self, name):
        zone, _ = self.entries[name]
        ip = self.entry_ip(name)
        settings = {
            "name": name, "availability_zone": f"zone-{zone}", "http": f"{ip}:8000",
            "peer": f"{ip}:8001", "platform": self.platform_address,
            "operator_keys": [digest(OPERATOR_KEY)], "times": self.times,
            **self.extra_settings}
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))  # JSON is YAML
        self.launch(name, "entry", "--settings", str(path))
        self.announce_entry(name)

    def announce_entry(self, name, state="live"):
        zone, _ = self.entries[name]
        self.announce(name, {
            "role": "entry", "availability_zone": f"zone-{zone}", "state": state,
            "address": self.through_proxy(f"{zone}-{name}", f"{self.entry_ip(name)}:8001")})

    def announce(self, name, vm):
        assert call(self.platform, "PUT", f"/control/vms/{name}", vm).status == 200

    def remove_vm(self, name):
        """Remove a VM from the platform's list."""
        call(self.platform, "DELETE", f"/control/vms/{name}")

    def kill(self, name):
        """Kill a process and write a "killed" event to its log for the trace checker."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        with open(self.folder / f"{name}.log", "a", encoding="utf-8") as log:
            stamp = {"mono_us": time.monotonic_ns() // 1000, "wall_us": time.time_ns() // 1000,
                     "process": name, "slice": "harness", "event": "killed"}
            log.write("\n" + json.dumps(stamp) + "\n")

    def pause(self, name):
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def resume(self, name):
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def stop(self, name, timeout=40):
        """Stop a process with SIGTERM and wait for it; returns the exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout)

    def close(self, keep=False):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self.subnet.lock.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    # -- faults ----------------------------------------------------------------------------

    def rules(self, *rules):
        """Replace the proxy's rules; see fault_rule.h for their members."""
        assert call(self.proxy, "PUT", "/control/rules", {"rules": list(rules)}).status == 200

    def cut_zone_from_zones(self, zone, mode="blackhole"):
        """Rules that cut one zone off from all others, in both directions."""
        own = self.zone_prefix(zone)
        others = [z for z in self.zones if z != zone]
        return ([{"from": own, "link": f"{z}-", "mode": mode} for z in others]
                + [{"from": self.zone_prefix(z), "link": f"{zone}-", "mode": mode}
                   for z in others])

    def cut_zone_from_platform(self, zone, mode="blackhole"):
        return [{"from": self.zone_prefix(zone), "link": "platform", "mode": mode}]

    def platform_faults(self, **faults):
        assert call(self.platform, "PUT", "/control/faults", faults).status == 200

    def target_faults(self, name, **faults):
        assert call(self.target(name), "PUT", "/control/faults", faults).status == 200

    # -- operators and callers -------------------------------------------------------------

    def apply(self, configuration, base=None, entry=None):
        address = self.entry(entry or next(iter(self.entries)))
        if base is None:
            base = self.admin("configuration", entry).json()["revision"]
        return call(address, "PUT", "/v1/admin/configuration", configuration, OPERATOR_KEY,
                    {"If-Match": str(base)})

    def admin(self, path, entry=None):
        address = self.entry(entry or next(iter(self.entries)))
        return call(address, "GET", f"/v1/admin/{path}", key=OPERATOR_KEY)

    def tool(self, *arguments, timeout=120):
        return subprocess.run([str(self.programs["tool"]), *arguments], capture_output=True, text=True,
                              timeout=timeout, check=False)

    def load(self, rate, seconds, queues="open", entries=None, **flags):
        """Run open-loop load to its end; returns the results of each queue."""
        return json.loads(self.start_load(rate, seconds, queues, entries, **flags).communicate()[0])

    def start_load(self, rate, seconds, queues="open", entries=None, **flags):
        """Start open-loop load; returns the process, which prints the results of each queue as JSON."""
        names = entries or self.entries
        command = [str(self.programs["tool"]), "load", "--json", "--rate", str(rate), "--duration_s",
                   str(seconds), "--queues", queues, "--to", ",".join(map(self.entry, names))]
        for flag, value in flags.items():
            command += [f"--{flag}={value}"]
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
                                text=True)

    # -- waiting and checking --------------------------------------------------------------

    def wait_port(self, address):
        host, port = address.split(":")

        def listening():
            try:
                socket.create_connection((host, int(port)), 1).close()
                return True
            except OSError:
                return False

        self.wait(listening, START_TIMEOUT_S, f"{address} does not listen")

    @staticmethod
    def wait(condition, timeout, message):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            result = condition()
            if result:
                return result
            time.sleep(0.05)
        raise AssertionError(message)

    def wait_ready(self):
        """Wait until every target accepts work and all entries have the same configuration."""
        self.wait(lambda: self.startable() == set(self.targets), START_TIMEOUT_S,
                  "some targets are not leased by any entry")
        self.wait(self.same_revision, START_TIMEOUT_S, "the entries have different configurations")

    def startable(self, zones=None):
        """Names of the targets on which some running entry may start work."""
        names = set()
        for name, (zone, _) in self.entries.items():
            if name not in self.processes or (zones and zone not in zones):
                continue
            answer = self.admin("targets", name)
            if answer.status == 200:
                names |= {t["name"] for t in answer.json()["targets"] if t["may_start"]}
        return names

    def same_revision(self):
        answers = [self.admin("configuration", name) for name in self.entries
                   if name in self.processes]
        revisions = {a.json()["revision"] if a.status == 200 else 0 for a in answers}
        return len(revisions) == 1 and revisions != {0}

    def metric(self, entry, name):
        for line in call(self.entry(entry), "GET", "/metrics").body.decode().splitlines():
            if line.split()[0] == f"verbenalever_{name}":
                return int(line.split()[1])
        return 0

    def events(self, event=None):
        """Events of all processes, or those with one name, ordered by time."""
        found = []
        for path in self.folder.glob("*.log"):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                if line.startswith("{"):
                    try:
                        found.append(json.loads(line))
                    except ValueError:
                        continue  # the last line of a process that was killed
        found.sort(key=lambda item: item["mono_us"])
        return [e for e in found if event is None or e["event"] == event]

    def check_trace(self, *flags):
        """Run the trace checker over the events of all processes; fails on any violation."""
        logs = [str(path) for path in sorted(self.folder.glob("*.log"))]
        result = self.tool("timeline", "check", *flags, *logs)
        assert result.returncode == 0, result.stdout + result.stderr


def default_configuration():
    """Two teams with keys, an open queue, an urgent and a batch queue."""
    return json.dumps({
        "policy": "share",
        "teams": {"red": {"share": 1}, "blue": {"share": 1}},
        "keys": [{"id": "red-1", "team": "red", "sha256": digest("red-key")},
                 {"id": "blue-1", "team": "blue", "sha256": digest("blue-key")}],
        "queues": {"open": {"class": "urgent", "open": True, "deadline": "2s"},
                   "urgent": {"class": "urgent", "deadline": "2s"},
                   "batch": {"class": "batch", "deadline": "60s"}}})
