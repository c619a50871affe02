"""Claim requests durably, many in one write."""

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
from gooseberrydeal._internal.models.claim_verdict import ClaimVerdict
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

_BATCH_SECONDS: Final = 0.004
_MOST_IN_BATCH: Final = 64
_TRIES: Final = 3
_RESULT_TRIES: Final = 8
_PAUSE_SECONDS: Final = 0.1
MAX_KEPT_ANSWER_BYTES: Final = 8 * 1024


@dataclass(frozen=True)
class _Waiting:
    request: ClaimRequest
    connection: PeerConnection


class ClaimWriter:
    """Create claims in batches and record their outcomes.

    Each claim is its own compare-and-swap within the batch, so the platform alone
    decides which of two is first, whichever keepers they go through.
    """

    def __init__(self, store: KeyValueStore, lease: ClaimLease) -> None:
        self._store = store
        self._lease = lease
        self._waiting: list[_Waiting] = []
        self._has_waiting = asyncio.Event()
        self._tasks = TaskOwner()
        self._batches = 0

    @property
    def batches(self) -> int:
        """Return how many batches were written."""
        return self._batches

    def start(self) -> None:
        """Begin to serve."""
        self._tasks.start(self._run(), "claims")

    async def stop(self) -> None:
        """End."""
        await self._tasks.stop()

    def claim(self, request: ClaimRequest, connection: PeerConnection) -> None:
        """Claim a request and answer on the connection."""
        self._waiting.append(_Waiting(request, connection))
        self._has_waiting.set()

    def record(self, result: ClaimResult) -> None:
        """Record an outcome, or give the claim back if nothing was run."""
        self._tasks.start(self._record(result), "claim result")

    async def _run(self) -> None:
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(_BATCH_SECONDS)
            batch = self._waiting[:_MOST_IN_BATCH]
            self._waiting = self._waiting[_MOST_IN_BATCH:]
            if not self._waiting:
                self._has_waiting.clear()
            self._tasks.start(self._commit(batch), "claim batch")

    async def _commit(self, batch: list[_Waiting]) -> None:
        try:
            results = await self._write(batch)
        except StoreError:
            for waiting in batch:
                unavailable = ClaimVerdict.UNAVAILABLE.value
                await self._answer(
                    waiting, ClaimReply(waiting.request.number, unavailable)
                )
            self._tasks.start(self._void(batch), "void claims")
            return
        for waiting, result in zip(batch, results, strict=True):
            await self._answer(waiting, _reply(waiting.request, result))

    async def _write(self, batch: list[_Waiting]) -> tuple[WriteResult, ...]:
        """Write a batch, and take over claims that were given back."""
        lease = await self._lease.current()
        writes = [
            ConditionalWrite(item.request.key, 0, _first_record(item.request), lease)
            for item in batch
        ]
        results = await self._commit_again(writes)
        retaken = {
            index: replace(writes[index], expected_revision=result.current.mod_revision)
            for index, result in enumerate(results)
            if result.current is not None and _is_given_back(result.current)
        }
        if not retaken:
            return results
        again = await self._commit_again(list(retaken.values()))
        merged = list(results)
        for index, result in zip(retaken, again, strict=True):
            merged[index] = result
        return tuple(merged)

    async def _commit_again(
        self, writes: list[ConditionalWrite]
    ) -> tuple[WriteResult, ...]:
        """Commit; a lost answer is resolved by writing the same again."""
        error: StoreError | None = None
        for number in range(_TRIES):
            try:
                self._batches += 1
                return await self._store.commit(writes)
            except StoreUnansweredError as unanswered:
                error = unanswered
            except StoreError as unavailable:
                if error is None:
                    raise
                error = unavailable
            await asyncio.sleep(_PAUSE_SECONDS * 2**number)
        raise error or StoreError("the batch could not be written")

    async def _void(self, batch: list[_Waiting]) -> None:
        """Remove claims of a batch that was refused but may have been written."""
        for waiting in batch:
            request = waiting.request
            await self._record(
                ClaimResult(
                    0,
                    request.key,
                    request.request_id,
                    request.body_hash,
                    request.entry_host,
                    Ran.NO.value,
                )
            )

    async def _record(self, result: ClaimResult) -> None:
        for number in range(_RESULT_TRIES):
            try:
                if await self._try_record(result):
                    return
            except StoreError:
                logger.debug("claim result waits for the platform")
            await asyncio.sleep(_PAUSE_SECONDS * 2**number)
        logger.warning(
            "claim result not recorded", extra={"request_id": result.request_id}
        )

    async def _try_record(self, result: ClaimResult) -> bool:
        """Replace the record of the claim, or take its place.

        A claim that is given back stays as a record that says so, since a write of
        it may still be on its way and would find an empty key.
        """
        found = await self._store.get(result.key)
        if found is not None:
            record = ClaimRecord.decode(found.value)
            if record.attempt != result.request_id or record.ran is Ran.YES:
                return True
        lease = await self._lease.current()
        expected_revision = 0 if found is None else found.mod_revision
        write = ConditionalWrite(result.key, expected_revision, _outcome(result), lease)
        return (await self._store.commit([write]))[0].applied

    async def _answer(self, waiting: _Waiting, reply: ClaimReply) -> None:
        with contextlib.suppress(PeerLostError):
            await waiting.connection.send(reply)


def _is_given_back(record: Record) -> bool:
    return ClaimRecord.decode(record.value).ran is Ran.NO


def _first_record(request: ClaimRequest) -> bytes:
    return ClaimRecord(
        request_id=request.request_id,
        body_hash=request.body_hash,
        entry_host=request.entry_host,
        attempt=request.request_id,
    ).encode()


def _outcome(result: ClaimResult) -> bytes:
    return ClaimRecord(
        request_id=result.request_id,
        body_hash=result.body_hash,
        entry_host=result.entry_host,
        attempt=result.request_id,
        ran=Ran(result.ran),
        status=result.status,
        content_type=result.content_type,
        answer=result.answer[:MAX_KEPT_ANSWER_BYTES],
    ).encode()


def _reply(request: ClaimRequest, result: WriteResult) -> ClaimReply:
    if result.applied:
        return ClaimReply(request.number, ClaimVerdict.GRANTED.value)
    if result.current is None:
        return ClaimReply(request.number, ClaimVerdict.UNAVAILABLE.value)
    record = ClaimRecord.decode(result.current.value)
    if record.attempt == request.request_id:
        return ClaimReply(request.number, ClaimVerdict.GRANTED.value)
    if record.body_hash != request.body_hash:
        return ClaimReply(request.number, ClaimVerdict.BODY_DIFFERS.value)
    return ClaimReply(
        request.number,
        ClaimVerdict.REPEAT.value,
        record.ran.value,
        record.status,
        record.content_type,
        record.answer,
        record.entry_host,
    )
