"""Pass a response on to the caller as the caller's reply."""

import asyncio

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec


class ReplyRelay:
    """Send the head and the body of a response on as they arrive.

    The connection to the server is not read while the caller reads slowly.
    """

    def __init__(
        self,
        exchange: CallerExchange,
        codec: RelayCodec,
        connection: ServerConnection,
    ) -> None:
        self._exchange = exchange
        self._codec = codec
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._is_active = False
        self._is_paused = False
        self._resumed_at = 0.0

    @property
    def is_active(self) -> bool:
        """Return whether a response is being passed on."""
        return self._is_active

    @property
    def has_begun(self) -> bool:
        """Return whether the caller has got a part of the reply, of any server."""
        return self._exchange.is_started

    @property
    def paused_until(self) -> float:
        """Return until when the connection was not read, on the loop's clock.

        That is now if it is not read, as the caller reads slowly.
        """
        return self._loop.time() if self._is_paused else self._resumed_at

    def start(self, head: ResponseHead) -> None:
        """Pass a response on; of one that resumes the reply only the body."""
        self._is_active = True
        self._exchange.set_backpressure_callback(self._set_backpressure)
        if not self._exchange.is_started:
            headers = self._codec.reply_headers(head)
            self._exchange.start(head.status, head.reason, headers, head.content_length)

    def write(self, data: bytes) -> None:
        """Pass on the next bytes of the body."""
        self._exchange.write(data)

    def finish(self) -> None:
        """End the reply after a whole response."""
        self._exchange.finish()

    def stop(self) -> None:
        """Read the connection again, which may carry another response later."""
        self._exchange.set_backpressure_callback(None)
        if self._is_paused:
            self._set_backpressure(False)

    def _set_backpressure(self, is_full: bool) -> None:
        self._is_paused = is_full
        if is_full:
            self._connection.pause()
        else:
            self._resumed_at = self._loop.time()
            self._connection.resume()
