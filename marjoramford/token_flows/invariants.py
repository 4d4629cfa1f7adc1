"""Invariants checked at runtime.

In strict mode, used in tests and randomised simulations, a violation raises an exception.
Otherwise it is counted and logged, and the process keeps serving.
"""

import logging
from collections import Counter
from enum import StrEnum

from ..shared.errors import InvariantViolationError
from ..shared.logs import LogEvent, log_event

logger = logging.getLogger(__name__)


class Invariant(StrEnum):
    """The invariants that the program checks; the values are the texts in logs and dumps."""

    DISPATCH_BEFORE_DEADLINE = "no dispatch after the deadline"
    SINGLE_DISPATCH = "no second dispatch of a non-idempotent request that may have run"
    REFUSED_ONLY_IF_NOT_RUN = "no 'not run' while a dispatch may have run"
    SAME_SERVICE = "the token's service is the server's service"
    REVISION_RISES = "a record's revision never falls"
    LIMIT_HELD = "a local share of a limit is never exceeded"
    BYTE_BUDGET = "the control byte budget is never exceeded"
    ONE_FINAL_STATE = "a request reaches exactly one final state"
    COORDINATOR_DECIDES = "only the coordinator decides on a request"
    FROZEN_HANDOVER = "a record is handed over only when frozen"


class Invariants:
    """Checks invariants and counts violations.

    Args:
        strict: whether a violation also raises an exception.
    """

    def __init__(self, strict: bool = False):
        self.strict = strict
        self.violations: Counter[Invariant] = Counter()

    def check(self, holds: bool, invariant: Invariant, detail: object = "") -> None:
        """Counts a violation of `invariant` if `holds` is false, and logs it unless strict.

        Raises:
            InvariantViolationError: the invariant does not hold, in strict mode.
        """
        if holds:
            return
        self.violations[invariant] += 1
        if self.strict:
            raise InvariantViolationError(f"{invariant}: {detail}")
        log_event(logger, LogEvent.INVARIANT_VIOLATED, invariant=str(invariant), detail=str(detail))
