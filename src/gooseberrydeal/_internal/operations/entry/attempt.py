"""Make one attempt at a request."""

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

_IDLE_SECONDS: Final = 30.0


class Attempt:
    """Follow one submission from sending to its end.

    What is known of its execution only ever moves from ``no`` to ``unknown`` to
    ``yes``: it is ``unknown`` from the moment in which the submission may have left,
    unless the owner says that it was not run.
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
        """Return where the request was sent."""
        return self._placement

    @property
    def started(self) -> Started | None:
        """Return the owner's word that the request has left for its server."""
        return self._started

    @property
    def tokens(self) -> int:
        """Return how many tokens were accepted, with those before this attempt."""
        return self._check.tokens

    async def send(self) -> AnswerRefused | None:
        """Send the request; return a refusal if that failed."""
        try:
            self._stream = await self._streams.open(
                self._placement.owner_address, self._submit
            )
        except PeerUnreachableError:
            return _refused(RefusalReason.OWNER_UNREACHABLE, Ran.NO)
        except PeerLostError:
            self._ran = Ran.UNKNOWN
            return _refused(RefusalReason.OWNER_UNREACHABLE, Ran.UNKNOWN)
        self._ran = Ran.UNKNOWN
        return None

    async def next(self) -> AnswerEvent:
        """Return the next part of the answer, or its end."""
        assert self._stream is not None
        while True:
            try:
                async with asyncio.timeout(_IDLE_SECONDS):
                    message = await self._stream.next()
            except TimeoutError:
                return _refused(RefusalReason.STREAM_CUT, self._ran)
            except PeerLostError:
                return _refused(RefusalReason.OWNER_UNREACHABLE, self._ran)
            event = self._event(message)
            if event is not None:
                return event

    async def end(self) -> None:
        """Forget the stream, and cancel the request if it has not ended."""
        self._streams.close(self._submit.stream)
        if self._stream is not None:
            await self._stream.cancel()

    def _event(self, message: StreamMessage) -> AnswerEvent | None:
        if isinstance(message, Started):
            self._started = message
            return None
        if isinstance(message, Tokens):
            if not self._check.accept(message):
                return _refused(RefusalReason.STREAM_CUT, Ran.UNKNOWN)
            return AnswerText(message.text, message.count)
        if isinstance(message, Refused):
            return _refusal_of(message)
        return self._end_of(message)

    def _end_of(self, end: Finished) -> AnswerEvent:
        if self._submit.call == "plain":
            if not self._check.matches_body(end):
                return _refused(RefusalReason.STREAM_CUT, Ran.YES)
            return AnswerPlain(PlainAnswer(end.status, end.content_type, end.body))
        if not self._check.is_complete(end):
            return _refused(RefusalReason.STREAM_CUT, Ran.UNKNOWN)
        return AnswerEnd(end.finish_reason, end.tokens, end.prompt_tokens)


def _refused(reason: RefusalReason, ran: Ran) -> AnswerRefused:
    return AnswerRefused(Refusal(reason, ran))


def _refusal_of(message: Refused) -> AnswerRefused:
    """Return a peer's refusal; a reason that only newer peers know is a failure."""
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
