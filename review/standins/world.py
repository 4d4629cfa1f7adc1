"""Stand-ins of the platform for the scripts of this review, and the start of the entry VMs.

Everything runs on loopback addresses and the real clock, in one asyncio process beside the entry
VMs, which are separate processes started by the command of `deploy/system.toml`. The standard
library alone is used. Formats follow PROTOCOL.md and DEPLOY.md of the users' pages.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEAD = struct.Struct("<HHIIIB5xIIHI")
SYN, FIN, ACK, RST = 1, 2, 8, 64
MODULUS = 1 << 32
STATUS_TEXT = {200: "OK", 404: "Not Found", 410: "Gone", 429: "Too Many Requests", 503: "Busy"}


def ip_number(text):
    return int.from_bytes(socket.inet_aton(text), "big")


def ip_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_at

    def write(self, *words):
        self._file.write(f"{self.now():8.3f} " + " ".join(map(str, words)) + "\n")
        self._file.flush()


class Store:
    """The platform's store: items, one revision counter, watches and 20 s of history.
    """

    PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000

    def __init__(self, record, history_s=20.0, answer_s=0.004):
        self._record = record
        self._history_s = history_s
        self.answer_s = answer_s
        self._items = {}
        self._events = []
        self._kept_after = 0
        self._waiters = set()
        self.revision = 10

    def put(self, key, value):
        """Writes an item and returns when it was acknowledged, on the monotonic clock."""
        self.revision += 1
        created = self._items[key][0]["create_revision"] if key in self._items else self.revision
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": b64encode(raw).decode(),
            "revision": self.revision,
            "create_revision": created,
            "lease": 0,
        }
        self._items[key] = (item, json.dumps(item).encode())
        self._append(self._items[key][1])
        return time.monotonic()

    def remove(self, key):
        del self._items[key]
        self.revision += 1
        event = {"key": key, "revision": self.revision, "tombstone": True}
        self._append(json.dumps(event).encode())
        return time.monotonic()

    def _append(self, event):
        now = time.monotonic()
        self._events.append((self.revision, now, event))
        while self._events and self._events[0][1] < now - self._history_s:
            self._kept_after = self._events.pop(0)[0]
        for waiter in self._waiters:
            waiter.set()

    async def serve(self, host, port):
        await asyncio.start_server(self._serve_connection, host, port)

    async def _serve_connection(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                await asyncio.sleep(self.answer_s)
                text = f"HTTP/1.1 {status} {STATUS_TEXT[status]}\r\n"
                text += "Content-Type: application/json\r\n"
                writer.write(f"{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            # The caller has closed the connection, or the script ends.
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-range":
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if parts.path == "/v1/kv-watch":
            return await self._watch(
                query.get("prefix", ""), int(query["after"]), int(query["wait_ms"]) / 1000
            )
        return 404, b"{}"

    def _range(self, prefix, after):
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            item = self._items[key][1]
            if page and (len(page) >= self.PAGE_ITEMS or size + len(item) > self.PAGE_BYTES):
                break
            page.append(item)
            size += len(item)
        more = b"true" if len(page) < len(keys) else b"false"
        return b'{"items":[%s],"has_more":%s,"as_of":%d}' % (b",".join(page), more, self.revision)

    async def _watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
        waiter = asyncio.Event()
        self._waiters.add(waiter)
        try:
            while True:
                # History is dropped by age, whether or not anything is written.
                oldest = time.monotonic() - self._history_s
                while self._events and self._events[0][1] < oldest:
                    self._kept_after = self._events.pop(0)[0]
                if after < self._kept_after:
                    return 410, b"{}"
                found = [event for revision, _, event in self._events if revision > after]
                remaining = deadline - time.monotonic()
                if found or remaining <= 0:
                    return 200, b'{"events":[%s],"as_of":%d}' % (b",".join(found), self.revision)
                waiter.clear()
                try:
                    await asyncio.wait_for(waiter.wait(), remaining)
                except TimeoutError:
                    pass
        finally:
            self._waiters.discard(waiter)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self._handle = handle

    def datagram_received(self, data, addr):
        self._handle(data, addr[0])

    def error_received(self, exc):
        pass


async def open_udp(host, port, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(handle), local_addr=(host, port)
    )
    return transport


class Server:
    """A backend server: accepts flows, and answers one request of one packet on each.

    Attributes:
        runs: Request-Id of each request that it began to work on.
        opened: when it took each opening packet, on the monotonic clock.
        cut_from: hosts whose packets are lost on the way.
        is_up: whether its process runs.
        lost_openings: how many of its next SYN+ACK are lost on the way to the requester.
        born: start of its process, in Unix milliseconds.
    """

    def __init__(self, number, service, zone, host, port, reply_port, record, work_s=0.03):
        self.id = f"i-{number:010x}"
        self.service, self.zone, self.host, self.port = service, zone, host, port
        self._number, self._reply_port, self._record = number, reply_port, record
        self._work_s = work_s
        self._flows = {}
        self.runs = []
        self.opened = []
        self.cut_from = frozenset()
        self.is_up = True
        self.lost_openings = 0
        self.born = int(time.time() * 1000)
        self.udp = None

    def crash(self):
        """Ends its process: it answers nothing, and its flows are gone."""
        self.is_up = False
        self._flows.clear()
        self._record.write("server", self.id, "crashes")

    def restart(self):
        """Starts its process again under the same id."""
        self.is_up = True
        self.born = int(time.time() * 1000)
        self._record.write("server", self.id, "starts again, born", self.born)

    def has_flow(self, port):
        """Whether it holds the open flow of a requester's port."""
        return any(key[1] == port and flow["open"] for key, flow in self._flows.items())

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def start(self):
        self.udp = await open_udp(self.host, self.port, self._receive)

    def _receive(self, datagram, sender):
        if not self.is_up or sender in self.cut_from or len(datagram) < 8 + HEAD.size:
            return
        if int.from_bytes(datagram[:8], "big") not in (0, self._number):
            return
        dport, sport, src, dst, echo, flags, seq, ack, _, _ = HEAD.unpack_from(datagram, 8)
        data = datagram[8 + HEAD.size :]
        key = (src, sport, dst, dport)
        flow = self._flows.get(key)
        if flags & SYN:
            if flow is None or flow["first"] != seq:
                flow = {"first": seq, "seq": random.randrange(MODULUS), "open": False}
                flow |= {"next": (seq + 1) % MODULUS, "answer": b"", "tries": 0}
                self._flows[key] = flow
                self.opened.append((time.monotonic(), key))
                self._record.write("server", self.id, self.service, "takes SYN of port", sport)
            flow["echo"] = echo
            if flow["tries"] == 0:
                self._repeat_opening(key, flow)
            else:
                self._send(key, flow, SYN | ACK)
            return
        is_foreign = flow is not None and not flow["open"] and ack != (flow["seq"] + 1) % MODULUS
        if flow is None or is_foreign:
            # It holds no such flow, or only the beginning of another one.
            self._record.write("server", self.id, self.service, "resets port", sport)
            self._send(key, {"seq": ack, "next": 0, "echo": echo}, RST)
            return
        flow["echo"] = echo
        if flags & RST:
            del self._flows[key]
            return
        if not flow["open"] and ack == (flow["seq"] + 1) % MODULUS:
            flow["open"] = True
            flow["seq"] = ack
        if not flow["open"]:
            return
        if flow["answer"] and ack == (flow["seq"] + len(flow["answer"])) % MODULUS:
            flow["seq"], flow["answer"] = ack, b""
        if data and seq == flow["next"]:
            flow["next"] = (seq + len(data)) % MODULUS
            request_id = re.search(rb"Request-Id: (\S+)", data).group(1).decode()
            self.runs.append(request_id)
            self._record.write("server", self.id, self.service, "runs", request_id)
            asyncio.get_running_loop().call_later(
                self._work_s, self._answer, key, flow, request_id
            )
        if data:
            self._send(key, flow, ACK)
        if flags & FIN:
            flow["next"] = (flow["next"] + 1) % MODULUS
            self._send(key, flow, ACK | FIN)
            del self._flows[key]

    def _repeat_opening(self, key, flow):
        """Sends the SYN+ACK until it is acknowledged, eight times again at most."""
        if self._flows.get(key) is not flow or flow["open"] or flow["tries"] > 8:
            return
        if self.lost_openings:
            self.lost_openings -= 1
            self._record.write("the SYN+ACK of server", self.id, "to port", key[1], "is lost")
        else:
            self._send(key, flow, SYN | ACK)
        pause = min(1.6, 0.2 * 2 ** flow["tries"])
        flow["tries"] += 1
        asyncio.get_running_loop().call_later(pause, self._repeat_opening, key, flow)

    def _answer(self, key, flow, request_id):
        body = f"{request_id} by {self.service}".encode()
        flow["answer"] = (
            b"HTTP/1.1 200 OK\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s"
            % (request_id.encode(), len(body), body)
        )
        flow["tries"] = 0
        self._repeat_answer(key, flow)

    def _repeat_answer(self, key, flow):
        if self._flows.get(key) is not flow or not flow["answer"] or flow["tries"] > 8:
            return
        self._send(key, flow, ACK, flow["answer"])
        pause = min(1.6, 0.2 * 2 ** flow["tries"])
        flow["tries"] += 1
        asyncio.get_running_loop().call_later(pause, self._repeat_answer, key, flow)

    def _send(self, key, flow, flags, data=b""):
        src, sport, dst, dport = key
        head = HEAD.pack(
            sport, dport, dst, src, flow["echo"], flags, flow["seq"], flow["next"], len(data), 1
        )
        self.udp.sendto(head + data, (ip_text(src), self._reply_port))


