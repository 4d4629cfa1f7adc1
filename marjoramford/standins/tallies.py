"""What callers were told, compared with what servers ran."""

from dataclasses import dataclass

from .caller_sessions import CallerSession
from .server_models import Ledger


@dataclass(slots=True)
class KindTally:
    """What became of one kind of requests or streams."""

    offered: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0


@dataclass(slots=True)
class PromiseTally:
    """How often something happened that must never happen.

    Attributes:
        foreign: answers or pieces that were another's.
        ran_twice: non-idempotent requests that servers ran more than once.
        false_not_run: requests refused as not run that a server ran.
    """

    foreign: int = 0
    ran_twice: int = 0
    false_not_run: int = 0


def tally_requests(
    session: CallerSession,
    ledger: Ledger,
    idempotent: bool,
    kind: KindTally,
    promises: PromiseTally,
) -> None:
    """Adds one caller's requests, all of one kind, to the tallies."""
    promises.foreign += session.foreign
    for outcome in session.outcomes:
        runs = ledger.started[outcome.work]
        kind.offered += 1
        kind.whole += outcome.result == "whole"
        kind.not_run += outcome.result == "not_run"
        kind.unknown += outcome.result == "unknown"
        promises.false_not_run += outcome.result == "not_run" and runs > 0
        promises.ran_twice += runs > 1 and not idempotent
