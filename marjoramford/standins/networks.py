"""Simulated network: latency, loss, duplication and partitions between availability zones."""

from collections import Counter
from random import Random

from .deployments import Deployment

PLATFORM = "platform"
# Latency within a zone as a share of that between zones.
SAME_ZONE_LATENCY_SHARE = 0.2


class Network:
    """Draws what happens to messages; `loss` and `duplication` are shares from 0 to 1."""

    def __init__(self, deployment: Deployment, random: Random, loss: float, duplication: float):
        self._deployment = deployment
        self._random = random
        self._loss = loss
        self._duplication = duplication
        self._cuts: Counter[frozenset[str]] = Counter()

    def cut(self, first: str, second: str) -> None:
        """Partitions two availability zones, or a zone and the platform, from each other."""
        self._cuts[frozenset((first, second))] += 1

    def restore(self, first: str, second: str) -> None:
        """Ends one cut between two places; they stay partitioned while there is another one."""
        pair = frozenset((first, second))
        self._cuts[pair] = max(0, self._cuts[pair] - 1)

    def heal(self) -> None:
        """Ends all partitions."""
        self._cuts.clear()

    def is_cut(self, first: str, second: str) -> bool:
        """Whether two zones, or a zone and the platform, are partitioned from each other."""
        return first != second and self._cuts[frozenset((first, second))] > 0

    def draw_loss(self) -> bool:
        """Draws whether a datagram is lost."""
        return self._random.random() < self._loss

    def draw_copies(self) -> int:
        """Draws how many copies of a datagram arrive: 0, 1 or 2."""
        if self.draw_loss():
            return 0
        return 2 if self._random.random() < self._duplication else 1

    def draw_caller_latency(self) -> float:
        """Draws the one-way latency between a caller and an entry VM, in seconds."""
        return self._deployment.caller_latency_seconds * self._random.uniform(0.5, 2.0)

    def draw_zone_latency(self, first: str, second: str) -> float:
        """Draws the one-way latency between two VMs in the given zones, in seconds."""
        share = SAME_ZONE_LATENCY_SHARE if first == second else 1.0
        return self._deployment.zone_latency_seconds * share * self._random.uniform(0.8, 1.5)
