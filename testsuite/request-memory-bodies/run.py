"""Clients announce large bodies of legal size, stop one byte short and stay. The entry keeps within
the memory of its VM, answers an ordinary caller, and gives the memory back when they have left."""

import unittest

from harness.unfinished_bodies import run_case, run_single_slow_body, with_length


class UnfinishedBodies(unittest.TestCase):
    def test_bodies_with_a_length(self):
        run_case(with_length)

    def test_single_slow_body(self):
        run_single_slow_body(is_chunked=False)


if __name__ == "__main__":
    unittest.main()
