"""Check how a response is passed on to a caller that reads slowly."""

import asyncio
from typing import Any
from unittest.mock import create_autospec

from gooseberrydeal._internal.models.routing.http_heads import (
    RequestHead,
    ResponseHead,
)
from gooseberrydeal._internal.network.http1.caller_exchange import (
    CallerExchange,
    ReplyChannel,
)
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.operations.router.reply_relay import ReplyRelay
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from tests.lib.virtual_loop import run_virtual


def _relay() -> tuple[ReplyRelay, CallerExchange, Any]:
    """Return a relay, and what it stands between."""
    connection = create_autospec(ServerConnection, instance=True)
    exchange = CallerExchange(
        RequestHead(b"GET", b"/", (), accepts_chunks=True),
        b"",
        create_autospec(ReplyChannel, instance=True, is_closing_after_reply=False),
    )
    return ReplyRelay(exchange, PlatformRelayCodec(), connection), exchange, connection


def test_a_connection_is_read_again_after_a_response_that_paused_it() -> None:
    """The next request on the connection waited in vain for its response."""

    async def scenario() -> None:
        relay, exchange, connection = _relay()
        relay.start(ResponseHead(200, b"OK", ((b"Content-Length", b"4"),)))
        relay.write(b"body")
        exchange.backpressure_changed(is_full=True)
        connection.pause.assert_called_once()
        relay.finish()
        relay.stop()
        connection.resume.assert_called_once()

    run_virtual(scenario())


def test_a_pause_for_the_caller_is_no_silence_of_the_server() -> None:
    """LOST: such a pause was taken for the server's, and the response was cut."""

    async def scenario() -> None:
        now = asyncio.get_running_loop().time
        relay, exchange, _ = _relay()
        relay.start(ResponseHead(200, b"OK", ()))
        exchange.backpressure_changed(is_full=True)
        await asyncio.sleep(2.0)
        assert relay.paused_until == now()
        exchange.backpressure_changed(is_full=False)
        resumed_at = now()
        await asyncio.sleep(2.0)
        assert relay.paused_until == resumed_at

    run_virtual(scenario())


def test_a_reply_that_is_resumed_has_begun_before_the_next_response() -> None:
    """A server that was gone before it resumed a reply would be waited for."""

    async def scenario() -> None:
        relay, exchange, _ = _relay()
        assert not relay.has_begun
        exchange.start(200, b"OK", (), None)
        assert relay.has_begun
        assert not relay.is_active

    run_virtual(scenario())