class Requester:
    """Sends requests from one address; each flow has a new port.

    Args:
        route_vm: the router; returns the host of the entry VM for a port of the requester.
    """

    def __init__(self, host, port, record, route_vm):
        self.host, self._port, self._record, self._route_vm = host, port, record, route_vm
        self._flows = {}
        self._ports = iter(range(20_000, 65_000))
        self.udp = None

    async def start(self):
        self.udp = await open_udp(self.host, self._port, self._receive)

    async def request(self, route, name, deadline_s=2.0):
        """Sends one request on a flow of its own.

        Returns:
            A dict with `result`: `served by SERVICE`, `reset`, `reset of the open flow`,
            `no SYN+ACK` or `deadline`; and with `sent_at`, on the monotonic clock.
        """
        flow = Flow(self, next(self._ports), route)
        result = await flow.request(name, deadline_s)
        flow.close()
        return result

    def open_flow(self, route):
        """Returns a flow for many requests."""
        return Flow(self, next(self._ports), route)

    def send(self, flow, flags, seq, ack, data=b""):
        host, dport = flow.route
        head = HEAD.pack(
            dport,
            flow.port,
            ip_number(self.host),
            ip_number(host),
            flow.echo,
            flags,
            seq,
            ack,
            len(data),
            1,
        )
        vm_host = self._route_vm(flow.port)
        self.udp.sendto(head + data, (vm_host, self._port))
        return vm_host

    def add(self, flow):
        self._flows[flow.port] = flow

    def remove(self, flow):
        self._flows.pop(flow.port, None)

    def write(self, *words):
        self._record.write(*words)

    def _receive(self, datagram, sender):
        dport, _, _, _, echo, flags, seq, ack, _, _ = HEAD.unpack_from(datagram)
        flow = self._flows.get(dport)
        if flow is None:
            return
        if flags & RST:
            if flow.is_open and (seq - flow.acknowledged + 76_800) % MODULUS > 2 * 76_800:
                return
        else:
            flow.echo = echo
        data = datagram[HEAD.size :]
        packet = {"flags": flags, "seq": seq, "ack": ack, "data": data, "sender": sender}
        flow.packets.put_nowait(packet)


