"""Check the estimate of how long requests take."""

from gooseberrydeal._internal.policy.request_durations import RequestDurations


def test_the_longest_recent_duration_of_a_route_counts() -> None:
    durations = RequestDurations()
    durations.note("r1", 2.0, 1.0)
    durations.note("r1", 0.5, 2.0)
    assert durations.longest("r1", 10.0) == 2.0
    assert durations.longest("r1", 20.0) == 2.0
    assert durations.longest("r2", 2.0) == 0.0


def test_durations_of_long_ago_do_not_count() -> None:
    durations = RequestDurations()
    durations.note("r1", 2.0, 1.0)
    assert durations.longest("r1", 31.0) == 0.0
    durations.note("r1", 0.5, 32.0)
    assert durations.longest("r1", 100.0) == 0.0
