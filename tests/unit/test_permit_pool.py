"""Test that permits keep load starts within the weight store's rate limit."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gooseberrydeal._internal.models.permit import Permit
from gooseberrydeal._internal.policy.permit_pool import (
    WINDOW_SECONDS,
    PermitPool,
    divide_permits,
)

_TOTAL = 7
_KEEPERS = ["k1", "k2", "k3"]
_KEEPER = st.sampled_from(_KEEPERS)


class PermitMachine(RuleBasedStateMachine):
    """Take and lend permits, lose messages and divide permits again.

    Members that are cut off keep using their permits, which stay reserved for them.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.pools = {name: PermitPool() for name in _KEEPERS}
        self.epoch = 0
        self.members = list(_KEEPERS)
        self.reserved: dict[str, int] = {}
        self.shares: dict[str, int] = {}
        self.starts: list[float] = []
        self.in_flight: list[tuple[str, Permit]] = []
        self.grants: list[tuple[str, int, int, float]] = []
        self._divide()
        for name in _KEEPERS:
            self._adopt(name)
        self._confirm()
        self.now += 10

    def _divide(self) -> None:
        self.epoch += 1
        self.shares = divide_permits(_TOTAL, self.members, self.reserved)

    def _adopt(self, name: str) -> None:
        if name in self.members:
            self.pools[name].adopt(self.epoch, self.shares[name])

    def _confirm(self) -> None:
        if all(self.pools[name].epoch >= self.epoch for name in self.members):
            for name in self.members:
                self.pools[name].confirm(self.now)

    @rule(name=_KEEPER)
    def take(self, name: str) -> None:
        permit = self.pools[name].take(self.now)
        if permit is not None:
            self.starts.append(self.now)
            self.in_flight.append((name, permit))

    @rule()
    def finish(self) -> None:
        if self.in_flight:
            name, permit = self.in_flight.pop()
            self.pools[name].finish(permit)

    @rule(lender=_KEEPER, borrower=_KEEPER, wanted=st.integers(1, 5))
    def ask(self, lender: str, borrower: str, wanted: int) -> None:
        if lender == borrower or self.pools[lender].epoch != self.pools[borrower].epoch:
            return
        sent_at = self.now
        self.now += 0.01
        lent = self.pools[lender].lend(wanted, 0, self.now)
        if lent:
            self.grants.append((borrower, lent, self.pools[lender].epoch, sent_at))

    @rule(is_lost=st.booleans())
    def deliver(self, is_lost: bool) -> None:
        if not self.grants:
            return
        borrower, count, epoch, sent_at = self.grants.pop()
        if not is_lost:
            self.pools[borrower].borrow(count, epoch, sent_at)

    @rule(name=_KEEPER)
    def cut_off(self, name: str) -> None:
        if name in self.members and len(self.members) > 1:
            self.members.remove(name)
            self.reserved[name] = self.shares[name]
            self._divide()

    @rule(name=_KEEPER)
    def come_back(self, name: str) -> None:
        if name not in self.members:
            self.members.append(name)
            self.reserved.pop(name, None)
            self._divide()

    @rule(name=_KEEPER)
    def adopt(self, name: str) -> None:
        self._adopt(name)
        self._confirm()

    @rule(seconds=st.floats(0.01, 1.5))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def load_rate_stays_within_the_limit(self) -> None:
        for start in self.starts[-40:]:
            inside = [t for t in self.starts if start <= t < start + WINDOW_SECONDS]
            assert len(inside) <= _TOTAL


TestPermitPool = PermitMachine.TestCase


def test_permit_is_used_at_most_once_per_window() -> None:
    pool = PermitPool()
    pool.adopt(1, 1)
    pool.confirm(0.0)
    assert pool.take(1.0) is None
    permit = pool.take(3.0)
    assert permit is not None
    pool.finish(permit)
    assert pool.take(4.9) is None
    assert pool.take(5.1) is not None


def test_permit_is_not_reused_while_its_load_runs() -> None:
    pool = PermitPool()
    pool.adopt(1, 1)
    pool.confirm(0.0)
    assert pool.take(3.0) is not None
    assert pool.take(30.0) is None


def test_reserved_permits_are_not_handed_out() -> None:
    shares = divide_permits(18, ["a", "b"], {"c": 6})
    assert shares == {"a": 6, "b": 6}


def test_total_is_kept_with_more_members_than_permits() -> None:
    shares = divide_permits(3, [f"h{n}" for n in range(10)], {})
    assert sum(shares.values()) == 3


def test_new_permits_are_unusable_until_confirmed() -> None:
    pool = PermitPool()
    pool.adopt(1, 2)
    assert pool.take(1000.0) is None
    pool.confirm(1000.0)
    assert pool.take(1001.0) is None
    assert pool.take(1003.0) is not None
