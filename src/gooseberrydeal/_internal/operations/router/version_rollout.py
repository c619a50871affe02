"""Tell which version of an adapter may serve a request, and until when."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.adapter_key import (
    FIRST_VERSION,
    AdapterCopyKey,
    AdapterKey,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.operations.router.engine_candidate import engine_load
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.pending_want import (
    LOAD_TIMEOUT_SECONDS,
    PendingLoad,
)
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.superseded_requests import (
    SupersededRequests,
)
from gooseberrydeal._internal.policy.version_term import VersionTerm


class VersionRollout:
    """Let older versions serve for a limited time while the newest is being loaded.

    Until then they serve where a request is expected to end in time. The load of the
    newest version is requested at once, so that few requests need an older one.
    """

    def __init__(
        self,
        servers: ServerTable,
        view: MetadataView,
        bound: float,
        on_load_requested: Callable[[ServerRecord], None],
        clock: Callable[[], float],
    ) -> None:
        self._servers = servers
        self._view = view
        self._bound = bound
        self._on_load_requested = on_load_requested
        self._clock = clock
        self._loads: set[AdapterCopyKey] = set()
        self._superseded = SupersededRequests(self.term, clock)

    def set_bound(self, seconds: float) -> None:
        """Set the time, in seconds, by which a declared version must be in use."""
        self._bound = seconds

    def newest(self, adapter: AdapterKey) -> AdapterCopyKey:
        """Return the newest version of an adapter."""
        version = self._view.newest_version(adapter) or FIRST_VERSION
        return AdapterCopyKey(adapter.model, adapter.adapter, version)

    def term(self, copy: AdapterCopyKey) -> VersionTerm:
        """Return until when a version may serve, as far as this host knows by now."""
        versions = self._view.versions.get(copy.key)
        if versions is None or not copy.adapter or copy.version >= versions.newest:
            return VersionTerm()
        replaced_after = versions.replaced_after(copy.version)
        return VersionTerm.from_declaration(replaced_after, self._bound)

    def may_send(self, assignment: Assignment, request: RoutedRequest) -> bool:
        """Return whether a request may still be sent to the version it is assigned."""
        copy = assignment.copy
        if copy is None or not self.term(copy).is_limited:
            return True
        return self._admits(assignment.record, copy, request, unread_tokens=0)

    def withdraw_in_time(
        self, attempt: Attempt, copy: AdapterCopyKey | None
    ) -> AbstractContextManager[None]:
        """Withdraw an attempt if it has not begun by the end of its version's term."""
        return self._superseded.withdraw_in_time(attempt, copy)

    def older(
        self, newest: AdapterCopyKey, service: ServiceName
    ) -> AdapterCopyKey | None:
        """Return the older version that serves until the newest is ready, if any."""
        now = self._clock()
        versions = self._view.versions.get(newest.key)
        if versions is None:
            return None
        last = VersionTerm.from_declaration(versions.newest_declared_after, self._bound)
        if now >= last.send_until:
            return None
        ready = {
            key
            for record in self._servers.of_service(service)
            for key in record.versions(newest.model, newest.adapter)
            if record.copy_state(key, now) is CopyState.READY
        }
        if newest in ready:
            return None
        serving = [
            key
            for key in ready
            if key.version < newest.version and now < self.term(key).send_until
        ]
        return max(serving, key=lambda key: key.version, default=None)

    def admitting(
        self,
        records: Iterable[ServerRecord],
        older: AdapterCopyKey,
        request: RoutedRequest,
    ) -> list[ServerRecord]:
        """Return the engines where a request is expected to end in time."""
        tokens = request.attributes.prompt_tokens
        return [
            record
            for record in records
            if self._admits(record, older, request, unread_tokens=tokens)
        ]

    def _admits(
        self,
        record: ServerRecord,
        copy: AdapterCopyKey,
        request: RoutedRequest,
        *,
        unread_tokens: int,
    ) -> bool:
        """Return whether a request is expected to end in time at an engine.

        ``unread_tokens`` are those of its prompt that the engine's load lacks yet.
        """
        now = self._clock()
        if record.copy_state(copy, now) is not CopyState.READY:
            return False
        load = engine_load(record, now)
        wait_seconds = load.wait_seconds(unread_tokens)
        run_seconds = load.run_seconds(request.attributes.output_tokens)
        return self.term(copy).admits(wait_seconds, run_seconds, now)

    def request_load(self, load: PendingLoad, target_deadline: float) -> None:
        """Request a load of the newest version while an older one serves."""
        if load.copy in self._loads:
            return
        self._loads.add(load.copy)
        if load.record.add_load_request(load.copy, target_deadline):
            self._on_load_requested(load.record)
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_TIMEOUT_SECONDS, self._load_ended, load)

    def _load_ended(self, load: PendingLoad) -> None:
        self._loads.discard(load.copy)
        load.record.remove_load_request(load.copy)
