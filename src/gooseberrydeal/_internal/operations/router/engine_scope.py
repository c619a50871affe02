"""Limit the engines that are considered for a request in a large deployment."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.utils.rendezvous import ranked

# Engines with a copy of the adapter are considered besides the first of this many in
# its rendezvous order, which all hosts agree on. The number doubles with each check
# that found none of them to load the adapter.
_FIRST_ENGINES: Final = 6
_MAX_DOUBLINGS: Final = 6
# An owner of the same deployment answers within a few milliseconds.
_ANSWER_SECONDS: Final = 0.012
_MAX_CACHED_ORDERS: Final = 4_096


class EngineScope:
    """Choose a few engines for each request, and ask their owners how they are.

    Designed for hundreds of hosts that each send a few requests a second to dozens of
    engines: what a host learns and asks grows with its requests, not with the number
    of hosts and engines. In small deployments owners tell all hosts, and all engines
    are considered.

    ``ask`` reports this host's use of an engine to its owner, which answers with the
    engine's status.
    """

    def __init__(
        self,
        servers: ServerTable,
        view: MetadataView,
        signal: ChangeSignal,
        ask: Callable[[ServerRecord], None],
        clock: Callable[[], float],
    ) -> None:
        self._servers = servers
        self._view = view
        self._signal = signal
        self._ask = ask
        self._clock = clock
        self._orders: OrderedDict[str, list[ServerId]] = OrderedDict()
        self._generation = 0

    def select(
        self,
        records: Sequence[ServerRecord],
        copy: AdapterCopyKey,
        name: str,
        failed_checks: int,
    ) -> list[ServerRecord]:
        """Return the engines to consider for a request.

        ``name`` is what engines are ranked by if the request needs no adapter.
        ``failed_checks`` counts the checks that found no engine to wait for.
        """
        if self._view.periods.reports_all:
            return list(records)
        width = _FIRST_ENGINES << min(failed_checks, _MAX_DOUBLINGS)
        if width >= len(records):
            return list(records)
        by_id = {record.id: record for record in records}
        key = f"{copy.model}/{copy.adapter}" if copy.adapter else name
        first = [item for item in self._order(key) if item in by_id][:width]
        now = self._clock()
        held = [
            record
            for record in records
            if copy.adapter and record.copy_state(copy, now) is not None
        ]
        return [by_id[item] for item in first] + [
            record for record in held if record.id not in first
        ]

    async def refresh(self, records: Sequence[ServerRecord]) -> None:
        """Ask the owners of engines whose status is old, and wait for the answers.

        Does not wait for owners that have not answered before.
        """
        if self._view.periods.reports_all:
            return
        now = self._clock()
        waits = []
        for record in records:
            if not record.owner.needs_refresh(now):
                continue
            is_fresh = record.owner.is_fresh(now)
            if record.owner.seconds_unanswered(now) <= _ANSWER_SECONDS:
                self._ask(record)
                if not is_fresh:
                    waits.append(record)
            elif not record.is_used:
                self._ask(record)
        until = now + _ANSWER_SECONDS
        for record in waits:
            seconds = until - self._clock()
            if seconds > 0 and not record.owner.is_fresh(self._clock()):
                await self._signal.wait(record.id, seconds)

    def _order(self, key: str) -> list[ServerId]:
        """Return the rendezvous order of all servers."""
        if self._generation != self._servers.generation:
            self._generation = self._servers.generation
            self._orders.clear()
        order = self._orders.get(key)
        if order is None:
            names = (record.id for record in self._servers.records)
            order = [ServerId(item) for item in ranked(key, names)]
            self._orders[key] = order
            if len(self._orders) > _MAX_CACHED_ORDERS:
                self._orders.popitem(last=False)
        return order
