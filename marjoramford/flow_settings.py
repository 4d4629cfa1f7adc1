"""Settings of an entry VM for opaque flows, checked when they are read."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from .addresses import Address
from .errors import Step, StepError

Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Share = Annotated[float, Meta(ge=0, le=10)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
HostPort = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class _Section(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that are not known here are passed over: newer platforms may add some."""


class SilenceSettings(_Section):
    """When a backend server is taken for dead.

    Attributes:
        dead_retransmissions: packets sent again without an answer; three independent losses.
        dead_seconds: silence beside them, in seconds; the second retransmission comes after 0.6 s.
        unlisted_retransmissions: the same for a server that is no longer listed.
        unlisted_seconds: silence beside them, in seconds; the first retransmission comes after
            0.2 s.
        answer_seconds: time for an answer to the last packet sent again, in seconds; above a
            round trip between zones on a busy link.
        lossy_losses: so many losses of packets to living servers double these bounds.
        lossy_seconds: time within which they count, in seconds; the first three rounds.
        doubt_seconds: no new flows after a packet sent again, in seconds; about two heartbeats.
        stall_seconds: a longer pause of this process makes its evidence void, in seconds.
    """

    dead_retransmissions: Annotated[int, Meta(ge=1, le=100)] = 3
    dead_seconds: Seconds = 0.5
    unlisted_retransmissions: Annotated[int, Meta(ge=1, le=100)] = 2
    unlisted_seconds: Seconds = 0.15
    answer_seconds: Seconds = 0.1
    lossy_losses: Annotated[int, Meta(ge=1, le=100)] = 2
    lossy_seconds: Seconds = 3.0
    doubt_seconds: Seconds = 2.0
    stall_seconds: Seconds = 0.4


class PlacementSettings(_Section):
    """Where new flows open.

    Attributes:
        other_zone_penalty: share of busy slots by which a server elsewhere must be better.
        cold_penalty: the same for a server whose cold start is not over.
        open_flow_weight: what an open but silent flow counts, in requests.
        tie_tolerance: estimates this close count as equal, in shares of busy slots.
        copy_seconds: an opening packet sent again after this time without an answer goes to
            another server, in seconds; below the protocol's 0.2 s to the first copy.
    """

    other_zone_penalty: Share = 1.0
    cold_penalty: Share = 0.5
    open_flow_weight: Share = 0.1
    tie_tolerance: Share = 0.05
    copy_seconds: Seconds = 0.1


class ListSettings(_Section):
    """How the published list of servers is believed.

    Attributes:
        relist_seconds: entries that lapsed while the platform was away are back within this
            time, in seconds; the platform's two seconds and a margin for the watch.
        forget_seconds: a server off the list is forgotten after this time, in seconds; the
            longest life of a flow.
    """

    relist_seconds: Seconds = 2.5
    forget_seconds: Seconds = 60.0


class ReadSettings(_Section):
    """How the platform is read.

    Attributes:
        timeout: for an answer beyond the wait, in seconds.
        settle_seconds: pause after changes, so that those that come close together cost one call.
    """

    timeout: Seconds = 1.0
    settle_seconds: Seconds = 0.2


class PeerSettings(_Section):
    """Other entry VMs, and who reads the platform.

    Attributes:
        exchange_seconds: between two exchanges of news.
        join_seconds: the same while no other entry VM is known.
        suspicion_seconds: a suspect is taken for lost after this time.
        timeout: for an answer beyond the wait.
        max_news: entry VMs named in one exchange; keeps two a round below 4 KB/s.
        far_share: part of the exchanges, and of the news in them, that is for other zones.
        all_read_up_to: in a zone of so few entry VMs each reads the platform itself.
        min_readers: readers in a larger zone; more by half the root of its size.
        all_read_wait: wait of a watch in a small zone; bounds the time until a connection that
            has gone silent is noticed.
        reader_wait: the same for a reader; bounds the age of what its followers get.
        follower_wait: how long a follower's question waits at the reader.
        max_state_age: a reader whose state is older is not followed. With `follower_wait` it stays
            below the shortest time in which a change must be in force, 3 s.
        avoid_seconds: a peer that failed is not followed for this time.
        helper_pause: between questions to peers while the platform does not answer.
        retry_seconds: first pause after a failed read of the platform; doubles each time.
        max_retry_seconds: longest such pause.
    """

    exchange_seconds: Seconds = 2.0
    join_seconds: Seconds = 0.5
    suspicion_seconds: Seconds = 3.0
    timeout: Seconds = 0.6
    max_news: Annotated[int, Meta(ge=1, le=10_000)] = 24
    far_share: Annotated[float, Meta(ge=0, le=1)] = 0.2
    all_read_up_to: Annotated[int, Meta(ge=0, le=10_000)] = 4
    min_readers: Annotated[int, Meta(ge=1, le=1000)] = 2
    all_read_wait: Seconds = 2.5
    reader_wait: Seconds = 0.8
    follower_wait: Seconds = 0.7
    max_state_age: Seconds = 1.6
    avoid_seconds: Seconds = 2.0
    helper_pause: Seconds = 0.25
    retry_seconds: Seconds = 0.25
    max_retry_seconds: Seconds = 1.0


class StopSettings(_Section):
    """A planned stop.

    Attributes:
        grace_seconds: the platform ends the process this long after the signal, in seconds.
        unready_seconds: until the fabric sends nothing more, in seconds; two missed probes at
            two a second and a margin.
        quiet_seconds: the stop is complete once no packet came for this long, in seconds.
    """

    grace_seconds: Seconds = 6.0
    unready_seconds: Seconds = 1.5
    quiet_seconds: Seconds = 0.5


class PacketVmSettings(_Section):
    """The settings file of an entry VM for opaque flows.

    Attributes:
        packet_address: UDP, from the fabric.
        ready_address: TCP, readiness and metrics.
        control_address: TCP, other entry VMs and operators.
        platform: HTTP address of the platform's store.
        seeds: control addresses of some entry VMs; any may be down.
        flow_max_seconds: older flows may be forgotten.
        max_flows: flows remembered at a time.
    """

    name: Name
    zone: Name
    packet_address: HostPort
    ready_address: HostPort
    control_address: HostPort
    platform: HostPort
    seeds: tuple[HostPort, ...] = ()
    flow_max_seconds: Seconds = 60.0
    max_flows: Annotated[int, Meta(ge=1, le=10_000_000)] = 50_000
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    silence: SilenceSettings = SilenceSettings()
    placement: PlacementSettings = PlacementSettings()
    servers: ListSettings = ListSettings()
    reads: ReadSettings = ReadSettings()
    peers: PeerSettings = PeerSettings()
    stop: StopSettings = StopSettings()

    def __post_init__(self) -> None:
        """Checks that every address has a port from 1 to 65535."""
        addresses = (self.packet_address, self.ready_address, self.control_address, self.platform)
        for text in (*addresses, *self.seeds):
            Address.parse(text)


def read_packet_settings(path: str) -> Result[PacketVmSettings, StepError]:
    """Reads and checks a settings file; keys that are not known are passed over."""
    try:
        with open(path, "rb") as settings_file:
            return Ok(msgspec.json.decode(settings_file.read(), type=PacketVmSettings))
    except (OSError, msgspec.MsgspecError) as error:
        return Err(StepError(Step.READ_SETTINGS, path, str(error)))
