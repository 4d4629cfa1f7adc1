"""A fake network: latency, loss, duplication, and cuts between availability zones."""

from random import Random

from .deployments import Deployment

PLATFORM = "platform"
SAME_ZONE_SHARE = 0.2


class Network:
    """What happens to messages; `loss` and `duplication` are shares from 0 to 1."""

    def __init__(self, deployment: Deployment, random: Random, loss: float, duplication: float):
        self._deployment = deployment
        self._random = random
        self._loss = loss
        self._duplication = duplication
        self._cuts: set[frozenset[str]] = set()

    def cut(self, one: str, other: str) -> None:
        """Cuts two availability zones, or one and the platform, off from each other."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Tells whether two zones are cut off from each other."""
        return one != other and frozenset((one, other)) in self._cuts

    def loses(self) -> bool:
        """Draws whether a datagram is lost."""
        return self._random.random() < self._loss

    def copies(self) -> int:
        """Draws how many copies of a datagram arrive."""
        if self.loses():
            return 0
        return 2 if self._random.random() < self._duplication else 1

    def caller_latency(self) -> float:
        """Draws the seconds between a caller and an entry VM, one way."""
        return self._deployment.caller_latency_seconds * self._random.uniform(0.5, 2.0)

    def zone_latency(self, one: str, other: str) -> float:
        """Draws the seconds between two machines in given zones, one way."""
        share = SAME_ZONE_SHARE if one == other else 1.0
        return self._deployment.zone_latency_seconds * share * self._random.uniform(0.8, 1.5)
