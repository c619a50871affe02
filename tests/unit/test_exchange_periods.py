"""Test how the exchange periods scale with the number of hosts."""

import pytest

from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods


def test_few_hosts_use_the_shortest_periods() -> None:
    assert ExchangePeriods.for_hosts(0) == ExchangePeriods()
    assert ExchangePeriods.for_hosts(8) == ExchangePeriods()


@pytest.mark.parametrize("bound", [2.0, 3.0, 4.0])
@pytest.mark.parametrize("hosts", [1, 8, 20, 85, 340, 1000])
def test_bounds_hold_for_any_number_of_hosts(hosts: int, bound: float) -> None:
    periods = ExchangePeriods.for_hosts(hosts, bound)
    # A change is known in time even if a watch waits and the store takes 0.2 s, with a
    # fifth of the bound left for requests that are being sent.
    assert periods.store_poll + 0.2 <= 0.8 * bound
    # A single lost message must not make a host or an owner count as stopped.
    assert periods.status_ttl > 2 * periods.heartbeat
    assert periods.owner_timeout > 2 * periods.heartbeat
    assert periods.host_timeout > 2 * periods.report


def test_message_rate_per_host_hardly_grows_with_many_hosts() -> None:
    few, many = ExchangePeriods.for_hosts(16), ExchangePeriods.for_hosts(85)
    assert 85 / many.collect < 1.2 * 16 / few.collect
    assert 85 / many.report < 2.0 * 16 / few.report
