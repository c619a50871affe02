"""Keep evidence about requests that may crash servers in the metadata store."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Final

from gooseberrydeal._internal.exceptions import (
    LeaseLostError,
    PeerProtocolError,
    StoreError,
    StoreUnansweredError,
)
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.network.crash_codec import (
    decode_crash_record,
    encode_crash_record,
)
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.metadata_view import (
    CRASH_PREFIX,
    MetadataView,
)
from gooseberrydeal._internal.policy.crash_history import CrashHistory

logger = logging.getLogger(__name__)

# Most requests that were at a crashed server are served elsewhere within this time and
# then need no record.
_WRITE_DELAY_SECONDS: Final = 0.3
# With more hosts each writes less often, so that all of them together write at most
# once per interval per host, or 100 times a second.
_MIN_WRITE_INTERVAL_SECONDS: Final = 1.0
_WRITE_INTERVAL_PER_HOST_SECONDS: Final = 0.01
_RETRY_INTERVAL_SECONDS: Final = 1.0
_EPOCH_CHECK_SECONDS: Final = 2.0
# Records outlive the process that wrote them by this much.
_LEASE_SECONDS: Final = 600.0
_RENEW_AFTER_SECONDS: Final = 60.0
_MAX_RECORDED_FEATURES: Final = 64
# A feature with this many crashes is recorded again when they turn out to be refuted.
_MIN_CRASHES_TO_CORRECT: Final = 2


class CrashRecords:
    """Write what this host found to the store, and pass on what other hosts wrote.

    The records inform hosts that restart or join, and hosts that are cut off from each
    other but not from the store. Each start of a host writes a key of its own, so that
    it does not replace what it wrote before it ended.
    """

    def __init__(
        self,
        store: MetadataStore,
        membership: HostMembership,
        view: MetadataView,
        history: CrashHistory,
        on_evidence: Callable[[Iterable[CrashEvidence]], None],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._membership = membership
        self._view = view
        self._history = history
        self._on_evidence = on_evidence
        self._clock = clock
        self._own: dict[RequestFeature, None] = {}
        self._recorded: frozenset[RequestFeature] = frozenset()
        self._changed = asyncio.Event()
        self._lease: LeaseId | None = None
        self._lease_renewed_at = 0.0
        self._revision = 0
        self._generation = 0
        self._epoch = 0
        self._applied_revisions: dict[str, int] = {}

    def note_evidence(self, features: Iterable[RequestFeature]) -> None:
        """Record soon what this host has learnt about some features."""
        for feature in features:
            count = self._history.crash_count(feature)
            if count:
                self._own[feature] = None
                self._changed.set()
            elif feature in self._recorded:
                self._changed.set()

    def apply(self, item: StoreItem) -> None:
        """Pass on the evidence in a stored record, once for each of its revisions."""
        if item.value is None:
            self._applied_revisions.pop(item.key, None)
            return
        if self._applied_revisions.get(item.key, 0) >= item.revision:
            return
        self._applied_revisions[item.key] = item.revision
        try:
            evidence = decode_crash_record(item.value)
        except PeerProtocolError as error:
            logger.warning("ignoring the record at %s: %s", item.key, error)
            return
        self._on_evidence(evidence)

    async def run(self) -> None:
        """Write the record when it has changed, until cancelled."""
        while True:
            await self._wait_for_change()
            await asyncio.sleep(_WRITE_DELAY_SECONDS)
            self._changed.clear()
            delay = self._write_interval()
            try:
                await self._write()
            except StoreError as error:
                logger.info(
                    "crash record not written, other hosts may not see it: %s", error
                )
                self._changed.set()
                delay = max(delay, _RETRY_INTERVAL_SECONDS)
            await asyncio.sleep(delay * random.uniform(1.0, 1.2))

    async def _wait_for_change(self) -> None:
        """Wait for new evidence, or until the store was restored from a copy."""
        while not self._changed.is_set():
            try:
                async with asyncio.timeout(_EPOCH_CHECK_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                if self._view.store_epoch != self._epoch:
                    break
        if self._view.store_epoch != self._epoch:
            self._epoch = self._view.store_epoch
            self._lease = None
            self._start_new_key()

    async def _write(self) -> None:
        for feature in [k for k in self._own if not self._history.crash_count(k)]:
            if feature not in self._recorded:
                del self._own[feature]
        ranked = (key for key in self._history.by_importance() if key in self._own)
        chosen = list(islice(ranked, _MAX_RECORDED_FEATURES))
        if not chosen and not self._recorded:
            return
        now = self._clock()
        found = (self._history.evidence_of(key, now) for key in chosen)
        value = encode_crash_record(item for item in found if item is not None)
        await self._renew_lease()
        key = f"{CRASH_PREFIX}{self._membership.host}.{self._membership.incarnation}"
        try:
            revision = await self._store.put(
                f"{key}.{self._generation}",
                value,
                if_revision=self._revision,
                lease=self._lease,
            )
        except LeaseLostError:
            self._lease = None
            raise
        except StoreUnansweredError:
            self._start_new_key()
            raise
        if revision is None:
            self._start_new_key()
            self._changed.set()
            return
        self._revision = revision
        self._recorded = frozenset(
            k for k in chosen if self._history.crash_count(k) >= _MIN_CRASHES_TO_CORRECT
        )

    def _start_new_key(self) -> None:
        """Write the next record to another key, since a late write may still arrive."""
        self._generation += 1
        self._revision = 0

    async def _renew_lease(self) -> None:
        now = self._clock()
        if self._lease is not None:
            if now - self._lease_renewed_at < _RENEW_AFTER_SECONDS:
                return
            if not await self._store.renew_lease(self._lease):
                self._lease = None
        if self._lease is None:
            self._lease = await self._store.grant_lease(_LEASE_SECONDS)
        self._lease_renewed_at = now

    def _write_interval(self) -> float:
        by_size = len(self._view.hosts) * _WRITE_INTERVAL_PER_HOST_SECONDS
        return max(_MIN_WRITE_INTERVAL_SECONDS, by_size)
