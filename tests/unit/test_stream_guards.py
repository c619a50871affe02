"""Disable each guard of suspects and streams in turn; a test must then fail."""

from typing import Any

import pytest

from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.operations.router import stream_versions
from gooseberrydeal._internal.operations.router.stream_versions import StreamVersions
from gooseberrydeal._internal.operations.router.suspect_isolation import (
    SuspectIsolation,
)
from gooseberrydeal._internal.policy.crash_history import CrashHistory
from gooseberrydeal._internal.policy.isolation_turns import IsolationTurns
from gooseberrydeal._internal.policy.version_history import VersionHistory
from tests.functional import (
    test_crashing_at_once,
    test_stream_origins,
    test_stream_versions,
)
from tests.lib.guards import Guard, check_is_detected
from tests.unit import test_isolation_turns


def _ignore(self: Any, *arguments: Any, **options: Any) -> None:
    return


def _restart_while_the_store_is_away() -> None:
    test_stream_versions.test_streams_are_not_mixed_if_servers_restart_while_the_store_is_away(
        "/resumable/a"
    )


_GUARDS: list[Guard] = [
    Guard(
        "a crash of a server that a suspect had for itself counts twice",
        SuspectIsolation,
        "isolated_features",
        lambda self, request, server: (),
        test_crashing_at_once.test_a_suspect_whose_crash_is_seen_late_is_not_sent_again_meanwhile,
    ),
    Guard(
        "a suspect is held until it is known whether its server crashed",
        SuspectIsolation,
        "finish",
        _ignore,
        test_crashing_at_once.test_a_suspect_whose_crash_is_seen_late_is_not_sent_again_meanwhile,
    ),
    Guard(
        "suspects take turns",
        IsolationTurns,
        "note",
        _ignore,
        test_isolation_turns.test_one_suspect_at_a_time_runs_in_a_small_service,
    ),
    Guard(
        "a part is refused only after a request with it crashed a server alone",
        CrashHistory,
        "is_proven",
        lambda self, feature: True,
        test_crashing_at_once.test_a_part_that_all_requests_share_is_not_refused_for_crashes_by_others,
    ),
    Guard(
        "requests with a suspected part run alone",
        CrashHistory,
        "suspected_part",
        _ignore,
        test_crashing_at_once.test_a_part_that_all_requests_share_is_not_refused_for_crashes_by_others,
    ),
    Guard(
        "a stream goes on only at its version",
        ServerEntry,
        "can_continue",
        lambda self, origin: True,
        test_stream_origins.test_servers_without_a_version_are_not_taken_for_the_same,
    ),
    Guard(
        "other hosts are told before the first event",
        stream_versions,
        "hosts_to_tell",
        lambda stream, own, hosts: [],
        test_stream_origins.test_the_version_is_known_when_the_first_host_ends_right_after_the_event,
    ),
    Guard(
        "versions that ended are remembered",
        VersionHistory,
        "sole_version",
        lambda self, *arguments: "v1",
        test_stream_origins.test_a_version_that_ended_a_moment_ago_is_not_forgotten,
    ),
    Guard(
        "where a stream began is confirmed if its server may have restarted",
        ServerEntry,
        "began",
        lambda self, origin: True,
        test_stream_origins.test_a_stream_of_a_server_that_turns_out_to_have_restarted_has_no_version,
    ),
    Guard(
        "a connection is not taken to lead to the process of the server's entry",
        StreamVersions,
        "is_registered",
        lambda self, connection: True,
        _restart_while_the_store_is_away,
    ),
]


@pytest.mark.parametrize("guard", _GUARDS, ids=lambda guard: guard.description)
def test_each_disabled_guard_is_detected_by_a_test(guard: Guard) -> None:
    check_is_detected(guard)
