"""Measures what callers feel while a quarter of the servers falls dark, and false verdicts.

Prints a page: ``python tools/measure_dead_servers.py > docs/measurements/dead-servers.md``.
"""

import sys
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import product
from statistics import median

from marjoramford.opaque_flows.flow_settings import SharedEvidenceSettings
from marjoramford.shared.logs import configure_logging
from marjoramford.standins.deployments import HERITAGE
from marjoramford.standins.packet_faults import ENTRY_EXPIRY_SECONDS
from marjoramford.standins.packet_traffic import PacketRequest, PacketTraffic
from marjoramford.standins.packet_worlds import PacketWorld, PacketWorldSettings
from marjoramford.standins.schedules import START_EPOCH_SECONDS

WORKERS = 2
SEEDS = range(1, 4)
ENTRY_VMS = (7, 70, 195)
SERVERS = (50, 25)
WORK_SECONDS = 0.05
LOAD = 0.5
TARGET_SECONDS = 0.9
DEADLINE_SECONDS = 4.0
# Open flows of each kind of request and each caller; with all of them, a flow is used every 3 s.
POOL_FLOWS = 80
DARK_ZONE = 1
# Entry VMs enter rotation, then traffic runs for some seconds before the fault.
WARMUP_SECONDS = 3.0
BEFORE_SECONDS = 6.0
AFTER_SECONDS = 10.0
SETTLE_SECONDS = 6.0
# Requests lost within this time after the servers fell dark; later ones used idle flows.
EARLY_SECONDS = 6.0
WINDOW_SECONDS = 0.5
AIM_SHARE = 0.99

FAULT_SECONDS = 20.0
FAULTY_VMS = 8
LOSSY_SHARE = 0.05
VERY_LOSSY_SHARE = 0.2
FULL_LINK_DELAY_SECONDS = 1.5
FULL_LINK_LOSS = 0.3
PAUSE_SECONDS = 2.0
CUT_SECONDS = 4.0


@dataclass(slots=True)
class Outcome:
    """Results of one run.

    Attributes:
        lost: requests without an answer, by when they were created relative to the fault.
        aim_seconds: time from the fault until `AIM_SHARE` of the requests of each later window are
            answered within the target; 0 if that holds from the beginning.
        verdict_seconds: time from the fault to each true verdict.
        false_verdicts: verdicts on running servers.
        broken: violations of the platform's rules, by rule.
    """

    offered: int = 0
    late: int = 0
    lost: Counter[str] = field(default_factory=Counter)
    aim_seconds: float = 0.0
    verdict_seconds: list[float] = field(default_factory=list)
    false_verdicts: int = 0
    broken: Counter[str] = field(default_factory=Counter)


class LongFlowTraffic(PacketTraffic):
    """Requests on many long flows with pauses: each pool of flows grows, then is used in turn."""

    def __init__(self, *arguments: object):
        super().__init__(*arguments)
        self._filled: set[int] = set()

    def _start_request(self, request: PacketRequest) -> None:
        pool = request.idle_flows
        if pool is not None and len(pool) >= POOL_FLOWS:
            self._filled.add(id(pool))
        if pool and id(pool) in self._filled:
            flow = pool.pop(0)
            if flow.reset_at is None:
                self._send(request, flow)
                return
        self._open(request)


