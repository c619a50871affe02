"""Check limits of servers with any value that a server or host may state."""

import asyncio
from collections.abc import Callable

from hypothesis import example, given

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.limit_report import (
    LimitReport,
    LimitStatement,
)
from gooseberrydeal._internal.network.report_codec import (
    decode_report,
    encode_limit_report,
)
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from tests.lib.odd_messages import PLACES, decode_or_none, replace_value
from tests.lib.odd_values import DECIMALS, FIELD_VALUES
from tests.lib.routing_builders import configuration, server_entry

_HOST = HostId("h2")
_SERVER = ServerId("i-1")
_LIMITS = LimitReport(
    _HOST, {ServiceName("language"): 3.0}, (LimitStatement(_SERVER, 1, 5.0, 0.5),)
)


@given(place=PLACES, value=FIELD_VALUES)
def test_no_value_in_a_limit_report_ends_the_division(
    place: int, value: object
) -> None:
    report = decode_or_none(replace_value(encode_limit_report(_LIMITS), place, value))
    if isinstance(report, LimitReport):
        check_limits(lambda limits, _: limits.merge(report))


@given(value=DECIMALS)
@example(value="9" * 308)
def test_no_stated_limit_ends_the_division(value: str) -> None:
    # A limit of 308 digits ended the task that repeats limits to other hosts.
    headers = ((b"Server-Limit", value.encode()),)
    head = ResponseHead(200, b"", headers)
    attributes = PlatformRelayCodec().read_response(head)
    check_limits(
        lambda limits, record: limits.response_received(record, 200, attributes, 0.0)
    )


def check_limits(apply: Callable[[ServerLimits, ServerRecord], None]) -> None:
    """Check that limits can be divided and passed on after something was applied."""

    async def scenario() -> None:
        clock = asyncio.get_running_loop().time
        servers = ServerTable(clock)
        servers.configure(configuration())
        servers.put(server_entry())
        record = servers.get(_SERVER)
        assert record is not None
        limits = ServerLimits(servers, HostId("h1"), lambda: (_HOST,), clock)
        apply(limits, record)
        limits.refresh()
        limits.seconds_until_free(record)
        limits.take(record)
        message = LimitReport(
            HostId("h1"), limits.own_demands(), tuple(limits.statements())
        )
        assert decode_report(encode_limit_report(message)) is not None

    asyncio.run(scenario())
