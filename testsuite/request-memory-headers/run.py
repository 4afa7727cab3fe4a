"""More clients than the entry allows connections send 5 KB of headers without an end and stay. The
entry keeps within its connections and the memory of its VM, answers an ordinary caller beside them,
and gives the memory back when they have left."""

import unittest

from harness.unfinished_bodies import CLIENTS, incomplete_headers, run_case

# The fewest that an entry allows. Time-outs alone, which end a connection without a request after
# 20 s, would make room for all clients only after 120 s, later than the last try to submit.
CONNECTIONS = 64
RESERVED_DESCRIPTORS = 1100  # max_descriptors less these is the number of connections


class UnfinishedHeaders(unittest.TestCase):
    def test_headers_without_an_end(self):
        self.assertGreater(CLIENTS, CONNECTIONS)
        figures = run_case(incomplete_headers,
                           settings=f"max_descriptors: {RESERVED_DESCRIPTORS + CONNECTIONS}")
        self.assertLessEqual(figures["clients"], CONNECTIONS, figures)


if __name__ == "__main__":
    unittest.main()
