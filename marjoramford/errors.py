"""Typed errors; each names the step and the peer at which it arose."""

from enum import StrEnum

import msgspec


class Step(StrEnum):
    """The step of the data path or control path at which an error arose."""

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
    HAND_OVER = "hand over"
    OPERATE = "operate"


class StepError(msgspec.Struct, frozen=True):
    """An error with the step and the peer (``host:port`` or an identifier) where it arose."""

    step: Step
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step} with {self.peer}: {self.reason}"


class InvariantViolationError(AssertionError):
    """A promise the program asserts about itself does not hold."""
