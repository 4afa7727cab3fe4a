"""Clients that do not finish a request, in its headers or its body, and keep the connection open."""

import dataclasses
import json
import os
import pathlib
import select
import socket
import sys
import time

from .platform_entries import HOST, KEY, PREFIX, Entries, configure
from .platform_standin import Fleet, Platform

BODY_BYTES = 262_000  # below the platform's limit of 262,144
CLIENTS = 400
RESIDENT_LIMIT_KB = 96 * 1024  # of 120 MB, the memory of the smallest VM
RETAINED_LIMIT_KB = 16 * 1024  # above the resident memory before the clients came
DESCRIPTOR_LIMIT = 3075  # of the smallest VM
RELEASE_TIMEOUT_S = 30
SEND_TIMEOUT_S = 60


@dataclasses.dataclass
class Look:
    """What one look at a process has shown."""

    resident_kb: int
    descriptors: int
    clients: int  # descriptors of connections to the address for callers
    unknown: int  # descriptors of new sockets without a known address, as of reset connections


class Observer:
    """Looks at the memory and the descriptors of an entry daemon, and keeps the peaks."""

    def __init__(self, process, callers):
        """callers: address at which the process accepts clients; none may be connected yet."""
        self.process = process
        host, port = callers.rsplit(":", 1)
        # The kernel prints an address as a number in the byte order of the machine.
        number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
        self.callers = f"{number:08X}:{int(port):04X}"
        self.known = set(self._open_files())
        self.peak = Look(0, 0, 0, 0)

    def _open_files(self):
        """@return what each descriptor refers to, for example socket:[4711]"""
        files = []
        for path in pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir():
            try:
                files.append(os.readlink(path))
            except FileNotFoundError:  # closed since the folder was read
                pass
        return files

    def _resident_kb(self):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        raise AssertionError("no resident memory")

    def look(self):
        code = self.process.poll()
        assert code is None, f"the entry ended with {code}"
        files = self._open_files()
        table = pathlib.Path(f"/proc/{self.process.pid}/net/tcp").read_text().splitlines()[1:]
        local = {f"socket:[{row[9]}]": row[1] for row in map(str.split, table)}
        addresses = [local.get(file) for file in files
                     if file.startswith("socket:") and file not in self.known]
        # The memory is read last: what closed descriptors held must be free by then.
        seen = Look(self._resident_kb(), len(files), addresses.count(self.callers),
                    addresses.count(None))
        self.peak = Look(*map(max, dataclasses.astuple(self.peak), dataclasses.astuple(seen)))
        return seen

    def wait_released(self, resident_limit_kb):
        """Waits for a look that shows no descriptor of a client and less resident memory than the
        limit.

        @return that look, or the last one when the time is over
        """
        end = time.monotonic() + RELEASE_TIMEOUT_S
        while True:
            seen = self.look()
            is_closed = seen.clients + seen.unknown == 0
            is_over = time.monotonic() >= end
            if (is_closed and seen.resident_kb < resident_limit_kb) or is_over:
                return seen
            time.sleep(0.2)


def headers(number, framing):
    return (f"POST {PREFIX}{0xfeed0000 + number:016x} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Bearer {KEY}\r\n{framing}\r\n\r\n").encode()


def incomplete_headers(number, header_bytes=5 * 1024):
    """Headers without an end."""
    return headers(number, "X-Filler: " + "x" * header_bytes)[:header_bytes]


def with_length(number, body_bytes=BODY_BYTES, headers_of=headers):
    """A request that announces its length."""
    return headers_of(number, f"Content-Length: {body_bytes}") + b"x" * (body_bytes - 1)


