"""Tell the other hosts about the limits that servers state."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.limit_report import LimitReport
from gooseberrydeal._internal.network.report_codec import encode_limit_report
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits

_INTERVAL_SECONDS: Final = 1.0
# Hosts besides those that share a limit, which learn of it should they have to.
_OTHER_HOSTS: Final = 2
# Keeps a datagram within the usual packet size.
_MAX_STATEMENTS_PER_DATAGRAM: Final = 16


class LimitExchange:
    """Announce changed limits to all hosts, and repeat limits and demand to some.

    Demand is repeated to the hosts that share a limit with this one. Their number
    depends on the limit and not on the number of hosts.
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

    def _announce(self) -> None:
        self._send(self._other_hosts())

    def _repeat(self) -> None:
        others = self._other_hosts()
        fellows = self._limits.fellow_members()
        chosen = [host for host in others if host.host in fellows]
        rest = [host for host in others if host.host not in fellows]
        self._send(chosen + self._rng.sample(rest, min(_OTHER_HOSTS, len(rest))))

    def _send(self, hosts: Iterable[HostMembership]) -> None:
        report = self._limits.report()
        if report is None:
            return
        datagrams = [encode_limit_report(part) for part in _split(report)]
        for host in hosts:
            for data in datagrams:
                self._send_datagram(data, host.address)

    def _other_hosts(self) -> list[HostMembership]:
        own = self._membership.host
        return [host for host in self._view.hosts.values() if host.host != own]


def _split(report: LimitReport) -> list[LimitReport]:
    size = _MAX_STATEMENTS_PER_DATAGRAM
    starts = range(0, len(report.statements), size)
    return [
        replace(report, statements=report.statements[start : start + size])
        for start in starts
    ]
