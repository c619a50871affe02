"""Check how often hosts speak when there are few and many."""

import pytest

from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods


def test_few_hosts_speak_as_often_as_useful() -> None:
    assert ExchangePeriods.for_hosts(0) == ExchangePeriods()
    assert ExchangePeriods.for_hosts(8) == ExchangePeriods()


@pytest.mark.parametrize("hosts", [1, 8, 20, 85, 340, 1000])
def test_bounds_hold_at_any_number(hosts: int) -> None:
    periods = ExchangePeriods.for_hosts(hosts)
    # A change and an answer that takes 0.2 s are known within two seconds.
    assert periods.store_poll + 0.2 < 2.0
    # One lost message is no silence.
    assert periods.status_ttl > 2 * periods.heartbeat
    assert periods.owner_timeout > 2 * periods.heartbeat
    assert periods.host_timeout > 2 * periods.report


def test_many_hosts_hear_little_more_each() -> None:
    few, many = ExchangePeriods.for_hosts(16), ExchangePeriods.for_hosts(85)
    assert 85 / many.collect < 1.2 * 16 / few.collect
    assert 85 / many.report < 2.0 * 16 / few.report
