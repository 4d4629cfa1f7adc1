"""Records that the platform publishes.

A record has a key and the revision that the platform assigned to its last change. Revisions
increase monotonically over the whole collection.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Revision = Annotated[int, Meta(ge=1)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Count = Annotated[int, Meta(ge=0, le=10**9)]


class KindRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How requests of one kind are handled.

    Attributes:
        idempotent: whether running such a request twice has the same effect as running it once.
        sticky: whether it goes to the flow's own server as long as that server accepts work and is
            not ejected.
        priority: lower numbers are served first when the service is overloaded.
    """

    name: Name
    idempotent: bool = False
    sticky: bool = False
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


class CatalogueEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service as published by its operators.

    Attributes:
        revision: revision of this entry's last change.
        added_at_revision: revision at which the service was added; the service's incarnation.
        max_connections: limit of open flows over the whole fleet.
        max_load: limit of requests in progress over the whole fleet.
        kinds: rules for the kinds of requests that need other rules than the defaults.
        retired: whether the service accepts no new flows; open flows continue until they end.
    """

    name: Name
    revision: Revision
    added_at_revision: Revision
    owner: Annotated[str, Meta(max_length=128)]
    service_class: Literal["critical", "standard", "bulk"]
    max_connections: Count
    max_load: Count
    kinds: Annotated[tuple[KindRules, ...], Meta(max_length=32)] = ()
    retired: bool = False

    @property
    def key(self) -> str:
        """The record's key in its collection."""
        return self.name

    def kind(self, name: str) -> KindRules | None:
        """Returns the rules for a kind of request, or None if the entry has none for it."""
        return next((kind for kind in self.kinds if kind.name == name), None)


class VmRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry VM or a backend server in the platform's VM list.

    Attributes:
        incarnation: rises each time a VM of this name is started.
        data_port: UDP port for datagrams from callers (entry VMs) or entry VMs (backend servers).
        inner_port: UDP port for datagrams from other entry VMs and backend servers; 0 for backend
            servers.
        http_port: TCP port for control (entry VMs) or requests, load and health (backend servers).
        slots: how many requests a backend server runs concurrently; 0 if not published.
        listed_at: when the VM was added to the list, in epoch seconds; 0 if not published.
        warm_at: when its cold start is over, in seconds on the monotonic clock of the process that
            holds the record; 0 if not published.
        state: a record in state `gone` is a tombstone.
    """

    name: Name
    revision: Revision
    incarnation: Annotated[int, Meta(ge=0)]
    role: Literal["entry", "server"]
    zone: Name
    host: Annotated[str, Meta(min_length=1, max_length=64)]
    data_port: Port
    http_port: Port
    inner_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    service: str = ""
    slots: Annotated[int, Meta(ge=0, le=10000)] = 0
    listed_at: float = 0.0
    warm_at: float = 0.0
    state: Literal["live", "leaving", "gone"] = "live"

    @property
    def key(self) -> str:
        """The record's key in its collection."""
        return self.name
