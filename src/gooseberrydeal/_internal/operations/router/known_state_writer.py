"""Write to the metadata store what hosts know and the store lacks."""

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.exceptions import StoreError
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.known_state import KnownState
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.network.known_state_codec import encode_known_state
from gooseberrydeal._internal.operations.router.metadata_view import (
    KNOWN_STATE_KEY,
    MetadataView,
)
from gooseberrydeal._internal.policy.lost_writes import LostWrites
from gooseberrydeal._internal.utils.rendezvous import ranked

logger = logging.getLogger(__name__)

# Hosts write one after the other, so that most of them read another's record first.
_SECONDS_PER_RANK: Final = 0.25
_MAX_RANK: Final = 20
# Delay of writes for which no host waits.
_QUIET_SECONDS: Final = 1.0
# All hosts that reach a restored store have read it, and have added to the record what
# they know, within this time after the first one read it.
_SETTLING_SECONDS: Final = 2.4
# The store takes values of up to a megabyte.
_MAX_RECORD_BYTES: Final = 1_000_000


class KnownStateWriter:
    """Keep the record up to date, together with the other hosts.

    All hosts write the same key, each only if the record lacks or exceeds what it knows
    itself after reading it. Once no host has anything to add, the epoch is settled.
    """

    def __init__(
        self,
        membership: HostMembership,
        store: MetadataStore,
        view: MetadataView,
        lost_writes: LostWrites,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._store = store
        self._view = view
        self._lost_writes = lost_writes
        self._clock = clock
        self._epoch: int | None = None
        self._epoch_read_at = -math.inf
        self._wake = asyncio.Event()

    def metadata_changed(self) -> None:
        """Compare the record soon with what this host knows."""
        self._wake.set()

    async def run(self) -> None:
        """Write the record when it differs, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            wanted = self._wanted()
            if wanted is None:
                continue
            await asyncio.sleep(self._delay(wanted))
            wanted = self._wanted()
            if wanted is None:
                continue
            try:
                await self._write(wanted)
            except StoreError as error:
                logger.info(
                    "what the metadata store lost was not written back yet: %s", error
                )

    def _wanted(self) -> KnownState | None:
        """Return the record as it should be, ``None`` if it is so."""
        view = self._view
        if not view.is_complete or not view.trusts_store:
            return None
        if view.store_epoch != self._epoch:
            # A host that has just started has waited for the others already, so its
            # first epoch needs no more time.
            if self._epoch is not None:
                self._epoch_read_at = self._clock()
            self._epoch = view.store_epoch
        had_time = self._clock() - self._epoch_read_at >= _SETTLING_SECONDS
        wanted = self._lost_writes.known_state(
            view.store_epoch, is_settled=had_time or view.is_settled
        )
        found = view.known_state
        is_other_epoch = found is None or found.epoch != view.store_epoch
        if is_other_epoch and wanted.is_empty and not wanted.is_settled:
            return None
        if wanted == found:
            return None
        wanted = _without_excess(wanted)
        return None if wanted == found else wanted

    def _delay(self, wanted: KnownState) -> float:
        names = ranked(f"known state {wanted.epoch}", map(str, self._view.hosts))
        own = str(self._membership.host)
        rank = names.index(own) if own in names else len(names)
        was_restored = not math.isinf(self._epoch_read_at)
        is_urgent = was_restored and not self._view.is_settled
        first = 0.0 if is_urgent else _QUIET_SECONDS
        return first + min(rank, _MAX_RANK) * _SECONDS_PER_RANK

    async def _write(self, wanted: KnownState) -> None:
        revision = await self._store.put(
            KNOWN_STATE_KEY,
            encode_known_state(wanted),
            if_revision=self._view.known_state_revision,
        )
        if revision is None:
            # Another host wrote first; its record is about to be read.
            return
        logger.info(
            "lost writes recorded: %d configuration, %d adapter versions, %d departed"
            " servers; epoch is %s",
            wanted.configuration is not None,
            len(wanted.versions),
            len(wanted.departed),
            "settled" if wanted.is_settled else "not settled",
            extra={"epoch": wanted.epoch},
        )


def _without_excess(state: KnownState) -> KnownState:
    """Return a record that the store can take, without what is too large for it."""
    smaller = (state, replace(state, versions={}), replace(state, configuration=None))
    for candidate in smaller:
        if len(encode_known_state(candidate)) <= _MAX_RECORD_BYTES:
            break
    else:
        candidate = replace(state, versions={}, configuration=None)
    if candidate is not state:
        logger.error(
            "not all that the metadata store lost can be written back: the record"
            " would have more than %d bytes",
            _MAX_RECORD_BYTES,
        )
    return candidate
