"""Addresses and ports of all processes of a deployment, and their settings files."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
import yaml

from ..shared.addresses import Address
from ..shared.records import VmRecord
from .deployments import Deployment
from .platform_models import PlatformModel
from .ports import HOST, free_ports

SITE_SECRET = "00112233445566778899aabbccddeeff"
SITE_FILE = "site.json"


@dataclass(frozen=True, slots=True)
class Site:
    """All processes of a deployment with their ports."""

    deployment: Deployment
    platform_port: int
    fabric_port: int
    entry_vms: tuple[VmRecord, ...]
    servers: tuple[VmRecord, ...]

    @property
    def platform(self) -> str:
        """The platform's base URL."""
        return f"http://{HOST}:{self.platform_port}"

    @property
    def fabric(self) -> Address:
        """The address that callers send to."""
        return Address(HOST, self.fabric_port)

    def server(self, name: str) -> VmRecord:
        """Returns a backend server by name."""
        return next(record for record in self.servers if record.name == name)

    def entry_vm_content(self, vm: VmRecord) -> dict[str, object]:
        """Returns the content of an entry VM's settings file."""
        return {
            "name": vm.name,
            "zone": vm.zone,
            "host": vm.host,
            "data_port": vm.data_port,
            "inner_port": vm.inner_port,
            "http_port": vm.http_port,
            "platform": self.platform,
            "seeds": [f"{peer.host}:{peer.http_port}" for peer in self.entry_vms],
            "keys": [{"id": 1, "secret": SITE_SECRET}],
            "current_key": 1,
            "times": {"drain": 8.0, "drain_linger": 1.0, "suspicion": 2.0},
        }

    def publish(self, platform: PlatformModel) -> None:
        """Publishes the deployment's services and VMs on the platform."""
        for service in self.deployment.services:
            platform.put_entry(service.entry(self.deployment.owner, 1, 1))
        for record in (*self.entry_vms, *self.servers):
            platform.put_vm(record)

    def write(self, directory: Path) -> None:
        """Writes the site file and one settings file per entry VM into a directory."""
        directory.mkdir(parents=True, exist_ok=True)
        (directory / SITE_FILE).write_bytes(msgspec.json.encode(self))
        for vm in self.entry_vms:
            content = yaml.safe_dump(self.entry_vm_content(vm), sort_keys=False)
            (directory / f"{vm.name}.yaml").write_text(content, encoding="utf-8")


def read_site(path: str) -> Site:
    """Reads a site file written by `Site.write`."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Site)


def plan_site(deployment: Deployment) -> Site:
    """Assigns a name, a zone and free ports to every process of a deployment."""
    names = [
        (service, f"{service.name}-{number + 1}")
        for service in deployment.services
        for number in range(service.servers)
    ]
    ports = iter(free_ports(2 + 3 * deployment.entry_vms + 2 * len(names)))
    zones = deployment.zones
    entry_vms = tuple(
        VmRecord(
            name=f"entry-{number + 1}",
            revision=1,
            incarnation=0,
            role="entry",
            zone=zones[number % len(zones)],
            host=HOST,
            data_port=next(ports),
            http_port=next(ports),
            inner_port=next(ports),
        )
        for number in range(deployment.entry_vms)
    )
    servers = tuple(
        VmRecord(
            name=name,
            revision=1,
            incarnation=1,
            role="server",
            zone=zones[number % len(zones)],
            host=HOST,
            data_port=next(ports),
            http_port=next(ports),
            service=service.name,
            slots=service.slots,
        )
        for number, (service, name) in enumerate(names)
    )
    return Site(deployment, next(ports), next(ports), entry_vms, servers)