class Flow:
    """One flow of a requester.

    Attributes:
        reset_by: the address from which an open flow was reset; None if it was not.
    """

    def __init__(self, requester, port, route):
        self._requester, self.port, self.route = requester, port, route
        self.echo = 0
        self.packets = asyncio.Queue()
        self.is_open = False
        self.reset_by = None
        self._seq = random.randrange(MODULUS)
        self._ack = 0
        requester.add(self)

    @property
    def acknowledged(self):
        """The next byte that it expects from the server."""
        return self._ack

    async def request(self, name, deadline_s=2.0):
        """Sends a request and waits for its answer; opens the flow before."""
        sent_at = time.monotonic()
        self._requester.write("request", name, "on port", self.port, "to", self.route)
        try:
            async with asyncio.timeout(deadline_s):
                result = await self._exchange(name)
        except TimeoutError:
            result = "deadline"
        self._requester.write("request", name, "->", result)
        return {"name": name, "result": result, "sent_at": sent_at, "port": self.port}

    def was_reset(self):
        """Whether a reset has come between two requests."""
        while not self.packets.empty():
            packet = self.packets.get_nowait()
            if packet["flags"] & RST:
                self.is_open = False
                self.reset_by = packet["sender"]
                self._requester.write("port", self.port, "is reset by", self.reset_by)
        return not self.is_open

    def close(self):
        if self.is_open:
            self._requester.send(self, ACK | FIN, self._seq, self._ack)
        self._requester.remove(self)

    async def _exchange(self, name):
        if not self.is_open:
            failure = await self._open()
            if failure is not None:
                return failure
        data = f"GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: {name}\r\n\r\n".encode()
        wait = 0.2
        while True:
            vm_host = self._requester.send(self, ACK, self._seq, self._ack, data)
            packet = await self._take(
                wait, lambda p: p["flags"] & RST or (p["data"] and p["seq"] == self._ack)
            )
            if packet is not None:
                break
            wait = min(1.6, 2 * wait)
        if packet["flags"] & RST:
            self.is_open = False
            self.reset_by = packet["sender"]
            return f"reset of the open flow by {packet['sender']}, sent through {vm_host}"
        self._seq = (self._seq + len(data)) % MODULUS
        self._ack = (self._ack + len(packet["data"])) % MODULUS
        self._requester.send(self, ACK, self._seq, self._ack)
        return "served by " + packet["data"].decode().rpartition(" ")[2]

    async def _open(self):
        packet = None
        for copies, wait in enumerate((0.2, 0.4, 0.8)):
            self._requester.send(self, SYN, self._seq, copies)
            packet = await self._take(wait, lambda p: p["flags"] & (RST | SYN))
            if packet is not None:
                break
        if packet is None:
            return "no SYN+ACK"
        if packet["flags"] & RST:
            return "reset"
        self._seq, self._ack = (self._seq + 1) % MODULUS, (packet["seq"] + 1) % MODULUS
        self.is_open = True
        return None

    async def _take(self, wait, matches):
        deadline = time.monotonic() + wait
        while (remaining := deadline - time.monotonic()) > 0:
            try:
                packet = await asyncio.wait_for(self.packets.get(), remaining)
            except TimeoutError:
                return None
            if matches(packet):
                return packet
        return None


