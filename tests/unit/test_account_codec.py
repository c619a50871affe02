"""Check which client accounts are accepted, and how keys are kept out of records."""

import json
import logging
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.routing.account_directory import (
    AccountDirectory,
)
from gooseberrydeal._internal.models.routing.client_account import (
    AccountQuota,
    QuotaUnit,
)
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.platform.account_codec import without_keys
from gooseberrydeal._internal.platform.configuration_codec import decode_configuration
from gooseberrydeal._internal.platform.metadata_names import PlatformMetadataCodec
from tests.lib.account_builders import accounts_document, tenant

_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=9),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=9,
)
_FIELDS = st.fixed_dictionaries(
    {},
    optional=dict.fromkeys(
        ("name", "apiKeys", "keyDigests", "priority", "unit"), _JSON
    ),
)


def _decode(*tenants: Any) -> AccountDirectory:
    accounts = decode_configuration(accounts_document(*tenants)).accounts
    assert accounts is not None
    return accounts


def test_an_account_has_its_keys_rank_and_quota() -> None:
    found = _decode(
        tenant("a", "k1", "k\u00e9", priority=2, ratePerS=9, burst=4),
        tenant("b", "k3", unit="token_stream", ratePerS=0.5, plainTokens=7),
        tenant("c"),
        {"name": "d", "apiKeys": None, "ratePerS": 0, "priority": None},
    )
    first, second = found.find(b"k1"), found.find(b"k3")
    assert first is not None and second is not None
    assert (first.name, first.rank) == ("a", 2)
    assert first.quota == AccountQuota(9, 4, QuotaUnit.REQUESTS)
    assert found.find("k\u00e9".encode()) == first
    assert second.quota == AccountQuota(0.5, 0, QuotaUnit.TOKENS, 7)
    assert found.find(b"") is None
    assert [str(account.name) for account in found.accounts] == ["a", "b", "c", "d"]
    assert (found.key_count, found.skipped_count) == (3, 0)
    assert all(a.quota is None for a in found.accounts if a.name in ("c", "d"))


_WRONG_NUMBERS: list[Any] = [-1, 1.1e12, float("nan"), float("inf"), True, "1", []]
_MALFORMED: list[Any] = [
    None,
    "alice",
    [],
    tenant(None, "bad-key"),
    tenant("", "bad-key"),
    tenant("n" * 201, "bad-key"),
    tenant("tab\there", "bad-key"),
    tenant("\u00e9", "bad-key"),
    {"name": "alice", "apiKeys": "bad-key"},
    tenant("alice", "bad-key", 7),
    tenant("alice", "bad-key", ""),
    tenant("alice", "bad-key", "k" * 1025),
    tenant("alice", "bad-key", "\ud800"),
    tenant("alice", "bad-key", keyDigests=["AAAA"]),
    tenant("alice", "bad-key", keyDigests=["?"]),
    *(
        tenant("alice", "bad-key", **{field: value})
        for field in ("priority", "ratePerS", "burst", "plainTokens")
        for value in _WRONG_NUMBERS
    ),
    tenant("alice", "bad-key", unit=7),
]


@pytest.mark.parametrize("item", _MALFORMED, ids=lambda item: repr(item)[:60])
def test_a_malformed_account_is_skipped_and_the_others_are_kept(
    item: Any, caplog: pytest.LogCaptureFixture
) -> None:
    codec = PlatformMetadataCodec()
    value = accounts_document(item, tenant("good", "good-key"))
    with caplog.at_level(logging.DEBUG):
        for _ in range(2):
            configuration = codec.configuration(StoreItem("op/config", value, 1))
    assert configuration is not None and configuration.accounts is not None
    assert configuration.accounts.find(b"bad-key") is None
    assert configuration.accounts.find(b"good-key") is not None
    assert configuration.accounts.skipped_count == 1
    assert len(caplog.records) == 1
    assert "bad-key" not in caplog.text


def test_a_key_of_two_accounts_admits_neither() -> None:
    found = _decode(tenant("a", "k1", "k2"), tenant("b", "k2"), tenant("c", "k3"))
    assert [found.find(key) for key in (b"k1", b"k2")] == [None, None]
    assert found.find(b"k3") is not None
    assert found.skipped_count == 2


@pytest.mark.parametrize("value", [[None], {}, "x", 0, False])
def test_accounts_that_are_all_malformed_admit_nobody(value: Any) -> None:
    document = json.dumps({"version": 1, "tenants": value}).encode()
    accounts = decode_configuration(document).accounts
    assert accounts is not None
    assert (accounts.key_count, accounts.skipped_count) == (0, 1)


@pytest.mark.parametrize("document", [b'{"version":1}', b'{"version":1,"tenants":[]}'])
def test_a_configuration_without_accounts_is_kept_byte_by_byte(document: bytes) -> None:
    assert decode_configuration(document).accounts is None
    assert without_keys(document) is document


def test_a_number_too_long_for_an_integer_skips_only_its_account() -> None:
    document = accounts_document(tenant("a", "k1", burst=0), tenant("b", "k2"))
    document = document.replace(b'"burst": 0', b'"burst": 1' + b"0" * 9_000)
    accounts = decode_configuration(document).accounts
    assert accounts is not None
    assert accounts.find(b"k1") is None
    assert accounts.find(b"k2") is not None


@given(st.lists(_FIELDS | _JSON, min_size=1, max_size=4))
def test_any_accounts_decode_alike_with_and_without_their_keys(
    items: list[Any],
) -> None:
    document = accounts_document(*items)
    original = decode_configuration(document).accounts
    redacted = without_keys(document)
    decoded = decode_configuration(redacted).accounts
    assert original is not None and decoded is not None
    assert decoded.__dict__ == original.__dict__
    assert without_keys(redacted) == redacted


def test_a_record_holds_digests_and_all_else_of_the_configuration() -> None:
    document = json.loads(accounts_document(tenant("a", "secret-1", priority=1)))
    document["routes"] = [{"name": "r"}]
    redacted = without_keys(json.dumps(document).encode())
    assert b"secret-1" not in redacted
    assert json.loads(redacted)["routes"] == [{"name": "r"}]
    accounts = decode_configuration(redacted).accounts
    assert accounts is not None
    found = accounts.find(b"secret-1")
    assert found is not None and found.rank == 1
