"""Bring newer configuration revisions into force."""

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
    OfferVerdict,
)
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

ROOT_KEY: Final = "config/root"
CHUNK_PREFIX: Final = "config/chunks/"
_OFFER_SECONDS: Final = 0.25
_CHUNKS_A_REQUEST: Final = 32
_ASK_AGAIN_SECONDS: Final = 1.0
_READ_AGAIN_SECONDS: Final = 2.0
_READS_AT_ONCE: Final = 16
_POLL_SECONDS: Final = 3.0


class ConfigurationTask:
    """Follow the platform's root where this node reads it, and peers everywhere.

    Only a few nodes of a failure domain watch the platform; each node that takes a
    revision offers it to its peers, so that it spreads without further reads.
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
        self._offered: dict[PeerConnection, int] = {}
        self._asked_at: dict[str, float] = {}
        self._sources: dict[PeerConnection, RevisionOffer] = {}
        self._changed = asyncio.Event()
        self._tasks = TaskOwner()

    @property
    def number(self) -> int:
        """Return the number of the revision in force, 0 for none."""
        return self._follower.number

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        view = self._follower.view
        return None if view is None else view.configuration

    @property
    def skipped(self) -> dict[str, str]:
        """Return the entries that this node can't use, and why."""
        view = self._follower.view
        return {} if view is None else {str(k): v for k, v in view.skipped.items()}

    def start(self) -> None:
        """Begin to follow."""
        self._tasks.start(self._offer(), "offer revisions")
        if self._store is not None:
            self._tasks.start(self._read(self._store), "read revisions")
            self._tasks.start(self._poll(self._store), "poll revisions")

    async def stop(self) -> None:
        """End."""
        await self._tasks.stop()

    def offered(self, offer: RevisionOffer, connection: PeerConnection) -> None:
        """Take note of a peer's revision, and ask for what is missing."""
        verdict = self._follower.classify(offer)
        if verdict is OfferVerdict.FORKED:
            self._alarms.set(Alarm.CONFIGURATION_FORKED, is_raised=True)
            return
        if verdict is not OfferVerdict.NEWER:
            return
        missing = self._follower.set_target(offer)
        if not missing:
            self._add(())
            return
        self._sources[connection] = offer
        self._tasks.start(self._ask(missing, connection), "ask for chunks")

    def requested(self, request: ChunkRequest, connection: PeerConnection) -> None:
        """Answer a peer's request for chunks."""
        chunks = self._follower.chunks(request.digests[:_CHUNKS_A_REQUEST])
        self._tasks.start(self._send(connection, ChunkReply(chunks)), "send chunks")

    def received(self, reply: ChunkReply) -> None:
        """Take chunks that a peer sent."""
        self._add(reply.chunks)

    async def _ask(self, digests: tuple[str, ...], connection: PeerConnection) -> None:
        now = asyncio.get_running_loop().time()
        due = [
            digest
            for digest in digests
            if now - self._asked_at.get(digest, float("-inf")) > _ASK_AGAIN_SECONDS
        ]
        for start in range(0, len(due), _CHUNKS_A_REQUEST):
            part = tuple(due[start : start + _CHUNKS_A_REQUEST])
            for digest in part:
                self._asked_at[digest] = now
            await self._send(connection, ChunkRequest(part))

    async def _ask_again(self) -> None:
        """Ask another peer for chunks that the first one has not sent."""
        sources = [peer for peer in self._sources if peer.is_open]
        if not sources:
            return
        chosen = random.choice(sources)
        offer = self._sources[chosen]
        if self._follower.classify(offer) is OfferVerdict.NEWER:
            await self._ask(self._follower.set_target(offer), chosen)

    async def _send(
        self, connection: PeerConnection, message: ChunkReply | ChunkRequest
    ) -> None:
        with contextlib.suppress(PeerLostError):
            await connection.send(message)

    def _add(self, chunks: Iterable[bytes]) -> None:
        if not self._follower.add(chunks):
            return
        self._asked_at.clear()
        self._sources.clear()
        view = self._follower.view
        assert view is not None
        number = self._follower.number
        logger.info("revision in force", extra={"revision": number})
        self._alarms.set(Alarm.ENTRIES_SKIPPED, is_raised=bool(view.skipped))
        self._on_change(view.configuration, number)
        self._changed.set()

    async def _offer(self) -> None:
        """Offer the revision in force to each peer once, and again until it has it."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_OFFER_SECONDS):
                    await self._changed.wait()
            self._changed.clear()
            await self._ask_again()
            offer = self._follower.active_offer
            if offer is None:
                continue
            open_now = list(self._peers())
            self._offered = {
                peer: number
                for peer, number in self._offered.items()
                if peer in open_now
            }
            for connection in open_now:
                if self._offered.get(connection) != offer.number:
                    self._offered[connection] = offer.number
                    with contextlib.suppress(PeerLostError):
                        await connection.send(offer)

    async def _read(self, store: KeyValueStore) -> None:
        while True:
            try:
                if self._is_reader() or self._follower.active_offer is None:
                    await self._take_root(store, await store.get(ROOT_KEY))
                if self._is_reader():
                    await self._watch(store)
            except StoreError:
                logger.debug("configuration waits for the platform")
            await asyncio.sleep(_READ_AGAIN_SECONDS * random.uniform(0.5, 1.0))

    async def _poll(self, store: KeyValueStore) -> None:
        """Notice what a watch can't tell, such as a platform that has gone back."""
        while True:
            await asyncio.sleep(_POLL_SECONDS * random.uniform(0.8, 1.2))
            if not self._is_reader():
                continue
            with contextlib.suppress(StoreError):
                await self._take_root(store, await store.get(ROOT_KEY))

    async def _watch(self, store: KeyValueStore) -> None:
        async for record in store.watch(ROOT_KEY):
            await self._take_root(store, record)
            if not self._is_reader():
                return

    async def _take_root(self, store: KeyValueStore, record: Record | None) -> None:
        offer = _offer_of(record)
        if offer is None:
            is_lost = self._follower.active_offer is not None
            self._alarms.set(Alarm.PLATFORM_OLDER, is_raised=is_lost)
            return
        verdict = self._follower.classify(offer)
        self._alarms.set(Alarm.PLATFORM_OLDER, is_raised=verdict is OfferVerdict.OLDER)
        self._alarms.set(
            Alarm.CONFIGURATION_FORKED, is_raised=verdict is OfferVerdict.FORKED
        )
        if verdict is not OfferVerdict.NEWER:
            return
        missing = self._follower.set_target(offer)
        self._add(await _read_chunks(store, missing))


async def _read_chunks(store: KeyValueStore, digests: tuple[str, ...]) -> list[bytes]:
    chunks: list[bytes] = []
    for start in range(0, len(digests), _READS_AT_ONCE):
        part = digests[start : start + _READS_AT_ONCE]
        records = await asyncio.gather(
            *(store.get(CHUNK_PREFIX + digest) for digest in part)
        )
        chunks += [record.value for record in records if record is not None]
    return chunks


def _offer_of(record: Record | None) -> RevisionOffer | None:
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
        logger.error("the configuration root is malformed")
        return None
