"""Random choice among the best of several candidates."""

from collections.abc import Sequence
from random import Random
from typing import TypeVar

T = TypeVar("T")


def choose_near_lowest(
    candidates: Sequence[T], scores: Sequence[float], tolerance: float, random: Random
) -> T:
    """Returns a random one of the candidates with a score within `tolerance` of the lowest."""
    limit = min(scores) + tolerance
    pairs = zip(candidates, scores, strict=True)
    return random.choice([candidate for candidate, score in pairs if score <= limit])
