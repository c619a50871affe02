"""Fetch newer configuration revisions and activate them."""

import asyncio
import contextlib
import json
import logging
import random
from collections.abc import Callable, Iterable
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError, StoreError
from gooseberrydeal._internal.models.alarm import Alarm
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.messages.chunk_reply import ChunkReply
from gooseberrydeal._internal.models.messages.chunk_request import ChunkRequest
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.models.record import Record
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore
from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.operations.alarms import Alarms
from gooseberrydeal._internal.policy.configuration_follower import (
    ConfigurationFollower,
    OfferStatus,
)
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

ROOT_KEY: Final = "config/root"
CHUNK_PREFIX: Final = "config/chunks/"
_OFFER_INTERVAL_SECONDS: Final = 0.25
_MAX_CHUNKS_PER_REQUEST: Final = 32
_REQUEST_RETRY_SECONDS: Final = 1.0
_READ_RETRY_SECONDS: Final = 2.0
_MAX_CONCURRENT_READS: Final = 16
_POLL_INTERVAL_SECONDS: Final = 3.0


class ConfigurationTask:
    """Follow the configuration root in the platform's store and the peers' offers.

    Only a few nodes of a failure domain, the readers, watch the store. Every node
    that activates a revision offers it to its peers, so that the revision spreads
    without further reads from the store.
    """

    def __init__(
        self,
        store: KeyValueStore | None,
        is_reader: Callable[[], bool],
        peers: Callable[[], Iterable[PeerConnection]],
        alarms: Alarms,
        on_change: Callable[[Configuration, int], None],
    ) -> None:
        self._store = store
        self._is_reader = is_reader
        self._peers = peers
        self._alarms = alarms
        self._on_change = on_change
        self._follower = ConfigurationFollower()
        self._offered_numbers: dict[PeerConnection, int] = {}
        self._requested_at: dict[str, float] = {}
        self._offers_by_peer: dict[PeerConnection, RevisionOffer] = {}
        self._has_activated = asyncio.Event()
        self._tasks = TaskOwner()

    @property
    def number(self) -> int:
        """Return the number of the active revision, or 0 if there is none."""
        return self._follower.number

    @property
    def configuration(self) -> Configuration | None:
        """Return the active configuration, or ``None`` before the first one."""
        view = self._follower.view
        return None if view is None else view.configuration

    @property
    def skipped(self) -> dict[str, str]:
        """Return why entries of the active configuration were skipped, by entry key."""
        view = self._follower.view
        return {} if view is None else {str(k): v for k, v in view.skipped.items()}

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks.start(self._offer_to_peers(), "offer revisions")
        if self._store is not None:
            self._tasks.start(self._follow_store(self._store), "read revisions")
            self._tasks.start(self._poll_store(self._store), "poll revisions")

    async def stop(self) -> None:
        """Stop the background tasks."""
        await self._tasks.stop()

    def offered(self, offer: RevisionOffer, connection: PeerConnection) -> None:
        """Handle a peer's offer of a revision; request the chunks that are missing."""
        offer_status = self._follower.classify(offer)
        if offer_status is OfferStatus.FORKED:
            self._alarms.set(Alarm.CONFIGURATION_FORKED, is_raised=True)
            return
        if offer_status is not OfferStatus.NEWER:
            return
        missing = self._follower.set_target(offer)
        if not missing:
            self._add_chunks(())
            return
        self._offers_by_peer[connection] = offer
        self._tasks.start(self._request_chunks(missing, connection), "request chunks")

    def requested(self, request: ChunkRequest, connection: PeerConnection) -> None:
        """Send the chunks that a peer requested, as far as they are available."""
        chunks = self._follower.chunks(request.digests[:_MAX_CHUNKS_PER_REQUEST])
        self._tasks.start(self._try_send(connection, ChunkReply(chunks)), "send chunks")

    def received(self, reply: ChunkReply) -> None:
        """Add the chunks that a peer sent."""
        self._add_chunks(reply.chunks)

    async def _request_chunks(
        self, digests: tuple[str, ...], connection: PeerConnection
    ) -> None:
        now = asyncio.get_running_loop().time()
        due = [
            digest
            for digest in digests
            if now - self._requested_at.get(digest, float("-inf"))
            > _REQUEST_RETRY_SECONDS
        ]
        for start in range(0, len(due), _MAX_CHUNKS_PER_REQUEST):
            batch = tuple(due[start : start + _MAX_CHUNKS_PER_REQUEST])
            for digest in batch:
                self._requested_at[digest] = now
            await self._try_send(connection, ChunkRequest(batch))

    async def _retry_chunk_requests(self) -> None:
        """Request missing chunks from a random peer that offered a newer revision."""
        sources = [peer for peer in self._offers_by_peer if peer.is_open]
        if not sources:
            return
        chosen_peer = random.choice(sources)
        offer = self._offers_by_peer[chosen_peer]
        if self._follower.classify(offer) is OfferStatus.NEWER:
            await self._request_chunks(self._follower.set_target(offer), chosen_peer)

    async def _try_send(
        self, connection: PeerConnection, message: ChunkReply | ChunkRequest
    ) -> None:
        with contextlib.suppress(PeerLostError):
            await connection.send(message)

    def _add_chunks(self, chunks: Iterable[bytes]) -> None:
        if not self._follower.add(chunks):
            return
        self._requested_at.clear()
        self._offers_by_peer.clear()
        view = self._follower.view
        assert view is not None
        number = self._follower.number
        logger.info("configuration revision activated", extra={"revision": number})
        self._alarms.set(Alarm.ENTRIES_SKIPPED, is_raised=bool(view.skipped))
        self._on_change(view.configuration, number)
        self._has_activated.set()

    async def _offer_to_peers(self) -> None:
        """Offer the active revision once on each connection; repeat chunk requests."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_OFFER_INTERVAL_SECONDS):
                    await self._has_activated.wait()
            self._has_activated.clear()
            await self._retry_chunk_requests()
            offer = self._follower.active_offer
            if offer is None:
                continue
            open_connections = list(self._peers())
            self._offered_numbers = {
                peer: number
                for peer, number in self._offered_numbers.items()
                if peer in open_connections
            }
            for connection in open_connections:
                if self._offered_numbers.get(connection) != offer.number:
                    self._offered_numbers[connection] = offer.number
                    with contextlib.suppress(PeerLostError):
                        await connection.send(offer)

    async def _follow_store(self, store: KeyValueStore) -> None:
        """Read the root until a revision is active, and watch it while a reader."""
        while True:
            try:
                if self._is_reader() or self._follower.active_offer is None:
                    await self._handle_root(store, await store.get(ROOT_KEY))
                if self._is_reader():
                    await self._watch_store(store)
            except StoreError:
                logger.debug(
                    "cannot read the configuration from the platform's store; retrying"
                )
            await asyncio.sleep(_READ_RETRY_SECONDS * random.uniform(0.5, 1.0))

    async def _poll_store(self, store: KeyValueStore) -> None:
        """Detect what a watch does not report, such as a store that was restored."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            if not self._is_reader():
                continue
            with contextlib.suppress(StoreError):
                await self._handle_root(store, await store.get(ROOT_KEY))

    async def _watch_store(self, store: KeyValueStore) -> None:
        async for record in store.watch(ROOT_KEY):
            await self._handle_root(store, record)
            if not self._is_reader():
                return

    async def _handle_root(self, store: KeyValueStore, record: Record | None) -> None:
        offer = _decode_root(record)
        if offer is None:
            is_missing = self._follower.active_offer is not None
            self._alarms.set(Alarm.PLATFORM_OLDER, is_raised=is_missing)
            return
        offer_status = self._follower.classify(offer)
        self._alarms.set(
            Alarm.PLATFORM_OLDER, is_raised=offer_status is OfferStatus.OLDER
        )
        self._alarms.set(
            Alarm.CONFIGURATION_FORKED, is_raised=offer_status is OfferStatus.FORKED
        )
        if offer_status is not OfferStatus.NEWER:
            return
        missing = self._follower.set_target(offer)
        self._add_chunks(await _read_chunks(store, missing))


async def _read_chunks(store: KeyValueStore, digests: tuple[str, ...]) -> list[bytes]:
    chunks: list[bytes] = []
    for start in range(0, len(digests), _MAX_CONCURRENT_READS):
        batch = digests[start : start + _MAX_CONCURRENT_READS]
        records = await asyncio.gather(
            *(store.get(CHUNK_PREFIX + digest) for digest in batch)
        )
        chunks += [record.value for record in records if record is not None]
    return chunks


def _decode_root(record: Record | None) -> RevisionOffer | None:
    if record is None or not record.value:
        return None
    try:
        value = json.loads(record.value)
        return RevisionOffer(
            int(value["number"]),
            tuple(str(item) for item in value["chunks"]),
            str(value["attempt"]),
            str(value["author"]),
        )
    except (ValueError, KeyError, TypeError):
        logger.error(
            "ignored the configuration root in the platform's store: it is malformed"
        )
        return None
