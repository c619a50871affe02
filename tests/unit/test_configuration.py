"""Test how configuration revisions are split, published and followed."""

import asyncio
import json
from functools import cache

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gooseberrydeal._internal.exceptions import ConflictError
from gooseberrydeal._internal.lab.store_state import StoreState
from gooseberrydeal._internal.models.entries import Entry
from gooseberrydeal._internal.models.ids import EntryKey, RevisionNumber
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.models.revision import Revision
from gooseberrydeal._internal.operations.publisher import Publisher
from gooseberrydeal._internal.policy.configuration_chunks import (
    CHUNK_COUNT,
    chunk_index,
    digest_of,
    join,
    raw_entries,
    split,
)
from gooseberrydeal._internal.policy.configuration_follower import (
    ConfigurationFollower,
    OfferStatus,
)
from gooseberrydeal._internal.policy.configuration_view import ConfigurationView
from gooseberrydeal._internal.utils.clock import SystemClock
from tests.lib.builders import deployment
from tests.lib.fake_store import StoreFault, fake_store
from tests.lib.virtual_loop import run_virtual


def _with_path(entries: tuple[Entry, ...], name: str, path: str) -> list[Entry]:
    """Return the entries with another weight path for one adapter."""
    changed: list[Entry] = []
    for entry in entries:
        if entry.kind == "adapter" and entry.name == name:
            versions = (entry.versions[0].model_copy(update={"path": path}),)
            changed.append(entry.model_copy(update={"versions": versions}))
        else:
            changed.append(entry)
    return changed


def test_split_and_join_are_inverse() -> None:
    raw = raw_entries(deployment(300).entries)
    chunks = split(raw)
    assert len(chunks) == CHUNK_COUNT
    assert join(chunks) == raw
    assert split(join(chunks)) == chunks


def test_changing_one_entry_changes_one_chunk() -> None:
    entries = deployment(300).entries
    before = split(raw_entries(entries))
    after = split(raw_entries(_with_path(entries, "a7", "elsewhere")))
    assert sum(a != b for a, b in zip(before, after, strict=True)) == 1


def test_invalid_entries_are_skipped_and_the_rest_is_used() -> None:
    raw = raw_entries(deployment(20).entries)
    raw[EntryKey("server/engine0")]["concurrency"] = "many"
    raw[EntryKey("adapter/a3")]["versions"] = []
    view = ConfigurationView.from_chunks(split(raw))
    assert EntryKey("server/engine0") in view.skipped
    assert view.configuration.adapter("a3") is None
    assert view.configuration.adapter("a4") is not None
    assert view.configuration.service("language") is not None


def test_submit_on_an_outdated_revision_names_the_conflicting_entry() -> None:
    async def scenario() -> None:
        store, _ = fake_store(StoreState(SystemClock()))
        entries = deployment().entries
        await Publisher(store, "anna").submit(entries, 0, allow_rebase=False)
        anna = _with_path(entries, "a1", "anna")
        bert = _with_path(entries, "a2", "bert")
        await Publisher(store, "anna").submit(anna, 1, allow_rebase=False)
        with pytest.raises(ConflictError, match="adapter/a1"):
            await Publisher(store, "bert").submit(bert, 1, allow_rebase=False)
        conflicting = _with_path(entries, "a1", "clash")
        with pytest.raises(ConflictError, match="adapter/a1"):
            await Publisher(store, "bert").submit(conflicting, 1, allow_rebase=True)
        revision = await Publisher(store, "bert").submit(bert, 1, allow_rebase=True)
        assert revision.number == 3
        merged = (await Publisher(store, "x").current()).entries
        assert merged[EntryKey("adapter/a1")]["versions"][0]["path"] == "anna"
        assert merged[EntryKey("adapter/a2")]["versions"][0]["path"] == "bert"

    asyncio.run(scenario())


