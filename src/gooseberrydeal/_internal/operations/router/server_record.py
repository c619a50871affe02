"""Hold what this host knows of one backend server."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.routing_configuration import (
    ServiceConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import (
    ServerEntry,
    ServerState,
)
from gooseberrydeal._internal.models.routing.usage_report import (
    CopyUse,
    CopyWant,
    EngineUsage,
)
from gooseberrydeal._internal.network.http1.connection_pool import ConnectionPool
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods
from gooseberrydeal._internal.policy.load_estimate import LoadEstimate
from gooseberrydeal._internal.policy.server_health import ServerHealth

# Copies that an engine may still have in its own memory, by the least recent use.
_SEEN_COPIES: Final = 96


class _Use:
    __slots__ = ("in_flight", "started")

    def __init__(self) -> None:
        self.in_flight = 0
        self.started = 0


class ServerRecord:
    """Join a server's entry, its owner's status and this host's own use of it."""

    def __init__(
        self, entry: ServerEntry, service: ServiceConfiguration, most_connections: int
    ) -> None:
        self._entry = entry
        self._service = service
        self._pool = ConnectionPool(entry.address, most_connections)
        self._load = LoadEstimate()
        self._health = ServerHealth()
        self._status: EngineStatus | None = None
        self._status_at = 0.0
        self._periods = ExchangePeriods()
        self._copies: dict[AdapterCopyKey, tuple[CopyState, float]] = {}
        self._uses: dict[AdapterCopyKey, _Use] = {}
        self._wants: dict[AdapterCopyKey, int] = {}
        self._on_time_until: dict[AdapterCopyKey, float] = {}
        self._missing: dict[AdapterCopyKey, float] = {}
        self._seen: OrderedDict[AdapterCopyKey, None] = OrderedDict()
        self._take_held(0.0)

    @property
    def entry(self) -> ServerEntry:
        """Return the server's own entry."""
        return self._entry

    @property
    def id(self) -> ServerId:
        """Return the server's id."""
        return self._entry.id

    @property
    def service(self) -> ServiceConfiguration:
        """Return the configuration of its service."""
        return self._service

    @property
    def pool(self) -> ConnectionPool:
        """Return the connections to it."""
        return self._pool

    @property
    def load(self) -> LoadEstimate:
        """Return the estimate of its load."""
        return self._load

    @property
    def health(self) -> ServerHealth:
        """Return the judgement of its behaviour."""
        return self._health

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent."""
        return self._entry.state is ServerState.READY

    @property
    def wants(self) -> Mapping[AdapterCopyKey, int]:
        """Return the copies that waiting requests need here."""
        return self._wants

    def update(
        self,
        entry: ServerEntry,
        service: ServiceConfiguration,
        most_connections: int,
        now: float,
    ) -> None:
        """Take a newer entry over."""
        is_restart = entry.started_at != self._entry.started_at
        if entry.address != self._entry.address:
            self._pool.retire()
            self._pool = ConnectionPool(entry.address, most_connections)
        else:
            self._pool.set_limit(most_connections)
            if is_restart:
                self._pool.close()
        self._entry = entry
        self._service = service
        if is_restart:
            self._copies.clear()
            self._seen.clear()
            self._status = None
        if not self.has_fresh_status(now):
            self._take_held(now)

    def take_status(
        self, status: EngineStatus, now: float, periods: ExchangePeriods
    ) -> bool:
        """Take the owner's word; return whether it is newer than what is known."""
        known = self._status
        newest = (status.fencing_number, status.sequence)
        if known is not None and newest <= (known.fencing_number, known.sequence):
            return False
        self._status = status
        self._status_at = now
        self._periods = periods
        self._copies = {
            copy.key: (copy.state, now + copy.ready_in) for copy in status.copies
        }
        for key in self._copies:
            self._seen[key] = None
            self._seen.move_to_end(key)
        while len(self._seen) > _SEEN_COPIES:
            self._seen.popitem(last=False)
        self._load.report_others(
            max(0, status.requests - self._load.own_requests),
            max(0, status.tokens - self._load.own_tokens),
            max(0, status.unread_tokens - self._load.own_unread),
            max(0.1, status.pace),
            now,
        )
        return True

    def has_fresh_status(self, now: float) -> bool:
        """Return whether the owner was heard of lately."""
        limit = self._periods.status_ttl
        return self._status is not None and now - self._status_at < limit

    @property
    def spare_slots(self) -> int:
        """Return how many more adapters the owner could load when last heard."""
        return 0 if self._status is None else self._status.spare_slots

    def is_unheard(self, now: float) -> bool:
        """Return whether the owner was heard before and has fallen silent."""
        limit = self._periods.owner_timeout
        return self._status is not None and now - self._status_at > limit

    def takes_orders(self, now: float) -> bool:
        """Return whether the owner is heard and may give orders."""
        status = self._status
        return status is not None and status.can_load and self.has_fresh_status(now)

    def can_load(self, now: float) -> bool:
        """Return whether the owner is heard and has a slot to give."""
        status = self._status
        if status is None or not self.takes_orders(now):
            return False
        asked = sum(key not in self._copies for key in self._wants)
        return status.spare_slots > asked

    def copy_state(self, key: AdapterCopyKey, now: float) -> CopyState | None:
        """Return the state of a copy."""
        found = self._copies.get(key)
        if found is None:
            return None
        state, ready_at = found
        if self._missing.get(key, 0.0) > now:
            return CopyState.LOADING
        if state is CopyState.LOADING and ready_at <= now:
            return CopyState.READY
        return state

    def ready_in(self, key: AdapterCopyKey, now: float) -> float:
        """Return the seconds until a loading copy is ready."""
        found = self._copies.get(key)
        ready_at = 0.0 if found is None else found[1]
        return max(0.0, ready_at - now, self._missing.get(key, 0.0) - now)

    def is_warm(self, key: AdapterCopyKey) -> bool:
        """Return whether the engine held a copy lately and loads it again fast."""
        return key in self._seen

    def versions(self, model: str, adapter: str) -> list[AdapterCopyKey]:
        """Return the held copies of an adapter."""
        return [k for k in self._copies if k.adapter == adapter and k.model == model]

    def holds_model(self, model: str) -> bool:
        """Return whether the engine holds a base model."""
        if self._status is not None and self._status.base_models:
            return model in self._status.base_models
        held = self._entry.held
        return held is not None and any(name == model for name, _ in held.base_models)

    def begin(
        self, key: AdapterCopyKey | None, tokens: int, prompt_tokens: int
    ) -> None:
        """Count a request that is sent."""
        self._load.begin(tokens, prompt_tokens)
        if key is not None and key.adapter:
            use = self._uses.setdefault(key, _Use())
            use.in_flight += 1

    def end(self, key: AdapterCopyKey | None, tokens: int) -> bool:
        """Count a request that has ended; return whether its copy is out of use."""
        self._load.end(tokens)
        if key is None or key not in self._uses:
            return False
        self._uses[key].in_flight -= 1
        return self._uses[key].in_flight == 0

    def want(self, key: AdapterCopyKey, on_time_until: float) -> bool:
        """Ask for a copy; return whether nobody on this host had asked before.

        A request that waits for it misses its target latency at ``on_time_until``.
        """
        count = self._wants.get(key, 0)
        latest = max(self._on_time_until.get(key, 0.0), on_time_until)
        self._on_time_until[key] = latest
        self._wants[key] = count + 1
        return count == 0

    def unwant(self, key: AdapterCopyKey) -> None:
        """Take back one :meth:`want`."""
        count = self._wants.get(key, 0) - 1
        if count > 0:
            self._wants[key] = count
        else:
            self._wants.pop(key, None)
            self._on_time_until.pop(key, None)

    def note_missing(self, key: AdapterCopyKey, until: float) -> None:
        """Note that the engine denied having a copy; it is awaited until then."""
        self._missing[key] = until

    def note_present(self, key: AdapterCopyKey) -> None:
        """Note that the engine began a request on a copy."""
        self._missing.pop(key, None)
        if key in self._uses:
            self._uses[key].started += 1

    def usage(self, now: float) -> EngineUsage:
        """Return what the owner should know of this host's use."""
        for key in [k for k, use in self._uses.items() if not use.in_flight]:
            if key not in self._copies:
                del self._uses[key]
        for key in [k for k, until in self._missing.items() if until < now - 1.0]:
            del self._missing[key]
        uses = tuple(
            CopyUse(key, use.in_flight, use.started) for key, use in self._uses.items()
        )
        wants = tuple(
            CopyWant(
                key,
                count,
                self._on_time_until.get(key, now) - now,
                key in self._missing,
            )
            for key, count in self._wants.items()
        )
        load = self._load
        return EngineUsage(
            self.id,
            load.own_requests,
            load.own_tokens,
            load.own_unread,
            load.pace,
            load.pace_age(now),
            uses,
            wants,
        )

    def _take_held(self, now: float) -> None:
        """Use the server's own list while no owner is heard."""
        held = self._entry.held
        if held is not None:
            self._copies = dict.fromkeys(held.adapters, (CopyState.READY, now))
