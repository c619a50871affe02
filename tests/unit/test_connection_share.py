"""Test that all hosts together stay under a server's limit on connections."""

import pytest

from gooseberrydeal._internal.policy.connection_share import ConnectionShare


@pytest.mark.parametrize(
    ("limit", "hosts"), [(490, 71), (550, 71), (540, 80), (640, 80)]
)
def test_all_hosts_together_stay_under_the_limit(limit: int, hosts: int) -> None:
    share = ConnectionShare()
    share.note_hosts(hosts, 0.0)
    assert share.limit(limit, 0.0) * hosts <= 0.86 * limit
    assert share.limit(limit, 0.0) >= 5


def test_hosts_that_left_keep_their_share_for_a_minute() -> None:
    # The other hosts filled the share of a host whose connections the server still had.
    share = ConnectionShare()
    share.note_hosts(71, 0.0)
    share.note_hosts(36, 10.0)
    assert share.limit(490, 30.0) == share.limit(490, 0.0)
    assert share.limit(490, 69.0) == share.limit(490, 0.0)
    assert share.limit(490, 71.0) == 11
    share.note_hosts(71, 80.0)
    assert share.limit(490, 80.0) == 5


def test_before_any_host_is_listed_this_one_counts() -> None:
    assert ConnectionShare().limit(100, 0.0) == 85
    assert ConnectionShare().limit(1, 0.0) == 2
