"""Applies records published by the platform to this entry VM's state.

A record that is not newer than the known one of its key has no effect.
"""

import logging
from collections.abc import Iterable

from result import Err, Ok

from ..shared.json_bodies import decode_json
from ..shared.logs import LogEvent, log_event
from ..shared.records import CatalogueEntry, VmRecord
from .invariants import Invariant
from .nodes import Node

logger = logging.getLogger(__name__)


class Publications:
    """Applies catalogue entries and VM records that come from the platform or from peers."""

    def __init__(self, node: Node):
        self._node = node
        self._zones: dict[str, set[str]] = {}
        self._has_fleet = False

    def apply_catalogue(self, encoded_entries: Iterable[bytes], through: int) -> None:
        """Applies entries given as JSON; the catalogue is then complete up to revision `through`.

        An invalid entry is rejected without affecting the others.
        """
        for encoded in encoded_entries:
            match decode_json(encoded, CatalogueEntry):
                case Ok(entry):
                    self._apply_entry(entry)
                case Err(reason):
                    self._reject(reason)
        self._node.catalogue.advance(through)

    def apply_vms(self, encoded_entries: Iterable[bytes], through: int, now: float) -> None:
        """Applies VM records given as JSON; the list is then complete up to revision `through`.

        An invalid record is rejected without affecting the others.
        """
        changed = False
        for encoded in encoded_entries:
            match decode_json(encoded, VmRecord):
                case Ok(record):
                    changed = self._apply_vm(record) or changed
                case Err(reason):
                    self._reject(reason)
        self._node.vm_list.advance(through)
        if changed:
            self._update_fleet(now)

    def _apply_entry(self, entry: CatalogueEntry) -> None:
        current = self._node.catalogue.get(entry.name)
        before = current.revision if current else 0
        if self._node.catalogue.apply(entry):
            log_event(
                logger, LogEvent.CATALOGUE_APPLIED, service=entry.name, revision=entry.revision
            )
        newest = self._node.catalogue.get(entry.name)
        is_monotonic = newest is not None and newest.revision >= before
        self._node.invariants.check(is_monotonic, Invariant.REVISION_RISES, entry.name)

    def _apply_vm(self, record: VmRecord) -> bool:
        """Applies a record; returns whether the set of entry VMs that share limits changed."""
        if not self._node.vm_list.apply(record):
            return False
        log_event(
            logger,
            LogEvent.VM_LIST_APPLIED,
            vm=record.name,
            state=record.state,
            revision=record.revision,
        )
        self._node.servers.apply_record(record)
        self._node.entry_vms.apply_record(record)
        if record.role != "entry":
            return False
        names = self._zones.setdefault(record.zone, set())
        before = record.name in names
        (names.add if record.state == "live" else names.discard)(record.name)
        return before != (record.name in names)

    def _update_fleet(self, now: float) -> None:
        zones = {zone: names for zone, names in self._zones.items() if names}
        if not zones:
            return
        own = self._node.vm_list.get(self._node.own.name)
        hold_seconds = self._node.settings.times.limit_hold
        settled = not self._has_fleet and own is not None and own.listed_at + hold_seconds <= now
        self._has_fleet = True
        self._node.limits.set_fleet(zones, settled, now)

    def _reject(self, reason: str) -> None:
        self._node.counters["records_rejected"] += 1
        log_event(logger, LogEvent.CATALOGUE_ENTRY_REJECTED, reason=reason)
