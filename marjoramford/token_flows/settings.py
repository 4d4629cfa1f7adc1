"""Settings with their defaults, and the validation of a settings file at start."""

from pathlib import Path
from typing import Annotated, Literal

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator
from result import Err, Ok, Result

from ..shared.addresses import Address
from ..shared.errors import Step, StepError
from .choosers import POLICIES

Seconds = Annotated[float, Field(gt=0, le=86_400)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=64)]
Port = Annotated[int, Field(ge=1, le=65535)]
MIN_KEY_BYTES = 16


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class TimeSettings(_Section):
    """Intervals, timeouts and lifetimes, in seconds."""

    token_lifetime: Seconds = 3600.0
    gossip_interval: Seconds = 1.0
    gossip_timeout: Seconds = 0.8
    suspicion: Seconds = 3.0
    limit_hold: Seconds = 10.0
    load_lease: Seconds = 2.0
    connection_lease: Seconds = 60.0
    clock_error: Seconds = 0.5
    max_request: Seconds = 120.0
    drain: Seconds = 30.0
    drain_linger: Seconds = 3.0
    platform_wait: Seconds = 20.0
    platform_retry: Seconds = 1.0
    min_probe_interval: Seconds = 1.0


class LoadSettings(_Section):
    """Limits of queues and retries, and the policy that chooses servers."""

    policy: Literal[tuple(POLICIES)] = "estimated"
    max_waiting_per_service: Annotated[int, Field(ge=0, le=1_000_000)] = 256
    max_waiting: Annotated[int, Field(ge=0, le=1_000_000)] = 4096
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.2
    retry_burst: Annotated[float, Field(ge=1, le=10_000)] = 10.0


class ControlSettings(_Section):
    """Byte budget of control traffic, and the number of entry VMs that read the platform."""

    bytes_per_second: Annotated[int, Field(ge=512, le=10**9)] = 4096
    burst_bytes: Annotated[int, Field(ge=4096, le=10**9)] = 65_536
    probe_share: Annotated[float, Field(gt=0, lt=1)] = 0.5
    readers_per_zone: Annotated[int, Field(ge=1, le=100)] = 3
    records_per_gossip: Annotated[int, Field(ge=1, le=1000)] = 64
    news_per_gossip: Annotated[int, Field(ge=1, le=1000)] = 12


class CoreSettings(_Section):
    """The settings of the decision core."""

    times: TimeSettings = TimeSettings()
    load: LoadSettings = LoadSettings()
    control: ControlSettings = ControlSettings()


class KeySetting(_Section):
    """One key of the key ring; `secret` is hexadecimal."""

    id: Annotated[int, Field(ge=0, le=127)]
    secret: str

    @field_validator("secret")
    @classmethod
    def _check_secret(cls, secret: str) -> str:
        try:
            key = bytes.fromhex(secret)
        except ValueError:
            raise ValueError("expected hexadecimal digits") from None
        if not MIN_KEY_BYTES <= len(key) <= 64:
            raise ValueError(f"expected {MIN_KEY_BYTES} to 64 bytes, got {len(key)}")
        return secret


class LogSettings(_Section):
    """How the log is written to standard error."""

    style: Literal["plain", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"


class EntryVmSettings(CoreSettings):
    """The settings file of one entry VM."""

    name: Name
    zone: Name
    host: Annotated[str, Field(min_length=1, max_length=64)]
    data_port: Port
    inner_port: Port
    http_port: Port
    platform: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    seeds: tuple[str, ...] = ()
    keys: Annotated[tuple[KeySetting, ...], Field(min_length=1)]
    current_key: Annotated[int, Field(ge=0, le=127)]
    log: LogSettings = LogSettings()

    @field_validator("seeds")
    @classmethod
    def _check_seeds(cls, seeds: tuple[str, ...]) -> tuple[str, ...]:
        for seed in seeds:
            Address.parse(seed)
        return seeds

    @model_validator(mode="after")
    def _check_consistency(self) -> "EntryVmSettings":
        key_ids = [key.id for key in self.keys]
        if len(set(key_ids)) != len(key_ids):
            raise ValueError("keys: expected unique ids, got the same id more than once")
        if self.current_key not in key_ids:
            raise ValueError(f"current_key: expected the id of one of keys, got {self.current_key}")
        if len({self.data_port, self.inner_port}) != 2:
            raise ValueError("data_port and inner_port: expected different ports, both are UDP")
        return self


def read_settings(path: str) -> Result[EntryVmSettings, list[StepError]]:
    """Reads and validates a settings file.

    Returns:
        The settings, or every error found in the file.
    """
    try:
        content = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Err([StepError(Step.READ_SETTINGS, path, " ".join(str(error).split()))])
    if not isinstance(content, dict):
        return Err([StepError(Step.READ_SETTINGS, path, "expected a mapping of keys to values")])
    try:
        return Ok(EntryVmSettings.model_validate(content))
    except ValidationError as error:
        return Err([_make_error(path, detail) for detail in error.errors()])


def _make_error(path: str, detail) -> StepError:
    location = ".".join(str(part) for part in detail["loc"]) or "file"
    value = detail["input"]
    is_shown = location.split(".")[0] != "keys" and isinstance(value, str | int | float)
    got = f" (got {_truncate(value)})" if is_shown else ""
    return StepError(Step.READ_SETTINGS, path, f"{location}: {detail['msg']}{got}")


def _truncate(value: str | int | float) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
