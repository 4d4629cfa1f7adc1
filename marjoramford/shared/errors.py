"""Typed errors that name the step and the peer at which they occurred."""

from enum import StrEnum

import msgspec


class Step(StrEnum):
    """The step of the data path or control path at which an error occurred."""

    DECODE = "decode"
    VERIFY_TOKEN = "verify token"
    VERIFY_LABEL = "verify label"
    VERIFY_PEER = "verify peer"
    READ_SETTINGS = "read settings"
    READ_PLATFORM = "read platform"
    PROBE_SERVER = "probe server"
    DISPATCH = "dispatch"
    GOSSIP = "gossip"
    FOLLOW = "follow"
    SHARE_EVIDENCE = "share evidence"
    HAND_OVER = "hand over"
    OPERATE = "operate"


class StepError(msgspec.Struct, frozen=True):
    """An error, with its step and its peer (``host:port``, a path or an identifier)."""

    step: Step
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step} with {self.peer}: {self.reason}"


class InvariantViolationError(AssertionError):
    """An invariant that the program checks at run time does not hold."""
