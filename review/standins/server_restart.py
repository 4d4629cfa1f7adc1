"""Case 3: a server behind a cut from the store starts again, and an entry VM is added meanwhile."""

import asyncio
import random
import time

import world

PUBLIC = ("127.0.9.1", 443)
SERVICE = "entwurf"
HEARTBEAT_S = 0.77
# Heartbeats without which the store removes an entry.
MISSED_BEATS = 3
STABILITY_S = 5.0
# A little more than the window, for the time between an event and its record here.
SLACK_S = 0.2
CUT_SECONDS = 5.0
DOWN_SECONDS = 0.2
# When the entry VM is added, from the start of the cut.
ADDED_AFTER_S = 2.0
SERVERS = 5
FLOWS_PER_SECOND = 30
# How long a requester pauses on an open flow; the idle timeout of the config is 15 s.
PAUSE_S = 10.0
VM_HOSTS = {
    "front-muc-a-1": ("127.0.11.1", "muc-a"),
    "front-muc-a-2": ("127.0.11.2", "muc-a"),
    "front-muc-a-3": ("127.0.11.3", "muc-a"),
    "front-nue-b-1": ("127.0.12.1", "nue-b"),
    "front-nue-b-2": ("127.0.12.2", "nue-b"),
    "front-nue-b-3": ("127.0.12.3", "nue-b"),
    "front-muc-a-4": ("127.0.11.4", "muc-a"),
}
ADDED_VM = "front-muc-a-4"
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


class Registrations:
    """The servers' entries: each server writes its own once per heartbeat.

    The store changes an entry when more than its `sequence` changes, and removes it after three
    heartbeats of silence.

    Attributes:
        cut_off: the ids of the servers that do not reach the store.
    """

    def __init__(self, store, record):
        self._store, self._record = store, record
        self._entries, self._written_at = {}, {}
        self.cut_off = set()

    async def beat(self, server):
        """Writes a server's entry once per heartbeat."""
        while True:
            if server.is_up and server.id not in self.cut_off:
                entry = server.entry()
                self._written_at[server.id] = time.monotonic()
                if self._entries.get(server.id) != entry:
                    self._entries[server.id] = entry
                    self._store.put(f"servers/{server.id}", entry)
                    self._record.write("store: entry of", server.id, "born", entry["born"])
            await asyncio.sleep(HEARTBEAT_S)

    async def wait_for_beat(self, server):
        """Returns once a server has written its entry."""
        before = self._written_at[server.id]
        while self._written_at[server.id] == before:
            await asyncio.sleep(0.01)

    async def expire(self):
        """Removes the entries of silent servers."""
        while True:
            await asyncio.sleep(0.02)
            oldest = time.monotonic() - MISSED_BEATS * HEARTBEAT_S
            for name in [name for name in self._entries if self._written_at[name] < oldest]:
                del self._entries[name]
                self._store.remove(f"servers/{name}")
                self._record.write("store: entry of", name, "has expired")


async def main(record, folder, has_trouble):
    server_hosts = [SERVER_HOST.format(n) for n in range(1, SERVERS + 1)]
    hosts = [STORE_HOST, REQUESTER_HOST, *server_hosts, *(vm[0] for vm in VM_HOSTS.values())]
    ports = world.find_ports(hosts)
    store = world.Store(record)
    await store.serve(STORE_HOST, ports["store"])
    store.put("op/config", make_config())
    registrations = Registrations(store, record)
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
        tasks.append(asyncio.create_task(registrations.beat(server)))
    tasks.append(asyncio.create_task(registrations.expire()))
    vms = world.EntryVms(
        folder,
        VM_HOSTS,
        ports,
        f"{STORE_HOST}:{ports['store']}",
        record,
        ["front-muc-a-1", "front-muc-a-2", "front-nue-b-1"],
    )
    in_rotation = [name for name in VM_HOSTS if name != ADDED_VM]
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
        await asyncio.sleep(3)
        server = servers[0]
        await registrations.wait_for_beat(server)
        cut_at = time.monotonic()
        if has_trouble:
            record.write("server", server.id, "is cut off from the store")
            registrations.cut_off.add(server.id)
            server.crash()
            await asyncio.sleep(DOWN_SECONDS)
            server.restart()
        await asyncio.sleep(cut_at + ADDED_AFTER_S - time.monotonic())
        vms.start(ADDED_VM)
        if not await vms.wait_until_ready([ADDED_VM], 10):
            return None
        in_rotation.append(ADDED_VM)
        record.write(ADDED_VM, "is in rotation")
        await asyncio.sleep(cut_at + CUT_SECONDS - time.monotonic())
        registrations.cut_off.clear()
        record.write("the cut has ended")
        in_touch_from = time.monotonic() + STABILITY_S + SLACK_S
        await asyncio.sleep(STABILITY_S + 4)
        return judge(results, in_touch_from, cut_at, record)
    finally:
        for task in tasks:
            task.cancel()
        vms.stop()
        await asyncio.sleep(0.2)


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
    """Sends two requests in a row and, after a pause, a third on the same flow."""
    flow = requester.open_flow(PUBLIC)
    for turn, pause in enumerate((0.1, PAUSE_S, 0.0)):
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


def judge(results, in_touch_from, cut_at, record):
    late = [result for result in results if result["sent_at"] > in_touch_from]
    served = sum(result["result"].startswith("served") for result in late)
    record.write(len(late), "requests while all are in touch,", served, "served")
    vm_hosts = {host for host, _ in VM_HOSTS.values()}
    breaches = []
    for result in late:
        if result["reset_by"] in vm_hosts and result["held_by"]:
            seconds = result["sent_at"] - in_touch_from + STABILITY_S + SLACK_S
            holder = result["held_by"][0]
            breaches.append(
                f"FLOW: request {result['name']} of port {result['port']}: {result['result']}; "
                f"the flow is open at server {holder.id}, {seconds:.2f} s after the cut's end"
            )
    return breaches


if __name__ == "__main__":
    world.run(main)
