"""Stand in for the engines of the two kinds of service, as PROTOCOL.md describes them."""

import asyncio
import itertools
import json
import time

from .messages import Message, encode, encode_json, serve
from .routers import free_port
from .store import Store

HEARTBEAT_SECONDS = 1.2


class Engine:
    """Register in the store and answer requests; subclasses say how."""

    def __init__(self, store: Store, name: str, service: str, zone: str, slots: int):
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[float, str]] = []
        self._store = store
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        await serve("127.0.0.1", self.port, self._handle)
        self.register()
        self._tasks.append(asyncio.create_task(self._beat()))

    def entry(self) -> dict:
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 0,
            "born": self.born,
        }

    def register(self) -> None:
        self._store.put_json(f"servers/{self.id}", self.entry())

    async def _beat(self) -> None:
        last = self.entry()
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            current = self.entry()
            missing = f"servers/{self.id}" not in self._store.items
            if not self._store.is_away and (missing or current != last):
                self.register()
                last = current

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        expected = request.fields.get("x-expect-instance", self.id)
        request_id = request.fields.get("x-request-id", "")
        if expected != self.id:
            fields = {"X-Instance-Id": self.id, "X-Request-Id": request_id}
            writer.write(encode(421, b"", fields))
            return True
        return await self.answer(request, writer)

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        raise NotImplementedError

    def note_run(self, request: Message) -> str:
        request_id = request.fields.get("x-request-id", "")
        self.runs.append((time.monotonic(), request_id))
        return request_id


class PlainEngine(Engine):
    """Answer each request after a fixed time."""

    seconds = 0.02

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = self.note_run(request)
        await asyncio.sleep(self.seconds)
        fields = {
            "X-Request-Id": request_id,
            "X-Response-Seal": f"seal.{self.id}.{request_id}",
        }
        writer.write(encode(200, f"done {request_id}".encode(), fields))
        await writer.drain()
        return True


class ModelEngine(Engine):
    """Load adapters on order and stream answers.

    ``orders`` holds the time, the holder, the fencing token and the outcome of each
    order that arrived.
    """

    model = "m"
    load_seconds = 0.1
    events = 10
    event_seconds = 0.02

    def __init__(
        self, store: Store, name: str, service: str, zone: str, slots: int, places: int
    ) -> None:
        super().__init__(store, name, service, zone, slots)
        self.places = places
        self.sequence = 0
        self.adapters: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.running: dict[str, int] = {}
        self.orders: list[tuple[float, str, int, str, int]] = []

    def entry(self) -> dict:
        ready = [f"{k}@1" for k, at in self.adapters.items() if at <= time.monotonic()]
        return super().entry() | {
            "sequence": self.sequence,
            "models": self._models(sorted(ready)),
        }

    def _models(self, adapters: list[str]) -> list[dict]:
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        if request.path not in ("/-/report", "/-/order"):
            return await self.run(request, writer)
        writer.write(self.control(request))
        await writer.drain()
        return True

    def control(self, request: Message) -> bytes:
        """Return the answer to an order, or the report; it echoes the request's id."""
        request_id = request.fields.get("x-request-id")
        fields = {"X-Request-Id": request_id} if request_id else {}
        if request.path == "/-/report":
            return encode_json(200, self._report(), fields)
        return encode_json(self._order(request), {}, fields)

    def _report(self) -> dict:
        now = time.monotonic()
        ready = [f"{name}@1" for name, at in self.adapters.items() if at <= now]
        coming = [f"{self.model}/{k}@1" for k, at in self.adapters.items() if at > now]
        return {
            "stage": "colocated",
            "models": self._models(ready),
            "busy": False,
            "sequence": self.sequence,
            "waiting": 0,
            "running": sum(self.running.values()),
            "kvUsed": 0,
            "kvTotal": 150_000,
            "handles": 0,
            "coming": coming,
            "born": self.born,
        }

    def _order(self, request: Message) -> int:
        body = json.loads(request.body)
        status = self._carry_out(body)
        detail = f"{body['operation']} {body.get('adapter', '')}"
        self.orders.append(
            (time.monotonic(), body["holder"], body["fencingToken"], detail, status)
        )
        return status

    def _carry_out(self, body: dict) -> int:
        if body.get("precondition", self.sequence) != self.sequence:
            return 409
        adapter = body.get("adapter")
        if body["model"] != self.model:
            return 400
        if not adapter:
            return 200
        if adapter in self.leaving:
            return 409
        if body["operation"] == "load":
            if adapter in self.adapters:
                return 200
            self.sequence += 1
            self.adapters[adapter] = time.monotonic() + self.load_seconds
            return 202
        self.sequence += 1
        if self.running.get(adapter):
            self.leaving.add(adapter)
            return 202
        self.adapters.pop(adapter, None)
        return 200

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = request.fields.get("x-request-id", "")
        adapter = request.fields.get("x-model", "").partition("/")[2]
        load = f"{sum(self.running.values())},0,{self.slots},100"
        fields = {"X-Request-Id": request_id, "X-Instance-Load": load}
        if adapter in self.leaving:
            writer.write(encode(503, b"", fields | {"X-Not-Executed": "1"}))
            return True
        if adapter and self.adapters.get(adapter, 1e18) > time.monotonic():
            writer.write(encode(421, b"", fields | {"X-Not-Executed": "1"}))
            return True
        if sum(self.running.values()) >= self.slots:
            writer.write(encode(503, b"", fields | {"X-Not-Executed": "1"}))
            return True
        self.note_run(request)
        self.running[adapter] = self.running.get(adapter, 0) + 1
        try:
            await self.stream(request_id, fields, writer)
        finally:
            self.running[adapter] -= 1
            if not self.running[adapter] and adapter in self.leaving:
                self.leaving.discard(adapter)
                self.adapters.pop(adapter, None)
        return True

    async def stream(
        self, request_id: str, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(fields | {"X-Response-Seal": f"seal.{request_id}"}))
        for number in itertools.count(1):
            event = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
            writer.write(chunk(event))
            await writer.drain()
            if number == self.events:
                break
            await asyncio.sleep(self.event_seconds)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def stream_head(fields: dict[str, str]) -> bytes:
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append("Transfer-Encoding: chunked")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
