"""Real processes on loopback addresses, behind the fault proxy, for the end-to-end cases."""

from .client import Answer, call
from .cluster import Cluster

__all__ = ["Answer", "Cluster", "call"]
