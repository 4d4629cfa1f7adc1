"""Settings of an entry VM for opaque flows, validated when they are read."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from ..shared.addresses import Address
from ..shared.errors import Step, StepError

Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Share = Annotated[float, Meta(ge=0, le=10)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
HostPort = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class _Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all sections. Unknown fields are ignored, because newer platforms may add some."""


class SilenceSettings(_Section):
    """Thresholds at which a backend server is considered dead.

    Attributes:
        dead_retransmissions: required number of retransmissions without an answer; the default
            amounts to three independent losses.
        dead_seconds: silence that is required in addition, in seconds; the second retransmission
            comes after 0.6 s.
        unlisted_retransmissions: like `dead_retransmissions`, for a server that is no longer
            listed.
        unlisted_seconds: like `dead_seconds`, for a server that is no longer listed; the first
            retransmission comes after 0.2 s.
        answer_seconds: time allowed for an answer to the last retransmission, in seconds; above a
            round trip between zones on a busy link.
        lossy_losses: number of losses of packets to live servers that doubles the required
            retransmissions and silence, but not `answer_seconds`.
        lossy_seconds: window in which these losses count, in seconds; covers the first three
            retransmission rounds.
        doubt_seconds: time for which a server is suspected after a retransmission and gets no new
            flows if another server can be chosen, in seconds; about two heartbeats.
        stall_seconds: a longer pause of this process invalidates its evidence, in seconds.
        own_link_seconds: silence that is required while several servers are silent and none has
            answered meanwhile, in seconds; longer than a bulk transfer fills a narrow link.
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
    own_link_seconds: Seconds = 3.0


class SharedEvidenceSettings(_Section):
    """Evidence of dead servers beyond that of this entry VM's own waiting flows.

    Attributes:
        enabled: whether idle flows of dead servers are reset, and evidence is shared in the zone.
        min_entry_vms: required number of entry VMs that see silence, unless one of them would
            decide for itself.
        min_flows: required number of silent flows, of all entry VMs together.
        silent_seconds: required time between the oldest packet without an answer and the latest
            retransmission without one, in seconds; a server that pauses for less is never
            condemned.
        question_flows: silent flows from which on a server is in question.
        objection_seconds: time for which a server is in question before it is condemned, in
            seconds; above the time between two calls and a round trip.
        unanswered_seconds: a retransmission counts as silence after this time, in seconds; above a
            round trip between zones on a busy link.
        call_seconds: shortest time between two calls to a reader, in seconds.
        refresh_seconds: silence is reported again after this time, in seconds.
        report_ttl_seconds: reports lapse after this time, in seconds.
        verdict_ttl_seconds: decisions that the reader does not repeat lapse after this time, in
            seconds; above `peers.follower_wait`.
        condemned_seconds: length of the first decision, in seconds; it doubles each time.
        max_condemned_seconds: the longest one, in seconds.
        timeout: time allowed for a call, in seconds.
    """

    enabled: bool = False
    min_entry_vms: Annotated[int, Meta(ge=1, le=1000)] = 2
    min_flows: Annotated[int, Meta(ge=1, le=1000)] = 3
    silent_seconds: Seconds = 0.4
    question_flows: Annotated[int, Meta(ge=1, le=1000)] = 2
    objection_seconds: Seconds = 0.2
    unanswered_seconds: Seconds = 0.1
    call_seconds: Seconds = 0.1
    refresh_seconds: Seconds = 1.0
    report_ttl_seconds: Seconds = 2.0
    verdict_ttl_seconds: Seconds = 2.0
    condemned_seconds: Seconds = 3.0
    max_condemned_seconds: Seconds = 12.0
    timeout: Seconds = 0.3


class PlacementSettings(_Section):
    """Weights for the placement of new flows.

    Attributes:
        other_zone_penalty: share of busy slots by which a server in another zone must be less
            loaded.
        cold_penalty: the same for a server that is still warming up.
        open_flow_weight: load of an open but idle flow, in requests.
        tie_tolerance: estimates that differ by at most this share of busy slots are equal.
        drained_if_cut_off: whether flows of a zone that is drained and cut off open at its own
            servers.
        copy_seconds: an opening packet that is retransmitted after this time without an answer
            goes to another server if one can take it, in seconds; below the protocol's 0.2 s to the
            first retransmission.
    """

    other_zone_penalty: Share = 1.0
    cold_penalty: Share = 0.5
    open_flow_weight: Share = 0.1
    tie_tolerance: Share = 0.05
    drained_if_cut_off: bool = True
    copy_seconds: Seconds = 0.1


class OverloadSettings(_Section):
    """Refusal of new flows while all servers of a service are overloaded.

    Attributes:
        target_share: time until answers that is aimed at, as a share of the target latency of their
            route.
        window_seconds: answers within this time count as recent, in seconds.
        min_answers: fewer recent answers prove no overload.
        queued_share: waiting requests without which nothing is refused, as a share of the slots;
            the requests of all entry VMs are extrapolated from those of this one.
        error_gain: change of the refusal level at each tick, for an answer time that is one target
            latency too long.
        trend_gain: the same for an answer time that has grown by one target latency since the last
            tick.
        max_level: highest refusal level; see `overload_controls.OverloadControl`.
        activity_seconds: interval over which the answers of a route are counted, in seconds.
        min_route_answers: routes with fewer answers in this interval and the one before are never
            refused.
    """

    target_share: Share = 0.9
    window_seconds: Seconds = 2.0
    min_answers: Annotated[int, Meta(ge=1, le=10_000)] = 5
    queued_share: Share = 0.5
    error_gain: Share = 0.2
    trend_gain: Share = 1.0
    max_level: Share = 1.5
    activity_seconds: Seconds = 5.0
    min_route_answers: Annotated[int, Meta(ge=1, le=10_000)] = 20


class LoadReportSettings(_Section):
    """Reports of the requests in progress to other entry VMs, while a service is under load.

    Attributes:
        receivers: entry VMs that get the reports; eight entry VMs are told by all of each other.
        interval_seconds: time between two reports to one entry VM, in seconds. Seven receivers
            cost 3.5 KB/s with 100 bytes each, headers included.
        ttl_seconds: reports lapse after this time, in seconds; two may be lost.
        loaded_share: requests in progress from which on reports are sent, as a share of the slots.
        linger_seconds: reports go on for this long after the load has fallen, in seconds.
    """

    receivers: Annotated[int, Meta(ge=0, le=100)] = 7
    interval_seconds: Seconds = 0.2
    ttl_seconds: Seconds = 0.7
    loaded_share: Share = 0.7
    linger_seconds: Seconds = 1.0


class ColdStartSettings(_Section):
    """Limit of the flows that open at a cold server, where the operator sets one for its service.

    Over all entry VMs a cold server gets at most the operator's limit x `overage` + `slack` opening
    packets in any second.

    Attributes:
        overage: factor of the bound.
        slack: openings added to the bound.
        settle_seconds: an entry VM that has just started opens flows at cold servers once it has
            learned of no further member of its zone for this time, in seconds; three exchanges
            between peers.
    """

    overage: Annotated[float, Meta(ge=0, le=100)] = 1.5
    slack: Annotated[float, Meta(ge=0, le=1e6)] = 5.0
    settle_seconds: Seconds = 6.0


class ListSettings(_Section):
    """How long servers are kept after they leave the published list.

    Attributes:
        relist_seconds: time in which entries that expired while the platform was unavailable are
            written again, in seconds; the platform's two seconds and a margin for the watch.
        forget_seconds: a removed server is forgotten after this time, in seconds; the longest
            lifetime of a flow.
    """

    relist_seconds: Seconds = 2.5
    forget_seconds: Seconds = 60.0


class ReadSettings(_Section):
    """How the platform is read.

    Attributes:
        timeout: time allowed for a response beyond the requested wait, in seconds.
        settle_seconds: pause after a change, in seconds, so that changes in quick succession cost
            one call.
        busy_settle_seconds: pause after a change that follows another one at once, in seconds.
    """

    timeout: Seconds = 1.0
    settle_seconds: Seconds = 0.2
    busy_settle_seconds: Seconds = 0.6


class PeerSettings(_Section):
    """Gossip between entry VMs and the election of those that read the platform.

    All times are in seconds.

    Attributes:
        exchange_seconds: interval between two gossip exchanges.
        join_seconds: the same while no other entry VM is known.
        suspicion_seconds: a suspect is considered lost after this time.
        timeout: time allowed for a response beyond the requested wait.
        max_news: entry VMs described in one exchange; keeps two exchanges a round below 4 KB/s.
        far_share: share of the exchanges, and of the updates in them, that is for other zones.
        all_read_up_to: in a zone of at most this many entry VMs, each reads the platform itself.
        min_readers: minimum number of readers in a larger zone, with one standby; the number grows
            to half the square root of the zone's size.
        all_read_wait: wait of a watch in a small zone; bounds the time until a connection that no
            longer answers is detected.
        reader_wait: wait of a reader's watch; bounds the age of the state that its followers get.
        follower_wait: how long a follower's request waits at the reader for a change.
        max_state_age: a reader whose state is older is stale and not followed. The sum of this and
            `follower_wait` stays below 3 s, the shortest time within which a change must be in
            force.
        avoid_seconds: a peer that failed or is stale is not followed for this time.
        helper_pause: interval between requests to a peer while the platform does not answer.
        retry_seconds: first backoff after a failed read of the platform; doubles with each failure.
            Between half and all of a backoff is waited, at random.
        max_retry_seconds: longest backoff.
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
    """Graceful shutdown.

    Attributes:
        grace_seconds: the platform kills the process this long after the signal, in seconds.
        unready_seconds: time until the fabric stops sending packets here, in seconds; two failed
            probes at two a second and a margin.
        quiet_seconds: the shutdown is complete once no packet has arrived for this long, in
            seconds.
    """

    grace_seconds: Seconds = 6.0
    unready_seconds: Seconds = 1.5
    quiet_seconds: Seconds = 0.5


