"""Case 2: a storm of changes of a large config, in a deployment of four entry VMs."""

import asyncio
import json
import random
import time

import world

PUBLIC_HOST = "127.0.9.1"
CONFIG_APPLY_S, DRAIN_S = 3.0, 3.0
# A little more than the bound, for the time between the ack and its record here.
SLACK_S = 0.3
# The first config, and two further blocks of the largest size of `big_config` in the site files.
IDLE_ROUTES = 8 + 2 * 1780
STORM_SECONDS, STORM_GAP_S = 2.0, 0.08
VM_HOSTS = {
    "front-muc-a-1": ("127.0.11.1", "muc-a"),
    "front-muc-a-2": ("127.0.11.2", "muc-a"),
    "front-nue-b-1": ("127.0.12.1", "nue-b"),
    "front-nue-b-2": ("127.0.12.2", "nue-b"),
}
STORE_HOST, REQUESTER_HOST, SERVER_HOST = "127.0.10.1", "127.0.13.{}", "127.0.14.{}"


def make_config(version, timeout_ms, ports):
    """Returns a config in which each port of `ports` leads to a service, besides idle routes."""
    routes = [make_route(port, service, timeout_ms) for port, service in ports.items()]
    routes += [make_route(10_000 + n, "entwurf", 4000) for n in range(IDLE_ROUTES)]
    services = [
        {"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
        for name in ("entwurf", "akten")
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    config = {"version": version, "routes": routes, "services": services, "limits": limits}
    return json.dumps(config, separators=(",", ":")).encode()


def make_route(port, service, timeout_ms):
    return {
        "name": f"r-{port:07d}",
        "host": PUBLIC_HOST,
        "prefix": f"/{port}/",
        "kind": "safe",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 250,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }


async def main(record, folder, has_trouble):
    server_hosts = [SERVER_HOST.format(n) for n in range(1, 7)]
    requester_hosts = [REQUESTER_HOST.format(n) for n in range(1, len(VM_HOSTS) + 1)]
    hosts = [STORE_HOST, *requester_hosts, *server_hosts, *(vm[0] for vm in VM_HOSTS.values())]
    ports = world.find_ports(hosts)
    store = world.Store(record)
    await store.serve(STORE_HOST, ports["store"])
    servers = []
    for n, host in enumerate(server_hosts, 1):
        service = "entwurf" if n <= 4 else "akten"
        zone = "muc-a" if n % 2 else "nue-b"
        number = random.randrange(1 << 40)
        server = world.Server(
            number, service, zone, host, ports["server"], ports["datagram"], record
        )
        await server.start()
        store.put(f"servers/{server.id}", server.entry())
        servers.append(server)
    # 443 leads to `entwurf`; 8443 is dropped and 9443 added by the last change.
    before = {443: "entwurf", 8443: "akten"}
    after = {443: "entwurf", 9443: "akten"}
    first = make_config(3, 4000, before)
    store.put("op/config", first)
    record.write("config of", len(first), "bytes (value_bytes is 1048576)")
    requesters = {}
    for requester_host, (name, (host, _)) in zip(requester_hosts, VM_HOSTS.items()):
        # Each sends through one entry VM, as flows that test the config in force do.
        requesters[name] = world.Requester(
            requester_host, ports["datagram"], record, lambda _, host=host: host
        )
        await requesters[name].start()
    vms = world.EntryVms(
        folder,
        VM_HOSTS,
        ports,
        f"{STORE_HOST}:{ports['store']}",
        record,
        ["front-muc-a-1", "front-muc-a-2", "front-nue-b-1"],
    )
    try:
        for name in VM_HOSTS:
            vms.start(name)
        if not await vms.wait_until_ready(VM_HOSTS, 20):
            record.write("the entry VMs are not ready")
            return None
        await asyncio.sleep(5)
        if not await is_served(requesters, (PUBLIC_HOST, 443)):
            return None
        changes = int(STORM_SECONDS / STORM_GAP_S) if has_trouble else 0
        storm = [make_config(5 + 2 * n, 3900 + n, before) for n in range(changes)]
        last = make_config(5 + 2 * changes, 3800, after)
        for config in storm:
            store.put("op/config", config)
            await asyncio.sleep(STORM_GAP_S)
        config_acked_at = store.put("op/config", last)
        record.write("config version", 5 + 2 * changes, "acknowledged;", changes, "changes before")
        drained = servers[0]
        await asyncio.sleep(0.5)
        drain_acked_at = store.put(f"servers/{drained.id}", drained.entry("draining"))
        record.write("server", drained.id, "acknowledged as draining")
        return await find_breaches(
            record, requesters, drained, config_acked_at, drain_acked_at
        )
    finally:
        vms.stop()
        # Their connections to the store end before this process does.
        await asyncio.sleep(0.2)


async def is_served(requesters, route):
    results = await asyncio.gather(
        *(requester.request(route, f"first-{name}") for name, requester in requesters.items())
    )
    return all(result["result"] == "served by entwurf" for result in results)


async def find_breaches(record, requesters, drained, config_acked_at, drain_acked_at):
    """Sends requests from the bounds on, for 9 s, and judges them."""
    await asyncio.sleep(drain_acked_at + DRAIN_S + SLACK_S - time.monotonic())
    results = []
    for turn in range(18):
        for name, requester in requesters.items():
            for port in (9443, 8443, 443):
                label = f"{port}-{name}-{turn}"
                task = asyncio.create_task(requester.request((PUBLIC_HOST, port), label))
                results.append((port, task))
        await asyncio.sleep(0.5)
    breaches = []
    for port, task in results:
        result = await task
        age = result["sent_at"] - config_acked_at
        words = f"request {result['name']}, sent {age:.2f} s after the ack: {result['result']}"
        if port == 9443 and result["result"] == "reset":
            breaches.append(f"CONFIG: refused though the route is there: {words}")
        if port == 8443 and result["result"].startswith("served"):
            breaches.append(f"CONFIG: run with a dropped route: {words}")
    for at, key in drained.opened:
        if at > drain_acked_at + DRAIN_S:
            seconds = at - drain_acked_at
            breaches.append(f"DRAIN: opening packet of port {key[1]} {seconds:.2f} s after the ack")
    served = sum(task.result()["result"].startswith("served") for _, task in results)
    record.write(len(results), "requests after the bounds,", served, "served")
    return breaches


if __name__ == "__main__":
    world.run(main)
