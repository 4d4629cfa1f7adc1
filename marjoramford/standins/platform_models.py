"""Platform without I/O: a catalogue and a VM list, both read-only for clients."""

import msgspec

from ..shared.records import CatalogueEntry, VmRecord
from ..token_flows.record_stores import RecordStore


class PlatformModel:
    """Publishes catalogue entries and VM records; each change gets the next revision.

    Attributes:
        read_count: number of reads that clients made.
    """

    def __init__(self) -> None:
        self.catalogue: RecordStore[CatalogueEntry] = RecordStore()
        self.vms: RecordStore[VmRecord] = RecordStore()
        self.read_count = 0

    def put_entry(self, entry: CatalogueEntry) -> CatalogueEntry:
        """Adds or changes an entry; a retired one gets a new `added_at_revision`."""
        current = self.catalogue.get(entry.name)
        revision = self.catalogue.through + 1
        added_at = revision if current is None or current.retired else current.added_at_revision
        published = msgspec.structs.replace(entry, revision=revision, added_at_revision=added_at)
        return self._publish(self.catalogue, published)

    def retire(self, name: str) -> CatalogueEntry:
        """Retires an entry, which stays in the catalogue as a tombstone.

        Raises:
            KeyError: the catalogue has no such entry.
        """
        current = self.catalogue.get(name)
        if current is None:
            raise KeyError(name)
        revision = self.catalogue.through + 1
        retired = msgspec.structs.replace(current, revision=revision, retired=True)
        return self._publish(self.catalogue, retired)

    def put_vm(self, record: VmRecord) -> VmRecord:
        """Adds or changes a VM record."""
        published = msgspec.structs.replace(record, revision=self.vms.through + 1)
        return self._publish(self.vms, published)

    def set_vm_state(self, name: str, state: str) -> VmRecord:
        """Sets the state of a VM: live, leaving or gone.

        Raises:
            KeyError: the list has no such VM.
        """
        current = self.vms.get(name)
        if current is None:
            raise KeyError(name)
        return self.put_vm(msgspec.structs.replace(current, state=state))

    def read(self, collection: str, after: int, limit: int) -> tuple[tuple[bytes, ...], int]:
        """Returns up to `limit` records changed after a revision, and the revision reached.

        Each record is a JSON document.
        """
        self.read_count += 1
        store = self.catalogue if collection == "catalogue" else self.vms
        batch = store.changes_after(after, limit)
        return tuple(msgspec.json.encode(record) for record in batch.records), batch.through

    def _publish(self, store: RecordStore, record):
        store.apply(record)
        store.advance(record.revision)
        return record
