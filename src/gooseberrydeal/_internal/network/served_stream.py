"""Answer one request on a peer connection."""

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

INITIAL_CREDIT: Final = 64


class ServedStream:
    """Number the frames of an answer and send no more than its reader allows."""

    def __init__(
        self,
        connection: PeerConnection,
        submit: Submit,
        on_end: Callable[[], object],
    ) -> None:
        self._on_end = on_end
        self._connection = connection
        self._stream = submit.stream
        self._request_id = submit.request_id
        self._credit = INITIAL_CREDIT
        self._has_credit = asyncio.Event()
        self._frames = 0
        self._tokens = submit.offset
        self._checksum = 0

    @property
    def is_open(self) -> bool:
        """Return whether the reader is still connected."""
        return self._connection.is_open

    @property
    def connection(self) -> PeerConnection:
        """Return the connection of the reader."""
        return self._connection

    @property
    def tokens_sent(self) -> int:
        """Return how many tokens the reader was sent."""
        return self._tokens

    def add_credit(self, frames: int) -> None:
        """Let more frames flow."""
        self._credit += frames
        self._has_credit.set()

    async def start(self, server: str, queued: float, *, waited_for_load: bool) -> None:
        """Say that the request is about to leave for its server."""
        await self._connection.send(
            Started(self._stream, self._request_id, server, waited_for_load, queued)
        )

    async def send(self, text: str, count: int) -> None:
        """Send generated text, waiting while the reader allows none."""
        while self._credit <= 0:
            self._has_credit.clear()
            await self._has_credit.wait()
        self._credit -= 1
        frame = Tokens(self._stream, self._frames, count, text)
        self._frames += 1
        self._tokens += count
        self._checksum = crc32(text.encode(), self._checksum)
        await self._connection.send(frame)

    async def finish(self, finish_reason: str, prompt_tokens: int) -> None:
        """End a generated answer."""
        self._on_end()
        await self._connection.send(
            Finished(
                self._stream,
                self._request_id,
                self._frames,
                self._tokens,
                self._checksum,
                finish_reason,
                prompt_tokens,
            )
        )

    async def finish_plain(self, answer: PlainAnswer) -> None:
        """Send and end the answer of a plain service."""
        self._on_end()
        await self._connection.send(
            Finished(
                self._stream,
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
        """End the stream without a whole answer."""
        self._on_end()
        await self._connection.send(
            Refused(
                self._stream,
                self._request_id,
                refusal.reason.value,
                refusal.ran.value,
                refusal.detail,
                refusal.retry_after or 0.0,
            )
        )
