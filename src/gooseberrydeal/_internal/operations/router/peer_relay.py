"""Pass requests on to other hosts if this one has no server for them."""

import logging
import random
from collections.abc import Callable, Collection
from typing import Final

from gooseberrydeal._internal.exceptions import (
    ConnectionLimitError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.models.ids import HostId, ServiceName
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.peer_reply import PeerReply
from gooseberrydeal._internal.models.routing.peer_request import PeerRequest
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.framing import encode_request_head
from gooseberrydeal._internal.network.http1.peer_fields import encode_peer_request
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.brittle_servers import BrittleServers
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.peer_attempt import (
    PeerAttempt,
    PeerOutcome,
)
from gooseberrydeal._internal.operations.router.peer_host import PeerHost
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_notices import ServerNotices
from gooseberrydeal._internal.policy.peer_choice import PeerCandidate, choose_peer

logger = logging.getLogger(__name__)

# Where several hosts are cut from the servers too, each refuses within a round trip.
_MAX_HOSTS: Final = 4
# After a refusal for one of these reasons a host may serve the next request.
_PASSING_REASONS: Final = frozenset(
    {RefusalReason.SERVER_BUSY, RefusalReason.CONFIGURATION_DIFFERS}
)


class PeerRelay:
    """Find a host that has a server for a request, and relay its reply.

    A host passes on only what its own callers sent, so that no request travels over
    more than two hosts.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        codec: RelayCodec,
        notices: ServerNotices,
        brittle: BrittleServers,
        metrics: RouterMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._view = view
        self._codec = codec
        self._notices = notices
        self._brittle = brittle
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._peers: dict[HostId, PeerHost] = {}

    async def serve(
        self,
        request: RoutedRequest,
        exchange: CallerExchange,
        among: Collection[HostId] | None = None,
    ) -> PeerOutcome:
        """Pass a request on and relay the reply; it has not run if none takes it.

        Only the hosts ``among`` are asked, all if that is ``None``.
        """
        refused_by: set[HostId] = set()
        while len(refused_by) < _MAX_HOSTS:
            peer = self._choose(request.service, refused_by, among)
            if peer is None:
                break
            outcome = await self._pass_on(peer, request, exchange)
            self._metrics.count_passed_on(outcome.value)
            if outcome is not PeerOutcome.NOT_TAKEN:
                return outcome
            refused_by.add(peer.membership.host)
        return PeerOutcome.NOT_TAKEN

    def close(self) -> None:
        """Close all idle connections to other hosts."""
        for peer in self._peers.values():
            peer.pool.close()

    def _choose(
        self,
        service: ServiceName,
        refused_by: set[HostId],
        among: Collection[HostId] | None,
    ) -> PeerHost | None:
        now = self._clock()
        own = self._membership
        peers = {
            host: self._peer(membership)
            for host, membership in self._view.hosts.items()
            if host != own.host
            and host not in refused_by
            and (among is None or host in among)
        }
        for host in self._peers.keys() - self._view.hosts.keys():
            self._peers.pop(host).pool.retire()
        candidates = [
            PeerCandidate(
                host,
                peer.membership.domain == own.domain,
                peer.requests(now),
                peer.is_doubtful(service, now),
            )
            for host, peer in peers.items()
            if not peer.is_avoided(service, now)
        ]
        chosen = choose_peer(candidates, self._rng)
        return None if chosen is None else peers[chosen.host]

    def _peer(self, membership: HostMembership) -> PeerHost:
        known = self._peers.get(membership.host)
        if known is not None and known.membership == membership:
            return known
        if known is not None:
            known.pool.retire()
        peer = PeerHost(membership)
        self._peers[membership.host] = peer
        return peer

    async def _pass_on(
        self, peer: PeerHost, request: RoutedRequest, exchange: CallerExchange
    ) -> PeerOutcome:
        fields = {"request_id": request.attributes.request_id}
        host = peer.membership.host
        try:
            connection = await peer.pool.acquire()
        except ServerUnreachableError as error:
            logger.info("request not passed on to host %s: %s", host, error)
            if not isinstance(error, ConnectionLimitError):
                peer.note_failure(None, self._clock())
            return PeerOutcome.NOT_TAKEN

        def on_reply(reply: PeerReply) -> None:
            self._note_reply(peer, request.service, reply)

        attempt = PeerAttempt(exchange, self._codec, connection, on_reply)
        peer.begin()
        request.send_count += 1
        try:
            self._send(connection, attempt, request, exchange)
            outcome = await attempt.outcome()
        except BaseException:
            peer.pool.discard(connection)
            raise
        finally:
            peer.end()
        peer.pool.release(connection)
        logger.info(
            "request passed on to host %s, as this one has no server for it: %s",
            host,
            outcome.value,
            extra=fields,
        )
        if outcome is PeerOutcome.NOT_TAKEN:
            request.send_count -= 1
            if attempt.refusal not in _PASSING_REASONS:
                peer.note_failure(request.service, self._clock())
        elif outcome is PeerOutcome.SERVED:
            peer.note_served(request.service)
        return outcome

    def _send(
        self,
        connection: ServerConnection,
        attempt: PeerAttempt,
        request: RoutedRequest,
        exchange: CallerExchange,
    ) -> None:
        head = exchange.head
        peer_request = PeerRequest(
            self._membership.host,
            self._membership.incarnation,
            request.servers_left,
            request.account_name,
            has_account_field=request.hides_key,
            route=self._view.matched_route(request.route, self._clock()),
        )
        headers = [
            *self._codec.peer_headers(
                head,
                request.deadline - self._clock(),
                request.account_name,
                hides_key=request.hides_key,
            ),
            *encode_peer_request(peer_request),
        ]
        connection.send(
            encode_request_head(head.method, head.target, headers, exchange.body),
            attempt,
            is_head_request=head.method == b"HEAD",
            body=exchange.body,
        )

    def _note_reply(
        self, peer: PeerHost, service: ServiceName, reply: PeerReply
    ) -> None:
        if reply.in_progress is not None:
            peer.note_load(reply.in_progress, self._clock())
        if reply.leaving is not None:
            self._notices.note_leaving(*reply.leaving)
        if reply.is_brittle:
            self._brittle.confirmed_elsewhere(service)
        if reply.revision is not None and reply.revision > self._view.revision_in_use:
            self._view.proof.read_soon()
