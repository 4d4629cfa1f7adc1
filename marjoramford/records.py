"""Records that the platform publishes.

A record has a key and a revision that the platform gave to its last change. Revisions rise over
the whole collection.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Revision = Annotated[int, Meta(ge=1)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Count = Annotated[int, Meta(ge=0, le=10**9)]


class KindRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How requests of one kind are treated.

    Attributes:
        idempotent: whether running it twice does no harm.
        sticky: whether it goes to the flow's own server while that takes work.
        priority: lower numbers go first when the service is overloaded.
    """

    name: Name
    idempotent: bool = False
    sticky: bool = False
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


class CatalogueEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service as its operators publish it.

    Attributes:
        revision: the platform's number of this entry's last change.
        added_at_revision: revision at which the service was added; the service's incarnation.
        max_connections: open flows over the whole fleet.
        max_load: requests in progress over the whole fleet.
        retired: the service takes no new flows; open flows go on to their end.
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
        """Returns the rules of a kind of request, if the entry names it."""
        return next((kind for kind in self.kinds if kind.name == name), None)


class VmRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry VM or a backend server in the platform's list of live and leaving VMs.

    Attributes:
        incarnation: rises each time a VM of this name is started.
        data_port: UDP, from callers (entry VMs) or from entry VMs (backend servers).
        inner_port: UDP, from other entry VMs and backend servers; 0 for backend servers.
        http_port: TCP, control (entry VMs) or requests, load and health (backend servers).
        slots: requests that a backend server runs at a time; 0 when not published.
        listed_at: when the VM came on the list, in epoch seconds.
        warm_at: when its cold start is over, on the holder's steady clock in seconds; 0 if the
            list does not say.
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
