"""Case 1: a lost SYN+ACK leaves a second server that answers; entry VMs are restarted in turn."""

import asyncio
import random
import signal
import time

import world

PUBLIC = ("127.0.9.1", 443)
SERVICE = "entwurf"
SERVERS = 5
FLOWS_PER_SECOND = 20
# How long a requester pauses on an open flow; the idle timeout of the config is 15 s.
PAUSE_S = 4.0
# One SYN+ACK is lost in this time; all servers send about 160 datagrams meanwhile.
LOSS_INTERVAL_S = 1.0
# Two missed probes take an entry VM out of rotation.
UNREADY_S = 1.0
VM_HOSTS = {
    "front-muc-a-1": ("127.0.11.1", "muc-a"),
    "front-muc-a-2": ("127.0.11.2", "muc-a"),
    "front-nue-b-1": ("127.0.12.1", "nue-b"),
    "front-nue-b-2": ("127.0.12.2", "nue-b"),
}
STORE_HOST, REQUESTER_HOST, SERVER_HOST = "127.0.10.1", "127.0.13.1", "127.0.14.{}"


def make_config():
    route = {
        "name": "r-3d3zji9",
        "host": PUBLIC[0],
        "prefix": f"/{PUBLIC[1]}/",
        "kind": "safe",
        "timeout_ms": 4000,
        "target_latency_ms": 250,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 2,
    }
    service = {"name": SERVICE, "health_path": "/health", "max_conns": 2000}
    return {
        "version": 3,
        "routes": [route],
        "services": [service | {"protocol": "h1", "tls": False}],
        "limits": {"idle_timeout_ms": 15000},
    }


async def main(record, folder, has_trouble):
    server_hosts = [SERVER_HOST.format(n) for n in range(1, SERVERS + 1)]
    hosts = [STORE_HOST, REQUESTER_HOST, *server_hosts, *(vm[0] for vm in VM_HOSTS.values())]
    ports = world.find_ports(hosts)
    store = world.Store(record)
    await store.serve(STORE_HOST, ports["store"])
    store.put("op/config", make_config())
    tasks, servers = [], []
    for host in server_hosts:
        server = world.Server(
            random.randrange(1 << 40),
            SERVICE,
            "muc-a",
            host,
            ports["server"],
            ports["datagram"],
            record,
        )
        await server.start()
        servers.append(server)
        store.put(f"servers/{server.id}", server.entry())
    vms = world.EntryVms(
        folder,
        VM_HOSTS,
        ports,
        f"{STORE_HOST}:{ports['store']}",
        record,
        ["front-muc-a-1", "front-muc-a-2", "front-nue-b-1"],
    )
    in_rotation = [*VM_HOSTS]
    requester = world.Requester(
        REQUESTER_HOST,
        ports["datagram"],
        record,
        lambda port: VM_HOSTS[choose_node(in_rotation, port)][0],
    )
    await requester.start()
    results = []
    try:
        for name in in_rotation:
            vms.start(name)
        if not await vms.wait_until_ready(in_rotation, 20):
            record.write("the entry VMs are not ready")
            return None
        await asyncio.sleep(5)
        tasks.append(asyncio.create_task(open_flows(requester, servers, results)))
        if has_trouble:
            tasks.append(asyncio.create_task(lose_openings(servers)))
        await asyncio.sleep(3)
        began_at = time.monotonic()
        for name in VM_HOSTS:
            await restart(vms, name, in_rotation)
        await asyncio.sleep(2)
        return judge(results, began_at, record)
    finally:
        for task in tasks:
            task.cancel()
        vms.stop()
        await asyncio.sleep(0.2)


async def lose_openings(servers):
    """Has one SYN+ACK of a server drawn at random lost in each interval."""
    while True:
        random.choice(servers).lost_openings = 1
        await asyncio.sleep(LOSS_INTERVAL_S)


async def restart(vms, name, in_rotation):
    """Stops an entry VM as planned, and starts it again once it has ended."""
    vms.signal(name, signal.SIGTERM)
    await asyncio.sleep(UNREADY_S)
    in_rotation.remove(name)
    deadline = time.monotonic() + 5.0
    while not vms.has_ended(name) and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    vms.start(name)
    await vms.wait_until_ready([name], 10)
    in_rotation.append(name)


def choose_node(nodes, port):
    """Returns the entry VM of a flow by a rendezvous hash: only flows of changed nodes move."""
    return max(nodes, key=lambda name: hash((name, port)))


async def open_flows(requester, servers, results):
    """Opens a flow each tenth of a second; each pauses between its requests."""
    pending = set()
    for n in range(10_000):
        task = asyncio.create_task(use_flow(requester, n, servers, results))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / FLOWS_PER_SECOND)


async def use_flow(requester, number, servers, results):
    """Sends three requests on one flow, with pauses."""
    flow = requester.open_flow(PUBLIC)
    for turn, pause in enumerate((PAUSE_S, PAUSE_S, 0.0)):
        result = await flow.request(f"{number}-{turn}")
        # Servers that hold the open flow although it was reset.
        result["held_by"] = [s for s in servers if s.is_up and s.has_flow(flow.port)]
        result["reset_by"] = flow.reset_by
        results.append(result)
        if not flow.is_open:
            break
        await asyncio.sleep(pause)
        if flow.was_reset():
            break
    flow.close()


def judge(results, began_at, record):
    late = [result for result in results if result["sent_at"] > began_at]
    served = sum(result["result"].startswith("served") for result in late)
    record.write(len(late), "requests during the planned restarts,", served, "served")
    breaches = []
    for result in late:
        holders = [server for server in result["held_by"] if server.host != result["reset_by"]]
        if result["reset_by"] and holders:
            breaches.append(
                f"FLOW: request {result['name']} of port {result['port']}: {result['result']}; "
                f"the flow is open at server {holders[0].id} at {holders[0].host}"
            )
    return breaches


if __name__ == "__main__":
    world.run(main)
