"""Store idempotency claims durably, several per write."""

import asyncio
import contextlib
import logging
from dataclasses import dataclass, replace
from typing import Final

from gooseberrydeal._internal.exceptions import (
    PeerLostError,
    StoreError,
    StoreUnansweredError,
)
from gooseberrydeal._internal.models.claim_record import ClaimRecord
from gooseberrydeal._internal.models.claim_verdict import ClaimStatus
from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.messages.claim_reply import ClaimReply
from gooseberrydeal._internal.models.messages.claim_request import ClaimRequest
from gooseberrydeal._internal.models.messages.claim_result import ClaimResult
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.record import Record
from gooseberrydeal._internal.models.write_result import WriteResult
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.operations.keeper.claim_lease import ClaimLease
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_BATCH_DELAY_SECONDS: Final = 0.004
_MAX_BATCH_SIZE: Final = 64
_MAX_COMMIT_ATTEMPTS: Final = 3
_MAX_RECORD_ATTEMPTS: Final = 8
_INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_STORED_ANSWER_BYTES: Final = 8 * 1024


@dataclass(frozen=True)
class _PendingClaim:
    request: ClaimRequest
    connection: PeerConnection


class ClaimWriter:
    """Write claims in batches and record the outcomes of claimed requests.

    Each claim is a separate compare-and-swap within its batch, so that the store
    decides which of two claims for a key is first, even if they go through different
    keepers.
    """

    def __init__(self, store: KeyValueStore, lease: ClaimLease) -> None:
        self._store = store
        self._lease = lease
        self._pending: list[_PendingClaim] = []
        self._has_pending = asyncio.Event()
        self._tasks = TaskOwner()
        self._batches = 0

    @property
    def batches(self) -> int:
        """Return the number of attempts to write a batch of claims."""
        return self._batches

    def start(self) -> None:
        """Start writing batches."""
        self._tasks.start(self._run(), "claims")

    async def stop(self) -> None:
        """Cancel all tasks; queued claims get no reply."""
        await self._tasks.stop()

    def claim(self, request: ClaimRequest, connection: PeerConnection) -> None:
        """Queue a claim; the reply is sent on the connection."""
        self._pending.append(_PendingClaim(request, connection))
        self._has_pending.set()

    def record(self, result: ClaimResult) -> None:
        """Record an outcome, in the background.

        If the request has not run, this releases the claim.
        """
        self._tasks.start(self._record_with_retry(result), "claim result")

    async def _run(self) -> None:
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(_BATCH_DELAY_SECONDS)
            batch = self._pending[:_MAX_BATCH_SIZE]
            self._pending = self._pending[_MAX_BATCH_SIZE:]
            if not self._pending:
                self._has_pending.clear()
            self._tasks.start(self._process_batch(batch), "claim batch")

    async def _process_batch(self, batch: list[_PendingClaim]) -> None:
        try:
            results = await self._write_claims(batch)
        except StoreError:
            for pending in batch:
                unavailable = ClaimStatus.UNAVAILABLE.value
                await self._send_reply(
                    pending, ClaimReply(pending.request.number, unavailable)
                )
            self._tasks.start(self._void(batch), "void claims")
            return
        for pending, result in zip(batch, results, strict=True):
            await self._send_reply(pending, _reply(pending.request, result))

    async def _write_claims(
        self, batch: list[_PendingClaim]
    ) -> tuple[WriteResult, ...]:
        """Write a batch of claims, then those of released keys again."""
        lease = await self._lease.current()
        writes = [
            ConditionalWrite(item.request.key, 0, _initial_record(item.request), lease)
            for item in batch
        ]
        results = await self._commit_with_retry(writes)
        retaken = {
            index: replace(writes[index], expected_revision=result.current.mod_revision)
            for index, result in enumerate(results)
            if result.current is not None and _is_released(result.current)
        }
        if not retaken:
            return results
        again = await self._commit_with_retry(list(retaken.values()))
        merged = list(results)
        for index, result in zip(retaken, again, strict=True):
            merged[index] = result
        return tuple(merged)

    async def _commit_with_retry(
        self, writes: list[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Commit the writes, and repeat them if their result was lost.

        Repeating is safe: each write is conditional on the key's revision, and
        :func:`_reply` recognises a claim that an earlier attempt stored. Raises
        :class:`StoreError` if no attempt got a result.
        """
        error: StoreError | None = None
        for attempt in range(_MAX_COMMIT_ATTEMPTS):
            try:
                self._batches += 1
                return await self._store.commit(writes)
            except StoreUnansweredError as unanswered:
                error = unanswered
            except StoreError as unavailable:
                if error is None:
                    raise
                error = unavailable
            await asyncio.sleep(_INITIAL_BACKOFF_SECONDS * 2**attempt)
        raise error or StoreError("the batch of claims could not be written")

    async def _void(self, batch: list[_PendingClaim]) -> None:
        """Release the claims of a batch that got no result but may be stored."""
        for pending in batch:
            request = pending.request
            await self._record_with_retry(
                ClaimResult(
                    0,
                    request.key,
                    request.request_id,
                    request.body_hash,
                    request.entry_host,
                    Ran.NO.value,
                )
            )

    async def _record_with_retry(self, result: ClaimResult) -> None:
        for attempt in range(_MAX_RECORD_ATTEMPTS):
            try:
                if await self._try_record(result):
                    return
            except StoreError:
                logger.debug("claim outcome not recorded yet: store unavailable")
            await asyncio.sleep(_INITIAL_BACKOFF_SECONDS * 2**attempt)
        logger.warning(
            "claim outcome not recorded, giving up",
            extra={"request_id": result.request_id},
        )

    async def _try_record(self, result: ClaimResult) -> bool:
        """Write the outcome to the claim's key; return whether no retry is needed.

        A released claim is kept as a record with ``ran`` set to ``no`` rather than
        deleted. A delayed write of the claim expects an empty key, so the record makes
        it fail.
        """
        found = await self._store.get(result.key)
        if found is not None:
            record = ClaimRecord.decode(found.value)
            if record.attempt != result.request_id or record.ran is Ran.YES:
                return True
        lease = await self._lease.current()
        expected_revision = 0 if found is None else found.mod_revision
        write = ConditionalWrite(
            result.key, expected_revision, _outcome_record(result), lease
        )
        return (await self._store.commit([write]))[0].applied

    async def _send_reply(self, pending: _PendingClaim, reply: ClaimReply) -> None:
        with contextlib.suppress(PeerLostError):
            await pending.connection.send(reply)


def _is_released(record: Record) -> bool:
    return ClaimRecord.decode(record.value).ran is Ran.NO


def _initial_record(request: ClaimRequest) -> bytes:
    return ClaimRecord(
        request_id=request.request_id,
        body_hash=request.body_hash,
        entry_host=request.entry_host,
        attempt=request.request_id,
    ).encode()


def _outcome_record(result: ClaimResult) -> bytes:
    return ClaimRecord(
        request_id=result.request_id,
        body_hash=result.body_hash,
        entry_host=result.entry_host,
        attempt=result.request_id,
        ran=Ran(result.ran),
        status=result.status,
        content_type=result.content_type,
        answer=result.answer[:MAX_STORED_ANSWER_BYTES],
    ).encode()


def _reply(request: ClaimRequest, result: WriteResult) -> ClaimReply:
    if result.applied:
        return ClaimReply(request.number, ClaimStatus.GRANTED.value)
    if result.current is None:
        return ClaimReply(request.number, ClaimStatus.UNAVAILABLE.value)
    record = ClaimRecord.decode(result.current.value)
    if record.attempt == request.request_id:
        return ClaimReply(request.number, ClaimStatus.GRANTED.value)
    if record.body_hash != request.body_hash:
        return ClaimReply(request.number, ClaimStatus.BODY_DIFFERS.value)
    return ClaimReply(
        request.number,
        ClaimStatus.REPEAT.value,
        record.ran.value,
        record.status,
        record.content_type,
        record.answer,
        record.entry_host,
    )
