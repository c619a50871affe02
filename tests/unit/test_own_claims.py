"""Check which claims of a host last, and which it may resume after a restoration."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.models.routing.store_revision import ordered_revision
from gooseberrydeal._internal.operations.router.lease_keeper import (
    LOCAL_VALIDITY_SECONDS,
    LeaseKeeper,
)
from gooseberrydeal._internal.operations.router.ownership.own_claims import OwnClaims
from tests.lib.fake_metadata_store import FakeMetadataStore, StoreData
from tests.lib.routing_builders import membership
from tests.lib.virtual_loop import run_virtual

_SERVER = ServerId("i-1")
_HOST = HostId("h1")
_OTHER = HostId("h2")
_GRANT_SECONDS = 0.5


class _World:
    """Hold a host's claim to an engine under a lease, and the record that it reads."""

    def __init__(self) -> None:
        clock = asyncio.get_running_loop().time
        self.data = StoreData()
        store = FakeMetadataStore(self.data)
        self.lease = LeaseKeeper(store, membership(_HOST), clock, lambda: None)
        self.claims = OwnClaims(self.lease)
        self._renewals = asyncio.create_task(self.lease.run())

    async def claim(self) -> OwnerClaim:
        await asyncio.sleep(_GRANT_SECONDS)
        lease = self.lease.lease
        assert lease is not None
        claim = OwnerClaim(_HOST, lease, ordered_revision(0, 7))
        self.claims.add(_SERVER, claim)
        return claim

    def read(self, record: OwnerClaim | None, *engines: ServerId) -> None:
        """Read an owner record after the owner of the engine was stopped."""
        records = {} if record is None else {_SERVER: record}
        self.claims.update(records, engines, ())

    def begin_epoch(self, restorations: int = 1) -> None:
        self.claims.begin_epoch(restorations)
        self.lease.discard()

    async def stop(self) -> None:
        self._renewals.cancel()
        await asyncio.gather(self._renewals, return_exceptions=True)


def _run(play: Callable[[_World], Awaitable[None]]) -> None:
    async def scenario() -> None:
        world = _World()
        await play(world)
        await world.stop()

    run_virtual(scenario())


def _of_another(claim: OwnerClaim) -> OwnerClaim:
    return replace(claim, owner=_OTHER, revision=claim.revision + 1)


def test_an_owner_until_the_restoration_may_resume() -> None:
    async def play(world: _World) -> None:
        claim = await world.claim()
        world.read(claim, _SERVER)
        world.begin_epoch()
        assert world.claims.may_resume(_SERVER)
        world.read(replace(claim, revision=ordered_revision(1, 7)))
        assert world.claims.may_resume(_SERVER)

    _run(play)


def test_an_owner_whose_lease_ended_before_it_read_the_restoration_may_resume() -> None:
    async def play(world: _World) -> None:
        claim = await world.claim()
        world.data.epoch += 1
        while world.lease.lease in (claim.lease, None):
            await asyncio.sleep(_GRANT_SECONDS)
        world.read(claim, _SERVER)
        world.begin_epoch()
        assert world.claims.may_resume(_SERVER)

    _run(play)


@pytest.mark.parametrize("way", ["released", "replaced", "ended", "removed"])
def test_an_engine_that_was_given_up_is_not_resumed(way: str) -> None:
    """Guards against a claim that outlasts a way of giving the engine up."""

    async def play(world: _World) -> None:
        claim = await world.claim()
        if way == "released":
            world.claims.release(_SERVER)
            assert world.claims.is_released(claim)
        elif way == "replaced":
            world.read(_of_another(claim), _SERVER)
        elif way == "ended":
            world.read(None, _SERVER)
        else:
            world.read(claim)
        assert world.claims.get(_SERVER) is None
        world.begin_epoch()
        assert not world.claims.may_resume(_SERVER)

    _run(play)


@pytest.mark.parametrize("way", ["other host", "own claim", "next epoch", "two epochs"])
def test_the_right_to_resume_ends(way: str) -> None:
    """Guards against a right to claim at once that outlasts what took its place."""

    async def play(world: _World) -> None:
        claim = await world.claim()
        world.begin_epoch(2 if way == "two epochs" else 1)
        later = replace(claim, revision=ordered_revision(1, 9), epoch=1)
        if way == "other host":
            world.read(_of_another(later), _SERVER)
            world.read(None, _SERVER)
        elif way == "own claim":
            world.claims.add(_SERVER, later)
            world.claims.release(_SERVER)
        elif way == "next epoch":
            world.begin_epoch()
        assert not world.claims.may_resume(_SERVER)

    _run(play)


def test_the_right_to_resume_ends_with_the_time_of_the_former_lease() -> None:
    """Guards against a right to claim at once that has no end."""

    async def play(world: _World) -> None:
        await world.claim()
        world.begin_epoch()
        await asyncio.sleep(LOCAL_VALIDITY_SECONDS)
        assert world.lease.is_valid
        assert not world.claims.may_resume(_SERVER)

    _run(play)
