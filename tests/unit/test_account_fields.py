"""Check the fields in which requests name accounts, and what identifies them."""

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import AccountName, HostId, RequestId, ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.forward_facts import ForwardAttributes
from gooseberrydeal._internal.models.routing.http_heads import Header, RequestHead
from gooseberrydeal._internal.models.routing.peer_request import PeerRequest
from gooseberrydeal._internal.network.http1.peer_fields import (
    decode_peer_request,
    encode_peer_request,
)
from gooseberrydeal._internal.operations.router.accounts.admission import Admission
from gooseberrydeal._internal.operations.router.accounts.refusal_log import RefusalLog
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from gooseberrydeal._internal.policy.accounts.key_check import KeyCheck, KeyState

_CODEC = PlatformRelayCodec()
_PRINTABLE = st.text(st.characters(min_codepoint=32, max_codepoint=126), min_size=1)
_SENT = ((b"AUTHORIZATION", b"Bearer k1"), (b"x-Tenant", b"forged"), (b"X-A", b"1"))


def _head(*headers: Header) -> RequestHead:
    return RequestHead(b"POST", b"/a", headers)


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ([], None),
        ([b"Bearer k1"], b"k1"),
        ([b"bearer   k1 "], b"k1"),
        ([b"Bearer"], b""),
        ([b""], b""),
        ([b"Basic k1"], b""),
        ([b"k1"], b""),
        ([b"Bearer k1", b"Bearer k2"], b""),
        ([b"Bearer k\xff"], b"k\xff"),
    ],
)
def test_the_key_of_a_request_is_read(values: list[bytes], key: bytes | None) -> None:
    head = _head(*((b"Authorization", value) for value in values))
    attributes = _CODEC.read_request(head)
    assert attributes.key == key
    assert "k1" not in repr(attributes) and "k1" not in repr(head)


@pytest.mark.parametrize("account", [None, AccountName("alice")])
def test_server_and_host_get_the_account_instead_of_the_key(
    account: AccountName | None,
) -> None:
    attributes = ForwardAttributes(
        ServerId("i-1"), 1.5, account=account, hides_key=True
    )
    for fields in (
        _CODEC.forward_headers(_head(*_SENT), attributes),
        _CODEC.peer_headers(_head(*_SENT), 1.5, account, hides_key=True),
    ):
        tenants = [value for name, value in fields if name.lower() == b"x-tenant"]
        assert tenants == ([] if account is None else [b"alice"])
        assert (b"X-A", b"1") in fields
        assert b"authorization" not in {name.lower() for name, _ in fields}


def test_without_accounts_the_fields_of_the_client_are_forwarded_unchanged() -> None:
    forwarded = _CODEC.forward_headers(
        _head(*_SENT), ForwardAttributes(ServerId("i-1"), 1.5)
    )
    assert forwarded[:3] == list(_SENT)
    assert _CODEC.peer_headers(_head(*_SENT), 1.5)[:3] == list(_SENT)
    request = PeerRequest(HostId("h1"), 7, 2)
    assert len(encode_peer_request(request)) == 2
    attributes = _CODEC.read_request(_head(*_SENT))
    assert Admission().caller(attributes) == "Bearer k1"


@given(st.none() | _PRINTABLE.map(AccountName))
def test_hosts_read_the_account_that_another_one_found(
    account: AccountName | None,
) -> None:
    request = PeerRequest(HostId("h1"), 7, 2, account, has_account_field=True)
    fields = encode_peer_request(request)
    assert decode_peer_request(fields) == request
    # Spaces at the ends of a value would be lost on the way.
    assert decode_peer_request([(k, v.strip()) for k, v in fields]) == request


def test_requests_of_an_account_are_alike_whichever_key_they_have() -> None:
    admission = Admission(ClientAccount(AccountName("alice")), hides_key=True)
    for value in (b"Bearer k1", b"Bearer k2"):
        attributes = _CODEC.read_request(_head((b"Authorization", value)))
        assert admission.caller(attributes) == "alice"
        assert Admission(None, hides_key=True).caller(attributes) == ""


def test_many_refusals_leave_few_lines(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    times = iter(range(1_000))
    log = RefusalLog(lambda: next(times) / 50)
    check = KeyCheck(KeyState.UNKNOWN, refusal=RefusalReason.UNAUTHENTICATED)
    for number in range(1_000):
        log.refused(check, RequestId(f"q{number}"), 4, 0.3)
    # Twice the first five refusals, and once the number of the others.
    assert len(caplog.records) == 11
    assert "495 further requests" in caplog.text
