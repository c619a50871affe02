"""Select the servers that a request may be sent to."""

from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.operations.router.assignment import NoAssignment
from gooseberrydeal._internal.operations.router.brittle_servers import BrittleServers
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits
from gooseberrydeal._internal.operations.router.server_notices import ServerNotices
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.isolation_turns import IsolationTurns

ResponseListener = Callable[[ServerRecord, ResponseAttributes], None]

# Bursts that fill all slots last for several seconds. A caller that retries at once
# meets the same queue, and most callers retry only once.
OVERLOAD_RETRY_AFTER_SECONDS: Final = 2.0
_RETRY_AFTER_SECONDS: Final = 0.4
# Other hosts have places of their own, and are asked by most callers next.
_FULL_RETRY_AFTER_SECONDS: Final = 1.0


class EligibleServers:
    """Leave out servers that left, must not get a request, or do not want one now."""

    def __init__(
        self,
        servers: ServerTable,
        limits: ServerLimits,
        notices: ServerNotices,
        brittle: BrittleServers,
        turns: IsolationTurns,
        clock: Callable[[], float],
    ) -> None:
        self._servers = servers
        self._limits = limits
        self._notices = notices
        self._brittle = brittle
        self._turns = turns
        self._clock = clock
        self._listeners: list[ResponseListener] = []

    @property
    def limits(self) -> ServerLimits:
        """Return the limits on requests that servers state."""
        return self._limits

    @property
    def notices(self) -> ServerNotices:
        """Return what servers said of themselves."""
        return self._notices

    @property
    def brittle(self) -> BrittleServers:
        """Return the places of servers that must not be sent too much."""
        return self._brittle

    def add_response_listener(self, listener: ResponseListener) -> None:
        """Call a function with the server and the attributes of each response."""
        self._listeners.append(listener)

    def find(self, request: RoutedRequest) -> list[ServerRecord]:
        """Return the servers to choose from, whether or not they take a request now.

        Servers on which a suspect of crashes runs alone are left out, unless there are
        no others.
        """
        eligible = list(self._servers.of_service(request.service))
        if request.excluded or request.origin is not None:
            eligible = [record for record in eligible if request.may_use(record)]
        if not self._notices.is_empty:
            eligible = [r for r in eligible if not self._notices.is_leaving(r)]
        busy = self._turns.busy_servers(request.service, self._clock())
        if not busy:
            return eligible
        return [record for record in eligible if record.id not in busy] or eligible

    def find_sendable(self, request: RoutedRequest) -> list[ServerRecord]:
        """Return the servers that the request may be sent to and that take it now."""
        eligible = self.find(request)
        if self._limits.is_empty and self._notices.is_empty and self._brittle.is_empty:
            return eligible
        return [record for record in eligible if self.may_send(record)]

    def cut_off(self, request: RoutedRequest) -> NoAssignment | None:
        """Return the refusal of a request that another host should serve, if any."""
        if request.uses_unreachable or not self.are_unreachable(request):
            return None
        return NoAssignment(RefusalReason.SERVERS_UNREACHABLE, _RETRY_AFTER_SECONDS)

    def are_unreachable(self, request: RoutedRequest) -> bool:
        """Return whether this host reaches no server that could serve a request."""
        has_found = False
        for record in self._servers.of_service(request.service):
            if request.suits(record) and not self._notices.is_leaving(record):
                if record.is_reachable:
                    return False
                has_found = True
        return has_found

    def may_send(self, record: ServerRecord) -> bool:
        """Return whether a server takes a request of this host now."""
        is_free = self._seconds_until_free(record) <= 0.0
        return is_free and self._brittle.has_place(record)

    def lack_places(self, eligible: Sequence[ServerRecord]) -> bool:
        """Return whether a place at a server is all that a request has to wait for."""
        return any(
            self._seconds_until_free(record) <= 0.0 and self._brittle.is_brittle(record)
            for record in eligible
        )

    def response_received(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        status: int,
        attributes: ResponseAttributes,
        sent_at: float,
    ) -> None:
        """Apply what the response to a request that was sent at ``sent_at`` states."""
        self._limits.response_received(record, status, attributes, sent_at)
        if status != HTTPStatus.MISDIRECTED_REQUEST:
            # That status may come from another server at the address.
            self._brittle.response_received(record, attributes, sent_at)
            self._notices.response_received(record, connection, attributes)
            for listener in self._listeners:
                listener(record, attributes)

    def final_refusal(
        self, request: RoutedRequest, *, has_engine: bool, can_wait: bool
    ) -> NoAssignment | None:
        """Return the refusal of a request for which it is useless to wait, if it is."""
        if (cut_off := self.cut_off(request)) is not None:
            return cut_off
        eligible = self.find(request)
        has_none = not has_engine and not (can_wait and self.lack_places(eligible))
        if has_none or (request.uses_unreachable and self.are_unreachable(request)):
            return self.refusal(request, eligible)
        return None

    def refusal(
        self, request: RoutedRequest, eligible: Sequence[ServerRecord]
    ) -> NoAssignment:
        """Return the refusal of a request that none of the eligible servers takes.

        A request that has waited for a place for long is not passed on to wait again.
        """
        if not eligible:
            reason = RefusalReason.NO_SERVER
            if request.origin is not None:
                reason = RefusalReason.STREAM_VERSION_GONE
            return NoAssignment(reason, _RETRY_AFTER_SECONDS)
        if self.lack_places(eligible):
            waited = self._clock() - request.arrived_at
            other_hosts: tuple[HostId, ...] = ()
            if waited < request.route.target_latency:
                other_hosts = self._brittle.other_holders(request.service)
            return NoAssignment(
                RefusalReason.SERVER_BUSY, _FULL_RETRY_AFTER_SECONDS, other_hosts
            )
        first = min(eligible, key=self._seconds_until_free)
        wait = self._notices.seconds_to_wait(first)
        if wait > 0.0:
            seconds = max(wait, _RETRY_AFTER_SECONDS)
            return NoAssignment(RefusalReason.SERVER_BUSY, seconds)
        seconds = self._limits.seconds_until_free(first)
        seconds = min(max(seconds, _RETRY_AFTER_SECONDS), OVERLOAD_RETRY_AFTER_SECONDS)
        return NoAssignment(RefusalReason.SERVER_LIMITED, seconds)

    def _seconds_until_free(self, record: ServerRecord) -> float:
        return max(
            self._limits.seconds_until_free(record),
            self._notices.seconds_to_wait(record),
        )
