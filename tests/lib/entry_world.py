"""Run the owners of one engine whose entries may be read at any age."""

import asyncio
from dataclasses import dataclass, field, replace

from gooseberrydeal._internal.models.ids import FencingNumber, HostId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import (
    HeldModels,
    ServerEntry,
)
from gooseberrydeal._internal.models.routing.usage_report import (
    CopyLoadRequest,
    EngineUsage,
)
from gooseberrydeal._internal.operations.router.engine_owner import EngineOwner
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.load_time import LoadTime
from tests.lib.fake_engine_orders import FakeAdapterEngine, FakeEngineOrders
from tests.lib.routing_builders import MODEL, server_entry, service

_MAX_CONNECTIONS = 100


@dataclass
class _State:
    """Hold what the engine would report of a moment."""

    at: float
    started_at: int
    order_count: int
    base_models: tuple[tuple[str, int], ...]
    copies: dict[AdapterCopyKey, float]


class LaggingEngineOrders(FakeEngineOrders):
    """Report a state that is some hundred ms old, like the platform's engines."""

    def __init__(self, engine: FakeAdapterEngine, lag_seconds: float) -> None:
        super().__init__(engine, lambda: asyncio.get_running_loop().time())
        self._lag_seconds = lag_seconds
        self._states: list[_State] = []

    def record(self) -> None:
        """Record the state of now."""
        engine = self.engine
        if self._states and self._states[-1].started_at != engine.started_at:
            self._states.clear()
        self._states.append(
            _State(
                self._clock(),
                engine.started_at,
                engine.order_count,
                tuple((name, 1) for name in sorted(engine.base_models)),
                dict(engine.copies),
            )
        )

    async def report(self, server: ServerEntry) -> EngineReport:
        await super().report(server)
        at = self._clock() - self._lag_seconds
        state = next((s for s in reversed(self._states) if s.at <= at), None)
        state = state or self._states[0]
        ready = tuple(key for key, ready in state.copies.items() if ready <= at)
        loading = tuple(key for key, ready in state.copies.items() if ready > at)
        held = HeldModels(state.base_models, ready)
        return EngineReport(state.started_at, state.order_count, False, held, loading)

    async def order(self, server: ServerEntry, order: AdapterOrder) -> OrderOutcome:
        outcome = await super().order(server, order)
        self.record()
        return outcome


@dataclass
class EntryWorld:
    """Run owners of one engine, one after the other, in virtual time.

    ``entries`` holds all entries that the engine has written, the oldest first.
    """

    slots: int = 2
    report_lag_seconds: float = 0.1
    entries: list[ServerEntry] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.engine = FakeAdapterEngine(self.slots, base_models={MODEL})
        self.orders = LaggingEngineOrders(self.engine, self.report_lag_seconds)
        self.orders.record()
        self.service = service(slots=self.slots)
        self.write_entry()
        self._fencing = 0
        self._run: asyncio.Task[None] | None = None
        self._start("h1", self.entries[0])

    def write_entry(self) -> None:
        """Let the engine write what it holds now; copies on their way are left out."""
        engine = self.engine
        now = asyncio.get_running_loop().time()
        self.orders.record()
        models = tuple((name, 1) for name in sorted(engine.base_models))
        ready = tuple(key for key, ready in engine.copies.items() if ready <= now)
        self.entries.append(
            server_entry(
                started_at=engine.started_at,
                order_count=engine.order_count,
                held=HeldModels(models, ready),
            )
        )

    def read_entry(self, age: int) -> None:
        """Let the owner read the entry that was written ``age`` entries ago."""
        entry = self.entries[max(0, len(self.entries) - 1 - age)]
        now = asyncio.get_running_loop().time()
        self.record.update(entry, self.service, _MAX_CONNECTIONS, now)
        self.owner.reconcile_entry(entry)

    def request(self, keys: list[AdapterCopyKey], host: str = "asker") -> None:
        """Report requests of a host that wait for copies."""
        usage = EngineUsage(
            self.record.id,
            0,
            0,
            0,
            load_requests=tuple(CopyLoadRequest(key, 1) for key in keys),
        )
        self.owner.apply_usage(HostId(host), usage)

    def restart_engine(self) -> None:
        """Start the engine again, empty, under the same id."""
        self.engine.restart()
        self.orders.record()

    def replace_owner(self, host: str, age: int) -> None:
        """Start an owner that has read the entry written ``age`` entries ago."""
        assert self._run is not None
        self._run.cancel()
        self._start(host, self.entries[max(0, len(self.entries) - 1 - age)])

    def configure(self, slots: int) -> None:
        """Change the number of slots that the configuration gives the engine."""
        engine = self.service.engine
        assert engine is not None
        changed = replace(engine, adapter_slots=slots)
        self.service = replace(self.service, engine=changed)
        now = asyncio.get_running_loop().time()
        self.record.update(self.record.entry, self.service, _MAX_CONNECTIONS, now)

    def stop(self) -> None:
        """Stop the owner."""
        assert self._run is not None
        self._run.cancel()

    def _start(self, host: str, entry: ServerEntry) -> None:
        clock = asyncio.get_running_loop().time
        self._fencing += 1
        self.record = ServerRecord(entry, self.service, _MAX_CONNECTIONS)
        self.owner = EngineOwner(
            self.record,
            self.orders,
            MetadataView(),
            HostId(host),
            FencingNumber(self._fencing),
            lambda: True,
            lambda: 0,
            lambda status, audience: None,
            LoadTime(),
            clock,
        )
        self._run = asyncio.get_running_loop().create_task(self.owner.run())
