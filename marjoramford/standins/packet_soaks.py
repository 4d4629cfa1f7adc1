"""Randomised soak test of real entry VM processes, with overlapping faults drawn from a seed."""

import asyncio
import signal
import time
from pathlib import Path
from random import Random

from .packet_callers import AttemptOutcome, PacketCaller
from .packet_sites import BOOKING_PORT, MANIFEST_PORT, PacketSite, SiteFindings

RECOVERY_SECONDS = 6.0
FINAL_REQUESTS_SECONDS = 2.0
# Short drains, and such as last long enough for the check that they are in force.
ZONE_DRAIN_SECONDS = (0.3, 2.0, 8.0, 12.0)
UNKNOWN_ZONE = "zone-unknown"
PROXY_MODES = ("delay", "reset", "silent", "one way")


async def run_soak(seed: int, seconds: float, directory: Path) -> SiteFindings:
    """Runs one soak test.

    Args:
        seed: seed of the faults and the traffic; the timing of the processes varies between runs.
        seconds: how long faults are injected; a recovery time and a final check follow.
        directory: for settings and logs of the processes.

    Returns:
        What callers and servers observed, with all violations.
    """
    random = Random(seed)
    async with PacketSite(directory, random) as site:
        await site.wait_until_ready()
        recovery_over = asyncio.Event()
        callers = [
            asyncio.create_task(_send_requests(site, caller, number, recovery_over))
            for number, caller in enumerate(site.callers)
        ]
        # Restores and drains are drawn by themselves, so that a seed keeps its other faults.
        await asyncio.gather(
            _inject_faults(site, Random(seed + 1), seconds),
            _inject_restores(site, Random(seed + 2), seconds),
            _inject_zone_drains(site, Random(seed + 3), seconds),
        )
        await asyncio.sleep(RECOVERY_SECONDS)
        recovery_over.set()
        await asyncio.sleep(FINAL_REQUESTS_SECONDS)
        await site.check_server_lists()
        for task in callers:
            task.cancel()
        for result in await asyncio.gather(*callers, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                site.record_violation(f"the task of a caller ended with {result!r}")
        site.findings.openings_during_drains = site.drains.checked_packets
        _check_recovery(site)
        return site.findings


async def _send_requests(
    site: PacketSite, caller: PacketCaller, number: int, recovery_over: asyncio.Event
) -> None:
    """Makes requests in turn on a flow that is kept open and on new flows, until cancelled."""
    kept_flow = None
    count = 0
    while True:
        count += 1
        final = recovery_over.is_set()
        outcome, kept_flow = await site.make_request(
            caller, f"board-{number}-{count}", BOOKING_PORT, kept_flow
        )
        outcomes = [outcome]
        port = MANIFEST_PORT if count % 3 == 0 else BOOKING_PORT
        outcome, flow = await site.make_request(caller, f"single-{number}-{count}", port, None)
        outcomes.append(outcome)
        if flow is not None:
            caller.close(flow)
        if final:
            site.findings.asked_at_the_end += len(outcomes)
            site.findings.answered_at_the_end += outcomes.count(AttemptOutcome.ANSWERED)
        await asyncio.sleep(0.05)


async def _inject_faults(site: PacketSite, random: Random, seconds: float) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        _inject_random_fault(site, random)
        await asyncio.sleep(random.choice((0.0, 0.3, 1.0, 2.0)))


async def _inject_restores(site: PacketSite, random: Random, seconds: float) -> None:
    """Restores the store from a copy now and then, at times again before all is written again."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        copy_age, outage = random.uniform(0.5, 4.0), random.choice((0.0, 0.2, 1.0, 2.0))
        site.record_event(f"store copied, down in {copy_age:.1f} s, restored {outage:.1f} s later")
        site.spawn(site.restore_store(copy_age, outage))
        await asyncio.sleep(random.choice((1.0, 3.0, 6.0)))


async def _inject_zone_drains(site: PacketSite, random: Random, seconds: float) -> None:
    """Drains zones in series that overlap each other and the other faults.

    Mostly the same zone is drained, since callers get no answer while all are. Its last drain lasts
    to the end of the run, so that most entry VMs have contact with the store long enough to be
    checked; the others end in the recovery time.
    """
    until = time.monotonic() + seconds
    usual = random.choice(site.zones)
    zones = (usual, usual, usual, random.choice(site.zones), UNKNOWN_ZONE)
    while time.monotonic() < until:
        zone = random.choice(zones)
        remaining = until + RECOVERY_SECONDS / 2 - time.monotonic()
        duration = min(random.choice(ZONE_DRAIN_SECONDS), remaining)
        site.record_event(f"zone drain {zone} {duration:.1f} s")
        site.spawn(site.drain_zone(zone, duration))
        await asyncio.sleep(random.choice((0.5, 2.0, 5.0)))
    site.record_event(f"zone drain {usual} to the end")
    site.spawn(site.drain_zone(usual, float("inf")))


def _inject_random_fault(site: PacketSite, random: Random) -> None:
    vm = random.choice(site.vms)
    server = random.choice(list(site.servers.values()))
    duration = random.uniform(0.5, 4.0)
    fault = random.choice(
        ("kill", "term", "pause", "hup", "proxy", "store", "drain", "crash", "lapse", "routes")
    )
    site.record_event(f"{fault} {vm.name} {server.name} {duration:.1f} s")
    peers = [other for other in site.servers.values() if other.service == server.service]
    match fault:
        case "kill":
            vm.signal(signal.SIGKILL)
        case "term":
            vm.signal(signal.SIGTERM)
        case "pause":
            site.spawn(site.pause_vm(vm, duration))
        case "hup":
            vm.signal(signal.SIGHUP)
        case "proxy":
            site.spawn(site.degrade_store_connection(vm, random.choice(PROXY_MODES), duration))
        case "store":
            site.spawn(site.interrupt_store(duration))
        case "drain" if len(peers) > 1:
            site.spawn(site.drain_server(server))
        case "crash" if len(peers) > 1:
            site.spawn(site.crash_server(server))
        case "lapse":
            site.spawn(site.remove_entry_briefly(server))
        case "routes":
            site.change_routes()


def _check_recovery(site: PacketSite) -> None:
    findings = site.findings
    if not findings.asked_at_the_end:
        site.record_violation("no request ended after the recovery time")
    elif findings.answered_at_the_end < findings.asked_at_the_end:
        answered, asked = findings.answered_at_the_end, findings.asked_at_the_end
        site.record_violation(
            f"only {answered} of {asked} requests were answered after the recovery time"
        )
