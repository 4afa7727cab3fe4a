"""Clients of an entry's own interface send large bodies without their end and stay. The process keeps
within the memory of its VM, answers an ordinary caller, and gives the memory back when they have
left."""

import functools
import unittest

from harness import Cluster
from harness.client import call
from harness.unfinished_bodies import BODY_BYTES, CLIENTS, check_crowd, chunked, with_length

PATH = "/v1/requests/urgent"
KEY = "red-key"


def headers(_, framing):
    return (f"POST {PATH} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {KEY}\r\n"
            f"{framing}\r\n\r\n").encode()


def whole(number, headers_of):
    """A complete request, most of which wait for a target."""
    body = b'{"work_ms": 50, "filler": "' + b"x" * BODY_BYTES
    body = body[:BODY_BYTES - 2] + b'"}'
    return headers_of(number, f"Content-Length: {BODY_BYTES}\r\nDeadline-Ms: 30000") + body


def run_case(request_of):
    with Cluster(zones=1, entries=1, targets=1) as cluster:
        (name,) = cluster.entries
        address = cluster.entry(name)

        def ask():
            answer = call(address, "POST", PATH, {"work_ms": 5}, key=KEY,
                          headers={"Deadline-Ms": "30000"}, timeout=30)
            assert answer.status == 200, answer

        check_crowd(cluster.processes[name], address,
                    (request_of(number, headers_of=headers) for number in range(CLIENTS)), ask)
        assert cluster.stop(name) == 0


class UnfinishedBodiesAtTheOwnInterface(unittest.TestCase):
    def test_bodies_with_a_length(self):
        run_case(with_length)

    def test_whole_bodies(self):
        run_case(whole)

    def test_large_chunks(self):
        run_case(functools.partial(chunked, chunk_bytes=16_000))

    def test_small_chunks(self):
        run_case(functools.partial(chunked, chunk_bytes=16))


if __name__ == "__main__":
    unittest.main()
