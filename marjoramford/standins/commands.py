"""Command line of the stand-ins, each of which runs in its own process until terminated."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from random import Random

import aiohttp
import msgspec
from aiohttp import web

from ..deferrals import deferred
from ..shared.addresses import Address
from ..shared.records import VmRecord
from ..token_flows.watchers import PublishedPage
from .caller_sessions import CallerSession
from .callers import CallerStandin
from .demos import make_server
from .deployments import DEPLOYMENTS
from .fabrics import FabricStandin, NetworkConditions
from .platform_models import PlatformModel
from .platforms import PlatformStandin
from .server_models import Ledger
from .sites import SITE_FILE, Site, plan_site, read_site

FABRIC_POLL_SECONDS = 0.5
UPLOAD_PIECES = 50


class StandinCommands:
    """Stand-ins for the systems around marjoramford, each in its own process."""

    @deferred
    def site(self, deployment: str, directory: str) -> None:
        """Plans ports for a deployment and writes site.json and the entry VMs' settings.

        Args:
            deployment: heritage or grievance.
            directory: where the files go.
        """
        plan_site(DEPLOYMENTS[deployment]).write(Path(directory))
        print(Path(directory) / SITE_FILE)

    @deferred
    def platform(self, site: str) -> None:
        """Runs the platform, which publishes the site's services and VMs.

        Args:
            site: path of a site.json.
        """
        asyncio.run(_run_platform(read_site(site)))

    @deferred
    def fabric(self, site: str, loss: float = 0.0, duplication: float = 0.0, seed: int = 1) -> None:
        """Runs the fabric, which sprays datagrams over the entry VMs listed as live.

        Args:
            site: path of a site.json.
            loss: share of datagrams that are lost.
            duplication: share of datagrams that arrive twice.
            seed: seed of the fabric's random choices.
        """
        latency = read_site(site).deployment.caller_latency_seconds
        conditions = NetworkConditions(loss, duplication, 0.8 * latency, 1.2 * latency)
        asyncio.run(_run_fabric(read_site(site), conditions, seed))

    @deferred
    def server(self, site: str, name: str, seed: int = 1) -> None:
        """Runs one backend server; on SIGTERM it drains and then exits.

        Args:
            site: path of a site.json.
            name: name of the server in the site.
            seed: seed of the durations of work.
        """
        asyncio.run(_run_server(read_site(site), name, seed))

    @deferred
    def caller(
        self, site: str, service: str, kind: str, count: int = 1, seconds: float = 20.0
    ) -> None:
        """Runs one caller and prints its outcomes as JSON; exits 1 unless all are whole.

        Args:
            site: path of a site.json.
            service: the service to open a flow to.
            kind: a kind of request, `board` (to follow `count` pieces) or `upload`.
            count: how many requests to make, one after the other.
            seconds: time limit in seconds.
        """
        whole = asyncio.run(_run_caller(read_site(site), service, kind, count, seconds))
        if not whole:
            sys.exit(1)


async def _run_platform(site: Site) -> None:
    platform = PlatformStandin(PlatformModel())
    site.publish(platform.model)
    runner = web.AppRunner(platform.make_app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", site.platform_port).start()
    await _wait_for_termination()
    await runner.cleanup()


async def _run_fabric(site: Site, conditions: NetworkConditions, seed: int) -> None:
    targets: list[Address] = []
    fabric = FabricStandin(lambda: targets, Random(seed), conditions)
    await fabric.open(site.fabric)
    poll = asyncio.create_task(_poll_entry_vms(site.platform, targets))
    await _wait_for_termination()
    poll.cancel()
    fabric.close()


async def _poll_entry_vms(platform: str, targets: list[Address]) -> None:
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f"{platform}/v1/vms") as response:
                    page = msgspec.json.decode(await response.read(), type=PublishedPage)
            except (aiohttp.ClientError, msgspec.MsgspecError, OSError):
                await asyncio.sleep(FABRIC_POLL_SECONDS)
                continue
            vms = [msgspec.json.decode(raw, type=VmRecord) for raw in page.records]
            live = [vm for vm in vms if vm.role == "entry" and vm.state == "live"]
            targets[:] = [Address(vm.host, vm.data_port) for vm in live]
            await asyncio.sleep(FABRIC_POLL_SECONDS)


async def _run_server(site: Site, name: str, seed: int) -> None:
    server = make_server(site.server(name), site.deployment, Random(seed), Ledger())
    await server.start()
    await _wait_for_termination()
    server.model.drain(time.time())
    await server.wait_until_drained(time.time() + 30.0)
    await server.stop()


async def _run_caller(site: Site, service: str, kind: str, count: int, seconds: float) -> bool:
    now = time.time()
    session = CallerSession(service, Random(), f"{kind}-{time.time_ns()}")
    if kind == "board":
        session.follow_board(now)
    elif kind == "upload":
        session.start_upload(UPLOAD_PIECES, now)
    caller = CallerStandin(session, site.fabric)
    await caller.start()
    task = asyncio.create_task(caller.run())
    deadline = now + seconds
    if kind == "board":
        whole = await caller.wait_for(lambda s: s.board.next_index >= count, deadline)
    elif kind == "upload":
        whole = await caller.wait_for(lambda s: s.upload.whole, deadline)
    else:
        whole = await _request_sequentially(caller, kind, count, deadline)
    task.cancel()
    caller.close()
    print(json.dumps(_summary(session)))
    return whole and session.foreign == 0


async def _request_sequentially(
    caller: CallerStandin, kind: str, count: int, deadline: float
) -> bool:
    for done in range(count):
        caller.session.request(kind, deadline, time.time())
        await caller.wait_for(lambda s, done=done: len(s.outcomes) > done, deadline)
    outcomes = caller.session.outcomes
    return len(outcomes) == count and all(outcome.result == "whole" for outcome in outcomes)


def _summary(session: CallerSession) -> dict[str, object]:
    return {
        "service": session.service,
        "outcomes": [
            {"work": o.work.decode(), "kind": o.kind, "result": o.result, "reason": o.reason}
            for o in session.outcomes
        ],
        "board_pieces": session.board.next_index if session.board else None,
        "upload_whole": session.upload.whole if session.upload else None,
        "upload_restarts": session.upload.restarts if session.upload else None,
        "reopened": session.reopened,
        "foreign": session.foreign,
    }


async def _wait_for_termination() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
