"""Check that no order of reads and failures lets a key in after the bound."""

from dataclasses import dataclass, field
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from gooseberrydeal._internal.models.ids import AccountName
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.account_directory import (
    AccountDirectory,
    key_digest,
)
from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.store_revision import ordered_revision
from gooseberrydeal._internal.policy.accounts.freshness import Freshness
from gooseberrydeal._internal.policy.accounts.key_check import KeyCheck, check_key

_BOUNDS = RoutingBounds(has_strict_revocation=True)
_KEY = b"k0"
_HOSTS = st.integers(0, 1)
_PAUSES = st.sampled_from([0.0, 2.5, 5.1])


class _Declared(NamedTuple):
    version: int
    keys: frozenset[bytes]


_NOTHING = _Declared(0, frozenset())


class _StoreState(NamedTuple):
    epoch: int
    revision: int
    declared: _Declared
    is_settled: bool


@dataclass
class _Host:
    """Hold what one start of a host knows, and its call to the store, if any."""

    freshness: Freshness = field(default_factory=Freshness)
    declared: _Declared = _NOTHING
    began_at: float = 0.0
    response: _StoreState | None = None
    seen_revision: int = 0

    def receive(self) -> None:
        if self.response is None:
            return
        state, self.response = self.response, None
        if state.declared.version > self.declared.version:
            self.declared = state.declared
        self.seen_revision = max(self.seen_revision, _revision(state))
        self.freshness.read_ended(
            self.began_at, _revision(state), is_confirmed=state.is_settled
        )

    def check(self, now: float) -> KeyCheck:
        account = ClientAccount(AccountName("a"))
        digests = {key_digest(held): account for held in self.declared.keys}
        directory = AccountDirectory((account,), digests)
        age = self.freshness.age(now)
        return check_key(directory, _KEY, age, _BOUNDS, is_open=False)


class RevocationMachine(RuleBasedStateMachine):
    """Declare a key, read it late, lose calls, restart hosts and restore the store.

    Hosts do nothing between their steps, so any of them may be frozen, suspended or cut
    off for any time. A host that has just started gets no outdated response.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        self.hosts = [_Host() for _ in range(2)]
        self.store = _StoreState(1, 1, _Declared(1, frozenset([_KEY])), True)
        self.past = [self.store]
        self.newest = 1
        self.acknowledged = [(self.now, self.store.declared)]

    @rule(pause=_PAUSES, has_key=st.booleans())
    def declare(self, pause: float, has_key: bool) -> None:
        self.now += pause
        self.newest += 1
        declared = _Declared(self.newest, frozenset([_KEY] if has_key else []))
        self._write(declared, is_settled=self.store.is_settled)
        self.acknowledged.append((self.now, declared))

    @rule(pause=_PAUSES, host=_HOSTS, lag=st.sampled_from([0, 0, 2, 3, 4]))
    def call_store(self, pause: float, host: int, lag: int) -> None:
        """Begin a call; its response, on its way, may show an outdated state."""
        self.now += pause
        caller = self.hosts[host]
        caller.began_at, caller.response = self.now, self.store
        older = [state for state in self.past if state.epoch == self.store.epoch]
        state = older[-1 - min(lag, len(older) - 1)]
        if caller.seen_revision > _revision(state):
            caller.response = state

    @rule(pause=_PAUSES, host=_HOSTS)
    def receive(self, pause: float, host: int) -> None:
        self.now += pause
        self.hosts[host].receive()

    @rule(host=_HOSTS)
    def restart(self, host: int) -> None:
        self.hosts[host] = _Host()
        self._forget_lost()

    @rule(pause=_PAUSES, index=st.integers(0, 9))
    def restore_store(self, pause: float, index: int) -> None:
        self.now += pause
        copy = self.past[-1 - index % len(self.past)]
        self.store = copy._replace(epoch=self.store.epoch + 1, is_settled=False)
        self.past.append(self.store)
        self._forget_lost()

    @precondition(lambda self: not self.store.is_settled)
    @rule()
    def write_back_what_hosts_know(self) -> None:
        known = max([self.store.declared, *(host.declared for host in self.hosts)])
        self._write(known, is_settled=True)

    @rule(pause=_PAUSES, host=_HOSTS)
    def read_at_once(self, pause: float, host: int) -> None:
        """Check that a host in touch with the store is not too strict either."""
        self.call_store(pause, host, lag=0)
        self.hosts[host].receive()
        if self.store.is_settled:
            is_known = _KEY in self.store.declared.keys
            expected = None if is_known else RefusalReason.UNAUTHENTICATED
            assert self.hosts[host].check(self.now).refusal is expected

    @invariant()
    def no_host_admits_a_key_after_the_bound(self) -> None:
        bound = self.now - _BOUNDS.revocation
        older = [declared for at, declared in self.acknowledged if at <= bound]
        active = older[-1:] + [d for at, d in self.acknowledged if at > bound]
        for host in self.hosts:
            if host.check(self.now).account is not None:
                assert any(_KEY in declared.keys for declared in active)

    def _write(self, declared: _Declared, *, is_settled: bool) -> None:
        epoch, revision = self.store.epoch, self.store.revision + 1
        self.store = _StoreState(epoch, revision, declared, is_settled)
        self.past.append(self.store)

    def _forget_lost(self) -> None:
        """Leave out what neither the store nor any host holds any more."""
        known = max([self.store.declared, *(host.declared for host in self.hosts)])
        self.acknowledged = [
            item for item in self.acknowledged if item[1].version <= known.version
        ]
        # A copy may bring back what was lost before.
        if known.version > self.acknowledged[-1][1].version:
            self.acknowledged.append((self.now, known))


def _revision(state: _StoreState) -> int:
    return ordered_revision(state.epoch, state.revision)


TestRevocation = RevocationMachine.TestCase
# With this many examples, bounds that are too long, proofs as of the response's time
# and proofs from unconfirmed stores were found.
TestRevocation.settings = settings(max_examples=800, stateful_step_count=25)


def test_a_response_older_than_an_earlier_one_is_no_proof() -> None:
    freshness = Freshness()
    assert freshness.read_ended(10.0, 5, is_confirmed=True)
    assert not freshness.read_ended(20.0, 4, is_confirmed=True)
    assert freshness.age(20.0) == 10.0
    assert freshness.read_ended(30.0, 5, is_confirmed=True)
    assert freshness.age(31.0) == 1.0


def test_calls_that_end_out_of_order_keep_the_later_proof() -> None:
    freshness = Freshness()
    freshness.read_ended(20.0, 5, is_confirmed=True)
    freshness.read_ended(10.0, 5, is_confirmed=True)
    assert freshness.age(21.0) == 1.0
