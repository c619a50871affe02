"""Check what orders and reports come to when engines answer with wrong bytes."""

import asyncio
from collections.abc import Iterable
from itertools import product

import pytest

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.models.ids import FencingNumber, HostId
from gooseberrydeal._internal.models.routing.adapter_order import (
    AdapterOrder,
    OrderAction,
    OrderOutcome,
)
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.platform.engine_client import PlatformEngineClient
from tests.lib.odd_values import INVALID_REPORTS
from tests.lib.routing_builders import MODEL, server_entry
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer, response

_ORDER = AdapterOrder(
    OrderAction.LOAD, MODEL, "a1", 0, 3, HostId("h1"), FencingNumber(7)
)
_REPORT = b'{"sequence":2,"busy":false,"models":[{"name":"m","adapters":["a1@2"]}]}'
_ACCEPTED = response(_REPORT, "202 Accepted", "Content-Type: application/json")


class _Answers:
    """Answer each request with the next of some texts, and close the connection."""

    def __init__(self, texts: Iterable[bytes]) -> None:
        self._texts = iter(texts)

    async def answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(next(self._texts))
        writer.close()


async def _call(entry: ServerEntry) -> tuple[OrderOutcome, EngineReport | ServerError]:
    """Return what an order and a report come to, each on a connection of its own."""
    outcome = await PlatformEngineClient().order(entry, _ORDER)
    try:
        return outcome, await PlatformEngineClient().report(entry)
    except ServerError as error:
        return outcome, error


def _call_all(
    texts: list[bytes],
) -> list[tuple[OrderOutcome, EngineReport | ServerError]]:
    """Return what an order and a report come to that are answered with each text."""

    async def run() -> list[tuple[OrderOutcome, EngineReport | ServerError]]:
        doubled = (text for text in texts for _ in range(2))
        server = await ScriptedServer(_Answers(doubled).answer).start()
        entry = server_entry(address=server.address)
        results = [await _call(entry) for _ in texts]
        await server.stop()
        return results

    return asyncio.run(run())


def test_orders_are_accepted_and_reports_read() -> None:
    ((outcome, _),) = _call_all([_ACCEPTED])
    assert outcome is OrderOutcome.ACCEPTED
    ((_, report),) = _call_all([response(_REPORT)])
    assert isinstance(report, EngineReport)
    assert report.order_count == 2


@pytest.mark.parametrize("status", [0, 99, 222, 299, 420, 499, 599, 600, 902, 999])
def test_a_status_without_a_name_costs_no_more_than_the_answer(status: int) -> None:
    # Starved: the owner of an engine ended for good by a status of 222.
    texts = [response(_REPORT, f"{status:03d} Odd")]
    ((outcome, report),) = _call_all(texts)
    assert outcome in (OrderOutcome.REJECTED, OrderOutcome.UNKNOWN)
    assert isinstance(report, ServerError)


@pytest.mark.parametrize("body", INVALID_REPORTS, ids=lambda body: repr(body[:30]))
def test_an_invalid_report_costs_no_more_than_the_answer(body: bytes) -> None:
    ((_, report),) = _call_all([response(body)])
    assert isinstance(report, ServerError)


@pytest.mark.parametrize("byte", [b"", b"\x00", b" ", b"9", b"\r", b"\xff", b"-"])
def test_one_wrong_byte_costs_no_more_than_the_answer(byte: bytes) -> None:
    texts = [
        text[:place] + byte + text[place + 1 :]
        for text, place in product((_ACCEPTED,), range(len(_ACCEPTED)))
    ]
    for outcome, report in _call_all(texts):
        assert isinstance(outcome, OrderOutcome)
        assert isinstance(report, EngineReport | ServerError)
