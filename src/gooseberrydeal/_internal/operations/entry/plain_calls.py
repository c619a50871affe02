"""Run calls of plain services, at most once where that is declared."""

import logging
from hashlib import sha256
from typing import Final

from gooseberrydeal._internal.models.answer_events import (
    AnswerEvent,
    AnswerPlain,
    AnswerRefused,
)
from gooseberrydeal._internal.models.claim_verdict import ClaimVerdict
from gooseberrydeal._internal.models.messages.claim_reply import ClaimReply
from gooseberrydeal._internal.models.plain_answer import PlainAnswer
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.operations.entry.claims_client import ClaimsClient
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.refused_error import RefusedError
from gooseberrydeal._internal.operations.entry.work_runner import WorkRunner
from gooseberrydeal._internal.policy.idempotency_key import (
    IdempotencyKey,
    KeyFault,
    parse_idempotency_key,
)
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_CLAIM_RETRY_SECONDS: Final = 2.0

_KEY_REASONS: Final = {
    KeyFault.MALFORMED: RefusalReason.KEY_MALFORMED,
    KeyFault.EXPIRED: RefusalReason.KEY_EXPIRED,
    KeyFault.FROM_FUTURE: RefusalReason.KEY_MALFORMED,
}


class PlainCalls:
    """Claim, run and record."""

    def __init__(
        self, context: EntryContext, runner: WorkRunner, claims: ClaimsClient
    ) -> None:
        self._context = context
        self._runner = runner
        self._claims = claims
        self._tasks = TaskOwner()

    async def stop(self) -> None:
        """End."""
        await self._tasks.stop()

    async def run(self, order: WorkOrder, key_text: str | None) -> AnswerEvent:
        """Return the answer or refusal of one call."""
        if order.is_repeatable or key_text is None:
            return await self._last_event(order)
        key = self._key(key_text)
        store_key = key.store_key(order.caller, order.service, order.operation)
        body_hash = sha256(order.content_type.encode() + b"\0" + order.body).hexdigest()
        reply = await self._claims.claim(store_key, order.request_id, body_hash)
        if reply.verdict != ClaimVerdict.GRANTED.value:
            return _not_granted(reply)
        return await self._run_claimed(order, store_key, body_hash)

    async def _run_claimed(
        self, order: WorkOrder, store_key: str, body_hash: str
    ) -> AnswerEvent:
        """Run to the end even if the caller goes away, and record the outcome."""

        async def work() -> AnswerEvent:
            event = await self._last_event(order)
            recording = self._record(order, store_key, body_hash, event)
            self._tasks.start(recording, f"record {order.request_id}")
            return event

        task = self._tasks.start(work(), f"claimed {order.request_id}")
        event: AnswerEvent = await task
        return event

    async def _record(
        self, order: WorkOrder, store_key: str, body_hash: str, event: AnswerEvent
    ) -> None:
        if isinstance(event, AnswerPlain):
            answer = event.answer
            await self._claims.record(
                store_key,
                order.request_id,
                body_hash,
                Ran.YES,
                answer.status,
                answer.content_type,
                answer.body,
            )
        elif isinstance(event, AnswerRefused) and event.refusal.ran is Ran.NO:
            await self._claims.record(store_key, order.request_id, body_hash, Ran.NO)

    async def _last_event(self, order: WorkOrder) -> AnswerEvent:
        last: AnswerEvent | None = None
        async for event in self._runner.run(order):
            last = event
        return last or AnswerRefused(Refusal(RefusalReason.STREAM_CUT, Ran.UNKNOWN))

    def _key(self, text: str) -> IdempotencyKey:
        configuration = self._context.configuration()
        assert configuration is not None
        window = configuration.limits.claim_window_seconds
        key = parse_idempotency_key(text, self._context.clock.wall(), window)
        if isinstance(key, IdempotencyKey):
            return key
        refusal = Refusal(
            _KEY_REASONS[key],
            Ran.UNKNOWN if key is KeyFault.EXPIRED else Ran.NO,
            "Idempotency-Key must be YYYYMMDDTHHMMSSZ-RANDOM, issued within "
            f"the last {window} s",
        )
        raise RefusedError(refusal)


def _not_granted(reply: ClaimReply) -> AnswerEvent:
    verdict = ClaimVerdict(reply.verdict)
    if verdict is ClaimVerdict.BODY_DIFFERS:
        return AnswerRefused(
            Refusal(
                RefusalReason.KEY_REUSED,
                Ran.NO,
                "this request was not run: its key belongs to another body",
            )
        )
    if verdict is ClaimVerdict.UNAVAILABLE:
        return AnswerRefused(
            Refusal(
                RefusalReason.CLAIMS_UNAVAILABLE,
                Ran.NO,
                "the platform could not record the request, so it was not run",
                _CLAIM_RETRY_SECONDS,
            )
        )
    ran = Ran(reply.ran)
    if ran is Ran.YES and reply.answer:
        answer = PlainAnswer(reply.status, reply.content_type, reply.answer)
        return AnswerPlain(answer)
    return AnswerRefused(
        Refusal(
            RefusalReason.ALREADY_CLAIMED,
            ran,
            "the first request with this key has run or may have run",
        )
    )