class PacketVmSettings(_Section):
    """The settings file of an entry VM for opaque flows.

    Attributes:
        name: unique name of this entry VM.
        zone: its availability zone.
        packet_address: UDP address for datagrams from the fabric.
        ready_address: TCP address for readiness probes and metrics.
        control_address: TCP address for other entry VMs and operators.
        platform: HTTP address of the platform's store.
        load_port: UDP port for reports of the load between entry VMs, the same at all of them; 0 if
            none are sent.
        seeds: control addresses of some entry VMs to join through; any of them may be down.
        link_mbps: bandwidth of this entry VM's own link, in Mbit/s; 0 if it is not known. Entry VMs
            with wide links read the platform for the others.
        flow_max_seconds: maximum lifetime of a flow, in seconds; older flows may be forgotten.
        max_flows: capacity of the flow table.
        log_level: least severe level that is logged.
    """

    name: Name
    zone: Name
    packet_address: HostPort
    ready_address: HostPort
    control_address: HostPort
    platform: HostPort
    load_port: Annotated[int, Meta(ge=0, le=65_535)] = 0
    seeds: tuple[HostPort, ...] = ()
    link_mbps: Annotated[float, Meta(ge=0, le=1e7)] = 0.0
    flow_max_seconds: Seconds = 60.0
    max_flows: Annotated[int, Meta(ge=1, le=10_000_000)] = 50_000
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    silence: SilenceSettings = SilenceSettings()
    shared_evidence: SharedEvidenceSettings = SharedEvidenceSettings()
    placement: PlacementSettings = PlacementSettings()
    overload: OverloadSettings = OverloadSettings()
    load_reports: LoadReportSettings = LoadReportSettings()
    cold_starts: ColdStartSettings = ColdStartSettings()
    servers: ListSettings = ListSettings()
    reads: ReadSettings = ReadSettings()
    peers: PeerSettings = PeerSettings()
    stop: StopSettings = StopSettings()

    def __post_init__(self) -> None:
        """Raises ValueError unless every address has a port from 1 to 65535."""
        addresses = (self.packet_address, self.ready_address, self.control_address, self.platform)
        for text in (*addresses, *self.seeds):
            Address.parse(text)


def read_packet_settings(path: str) -> Result[PacketVmSettings, StepError]:
    """Reads and validates a settings file; unknown keys are ignored."""
    try:
        with open(path, "rb") as settings_file:
            return Ok(msgspec.json.decode(settings_file.read(), type=PacketVmSettings))
    except (OSError, msgspec.MsgspecError) as error:
        return Err(StepError(Step.READ_SETTINGS, path, str(error)))
