"""Check when a host's knowledge of accounts lapses, and what follows."""

import asyncio
import logging
import math
from dataclasses import replace

import pytest

from gooseberrydeal._internal.models.ids import AccountName
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.account_directory import (
    AccountDirectory,
    key_digest,
)
from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.accounts.account_gate import (
    AccountGate,
)
from gooseberrydeal._internal.operations.router.accounts.store_proof import (
    StoreProof,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.policy.accounts.key_check import check_key
from gooseberrydeal._internal.policy.store_trust import StoreTrust
from tests.lib.routing_builders import configuration
from tests.lib.virtual_loop import run_virtual

_STRICT = RoutingBounds(has_strict_revocation=True)
_ALICE = ClientAccount(AccountName("alice"))
_DIRECTORY = AccountDirectory((_ALICE,), {key_digest(b"k1"): _ALICE}, skipped=2)


class _Host:
    def __init__(self, bounds: RoutingBounds, *, has_accounts: bool = True) -> None:
        self.now = 100.0
        self.metrics = RouterMetrics()
        self.view = MetadataView(proof=StoreProof(lambda: self.now))
        accounts = _DIRECTORY if has_accounts else None
        self.view.configuration = replace(configuration(1), accounts=accounts)
        self.gate = AccountGate(self.view, self.metrics, bounds)

    def read(self) -> None:
        self.view.proof.read_ended(self.now, 1, is_confirmed=True)
        self.gate.metadata_changed()


def test_knowledge_lapses_before_the_bound_and_is_confirmed_by_a_read(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    host = _Host(_STRICT)
    assert host.gate.has_lapsed
    host.read()
    for age, has_lapsed in ((0.0, False), (4.75, False), (4.76, True), (9.0, True)):
        host.now = 100.0 + age
        assert host.gate.has_lapsed is has_lapsed
    host.read()
    assert not host.gate.has_lapsed
    texts = [record.getMessage() for record in caplog.records]
    # The start is no lapse, and a lapse is logged once.
    assert [text.partition(":")[0] for text in texts] == [
        "account knowledge lapsed",
        "account knowledge confirmed again",
    ]


def test_without_accounts_or_a_strict_bound_nothing_lapses() -> None:
    lenient = _Host(RoutingBounds())
    assert not lenient.gate.has_lapsed
    assert not _Host(_STRICT, has_accounts=False).gate.has_lapsed
    lenient.gate.set_bounds(_STRICT)
    assert lenient.gate.has_lapsed


def test_the_gauges_show_what_is_known_of_accounts() -> None:
    host = _Host(_STRICT)
    host.read()
    host.now += 1.5
    host.gate.publish()
    text = host.metrics.render().decode()
    for name, value in (
        ("accounts", 1),
        ("accounts_skipped", 2),
        ("keys", 1),
        ("account_proof_age_seconds", 1.5),
    ):
        assert f'gooseberry_router_state{{name="{name}"}} {value}' in text
    plain = _Host(_STRICT, has_accounts=False)
    plain.gate.publish()
    assert 'name="accounts' not in plain.metrics.render().decode()
    assert 'name="keys"' not in plain.metrics.render().decode()


@pytest.mark.parametrize(
    ("key", "age", "strict", "is_open", "refusal"),
    [
        (b"k1", 4.7, True, False, None),
        (b"k1", 4.8, True, False, RefusalReason.ACCOUNT_UNCONFIRMED),
        (b"k1", 4.8, True, True, RefusalReason.ACCOUNT_UNCONFIRMED),
        (b"k1", math.inf, False, False, None),
        (b"k1", math.inf, True, False, RefusalReason.ACCOUNT_UNCONFIRMED),
        *(
            (key, age, strict, is_open, None if is_open else refusal)
            for key in (None, b"", b"k2")
            for age, refusal in (
                (2.0, RefusalReason.UNAUTHENTICATED),
                (2.1, RefusalReason.ACCOUNT_UNCONFIRMED),
                (math.inf, RefusalReason.ACCOUNT_UNCONFIRMED),
            )
            for strict in (False, True)
            for is_open in (False, True)
        ),
    ],
)
def test_each_row_of_the_table_of_answers(
    key: bytes | None,
    age: float,
    strict: bool,
    is_open: bool,
    refusal: RefusalReason | None,
) -> None:
    bounds = RoutingBounds(has_strict_revocation=strict)
    check = check_key(_DIRECTORY, key, age, bounds, is_open=is_open)
    assert check.refusal is refusal
    assert (check.account is not None) is (key == b"k1" and refusal is None)
    assert check.retry_after == (
        0.05 if refusal is RefusalReason.ACCOUNT_UNCONFIRMED else None
    )


@pytest.mark.parametrize(
    ("lifetime", "wake_after", "expected"),
    [
        (None, None, 0.8),
        (4.75, None, 0.8),
        (1.0, None, 0.5),
        (0.1, None, 0.1),
        (4.75, 0.3, 0.3),
        # Requests without end do not make the host read without a pause.
        (4.75, 0.0, 0.1),
    ],
)
def test_the_store_is_read_again_before_the_proof_lapses(
    lifetime: float | None, wake_after: float | None, expected: float
) -> None:
    async def scenario() -> None:
        clock = asyncio.get_running_loop().time
        proof = StoreProof(clock)
        proof.set_lifetime(lifetime)
        proof.read_ended(clock(), 1, is_confirmed=True)
        began_at = clock()
        if wake_after is not None:
            asyncio.get_running_loop().call_later(wake_after, proof.read_soon)
        await proof.pause(0.8)
        assert clock() - began_at == pytest.approx(expected)

    run_virtual(scenario())


def test_reads_that_are_no_proof_are_repeated_at_a_pace() -> None:
    async def scenario() -> None:
        clock = asyncio.get_running_loop().time
        proof = StoreProof(clock)
        proof.set_lifetime(4.75)
        proof.read_ended(clock(), 1, is_confirmed=False)
        began_at = clock()
        await proof.pause(0.8)
        assert clock() - began_at == pytest.approx(0.3)

    run_virtual(scenario())


def test_a_restored_store_confirms_keys_once_its_epoch_is_settled() -> None:
    trust = StoreTrust(is_first_start=False)
    trust.store_read(1, 0.0, has_record=True, is_settled=True)
    assert trust.is_confirmed
    trust.store_read(2, 1.0, has_record=True, is_settled=False)
    # It is still trusted for everything else.
    assert trust.is_trusted and not trust.is_confirmed
    trust.store_read(2, 9.0, has_record=True, is_settled=False)
    assert not trust.is_confirmed
    trust.store_read(2, 9.1, has_record=True, is_settled=True)
    assert trust.is_confirmed


def test_the_first_start_of_a_deployment_confirms_keys_in_its_first_epoch_only() -> (
    None
):
    trust = StoreTrust(is_first_start=True)
    trust.store_read(1, 0.0, has_record=False, is_settled=False)
    assert trust.is_confirmed
    trust.store_read(2, 1.0, has_record=False, is_settled=False)
    assert not trust.is_confirmed