class EntryVms:
    """Starts the entry VMs as the platform does; each has its own loopback address."""

    def __init__(self, folder, vms, ports, store, record, seeds):
        self._folder, self.vms, self._ports = folder, vms, ports
        self._store, self._record, self._seeds = store, record, seeds
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry-vm"]
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        self.processes = {}

    def start(self, name):
        host, zone = self.vms[name]
        fields = {
            "node": name,
            "zone": zone,
            "listen": {
                "datagram_addr": f"{host}:{self._ports['datagram']}",
                "ready": f"{host}:{self._ports['ready']}",
                "control": f"{host}:{self._ports['control']}",
            },
            "platform": {"address": self._store},
            "internal_ports": [self._ports["internal"], self._ports["internal"] + 15],
            "seeds": [f"{self.vms[seed][0]}:{self._ports['control']}" for seed in self._seeds],
            "limits": {"link_mbps": 1000.0},
            "bounds": {"flow_max_s": 60, "grace_s": 6},
        }
        path = self._folder / f"{name}.conf"
        path.write_text(render(self._template, fields))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {"MARJORAMFORD_BOOT": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        log = open(self._folder / f"{name}.log", "ab")
        pid = os.posix_spawnp(
            self._command[0],
            self._command,
            environment,
            file_actions=[
                (os.POSIX_SPAWN_DUP2, log.fileno(), 1),
                (os.POSIX_SPAWN_DUP2, log.fileno(), 2),
            ],
        )
        log.close()
        self.processes[name] = pid
        self._record.write("entry VM", name, "started at", host)

    def signal(self, name, number):
        self._record.write("entry VM", name, "gets", signal.Signals(number).name)
        os.kill(self.processes[name], number)

    def has_ended(self, name):
        pid, _ = os.waitpid(self.processes[name], os.WNOHANG)
        return pid != 0

    def stop(self):
        """Ends all processes that were started and have not ended."""
        for name, pid in self.processes.items():
            try:
                os.kill(pid, signal.SIGCONT)
                os.kill(pid, signal.SIGKILL)
                os.waitpid(pid, 0)
            except (ProcessLookupError, ChildProcessError):
                self._record.write("entry VM", name, "had ended")

    async def is_ready(self, name):
        host = self.vms[name][0]
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(host, self._ports["ready"])
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200" in line

    async def wait_until_ready(self, names, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(await asyncio.gather(*map(self.is_ready, names))):
                return True
            await asyncio.sleep(0.1)
        return False


def render(template, fields):
    """Fills in a template of the deploy file: values, and sections that test for presence."""

    def find(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                return None
        return value

    def section(match):
        return render_section(match.group(2), find(match.group(1)))

    def render_section(body, value):
        if value is None or value is False:
            return ""
        return body.replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(find(m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m.group(1))), text)


def find_ports(hosts):
    """Returns ports that are free on all hosts."""
    while True:
        ports = {"datagram": random.randrange(20_000, 28_000)}
        ports |= {"ready": ports["datagram"] + 1, "control": ports["datagram"] + 2}
        ports |= {"internal": ports["datagram"] + 10, "store": ports["datagram"] + 3}
        ports |= {"server": ports["datagram"] + 4}
        sockets = []
        try:
            for host in hosts:
                for port in ports.values():
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sockets.append(socket.socket(socket.AF_INET, kind))
                        sockets[-1].bind((host, port))
            return ports
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()


def run(main):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        main: coroutine function of the record, a temporary folder and whether there is trouble;
            returns the breaches found, or None if the case couldn't run.
    """
    case = Path(sys.argv[1]).resolve()
    record = Record(case / "record.txt")
    # The commands of the deploy file start at the root of the repository.
    os.chdir(ROOT)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble" if has_trouble else "no trouble")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    status = 2
    try:
        if (ROOT / "target/deps/marjoramford/platform/__main__.py").exists():
            breaches = asyncio.run(main(record, folder, has_trouble))
            if breaches is not None:
                for breach in breaches:
                    record.write("BROKEN", breach)
                status = 1 if breaches else 0
        else:
            record.write("the build of the deploy file is missing")
    except Exception as error:  # The case couldn't run.
        record.write("could not run:", repr(error))
        status = 2
    if os.environ.get("KEEP_LOGS"):
        shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    record.write("result", {0: "held", 1: "broken", 2: "could not run"}[status])
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.exit(status)
