"""Order adapter loads at an engine and read its report."""

import logging
from http import HTTPStatus
from typing import Any, Final

from gooseberrydeal._internal.exceptions import (
    DeclarationError,
    ServerBrokenError,
    ServerRefusedError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.network.http1.json_client import JsonClient
from gooseberrydeal._internal.platform.server_codec import decode_report

logger = logging.getLogger(__name__)

# Many round trips between failure domains. An order that has no answer by then is
# repeated, and the later one of the two is void.
_CALL_SECONDS: Final = 0.3
_CONNECTIONS: Final = 2
_OUTCOMES: Final = {
    HTTPStatus.OK: OrderOutcome.DONE,
    HTTPStatus.ACCEPTED: OrderOutcome.ACCEPTED,
    HTTPStatus.CONFLICT: OrderOutcome.CONFLICT,
}


class PlatformEngineOrders:
    """Give orders over one small pool of connections for each engine."""

    def __init__(self) -> None:
        self._clients: dict[ServerId, tuple[str, JsonClient]] = {}

    async def report(self, server: ServerEntry) -> EngineReport:
        """Return the engine's report, or raise :class:`ServerError`."""
        status, body = await self._client(server).call(
            "GET", "/-/report", None, _CALL_SECONDS, _expected(server)
        )
        if status != HTTPStatus.OK or body is None:
            raise ServerRefusedError(f"{server.id} gives no report", status)
        try:
            return decode_report(body)
        except DeclarationError as error:
            raise ServerBrokenError(f"{server.id}: {error}") from error

    async def order(self, server: ServerEntry, order: AdapterOrder) -> OrderOutcome:
        """Send an order once and return what became of it."""
        body: dict[str, Any] = {
            "operation": order.action.value,
            "model": order.model,
            "holder": order.holder,
            "fencingToken": order.fencing_number,
            # The number of orders accepted before this one, not a condition text.
            "precondition": order.expected_order_count,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        if order.version:
            body["version"] = order.version
        try:
            status, _ = await self._client(server).call(
                "POST", "/-/order", body, _CALL_SECONDS, _expected(server)
            )
        except ServerUnreachableError as error:
            logger.info("an order to %s was not sent: %s", server.id, error)
            return OrderOutcome.NOT_SENT
        except ServerBrokenError as error:
            logger.info("an order to %s may have been accepted: %s", server.id, error)
            return OrderOutcome.UNKNOWN
        outcome = _OUTCOMES.get(HTTPStatus(status), OrderOutcome.REJECTED)
        if outcome in (OrderOutcome.REJECTED, OrderOutcome.CONFLICT):
            logger.info("%s answered %d to %s", server.id, status, order)
        return outcome

    def forget(self, server: ServerId) -> None:
        """Close the connections to an engine that is no longer ours."""
        known = self._clients.pop(server, None)
        if known is not None:
            known[1].close()

    def _client(self, server: ServerEntry) -> JsonClient:
        address, client = self._clients.get(server.id, ("", None))
        if client is None or address != server.address:
            if client is not None:
                client.close()
            client = JsonClient(server.address, _CONNECTIONS)
            self._clients[server.id] = (server.address, client)
        return client


def _expected(server: ServerEntry) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"X-Expect-Instance", server.id.encode()),)
