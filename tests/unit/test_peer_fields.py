"""Check what hosts say to each other about requests that they pass on."""

import random

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.http_heads import Header, RequestHead
from gooseberrydeal._internal.models.routing.peer_reply import PeerReply
from gooseberrydeal._internal.models.routing.peer_request import PeerRequest
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.network.http1.framing import end_to_end_headers
from gooseberrydeal._internal.network.http1.peer_fields import (
    PEER_FIELDS,
    decode_peer_reply,
    decode_peer_request,
    encode_peer_request,
    in_progress_field,
    notice_fields,
    refusal_field,
)
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from gooseberrydeal._internal.policy.peer_choice import PeerCandidate, choose_peer

_NOTICES = ResponseAttributes("q1", False, False, is_leaving=True, is_brittle=True)
_NAMES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1)


@given(_NAMES, st.integers(0, 2**48), st.integers(1, 9))
def test_requests_between_hosts_survive(host: str, start: int, servers: int) -> None:
    request = PeerRequest(HostId(host), start, servers)
    assert decode_peer_request(encode_peer_request(request)) == request


@given(st.sampled_from(RefusalReason), st.integers(0, 9999), _NAMES, st.integers(0))
def test_replies_between_hosts_survive(
    reason: RefusalReason, load: int, server: str, start: int
) -> None:
    start %= 10**15
    fields = [
        refusal_field(reason),
        in_progress_field(load),
        *notice_fields(ServerId(server), start, _NOTICES),
    ]
    expected = PeerReply(reason, load, (ServerId(server), start), is_brittle=True)
    assert decode_peer_reply(fields) == expected


@given(st.lists(st.tuples(st.sampled_from(sorted(PEER_FIELDS)), st.binary())))
def test_malformed_fields_count_as_absent(fields: list[Header]) -> None:
    request = decode_peer_request(fields)
    assert request is None or request.max_servers > 0
    decode_peer_reply(fields)


def test_fields_of_hosts_are_neither_forwarded_nor_passed_back() -> None:
    fields = [(name.title(), b"x 1") for name in PEER_FIELDS]
    assert end_to_end_headers(fields) == []


def test_a_request_is_passed_on_with_its_own_fields_and_the_time_that_is_left() -> None:
    fields = (
        (b"Host", b"example"),
        (b"X-Request-Id", b"q1"),
        (b"X-Deadline-Ms", b"5000"),
        (b"X-Expect-Instance", b"i-1"),
        (b"Connection", b"keep-alive"),
    )
    head = RequestHead(b"POST", b"/a/b", fields, accepts_chunks=True)
    assert PlatformRelayCodec().peer_headers(head, 2.5) == [
        (b"Host", b"example"),
        (b"X-Request-Id", b"q1"),
        (b"X-Expect-Instance", b"i-1"),
        (b"X-Deadline-Ms", b"2500"),
    ]


def _candidate(name: str, requests: int = 0, **changes: bool) -> PeerCandidate:
    values = {"is_local": True, "is_doubtful": False, **changes}
    return PeerCandidate(HostId(name), requests=requests, **values)


def _chosen(*candidates: PeerCandidate) -> set[str]:
    found = [choose_peer(candidates, random.Random(seed)) for seed in range(40)]
    return {item.host for item in found if item is not None}


def test_a_host_of_the_own_domain_is_preferred() -> None:
    assert _chosen(_candidate("a"), _candidate("b", is_local=False)) == {"a"}


def test_the_work_of_a_cut_domain_goes_to_other_domains_too() -> None:
    local = _candidate("a", requests=30)
    assert _chosen(local, _candidate("b", is_local=False)) == {"b"}


def test_the_work_of_a_cut_host_does_not_go_to_one_neighbour() -> None:
    many = [_candidate(f"h{number}") for number in range(20)]
    assert len(_chosen(*many)) > 10


def test_hosts_that_could_not_serve_are_asked_last() -> None:
    doubtful = _candidate("a", is_doubtful=True)
    assert _chosen(doubtful, _candidate("b", requests=3)) == {"b"}
    assert _chosen(doubtful) == {"a"}
    assert _chosen() == set()
