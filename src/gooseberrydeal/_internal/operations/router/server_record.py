"""Hold this host's view of one backend server."""

import asyncio
import logging
from collections.abc import Mapping

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
    EngineUsage,
)
from gooseberrydeal._internal.network.http1.connection_pool import ConnectionPool
from gooseberrydeal._internal.operations.router.copy_counts import CopyCounts
from gooseberrydeal._internal.operations.router.engine_copies import EngineCopies
from gooseberrydeal._internal.operations.router.load_waits import LoadWaits
from gooseberrydeal._internal.operations.router.owner_view import OwnerView
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods
from gooseberrydeal._internal.policy.load_estimate import LoadEstimate
from gooseberrydeal._internal.policy.response_waits import ResponseWaits
from gooseberrydeal._internal.policy.server_health import ServerHealth
from gooseberrydeal._internal.policy.speeds.server_speed import ServerSpeed
from gooseberrydeal._internal.policy.speeds.service_time import ServiceTime
from gooseberrydeal._internal.policy.speeds.usual_speeds import UsualSpeeds

logger = logging.getLogger(__name__)


class ServerRecord:
    """Combine a server's entry, its owner's status and this host's own usage."""

    def __init__(
        self,
        entry: ServerEntry,
        service: ServiceConfiguration,
        max_connections: int,
        usual: UsualSpeeds | None = None,
    ) -> None:
        self._entry = entry
        self._service = service
        self._load = LoadEstimate()
        self._waits = ResponseWaits()
        usual = usual or UsualSpeeds()
        self._speed = ServerSpeed(entry.id, usual.engine)
        self._service_time = ServiceTime(usual.plain)
        self._health = ServerHealth()
        self._pool = self._new_pool(entry.address, max_connections)
        self._owner = OwnerView()
        self._copies = EngineCopies()
        self._uses: dict[AdapterCopyKey, CopyCounts] = {}
        self._load_waits = LoadWaits()
        self._use_entry_copies(0.0)

    @property
    def entry(self) -> ServerEntry:
        """Return the entry that the server registered."""
        return self._entry

    @property
    def id(self) -> ServerId:
        """Return the server's id."""
        return self._entry.id

    @property
    def service(self) -> ServiceConfiguration:
        """Return the configuration of the server's service."""
        return self._service

    @property
    def pool(self) -> ConnectionPool:
        """Return the pool of connections to the server."""
        return self._pool

    @property
    def load(self) -> LoadEstimate:
        """Return the estimate of the server's load."""
        return self._load

    @property
    def waits(self) -> ResponseWaits:
        """Return how long this host's requests wait for the server's responses."""
        return self._waits

    @property
    def speed(self) -> ServerSpeed:
        """Return the estimate of the engine's speed."""
        return self._speed

    @property
    def service_time(self) -> ServiceTime:
        """Return the estimate of the plain server's service time."""
        return self._service_time

    @property
    def health(self) -> ServerHealth:
        """Return the server's recent failures and reachability."""
        return self._health

    @property
    def is_reachable(self) -> bool:
        """Return whether a request can be sent there, as far as this host knows.

        Open connections to a server may live on while new ones fail.
        """
        return not self._health.is_unreachable or self._pool.has_idle

    @property
    def accepts_requests(self) -> bool:
        """Return whether the server accepts new requests."""
        return self._entry.state is ServerState.READY

    @property
    def load_requests(self) -> Mapping[AdapterCopyKey, int]:
        """Return the number of waiting requests for each copy that they need."""
        return self._load_waits.counts

    def update(
        self,
        entry: ServerEntry,
        service: ServiceConfiguration,
        max_connections: int,
        now: float,
    ) -> None:
        """Apply an entry; one of a restart drops connections, copies and status.

        An entry that is known already, as after a change of the configuration, says
        nothing new of the copies.
        """
        is_new = entry != self._entry
        is_restart = entry.is_other_start(self._entry)
        has_moved = entry.address != self._entry.address
        if is_restart or has_moved:
            self._pool.server_restarted(now)
        if has_moved:
            self._pool.retire()
            self._pool = self._new_pool(entry.address, max_connections)
        else:
            self._pool.set_limit(max_connections)
        self._entry = entry
        self._service = service
        if is_restart:
            self._copies.clear()
            self._owner.clear()
            self._speed.clear()
            self._service_time.clear()
        if is_new and not self._owner.is_fresh(now):
            self._use_entry_copies(now)

    def apply_status(
        self, status: EngineStatus, now: float, periods: ExchangePeriods
    ) -> bool:
        """Apply the owner's status; return whether it is newer than the last one."""
        known = self._owner.status
        if not self._owner.apply(status, now, periods):
            return False
        if known is not None and known.fencing_number != status.fencing_number:
            logger.info(
                "engine has a new owner, %s, whose first status lists %d adapter"
                " copies; the last of %s listed %d",
                status.owner,
                len(status.copies),
                known.owner,
                len(known.copies),
                extra={"server": status.server},
            )
        self._copies.use_status(status.copies, now)
        self._copies.use_warm_copies(status.warm_copies)
        if status.speed is not None:
            self._speed.apply_owner(status.speed, now)
        self._load.report_others(
            max(0, status.requests - self._load.own_requests),
            max(0, status.tokens - self._load.own_tokens),
            max(0, status.pending_prefill_tokens - self._load.own_pending_prefill),
            status.slowdown,
            now,
        )
        return True

    @property
    def owner(self) -> OwnerView:
        """Return what the owner of the engine last told this host."""
        return self._owner

    @property
    def is_used(self) -> bool:
        """Return whether requests of this host run on the server or wait for a load."""
        return self._load.own_requests > 0 or bool(self._load_waits.counts)

    def can_load(self, now: float) -> bool:
        """Return whether the owner may send orders and has a slot for one more copy."""
        if not self._owner.accepts_load_orders(now):
            return False
        pending = sum(key not in self._copies for key in self._load_waits.counts)
        return self._owner.spare_slots > pending

    def copy_state(self, key: AdapterCopyKey, now: float) -> CopyState | None:
        """Return the state of a copy, ``None`` if the engine does not hold it."""
        return self._copies.state(key, now)

    def ready_in(self, key: AdapterCopyKey, now: float) -> float:
        """Return the seconds until a copy is ready, 0 if it is ready or not held."""
        return self._copies.ready_in(key, now)

    def is_warm(self, key: AdapterCopyKey) -> bool:
        """Return whether the engine held a copy recently and so reloads it fast."""
        return self._copies.is_warm(key)

    def versions(self, model: str, adapter: str) -> list[AdapterCopyKey]:
        """Return the copies of all versions of an adapter that the engine holds."""
        return self._copies.versions(model, adapter)

    def holds_model(self, model: str) -> bool:
        """Return whether the engine holds a base model."""
        status = self._owner.status
        if status is not None and status.base_models:
            return model in status.base_models
        held = self._entry.held
        return held is not None and any(name == model for name, _ in held.base_models)

    def begin(
        self, key: AdapterCopyKey | None, tokens: int, prompt_tokens: int
    ) -> None:
        """Count a request that is sent to the server."""
        self._load.begin(tokens, prompt_tokens)
        if key is not None and key.adapter:
            use = self._uses.setdefault(key, CopyCounts())
            use.in_flight += 1

    def end(self, key: AdapterCopyKey | None, tokens: int) -> bool:
        """Count a request that ended; return whether its copy is no longer in use."""
        self._load.end(tokens)
        if key is None or key not in self._uses:
            return False
        self._uses[key].in_flight -= 1
        return self._uses[key].in_flight == 0

    def add_load_request(self, key: AdapterCopyKey, target_deadline: float) -> bool:
        """Register a request that waits for a copy; return whether it is the first.

        The request misses its target latency at ``target_deadline``.
        """
        return self._load_waits.add(key, target_deadline)

    def remove_load_request(self, key: AdapterCopyKey) -> None:
        """Remove one request that no longer waits for a copy."""
        self._load_waits.remove(key)

    def note_missing(self, key: AdapterCopyKey, until: float) -> None:
        """Treat a copy that the engine denied having as loading until ``until``."""
        self._copies.note_missing(key, until)

    def note_present(self, key: AdapterCopyKey) -> None:
        """Record that the engine started a request on a copy."""
        self._copies.note_present(key)
        if key in self._uses:
            self._uses[key].started += 1

    def usage(self, now: float) -> EngineUsage:
        """Return the usage that this host reports to the engine's owner."""
        for key in [k for k, use in self._uses.items() if not use.in_flight]:
            if key not in self._copies:
                del self._uses[key]
        self._copies.drop_old_missing(now)
        uses = tuple(
            CopyUse(key, use.in_flight, use.started) for key, use in self._uses.items()
        )
        load_requests = self._load_waits.requests(self._copies.is_missing, now)
        load = self._load
        return EngineUsage(
            self.id,
            load.own_requests,
            load.own_tokens,
            load.own_pending_prefill,
            load.slowdown(now),
            load.slowdown_age(now),
            uses,
            load_requests,
            self._speed.take_unreported(),
        )

    def _new_pool(self, address: str, max_connections: int) -> ConnectionPool:
        def on_unsolicited() -> None:
            self._health.note_failure(asyncio.get_running_loop().time())

        return ConnectionPool(address, max_connections, on_unsolicited)

    def _use_entry_copies(self, now: float) -> None:
        """Use the copies in the server's entry while there is no fresh status."""
        held = self._entry.held
        if held is not None:
            self._copies.use_entry(held.adapters, now)
