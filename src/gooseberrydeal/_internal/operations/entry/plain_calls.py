"""Run calls of plain services."""

import logging
from hashlib import sha256
from typing import Final

from gooseberrydeal._internal.models.answer_events import (
    AnswerEvent,
    AnswerPlain,
    AnswerRefused,
)
from gooseberrydeal._internal.models.claim_verdict import ClaimStatus
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

_CLAIM_RETRY_AFTER_SECONDS: Final = 2.0

_KEY_FAULT_REASONS: Final = {
    KeyFault.MALFORMED: RefusalReason.KEY_MALFORMED,
    KeyFault.EXPIRED: RefusalReason.KEY_EXPIRED,
    KeyFault.FROM_FUTURE: RefusalReason.KEY_MALFORMED,
}


class PlainCalls:
    """Run calls of plain services, at most once per idempotency key.

    Repeatable operations ignore the key. For others, the key is claimed before the call
    is run, and the outcome is recorded, so that a repeated call can get that answer.
    """

    def __init__(
        self, context: EntryContext, runner: WorkRunner, claims: ClaimsClient
    ) -> None:
        self._context = context
        self._runner = runner
        self._claims = claims
        self._tasks = TaskOwner()

    async def stop(self) -> None:
        """Cancel all calls with a claimed key and the recording of their outcomes."""
        await self._tasks.stop()

    async def run(self, order: WorkOrder, key_text: str | None) -> AnswerEvent:
        """Run a call and return its answer or refusal.

        ``key_text`` is the value of the ``Idempotency-Key`` header, if any. Raises
        :class:`RefusedError` if the key is not valid.
        """
        if order.is_repeatable or key_text is None:
            return await self._last_event(order)
        key = self._parse_key(key_text)
        store_key = key.store_key(order.caller, order.service, order.operation)
        body_hash = sha256(order.content_type.encode() + b"\0" + order.body).hexdigest()
        reply = await self._claims.claim(store_key, order.request_id, body_hash)
        if reply.claim_status != ClaimStatus.GRANTED.value:
            return _answer_without_claim(reply)
        return await self._run_claimed(order, store_key, body_hash)

    async def _run_claimed(
        self, order: WorkOrder, store_key: str, body_hash: str
    ) -> AnswerEvent:
        """Run the call and record its outcome, even if the caller disconnects."""

        async def run_and_record() -> AnswerEvent:
            event = await self._last_event(order)
            recording = self._record(order, store_key, body_hash, event)
            self._tasks.start(recording, f"record {order.request_id}")
            return event

        task = self._tasks.start(run_and_record(), f"claimed {order.request_id}")
        event: AnswerEvent = await task
        return event

    async def _record(
        self, order: WorkOrder, store_key: str, body_hash: str, event: AnswerEvent
    ) -> None:
        """Record whether the call was executed; record nothing if that is unknown."""
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
        """Run the order and return its last event: the answer or refusal."""
        last: AnswerEvent | None = None
        async for event in self._runner.run(order):
            last = event
        return last or AnswerRefused(Refusal(RefusalReason.STREAM_CUT, Ran.UNKNOWN))

    def _parse_key(self, text: str) -> IdempotencyKey:
        """Return the parsed key, or raise :class:`RefusedError` if it is not valid.

        An expired key may belong to a call that has run.
        """
        configuration = self._context.configuration()
        assert configuration is not None
        window = configuration.limits.claim_window_seconds
        key = parse_idempotency_key(text, self._context.clock.wall(), window)
        if isinstance(key, IdempotencyKey):
            return key
        refusal = Refusal(
            _KEY_FAULT_REASONS[key],
            Ran.UNKNOWN if key is KeyFault.EXPIRED else Ran.NO,
            "Idempotency-Key must be YYYYMMDDTHHMMSSZ-RANDOM, issued within "
            f"the last {window} s",
        )
        raise RefusedError(refusal)


def _answer_without_claim(reply: ClaimReply) -> AnswerEvent:
    """Return the response to a call whose claim was not granted.

    This is the recorded answer if a call with the same key and body has run and its
    answer was stored, else a refusal.
    """
    claim_status = ClaimStatus(reply.claim_status)
    if claim_status is ClaimStatus.BODY_DIFFERS:
        return AnswerRefused(
            Refusal(
                RefusalReason.KEY_REUSED,
                Ran.NO,
                "this request was not run: its key belongs to another body",
            )
        )
    if claim_status is ClaimStatus.UNAVAILABLE:
        return AnswerRefused(
            Refusal(
                RefusalReason.CLAIMS_UNAVAILABLE,
                Ran.NO,
                "the platform could not record the request, so it was not run",
                _CLAIM_RETRY_AFTER_SECONDS,
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
