"""Stand in for model engines and for the servers of a plain service."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable

from http_messages import Message, encode_response, listen, read_request

_LOAD_SECONDS = 0.25


def _adapter(name: str) -> str:
    return name.partition("@")[0]


class ModelEngine:
    """Load adapters of one model into a few slots, and answer with short streams.

    ``on_event`` is called with what happened and its details.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        model: str,
        slots: int,
        on_event: Callable[[str, dict], None],
        *,
        drops_closed: bool = True,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.model = model
        self.queue_seconds = 0.0
        self._drops_closed = drops_closed
        self.slots = slots
        self.address = ""
        self._on_event = on_event
        self._ready_at: dict[str, float] = {}
        self._running: Counter[str] = Counter()
        self._unloading: set[str] = set()
        self._sequence = 0
        self._born = int(time.time() * 1000)

    async def open(self, host: str) -> None:
        """Listen on a free port."""
        self.address = await listen(self._serve, host)

    def entry(self) -> bytes:
        """Return the engine's entry in the store."""
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 128,
                "state": "ready",
                "coldRemainingMs": 0,
                "born": self._born,
                **self._held(),
            }
        ).encode()

    def _held(self) -> dict:
        now = time.monotonic()
        ready = [name for name, at in self._ready_at.items() if at <= now]
        coming = [name for name, at in self._ready_at.items() if at > now]
        return {
            "stage": "colocated",
            "models": [{"name": self.model, "version": 1, "adapters": ready}],
            "coming": [f"{self.model}/{name}" for name in coming],
            "sequence": self._sequence,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            expected = request.headers.get("x-expect-instance", self.name)
            if expected != self.name:
                writer.write(encode_response(421, {"X-Not-Executed": "1"}, b""))
            elif request.target == "/-/report":
                report = {"born": self._born, "busy": False, **self._held()}
                self._answer_json(writer, 200, report)
            elif request.target == "/-/order":
                self._answer_json(writer, self._order(json.loads(request.body)), {})
            else:
                await self._run(request, reader, writer)

    def _answer_json(
        self, writer: asyncio.StreamWriter, status: int, body: dict
    ) -> None:
        headers = {"Content-Type": "application/json"}
        writer.write(encode_response(status, headers, json.dumps(body).encode()))

    def _order(self, order: dict) -> int:
        self._on_event("order", {"engine": self.name, **order})
        if order.get("precondition", self._sequence) != self._sequence:
            return 409
        name = f"{order.get('adapter', '')}@{order.get('version', 1)}"
        if order["operation"] == "unload":
            held = [n for n in self._ready_at if _adapter(n) == order["adapter"]]
            self._sequence += 1
            used = [n for n in held if self._running[n]]
            self._unloading.update(used)
            for idle in set(held) - set(used):
                del self._ready_at[idle]
            return 202 if used else 200
        if name not in self._ready_at:
            # Another version of the adapter gives its place to this one.
            for other in [n for n in self._ready_at if _adapter(n) == _adapter(name)]:
                del self._ready_at[other]
            self._ready_at[name] = time.monotonic() + _LOAD_SECONDS
            if len(self._ready_at) > self.slots:
                self._on_event("too many adapters", {"engine": self.name})
        self._sequence += 1
        return 202

    async def _run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        adapter = request.headers.get("x-model", "").partition("/")[2]
        version = request.headers.get("x-expect-version", "1")
        name = f"{adapter}@{version}"
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        seconds_left = int(request.headers.get("x-deadline-ms", "10000")) / 1000
        not_run = {**headers, "X-Not-Executed": "1"}
        if self._ready_at.get(name, float("inf")) > time.monotonic():
            writer.write(encode_response(421, not_run, b""))
            return
        if self.queue_seconds:
            details = {"engine": self.name, "id": request_id, "version": version}
            self._on_event("queued", details)
            await asyncio.sleep(min(self.queue_seconds, seconds_left))
            if self.queue_seconds >= seconds_left:
                writer.write(encode_response(503, not_run, b""))
                return
            if self._drops_closed and reader.at_eof():
                self._on_event("dropped", {"engine": self.name, "id": request_id})
                return
            if name not in self._ready_at:
                writer.write(encode_response(421, not_run, b""))
                return
        self._on_event(
            "run", {"engine": self.name, "id": request_id, "version": version}
        )
        self._running[name] += 1
        try:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\nX-Response-Seal: s\r\n"
                + f"X-Request-Id: {request_id}\r\n\r\n".encode()
            )
            for number in range(1, 4):
                event = f"id: {number}\ndata: {adapter}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await asyncio.sleep(0.01)
            writer.write(b"0\r\n\r\n")
        finally:
            self._running[name] -= 1
            if name in self._unloading and not self._running[name]:
                self._unloading.discard(name)
                self._ready_at.pop(name, None)


class PlainServer:
    """Answer requests of a plain service, maybe with a silence in the middle."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        on_event: Callable[[str, dict], None],
        work_seconds: float = 0.02,
        body: bytes = b"x" * 800,
        silence_seconds: float = 0.0,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ""
        self._on_event = on_event
        self._work_seconds = work_seconds
        self._body = body
        self._silence_seconds = silence_seconds
        self._born = int(time.time() * 1000)

    async def open(self, host: str) -> None:
        """Listen on a free port."""
        self.address = await listen(self._serve, host)

    def entry(self, **changes: object) -> bytes:
        """Return the server's entry in the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 0,
            "born": self._born,
        }
        return json.dumps({**entry, **changes}).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            request_id = request.headers.get("x-request-id", "")
            headers = {"X-Request-Id": request_id}
            if request.headers.get("x-expect-instance", self.name) != self.name:
                headers["X-Not-Executed"] = "1"
                writer.write(encode_response(421, headers, b""))
                continue
            self._on_event("run", {"server": self.name, "id": request_id})
            await asyncio.sleep(self._work_seconds)
            headers["X-Response-Seal"] = "s"
            data = encode_response(200, headers, self._body)
            middle = len(data) - len(self._body) // 2
            writer.write(data[:middle])
            if self._silence_seconds:
                await asyncio.sleep(self._silence_seconds)
            writer.write(data[middle:])
            await writer.drain()
            self._on_event("answered whole", {"server": self.name, "id": request_id})
