"""Test that fleet views merge reports and send only newer ones."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.messages.view_update import ViewUpdate
from gooseberrydeal._internal.policy.fleet_view import FleetView, SentVersions
from tests.lib.builders import host_report, server_report

_HOSTS = st.builds(
    host_report,
    st.sampled_from(["h1", "h2"]),
    incarnation=st.sampled_from([1.0, 2.0]),
    sequence=st.integers(1, 5),
)
_SERVERS = st.builds(
    server_report, st.sampled_from(["s1", "s2"]), st.integers(1, 3), st.integers(1, 5)
)
_UPDATES = st.lists(st.one_of(_HOSTS, _SERVERS), max_size=12)


def _merged(reports: list[object]) -> FleetView:
    """Return a view into which the reports were merged one by one."""
    view = FleetView()
    for report in reports:
        if hasattr(report, "server"):
            view.merge(ViewUpdate(servers=(report,)), 0.0)  # type: ignore[arg-type]
        else:
            view.merge(ViewUpdate(hosts=(report,)), 0.0)  # type: ignore[arg-type]
    return view


@given(_UPDATES, st.randoms(use_true_random=False))
def test_order_and_repeats_do_not_matter(reports: list[object], random: object) -> None:
    other = reports + reports[:3]
    random.shuffle(other)  # type: ignore[attr-defined]
    one, two = _merged(reports), _merged(other)
    assert one.hosts == two.hosts
    assert one.servers == two.servers


def test_peer_is_sent_each_report_once() -> None:
    view = _merged([host_report(), server_report()])
    sent_versions = SentVersions()
    first = view.delta(sent_versions, lambda host: True, lambda server: True)
    assert first is not None
    assert len(first.hosts) == len(first.servers) == 1
    assert view.delta(sent_versions, lambda host: True, lambda server: True) is None
    view.merge(ViewUpdate(hosts=(host_report(sequence=2),)), 0.0)
    again = view.delta(sent_versions, lambda host: True, lambda server: True)
    assert again is not None
    assert not again.servers


def test_servers_of_owners_that_stopped_reporting_are_not_usable() -> None:
    view = _merged([host_report(), server_report()])
    assert view.usable_servers(1.0)
    assert not view.usable_servers(6.0)


def test_report_with_a_higher_epoch_wins_whatever_its_sequence() -> None:
    view = _merged([server_report(epoch=2, sequence=1), server_report(epoch=1)])
    assert view.servers["s1"].epoch == 2
    view = _merged([server_report(epoch=2), server_report(epoch=1, sequence=99)])
    assert view.servers["s1"].epoch == 2