def chunked(number, chunk_bytes, body_bytes=BODY_BYTES, headers_of=headers):
    """A chunked request without the last chunk."""
    chunk = f"{chunk_bytes:x}\r\n".encode() + b"x" * chunk_bytes + b"\r\n"
    return headers_of(number, "Transfer-Encoding: chunked") + chunk * (body_bytes // chunk_bytes)


class Clients:
    """Non-blocking connections that send in turn, so that all bodies are open at once. A client
    whose connection is closed is finished."""

    def __init__(self, address, requests, observe):
        host, port = address.rsplit(":", 1)
        self.sockets, left = [], {}
        for request in requests:
            connection = socket.create_connection((host, int(port)), timeout=10)
            connection.setblocking(False)
            self.sockets.append(connection)
            left[connection.fileno()] = [connection, memoryview(request)]
        poll = select.poll()
        for descriptor in left:
            poll.register(descriptor, select.POLLOUT)
        end = time.monotonic() + SEND_TIMEOUT_S
        while left and time.monotonic() < end:
            for descriptor, _ in poll.poll(100):
                connection, rest = left[descriptor]
                try:
                    rest = rest[connection.send(rest[:65536]):]
                except BlockingIOError:
                    continue
                except OSError:
                    rest = rest[:0]
                left[descriptor][1] = rest
                if not rest:
                    poll.unregister(descriptor)
                    del left[descriptor]
            observe()

    def close(self):
        for connection in self.sockets:
            connection.close()


def check_crowd(process, callers, requests, ask):
    """Checks an entry daemon while the clients stay and after they have left.

    @param callers address at which the process accepts clients
    @param requests what each client sends
    @param ask sends an ordinary request and checks its answer
    @return resident memory in KB before, at the peak and after the clients, open descriptors and
            connections of clients at the peak, and descriptors of clients that were left in the
            look that after_kb is from
    """
    ask()
    observer = Observer(process, callers)
    before = observer.look().resident_kb
    crowd = Clients(callers, requests, observer.look)
    ask()
    observer.look()
    crowd.close()
    after = observer.wait_released(before + RETAINED_LIMIT_KB)
    figures = {"before_kb": before, "peak_kb": observer.peak.resident_kb,
               "after_kb": after.resident_kb, "descriptors": observer.peak.descriptors,
               "clients": observer.peak.clients,
               "clients_left": after.clients + after.unknown}
    print(figures, flush=True)
    ask()
    assert figures["peak_kb"] < RESIDENT_LIMIT_KB, figures
    assert figures["descriptors"] < DESCRIPTOR_LIMIT, figures
    assert figures["after_kb"] < before + RETAINED_LIMIT_KB, figures
    assert figures["clients_left"] == 0, figures
    return figures


def run_case(request_of, clients=CLIENTS, settings=""):
    """Checks one entry daemon on the users' platform.

    @param request_of returns what the client with that number sends
    @param settings lines added to those of the entry
    @return the figures of check_crowd()
    """
    platform = Platform(Fleet())
    configure(platform)
    entries = Entries(platform, 1, settings=settings)
    jobs = []

    def submit():
        jobs.append(f"{len(jobs) + 1:016x}")
        entries.submit(jobs[-1], [{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 100}])

    try:
        entries.wait_ready()
        (name, process), = entries.processes.items()
        figures = check_crowd(process, entries.addresses[name]["callers"],
                              map(request_of, range(clients)), submit)
        entries.wait_completed(jobs, 20)
        assert not platform.fleet.violations, platform.fleet.violations[:5]
        entries.keep_folder = False
        return figures
    finally:
        entries.close()


def run_single_slow_body(is_chunked):
    """Checks that one body of nearly the largest size, sent at a tenth of a 10 Mbit/s link, is
    served when there are no other clients."""
    part_bytes, pause_s = 6000, 0.05
    platform = Platform(Fleet())
    configure(platform)
    entries = Entries(platform, 1)
    try:
        entries.wait_ready()
        job, step = f"{0xfeed0000:016x}", {"count": 1, "cpu": 1000, "memMb": 100}
        platform.fleet.jobs[job] = {"spec": "x", "steps": [step]}
        shortest = len(json.dumps({"spec": "x", "steps": [step], "unknown": ""}))
        body = json.dumps({"spec": "x", "steps": [step],
                           "unknown": "x" * (BODY_BYTES - shortest)}).encode()
        host, port = entries.addresses["entry-0"]["callers"].rsplit(":", 1)
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            connection.sendall(headers(0, "Transfer-Encoding: chunked" if is_chunked
                                       else f"Content-Length: {len(body)}"))
            for start in range(0, len(body), part_bytes):
                part = body[start:start + part_bytes]
                connection.sendall(f"{len(part):x}\r\n".encode() + part + b"\r\n"
                                   if is_chunked else part)
                time.sleep(pause_s)
            if is_chunked:
                connection.sendall(b"0\r\n\r\n")
            answer = connection.recv(1000)
        assert answer.startswith(b"HTTP/1.1 200"), answer
        entries.wait_completed([job], 20)
        entries.keep_folder = False
    finally:
        entries.close()
