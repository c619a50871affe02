"""Send a request to the owner of one server and read the response."""

import asyncio
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError, PeerUnreachableError
from gooseberrydeal._internal.models.answer_events import (
    AnswerEnd,
    AnswerEvent,
    AnswerPlain,
    AnswerRefused,
    AnswerText,
)
from gooseberrydeal._internal.models.messages.finished import Finished
from gooseberrydeal._internal.models.messages.refused import Refused
from gooseberrydeal._internal.models.messages.started import Started
from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.messages.tokens import Tokens
from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.plain_answer import PlainAnswer
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.entry.remote_stream import (
    RemoteStream,
    StreamMessage,
)
from gooseberrydeal._internal.operations.entry.remote_streams import RemoteStreams
from gooseberrydeal._internal.policy.answer_check import AnswerCheck

# The longest time without a message from the owner before the attempt fails.
_MESSAGE_TIMEOUT_SECONDS: Final = 30.0


class Attempt:
    """Track one submission of a request to a server's owner.

    The owner is the keeper that passes requests to the server.

    The knowledge of whether the request was executed only moves from ``Ran.NO`` to
    ``Ran.UNKNOWN`` to ``Ran.YES``. It is ``Ran.UNKNOWN`` as soon as the submission may
    have been sent, unless the owner reports that the request was not executed.
    """

    def __init__(
        self, streams: RemoteStreams, submit: Submit, placement: Placement
    ) -> None:
        self._streams = streams
        self._submit = submit
        self._placement = placement
        self._stream: RemoteStream | None = None
        self._check = AnswerCheck(token_offset=submit.offset)
        self._ran = Ran.NO
        self._started: Started | None = None

    @property
    def placement(self) -> Placement:
        """Return the server that the request is sent to, and its owner."""
        return self._placement

    @property
    def started(self) -> Started | None:
        """Return the owner's message that the request is being sent to the server.

        ``None`` if the owner has not sent it yet.
        """
        return self._started

    @property
    def tokens(self) -> int:
        """Return the number of tokens received, including those of earlier attempts."""
        return self._check.tokens

    async def send(self) -> AnswerRefused | None:
        """Send the request; return a refusal if sending failed, else ``None``."""
        try:
            self._stream = await self._streams.open(
                self._placement.owner_address, self._submit
            )
        except PeerUnreachableError:
            return _refusal_event(RefusalReason.OWNER_UNREACHABLE, Ran.NO)
        except PeerLostError:
            self._ran = Ran.UNKNOWN
            return _refusal_event(RefusalReason.OWNER_UNREACHABLE, Ran.UNKNOWN)
        self._ran = Ran.UNKNOWN
        return None

    async def next(self) -> AnswerEvent:
        """Return the next event of the answer.

        A lost connection, a timeout or an incomplete answer is returned as a refusal.
        """
        assert self._stream is not None
        while True:
            try:
                async with asyncio.timeout(_MESSAGE_TIMEOUT_SECONDS):
                    message = await self._stream.next()
            except TimeoutError:
                return _refusal_event(RefusalReason.STREAM_CUT, self._ran)
            except PeerLostError:
                return _refusal_event(RefusalReason.OWNER_UNREACHABLE, self._ran)
            event = self._event_from(message)
            if event is not None:
                return event

    async def end(self) -> None:
        """Close the stream, and cancel the request if it has not ended."""
        self._streams.close(self._submit.stream)
        if self._stream is not None:
            await self._stream.cancel()

    def _event_from(self, message: StreamMessage) -> AnswerEvent | None:
        if isinstance(message, Started):
            self._started = message
            return None
        if isinstance(message, Tokens):
            if not self._check.accept(message):
                return _refusal_event(RefusalReason.STREAM_CUT, Ran.UNKNOWN)
            return AnswerText(message.text, message.count)
        if isinstance(message, Refused):
            return _parse_refusal(message)
        return self._final_event(message)

    def _final_event(self, end: Finished) -> AnswerEvent:
        if self._submit.call == "plain":
            if not self._check.matches_body(end):
                return _refusal_event(RefusalReason.STREAM_CUT, Ran.YES)
            return AnswerPlain(PlainAnswer(end.status, end.content_type, end.body))
        if not self._check.is_complete(end):
            return _refusal_event(RefusalReason.STREAM_CUT, Ran.UNKNOWN)
        return AnswerEnd(end.finish_reason, end.tokens, end.prompt_tokens)


def _refusal_event(reason: RefusalReason, ran: Ran) -> AnswerRefused:
    return AnswerRefused(Refusal(reason, ran))


def _parse_refusal(message: Refused) -> AnswerRefused:
    """Convert a peer's refusal.

    A peer of a newer release may send values that this one does not know. An unknown
    reason is treated as a server failure, an unknown ``ran`` as ``Ran.UNKNOWN``.
    """
    try:
        reason = RefusalReason(message.reason)
    except ValueError:
        reason = RefusalReason.SERVER_FAILED
    try:
        ran = Ran(message.ran)
    except ValueError:
        ran = Ran.UNKNOWN
    retry_after = message.retry_after if message.retry_after > 0 else None
    return AnswerRefused(Refusal(reason, ran, message.detail, retry_after))
