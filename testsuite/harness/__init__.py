"""Runs the daemons as real processes on loopback addresses for the end-to-end tests.

Traffic can be routed through a proxy that injects faults.
"""

from .client import Answer, call
from .cluster import Cluster

__all__ = ["Answer", "Cluster", "call"]