def test_exactly_one_of_several_concurrent_submits_succeeds() -> None:
    async def scenario() -> None:
        state = StoreState(SystemClock())
        entries = deployment().entries
        first, _ = fake_store(state)
        await Publisher(first, "x").submit(entries, 0, allow_rebase=False)

        async def submit(number: int) -> Revision | None:
            store, _ = fake_store(state)
            changed = _with_path(entries, f"a{number}", "new")
            try:
                return await Publisher(store, str(number)).submit(
                    changed, 1, allow_rebase=False
                )
            except ConflictError:
                return None

        results = await asyncio.gather(*(submit(n) for n in range(4)))
        assert sum(result is not None for result in results) == 1

    run_virtual(scenario())


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("number", range(1, 22, 2))
def test_store_fault_at_any_write_never_publishes_a_partial_revision(
    fault: StoreFault, number: int
) -> None:
    async def scenario() -> None:
        state = StoreState(SystemClock())
        store, session = fake_store(state)
        entries = deployment().entries
        session.write_faults[number] = fault
        try:
            await Publisher(store, "x").submit(entries, 0, allow_rebase=False)
        except Exception:
            await asyncio.sleep(2)
        session.write_faults.clear()
        current = await Publisher(store, "y").current()
        if current.number:
            assert current.entries == json.loads(json.dumps(raw_entries(entries)))
        else:
            await Publisher(store, "x").submit(entries, 0, allow_rebase=False)

    run_virtual(scenario())


def _offer(number: int, chunks: tuple[bytes, ...]) -> RevisionOffer:
    digests = tuple(digest_of(chunk) for chunk in chunks)
    return RevisionOffer(number, digests, f"attempt{number}", "x")


@cache
def _published(number: int) -> tuple[bytes, ...]:
    entries = _with_path(deployment().entries, "a1", f"path{number}")
    return split(raw_entries(entries))


class FollowerMachine(RuleBasedStateMachine):
    """Offer newer, older and forked revisions, with all or some of their chunks."""

    def __init__(self) -> None:
        super().__init__()
        self.follower = ConfigurationFollower()
        self.highest = 0

    def _chunks(self, number: int) -> tuple[bytes, ...]:
        return _published(number)

    @rule(number=st.integers(1, 8), parts=st.integers(1, 3))
    def offer(self, number: int, parts: int) -> None:
        chunks = self._chunks(number)
        offer = _offer(number, chunks)
        offer_status = self.follower.classify(offer)
        if number > self.follower.number:
            assert offer_status is OfferStatus.NEWER
            missing = set(self.follower.set_target(offer))
            sent = [chunk for chunk in chunks if digest_of(chunk) in missing]
            self.follower.add(sent[: len(sent) * parts // 3])

    @rule(number=st.integers(1, 8))
    def fork(self, number: int) -> None:
        other = _published(100)
        offer_status = self.follower.classify(_offer(number, other))
        if number == self.follower.number:
            assert offer_status is OfferStatus.FORKED

    @invariant()
    def active_number_never_decreases(self) -> None:
        assert self.follower.number >= self.highest
        self.highest = self.follower.number

    @invariant()
    def active_revision_has_all_chunks(self) -> None:
        if self.follower.number:
            offer = self.follower.active_offer
            assert offer is not None
            held = self.follower.chunks(offer.chunks)
            assert held == self._chunks(RevisionNumber(self.follower.number))


TestFollower = FollowerMachine.TestCase


def test_chunk_with_a_wrong_digest_is_not_activated() -> None:
    chunks = split(raw_entries(deployment().entries))
    follower = ConfigurationFollower()
    follower.set_target(_offer(1, chunks))
    original = max(chunks, key=len)
    forged = [b'{"forged":1}' if chunk == original else chunk for chunk in chunks]
    assert not follower.add(forged)
    assert follower.number == 0


def test_entries_of_one_kind_are_spread_over_all_chunks() -> None:
    used = {chunk_index(EntryKey(f"adapter/a{n}")) for n in range(5000)}
    assert len(used) == CHUNK_COUNT
