"""Send load and unload orders to engines and read their reports."""

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

# Long enough for many round trips between failure domains. An order without a response
# by then is sent again; the engine accepts only the first of the two to arrive.
_CALL_TIMEOUT_SECONDS: Final = 0.3
_MAX_CONNECTIONS_PER_ENGINE: Final = 2
_OUTCOME_BY_STATUS: Final[dict[int, OrderOutcome]] = {
    HTTPStatus.OK: OrderOutcome.DONE,
    HTTPStatus.ACCEPTED: OrderOutcome.ACCEPTED,
    HTTPStatus.CONFLICT: OrderOutcome.CONFLICT,
}


class PlatformEngineClient:
    """Send orders to engines, with one small connection pool per engine."""

    def __init__(self) -> None:
        self._clients: dict[ServerId, tuple[str, JsonClient]] = {}

    async def report(self, server: ServerEntry) -> EngineReport:
        """Return the engine's report, or raise :class:`ServerError`.

        Raises :class:`ServerRefusedError` for any response without a report and
        :class:`ServerBrokenError` for a report that is invalid.
        """
        response = await self._client(server).call(
            "GET", "/-/report", None, _CALL_TIMEOUT_SECONDS, _instance_header(server)
        )
        status, body = response.status, response.body
        if status != HTTPStatus.OK or body is None:
            raise ServerRefusedError(
                f"engine {server.id} returned no report (status {status})", status
            )
        try:
            return decode_report(body)
        except DeclarationError as error:
            raise ServerBrokenError(f"engine {server.id}: {error}") from error

    async def order(self, server: ServerEntry, order: AdapterOrder) -> OrderOutcome:
        """Send an order once and return its outcome.

        Network failures are reported as an outcome, not raised.
        """
        body: dict[str, Any] = {
            "operation": order.action.value,
            "model": order.model,
            "holder": order.holder,
            "fencingToken": order.fencing_number,
            # A number, unlike the ``precondition`` of store transactions: the engine
            # accepts the order only if it has accepted exactly this many before.
            "precondition": order.expected_order_count,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        if order.version:
            body["version"] = order.version
        try:
            response = await self._client(server).call(
                "POST",
                "/-/order",
                body,
                _CALL_TIMEOUT_SECONDS,
                _instance_header(server),
            )
            status = response.status
        except ServerUnreachableError as error:
            logger.info("order not sent to engine %s: %s", server.id, error)
            return OrderOutcome.NOT_SENT
        except ServerBrokenError as error:
            logger.info(
                "order to engine %s failed, may have been accepted: %s",
                server.id,
                error,
            )
            return OrderOutcome.UNKNOWN
        outcome = _OUTCOME_BY_STATUS.get(status, OrderOutcome.REJECTED)
        if outcome in (OrderOutcome.REJECTED, OrderOutcome.CONFLICT):
            logger.info(
                "order to engine %s failed with status %d: %s",
                server.id,
                status,
                order,
            )
        return outcome

    def forget(self, server: ServerId) -> None:
        """Close the connections to an engine that this host no longer owns."""
        entry = self._clients.pop(server, None)
        if entry is not None:
            entry[1].close()

    def _client(self, server: ServerEntry) -> JsonClient:
        address, client = self._clients.get(server.id, ("", None))
        if client is None or address != server.address:
            if client is not None:
                client.close()
            client = JsonClient(server.address, _MAX_CONNECTIONS_PER_ENGINE)
            self._clients[server.id] = (server.address, client)
        return client


def _instance_header(server: ServerEntry) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"X-Expect-Instance", server.id.encode()),)
