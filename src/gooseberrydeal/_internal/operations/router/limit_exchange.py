"""Tell the other hosts about the limits that servers state."""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.limit_report import (
    LimitReport,
    LimitStatement,
)
from gooseberrydeal._internal.network.report_codec import encode_limit_report
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits

_INTERVAL_SECONDS: Final = 1.0
# Hosts to which all limits are repeated each time.
_HOSTS_PER_REPETITION: Final = 2
# Keeps a datagram within the usual packet size.
_MAX_STATEMENTS_PER_DATAGRAM: Final = 16


class LimitExchange:
    """Announce changed limits to all hosts, and repeat limits and demand to some.

    Limits are repeated to a few hosts, so that all learn of them in the end. Demand is
    sent to the hosts that share a limit with this one. Neither number grows with the
    number of hosts.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        limits: ServerLimits,
        send_datagram: Callable[[bytes, str], None],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._view = view
        self._limits = limits
        self._send_datagram = send_datagram
        self._rng = rng
        limits.set_change_listener(self._announce)

    async def run(self) -> None:
        """Repeat limits and demand periodically, until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1))
            self._limits.refresh()
            self._repeat()

    def _announce(self, statement: LimitStatement) -> None:
        self._send(self._other_hosts(), {}, [statement])

    def _repeat(self) -> None:
        statements = self._limits.statements()
        if not statements:
            return
        others = self._other_hosts()
        demands = self._limits.own_demands()
        fellows = self._limits.fellow_members()
        self._send((host for host in others if host.host in fellows), demands, [])
        chosen = self._rng.sample(others, min(_HOSTS_PER_REPETITION, len(others)))
        self._send(chosen, demands, statements)

    def _send(
        self,
        hosts: Iterable[HostMembership],
        demands: Mapping[ServiceName, float],
        statements: Sequence[LimitStatement],
    ) -> None:
        size = _MAX_STATEMENTS_PER_DATAGRAM
        datagrams = [
            encode_limit_report(
                LimitReport(
                    self._membership.host,
                    demands,
                    tuple(statements[start : start + size]),
                )
            )
            for start in range(0, max(1, len(statements)), size)
        ]
        for host in hosts:
            for data in datagrams:
                self._send_datagram(data, host.address)

    def _other_hosts(self) -> list[HostMembership]:
        own = self._membership.host
        return [host for host in self._view.hosts.values() if host.host != own]
