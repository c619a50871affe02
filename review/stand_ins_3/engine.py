"""Stand in for a model engine and for a plain server of the users' platform."""

import asyncio
import contextlib
import hashlib
import time
from collections import Counter

from http_service import HttpService, Request, Response, encode_head, json_response
from record import Record
from store import Store

_HEARTBEAT_SECONDS = 1.2
_LOAD_SECONDS = 0.25
_EVENTS = 6
_EVENT_SECONDS = 0.03


class Engine:
    """Hold one base model, load adapters as ordered, and stream answers."""

    def __init__(
        self, name: str, service: str, model: str, slots: int, zone: str,
        record: Record, store: Store,
    ) -> None:
        self.name = name
        self._service = service
        self._model = model
        self._slots = slots
        self._zone = zone
        self._record = record
        self._store = store
        self._address = ""
        self._born = int(time.time() * 1000)
        self._count = 0
        self._ready_at: dict[str, float] = {}
        self._unloading: set[str] = set()
        self._running: Counter[str] = Counter()
        self._http = HttpService(self._handle)
        self._task: asyncio.Task[None] | None = None
        # The time, the holder, the token and the outcome of each order.
        self.orders: list[tuple[float, str, int, int]] = []
        self.excess_loads = 0
        # Whether the engine reaches the store.
        self.is_beating = True
        self.ran: Counter[str] = Counter()

    async def start(self, ip: str, port: int) -> None:
        await self._http.listen(ip, port)
        self._address = f"{ip}:{port}"
        self._task = asyncio.create_task(self._beat())

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        await self._http.close()

    def entry(self) -> dict:
        return {
            "service": self._service, "address": self._address, "zone": self._zone,
            "version": "v1", "slots": 128, "state": "ready", "coldRemainingMs": 0,
            "stage": "colocated", "born": self._born, "sequence": self._count,
            "models": self._models(),
        }

    def register(self) -> None:
        self._store.put_json(f"servers/{self.name}", self.entry())

    def _models(self) -> list[dict]:
        now = time.monotonic()
        held = [f"{name}@1" for name, at in self._ready_at.items() if at <= now]
        return [{"name": self._model, "version": 1, "adapters": held}]

    async def _beat(self) -> None:
        while True:
            if self.is_beating:
                self.register()
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _handle(self, request: Request) -> Response:
        expected = request.headers.get("x-expect-instance")
        identity = (("X-Instance-Id", self.name),)
        if expected not in (None, self.name):
            return Response(421, headers=identity)
        if request.path == "/-/report":
            now = time.monotonic()
            coming = [
                f"{self._model}/{k}@1" for k, at in self._ready_at.items() if at > now
            ]
            return json_response(200, {
                "stage": "colocated", "models": self._models(), "busy": False,
                "sequence": self._count, "born": self._born, "coming": coming,
                "waiting": 0, "running": sum(self._running.values()), "kvUsed": 0,
                "kvTotal": 150175, "handles": 0,
            }, *identity)
        if request.path == "/-/order":
            return self._order(request)
        if request.path == "/health":
            load = ("X-Instance-Load", f"{sum(self._running.values())},0,128,100")
            return Response(200, headers=(*identity, load))
        return await self._generate(request)

    def _order(self, request: Request) -> Response:
        order = request.json()
        status = self._carry_out(order)
        now = self._record.now
        self.orders.append((now, order["holder"], order["fencingToken"], status))
        self._record.note(
            f"engine {self.name}: order of {order['holder']} with token"
            f" {order['fencingToken']}: {order['operation']} {order.get('adapter')}"
            f" after {order.get('precondition')}: {status}"
        )
        return json_response(status, {})

    def _carry_out(self, order: dict) -> int:
        if order.get("precondition") not in (None, self._count):
            return 409
        adapter = order.get("adapter")
        if order["operation"] == "load":
            if adapter in self._ready_at:
                return 200
            self._count += 1
            if len(self._ready_at) >= self._slots:
                self.excess_loads += 1
                self._record.note(f"engine {self.name}: LOAD BEYOND ITS SLOTS")
            self._ready_at[adapter] = time.monotonic() + _LOAD_SECONDS
            return 202
        if adapter not in self._ready_at:
            return 200
        self._count += 1
        if self._running[adapter]:
            self._unloading.add(adapter)
            return 202
        del self._ready_at[adapter]
        return 200

    async def _generate(self, request: Request) -> Response:
        request_id = request.headers["x-request-id"]
        adapter = request.headers["x-model"].partition("/")[2]
        fields = (
            ("X-Request-Id", request_id),
            ("X-Instance-Load", f"{sum(self._running.values())},0,128,100"),
            ("X-Instance-Id", self.name),
        )
        is_ready = self._ready_at.get(adapter, float("inf")) <= time.monotonic()
        if not is_ready or adapter in self._unloading:
            return Response(421, headers=(*fields, ("X-Not-Executed", "1")))
        self.ran[request_id] += 1
        seal = hashlib.sha256(request_id.encode()).hexdigest()[:16]
        head = encode_head(200, (
            *fields, ("X-Response-Seal", seal), ("X-Weight-Versions", "1"),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
        ))
        self._running[adapter] += 1
        try:
            request.writer.write(head)
            for number in range(1, _EVENTS + 1):
                data = f"id: {number}\ndata: {self.name} {adapter} {number}\n\n".encode()
                request.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await request.writer.drain()
                await asyncio.sleep(_EVENT_SECONDS)
            request.writer.write(b"0\r\n\r\n")
            await request.writer.drain()
        finally:
            self._running[adapter] -= 1
            if adapter in self._unloading and not self._running[adapter]:
                self._unloading.discard(adapter)
                self._ready_at.pop(adapter, None)
        with contextlib.suppress(ConnectionError):
            await request.writer.drain()
        return Response(is_written=True)
