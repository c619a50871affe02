"""Check that the hosts' places at servers add up to those that there are."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.policy.place_division import (
    divide_places,
    place_holders,
)

_SERVERS = st.dictionaries(
    st.sampled_from([f"s{n}" for n in range(9)]).map(ServerId), st.integers(0, 40)
)
_HOSTS = st.lists(
    st.sampled_from([f"h{n}" for n in range(12)]).map(HostId), min_size=1, unique=True
)


@given(_HOSTS, _SERVERS)
def test_all_places_are_divided_and_none_twice(
    hosts: list[HostId], places: dict[ServerId, int]
) -> None:
    shares = [divide_places(host, hosts, places) for host in hosts]
    for server, count in places.items():
        assert sum(share[server] for share in shares) == count
    totals = [sum(share.values()) for share in shares]
    assert max(totals) - min(totals) <= 1


@given(_HOSTS, _SERVERS)
def test_the_holders_are_those_that_have_a_place(
    hosts: list[HostId], places: dict[ServerId, int]
) -> None:
    having = [h for h in hosts if sum(divide_places(h, hosts, places).values())]
    assert place_holders(hosts, places.values()) == sorted(having)
