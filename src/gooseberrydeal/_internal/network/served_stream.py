"""Stream the response to one request over a peer connection."""

import asyncio
from collections.abc import Callable
from typing import Final
from zlib import crc32

from gooseberrydeal._internal.models.messages.finished import Finished
from gooseberrydeal._internal.models.messages.refused import Refused
from gooseberrydeal._internal.models.messages.started import Started
from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.messages.tokens import Tokens
from gooseberrydeal._internal.models.plain_answer import PlainAnswer
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.network.peer_connection import PeerConnection

_INITIAL_CREDIT_FRAMES: Final = 64


class ServedStream:
    """Send the frames of a response, limited by the receiver's flow-control credit.

    Each frame costs one credit. ``on_end`` is called before the last message is sent.
    """

    def __init__(
        self,
        connection: PeerConnection,
        submit: Submit,
        on_end: Callable[[], object],
    ) -> None:
        self._on_end = on_end
        self._connection = connection
        self._stream_id = submit.stream
        self._request_id = submit.request_id
        self._credit_frames = _INITIAL_CREDIT_FRAMES
        self._has_credit = asyncio.Event()
        self._frames_sent = 0
        self._tokens_sent = submit.offset
        self._checksum = 0

    @property
    def is_open(self) -> bool:
        """Return whether the receiver is still connected."""
        return self._connection.is_open

    @property
    def connection(self) -> PeerConnection:
        """Return the connection to the receiver."""
        return self._connection

    @property
    def tokens_sent(self) -> int:
        """Return how many tokens the receiver has, including those before a resume."""
        return self._tokens_sent

    def add_credit(self, frames: int) -> None:
        """Allow that many more frames to be sent."""
        self._credit_frames += frames
        self._has_credit.set()

    async def start(
        self, server: str, queue_seconds: float, *, waited_for_load: bool
    ) -> None:
        """Report that the request is about to be sent to its server."""
        await self._connection.send(
            Started(
                self._stream_id,
                self._request_id,
                server,
                waited_for_load,
                queue_seconds,
            )
        )

    async def send(self, text: str, count: int) -> None:
        """Send generated text; wait while there is no credit."""
        while self._credit_frames <= 0:
            self._has_credit.clear()
            await self._has_credit.wait()
        self._credit_frames -= 1
        frame = Tokens(self._stream_id, self._frames_sent, count, text)
        self._frames_sent += 1
        self._tokens_sent += count
        self._checksum = crc32(text.encode(), self._checksum)
        await self._connection.send(frame)

    async def finish(self, finish_reason: str, prompt_tokens: int) -> None:
        """End a generated response."""
        self._on_end()
        await self._connection.send(
            Finished(
                self._stream_id,
                self._request_id,
                self._frames_sent,
                self._tokens_sent,
                self._checksum,
                finish_reason,
                prompt_tokens,
            )
        )

    async def finish_plain(self, answer: PlainAnswer) -> None:
        """Send the whole response of a plain service and end the stream."""
        self._on_end()
        await self._connection.send(
            Finished(
                self._stream_id,
                self._request_id,
                0,
                0,
                crc32(answer.body),
                "stop",
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            )
        )

    async def refuse(self, refusal: Refusal) -> None:
        """End the stream with a refusal instead of a complete response."""
        self._on_end()
        await self._connection.send(
            Refused(
                self._stream_id,
                self._request_id,
                refusal.reason.value,
                refusal.ran.value,
                refusal.detail,
                refusal.retry_after or 0.0,
            )
        )
