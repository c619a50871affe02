"""Follow the limits on requests that servers state."""

import logging
from collections.abc import Callable
from http import HTTPStatus

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.stated_limit import StatedLimit

logger = logging.getLogger(__name__)


class ServerLimits:
    """Keep the newest limit that each server states in its responses."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._stated: dict[tuple[ServerId, int], StatedLimit] = {}

    def response_received(
        self,
        record: ServerRecord,
        status: int,
        attributes: ResponseAttributes,
        sent_at: float,
    ) -> None:
        """Apply the limit that a response states, or its absence from a success."""
        fields = {"request_id": attributes.request_id, "server": record.id}
        limit = attributes.request_limit
        if attributes.has_invalid_limit:
            logger.info("ignoring the server's limit: it is malformed", extra=fields)
            return
        key = (record.id, record.entry.started_at)
        stated = self._stated.get(key)
        if limit is None and (stated is None or status >= HTTPStatus.BAD_REQUEST):
            return
        if stated is None:
            stated = self._stated[key] = StatedLimit()
        if stated.observe(limit, sent_at, self._clock()):
            text = "no limit" if limit is None else f"{limit:g} requests a second"
            logger.info("server states %s for all hosts together", text, extra=fields)
