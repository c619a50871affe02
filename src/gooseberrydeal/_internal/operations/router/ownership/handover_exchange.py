"""Hand engines over to a host that reaches the store, and take them over."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import StoreError
from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.owner_handover import (
    HandoverEngine,
    HandoverStep,
    OwnerHandover,
)
from gooseberrydeal._internal.network.report_codec import encode_handover
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.ownership.engine_ownership import (
    EngineOwnership,
)
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.ownership.handover import (
    should_offer,
    successors,
)
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

# An offer is repeated until it is accepted, since datagrams may be lost.
_CHECK_INTERVAL_SECONDS: Final = 0.5
# A release is sent this often; the first one that arrives is enough.
_RELEASE_SENDS: Final = 3
_RELEASE_INTERVAL_SECONDS: Final = 0.05
# Hosts read all changes of the store at least this often.
_READ_TIMEOUT_SECONDS: Final = 2.5
_READ_CHECK_SECONDS: Final = 0.05
# Until the owner's lease ends in the store, which leaves the engine to the others.
_CLAIM_ATTEMPTS: Final = 12
_CLAIM_RETRY_SECONDS: Final = 0.4


class HandoverExchange:
    """Offer this host's engines while it is cut off from the store.

    The owner gives an engine up only to a host that has just said that it reaches the
    store, and sends no order after it has released the engine.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        servers: ServerTable,
        ownership: EngineOwnership,
        send_datagram: Callable[[bytes, str], None],
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._view = view
        self._servers = servers
        self._ownership = ownership
        self._send_datagram = send_datagram
        self._clock = clock
        self._tasks = TaskOwner()

    def listen(self, reports: ReportExchange) -> None:
        """Receive the messages of other hosts."""
        reports.set_handler(OwnerHandover, self.message_received)

    async def run(self) -> None:
        """Offer engines when they have to be handed over, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            lease = self._ownership.lease
            if lease.is_valid and should_offer(lease.seconds_since_renewal):
                self._offer()

    async def stop(self) -> None:
        """Stop all messages and claims that are under way."""
        await self._tasks.stop()

    def message_received(self, handover: OwnerHandover) -> None:
        """Answer a message of another host of the deployment."""
        sender = self._view.hosts.get(handover.host)
        if sender is None or sender.incarnation != handover.incarnation:
            return
        if handover.step is HandoverStep.OFFER:
            self._tasks.start(self._accept(sender, handover.engines), "acceptance")
        elif handover.step is HandoverStep.ACCEPTANCE:
            self._release(sender, handover.engines)
        else:
            self._tasks.start(self._take_over(handover), "takeover of engines")

    def _offer(self) -> None:
        offers: defaultdict[HostId, list[HandoverEngine]] = defaultdict(list)
        for server, claim in self._ownership.own_claims.items():
            record = self._servers.get(server)
            if record is None:
                continue
            for host in successors(
                server,
                record.entry.domain,
                self._view.hosts.values(),
                {self._membership.host},
            ):
                offers[host].append(HandoverEngine(server, claim.revision))
        for host, engines in offers.items():
            self._send(self._view.hosts[host], HandoverStep.OFFER, engines)

    async def _accept(
        self, sender: HostMembership, engines: tuple[HandoverEngine, ...]
    ) -> None:
        """Accept engines once the store has answered a call made after the offer.

        An older answer would also be there in an outage of the whole store. An engine
        whose owner record this host can't replace stays with its owner.
        """
        offered_at = self._clock()
        while self._view.registrations_read_until < offered_at:
            if self._clock() - offered_at > _READ_TIMEOUT_SECONDS:
                return
            await asyncio.sleep(_READ_CHECK_SECONDS)
        accepted = [
            item
            for item in engines
            if self._ownership.can_take_over(item.server, item.revision)
        ]
        if accepted:
            self._send(sender, HandoverStep.ACCEPTANCE, accepted)

    def _release(
        self, sender: HostMembership, engines: tuple[HandoverEngine, ...]
    ) -> None:
        if not should_offer(self._ownership.lease.seconds_since_renewal):
            return
        released = []
        for item in engines:
            age = self._ownership.release(item.server, item.revision)
            if age is not None:
                released.append(HandoverEngine(item.server, item.revision, age))
                logger.info(
                    "engine released to host %s, as this one does not reach the store",
                    sender.host,
                    extra={"server": item.server},
                )
        if released:
            self._tasks.start(self._send_release(sender, released), "release")

    async def _send_release(
        self, successor: HostMembership, engines: list[HandoverEngine]
    ) -> None:
        for _ in range(_RELEASE_SENDS):
            self._send(successor, HandoverStep.RELEASE, engines)
            await asyncio.sleep(_RELEASE_INTERVAL_SECONDS)

    async def _take_over(self, handover: OwnerHandover) -> None:
        for item in handover.engines:
            for _ in range(_CLAIM_ATTEMPTS):
                try:
                    await self._ownership.take_over(
                        item.server, item.revision, item.last_order_age
                    )
                    break
                except StoreError as error:
                    logger.info(
                        "engine of host %s not taken over yet: %s",
                        handover.host,
                        error,
                        extra={"server": item.server},
                    )
                    await asyncio.sleep(_CLAIM_RETRY_SECONDS)

    def _send(
        self, host: HostMembership, step: HandoverStep, engines: list[HandoverEngine]
    ) -> None:
        own = self._membership
        message = OwnerHandover(own.host, own.incarnation, step, tuple(engines))
        self._send_datagram(encode_handover(message), host.address)
