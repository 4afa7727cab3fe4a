"""Clients send large chunked bodies without their last chunk and stay. The entry keeps within the
memory of its VM, answers an ordinary caller, and gives the memory back when they have left."""

import functools
import unittest

from harness.unfinished_bodies import chunked, run_case, run_single_slow_body


class UnfinishedChunkedBodies(unittest.TestCase):
    def test_large_chunks(self):
        run_case(functools.partial(chunked, chunk_bytes=16_000))

    def test_small_chunks(self):
        run_case(functools.partial(chunked, chunk_bytes=16))

    def test_single_slow_body(self):
        run_single_slow_body(is_chunked=True)


if __name__ == "__main__":
    unittest.main()