class Run:
    """One world with traffic and a fault."""

    def __init__(self, entry_vms: int, enabled: bool, seed: int, loss: float = 0.0):
        services = tuple(
            replace(service, servers=servers)
            for service, servers in zip(HERITAGE.services, SERVERS, strict=True)
        )
        deployment = replace(HERITAGE, entry_vms=entry_vms, services=services)
        settings = PacketWorldSettings(
            WORK_SECONDS,
            loss,
            keep_all_open=True,
            shared_evidence=SharedEvidenceSettings(enabled=enabled),
        )
        self.world = PacketWorld(deployment, seed, settings)
        self.outcome = Outcome()
        self._fault_at = START_EPOCH_SECONDS + WARMUP_SECONDS + BEFORE_SECONDS
        self._windows: Counter[int] = Counter()
        self._in_aim: Counter[int] = Counter()

    def execute(self, inject: Callable[[PacketWorld], None], seconds: float) -> Outcome:
        """Runs the traffic with a fault, until some seconds after it."""
        world = self.world
        end_at = self._fault_at + seconds
        world.run_until(START_EPOCH_SECONDS + WARMUP_SECONDS)
        LongFlowTraffic(world, LOAD, DEADLINE_SECONDS, end_at, self._tally).start()
        world.at(self._fault_at, partial(inject, world))
        world.run_until(end_at + SETTLE_SECONDS)
        self._measure(seconds)
        return self.outcome

    def _tally(self, request: PacketRequest, answered: bool) -> None:
        outcome = self.outcome
        age = request.created_at - self._fault_at
        window = int(age // WINDOW_SECONDS)
        outcome.offered += 1
        self._windows[window] += 1
        if not answered:
            outcome.lost[_period(age)] += 1
        elif self.world.now - request.created_at <= TARGET_SECONDS:
            self._in_aim[window] += 1
        else:
            outcome.late += 1

    def _measure(self, seconds: float) -> None:
        outcome, world = self.outcome, self.world
        outcome.broken = world.checker.findings.broken
        for window in range(int(seconds / WINDOW_SECONDS)):
            if self._in_aim[window] < AIM_SHARE * self._windows[window]:
                outcome.aim_seconds = (window + 1) * WINDOW_SECONDS
        for verdict in world.evidence.verdicts if world.evidence else ():
            if world.servers[verdict.server].alive:
                outcome.false_verdicts += 1
            else:
                outcome.verdict_seconds.append(verdict.at - self._fault_at)


def _period(age: float) -> str:
    if age < 0:
        return "before"
    return "early" if age < EARLY_SECONDS else "later"


def fall_dark(world: PacketWorld) -> None:
    """Crashes all servers of a zone; their entries expire later."""
    zone = world.deployment.zones[DARK_ZONE]
    dark = [server for server in world.running_servers() if server.zone == zone]
    for server in dark:
        world.terminate_server(server)

    def expire() -> None:
        for server in dark:
            world.catalogue.remove_server(server.name, world.now)

    world.after(ENTRY_EXPIRY_SECONDS, expire)


def cause_nothing(world: PacketWorld) -> None:
    """Leaves the world without a fault beyond the loss that all packets of callers have."""


def lose_in_zone(world: PacketWorld, share: float) -> None:
    """Lets the links of a zone lose packets."""
    world.set_zone_loss(world.deployment.zones[DARK_ZONE], share)


def cut_one_way(world: PacketWorld) -> None:
    """Cuts the paths of some entry VMs to the servers of a zone; answers still arrive."""
    zone = world.deployment.zones[DARK_ZONE]
    for vm in world.vms[:FAULTY_VMS]:
        world.link_faults.cuts.add((vm.name, zone))


def fill_links(world: PacketWorld) -> None:
    """Fills the links of some entry VMs, every other second."""
    vms = [vm.name for vm in world.vms[:FAULTY_VMS]]
    faults = world.link_faults

    def fill() -> None:
        faults.delays.update(dict.fromkeys(vms, FULL_LINK_DELAY_SECONDS))
        faults.losses.update(dict.fromkeys(vms, FULL_LINK_LOSS))
        world.after(1.0, empty)

    def empty() -> None:
        faults.delays.clear()
        faults.losses.clear()
        world.after(1.0, fill)

    fill()


def suspend_vms(world: PacketWorld) -> None:
    """Suspends some entry VMs, among them the readers of some zones, again and again."""
    for vm in world.random.sample(world.vms, FAULTY_VMS):
        vm.freeze(PAUSE_SECONDS)
    world.after(2 * PAUSE_SECONDS, lambda: suspend_vms(world))


def cut_zone(world: PacketWorld) -> None:
    """Cuts a zone off from the others, both ways; its servers still serve their own zone."""
    zone = world.deployment.zones[DARK_ZONE]
    for other in world.deployment.zones:
        world.record_fault(other)
        if other != zone:
            world.network.cut(zone, other)
    world.after(CUT_SECONDS, world.network.heal)


# Name, loss of all packets from and to callers, and the fault.
FAULTS = {
    "none": (0.0, cause_nothing),
    "5 % of all callers' packets lost": (LOSSY_SHARE, cause_nothing),
    "20 % of all callers' packets lost": (VERY_LOSSY_SHARE, cause_nothing),
    "5 % lost on a zone's links": (0.0, partial(lose_in_zone, share=LOSSY_SHARE)),
    "20 % lost on a zone's links": (0.0, partial(lose_in_zone, share=VERY_LOSSY_SHARE)),
    "8 entry VMs cut one way from a zone": (0.0, cut_one_way),
    "8 entry VMs with full links": (0.0, fill_links),
    "8 entry VMs suspended": (0.0, suspend_vms),
    "a zone cut off for 4 s": (0.0, cut_zone),
}


def measure_dark(case: tuple[int, bool, int]) -> Outcome:
    """Measures one run with servers that fall dark."""
    configure_logging("plain", "critical")
    return Run(*case).execute(fall_dark, AFTER_SECONDS)


def measure_fault(case: tuple[str, bool, int]) -> Outcome:
    """Measures one run in which no server dies."""
    configure_logging("plain", "critical")
    name, enabled, seed = case
    loss, inject = FAULTS[name]
    return Run(ENTRY_VMS[1], enabled, seed, loss).execute(inject, FAULT_SECONDS)


PAGE = f"""# Servers that fall dark together

`python tools/measure_dead_servers.py` runs the emulated platform: heritage with {sum(SERVERS)}
servers in {len(HERITAGE.zones)} zones, seeds {SEEDS[0]} to {SEEDS[-1]}, load {LOAD},
{WORK_SECONDS * 1000:.0f} ms of work per request, {AFTER_SECONDS:.0f} s after the servers of one
zone crash; their entries expire after {ENTRY_EXPIRY_SECONDS} s. 60 % of all requests, also of
those that are not idempotent, reuse open flows, of which each of {len(HERITAGE.zones) * 2} callers
keeps {POOL_FLOWS} for each kind of request. Sums over the seeds.

Lost requests were created before the crash, in the {EARLY_SECONDS:.0f} s after it, or later. In
aim: seconds until {AIM_SHARE:.0%} of the requests of each later half second are answered within
{TARGET_SECONDS} s, for each seed. Verdict: median and maximum of the seconds until a zone's reader
condemned a dead server. FLOW: open flows that were reset.

| entry VMs | enabled | requests | lost: before | early | later | late | in aim | verdict | FLOW |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""
FALSE_PAGE = f"""
# False verdicts

{ENTRY_VMS[1]} entry VMs, {FAULT_SECONDS:.0f} s with a fault in which no server dies, sums over the
seeds. A verdict on a living server counts for each zone whose reader gave it. All: violations of
all rules.

| fault | enabled | server-minutes | false verdicts | lost | late | FLOW | all |
| --- | --- | --- | --- | --- | --- | --- | --- |
"""


def main() -> None:
    """Runs all cases and prints the page."""
    dark_cases = list(product(ENTRY_VMS, (False, True), SEEDS))
    fault_cases = list(product(FAULTS, (False, True), SEEDS))
    with ProcessPoolExecutor(WORKERS) as workers:
        dark = dict(zip(dark_cases, workers.map(measure_dark, dark_cases), strict=True))
        faults = dict(zip(fault_cases, workers.map(measure_fault, fault_cases), strict=True))
    sys.stdout.write(PAGE)
    for entry_vms, enabled in product(ENTRY_VMS, (False, True)):
        _write_row(entry_vms, enabled, *_sum_up([dark[entry_vms, enabled, s] for s in SEEDS]))
    sys.stdout.write(FALSE_PAGE)
    for name, enabled in product(FAULTS, (False, True)):
        outcomes = [faults[name, enabled, seed] for seed in SEEDS]
        minutes = round(sum(SERVERS) * FAULT_SECONDS / 60 * len(SEEDS))
        _write_row(
            name,
            enabled,
            minutes,
            sum(outcome.false_verdicts for outcome in outcomes),
            sum(outcome.lost.total() for outcome in outcomes),
            sum(outcome.late for outcome in outcomes),
            sum(outcome.broken["FLOW"] for outcome in outcomes),
            sum(outcome.broken.total() for outcome in outcomes),
        )


def _sum_up(outcomes: list[Outcome]) -> tuple[object, ...]:
    verdicts = [seconds for outcome in outcomes for seconds in outcome.verdict_seconds]
    verdict = f"{median(verdicts):.2f}, {max(verdicts):.2f}" if verdicts else "none"
    return (
        sum(outcome.offered for outcome in outcomes),
        *(sum(outcome.lost[p] for outcome in outcomes) for p in ("before", "early", "later")),
        sum(outcome.late for outcome in outcomes),
        ", ".join(str(outcome.aim_seconds) for outcome in outcomes),
        verdict,
        sum(outcome.broken["FLOW"] for outcome in outcomes),
    )


def _write_row(*cells: object) -> None:
    sys.stdout.write(f"| {' | '.join(map(str, cells))} |\n")


if __name__ == "__main__":
    main()
