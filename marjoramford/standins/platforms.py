"""Platform stand-in over HTTP: reads and long polls for clients, changes for operators."""

import asyncio

import msgspec
from aiohttp import web

from ..shared.records import CatalogueEntry, VmRecord
from ..token_flows.watchers import PublishedPage
from .platform_models import PlatformModel

MAX_WAIT_SECONDS = 60.0


class PlatformStandin:
    """Serves a platform model over HTTP.

    Attributes:
        down: whether every read is answered with status 503.
    """

    def __init__(self, model: PlatformModel):
        self.model = model
        self.down = False
        self._changed = asyncio.Condition()

    def make_app(self) -> web.Application:
        """Returns the application with its routes."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/v1/{collection:catalogue|vms}", self._read),
                web.put("/operator/catalogue", self._put_entry),
                web.delete("/operator/catalogue/{name}", self._retire),
                web.put("/operator/vms", self._put_vm),
                web.post("/operator/vms/{name}/{state:live|leaving|gone}", self._set_state),
            ]
        )
        return app

    async def put_entry(self, entry: CatalogueEntry) -> CatalogueEntry:
        """Publishes an entry and notifies waiting clients."""
        return await self._notify(self.model.put_entry(entry))

    async def retire(self, name: str) -> CatalogueEntry:
        """Retires an entry and notifies waiting clients."""
        return await self._notify(self.model.retire(name))

    async def put_vm(self, record: VmRecord) -> VmRecord:
        """Publishes a VM and notifies waiting clients."""
        return await self._notify(self.model.put_vm(record))

    async def set_vm_state(self, name: str, state: str) -> VmRecord:
        """Publishes a VM's state and notifies waiting clients."""
        return await self._notify(self.model.set_vm_state(name, state))

    async def _notify(self, record):
        async with self._changed:
            self._changed.notify_all()
        return record

    async def _read(self, request: web.Request) -> web.Response:
        if self.down:
            return web.Response(status=503, text="platform is down")
        collection = request.match_info["collection"]
        after = int(request.query.get("after", "0"))
        limit = int(request.query.get("limit", "1000"))
        wait = min(float(request.query.get("wait", "0")), MAX_WAIT_SECONDS)
        store = self.model.catalogue if collection == "catalogue" else self.model.vms
        await self._wait_for_change(lambda: store.through > after or self.down, wait)
        if self.down:
            return web.Response(status=503, text="platform is down")
        records, through = self.model.read(collection, after, limit)
        page = PublishedPage(tuple(msgspec.Raw(record) for record in records), through)
        return _json_response(page)

    async def _wait_for_change(self, predicate, wait: float) -> None:
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(predicate), wait)
            except TimeoutError:
                return

    async def _put_entry(self, request: web.Request) -> web.Response:
        entry = _decode_record(await request.read(), CatalogueEntry)
        return _json_response(await self.put_entry(entry))

    async def _retire(self, request: web.Request) -> web.Response:
        try:
            return _json_response(await self.retire(request.match_info["name"]))
        except KeyError:
            raise web.HTTPNotFound from None

    async def _put_vm(self, request: web.Request) -> web.Response:
        return _json_response(await self.put_vm(_decode_record(await request.read(), VmRecord)))

    async def _set_state(self, request: web.Request) -> web.Response:
        try:
            names = request.match_info
            return _json_response(await self.set_vm_state(names["name"], names["state"]))
        except KeyError:
            raise web.HTTPNotFound from None


def _decode_record(body: bytes, record_type):
    try:
        return msgspec.json.decode(body, type=record_type)
    except msgspec.MsgspecError as error:
        raise web.HTTPUnprocessableEntity(text=str(error)) from None


def _json_response(value) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
