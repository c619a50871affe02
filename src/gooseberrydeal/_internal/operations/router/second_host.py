"""Pass one request on to another host."""

from collections.abc import Callable, Collection

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.operations.router.assignment import NoAssignment
from gooseberrydeal._internal.operations.router.failed_reply import FailedReply
from gooseberrydeal._internal.operations.router.peer_attempt import PeerOutcome
from gooseberrydeal._internal.operations.router.peer_relay import PeerRelay
from gooseberrydeal._internal.operations.router.retry_limits import (
    RetryBudget,
    wait_for_retry_budget,
)
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest


class SecondHost:
    """Let another host serve a request for which this one has no server.

    That is so if none can be reached from here, or if this host has no free place at
    servers that must not be sent more than they have room for. A request that another
    host has passed on is not passed on again, nor is one whose reply has begun.
    """

    def __init__(
        self,
        request: RoutedRequest,
        exchange: CallerExchange,
        peers: PeerRelay,
        failure: FailedReply,
        consume_retry: RetryBudget,
        clock: Callable[[], float],
    ) -> None:
        self._request = request
        self._exchange = exchange
        self._peers = peers
        self._failure = failure
        self._consume_retry = consume_retry
        self._clock = clock

    async def handle_refusal(self, refusal: NoAssignment) -> bool:
        """End the request that no server was found for, here or at another host.

        Returns whether servers are to be tried that could not be reached, since no
        other host could serve it either.
        """
        request = self._request
        is_cut_off = refusal.reason is RefusalReason.SERVERS_UNREACHABLE
        may_pass_on = is_cut_off or refusal.other_hosts
        if not may_pass_on or request.peer is not None:
            self._failure.reject(refusal.reason, refusal.retry_after)
            return False
        is_taken = await self._pass_on(refusal.other_hosts or None)
        if is_cut_off:
            request.uses_unreachable = not is_taken
            return request.uses_unreachable
        if not is_taken:
            self._failure.reject(refusal.reason, refusal.retry_after)
        return False

    async def _pass_on(self, among: Collection[HostId] | None) -> bool:
        request = self._request
        if self._exchange.is_started:
            return False
        if request.send_count and not await wait_for_retry_budget(
            request, self._consume_retry, self._clock
        ):
            return False
        outcome = await self._peers.serve(request, self._exchange, among)
        if outcome is PeerOutcome.LOST:
            self._failure.server_failed()
        return outcome is not PeerOutcome.NOT_TAKEN
