"""Tallies of request outcomes: what callers were told, checked against what servers ran."""

from dataclasses import dataclass

from .caller_sessions import CallerSession
from .server_models import Ledger


@dataclass(slots=True)
class KindTally:
    """Numbers of requests or streams of one kind, offered and by outcome."""

    offered: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0


@dataclass(slots=True)
class PromiseTally:
    """Numbers of violated guarantees; all must stay 0.

    Attributes:
        foreign: answers or pieces that belong to another caller, service or stream.
        ran_twice: non-idempotent requests that servers ran more than once.
        false_not_run: requests that callers saw refused as not run although a server ran them.
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
    """Adds the outcomes of one caller's requests, all of one kind, to the tallies."""
    promises.foreign += session.foreign
    for outcome in session.outcomes:
        runs = ledger.started[outcome.work]
        kind.offered += 1
        kind.whole += outcome.result == "whole"
        kind.not_run += outcome.result == "not_run"
        kind.unknown += outcome.result == "unknown"
        promises.false_not_run += outcome.result == "not_run" and runs > 0
        promises.ran_twice += runs > 1 and not idempotent
