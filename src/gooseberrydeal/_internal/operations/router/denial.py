"""Handle the failure of a request at a server, whether it was run or not."""

from typing import Final

from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest

# Delay before the next send to an engine that denied having an adapter copy expected to
# be ready; doubled after its second denial. At the maximum number of denials the engine
# is excluded, since each denied send counts against the retry budget of all hosts.
_COPY_RETRY_SECONDS: Final = 0.05
_MAX_COPY_DENIALS: Final = 3
# A request that a server denies on this send or a later one is refused.
_MAX_SENDS: Final = 6


def note_denial(
    request: RoutedRequest, assignment: Assignment, now: float, *, asks_to_wait: bool
) -> bool:
    """Record that a server denied a request; return whether to try again.

    The same engine may be tried again once its copy of the adapter is ready, or after
    the wait that it asked for.
    """
    if asks_to_wait:
        return request.send_count < _MAX_SENDS
    copy = assignment.copy
    server = assignment.record.id
    request.denials[server] += 1
    denials = request.denials[server]
    if copy is not None and copy.adapter and denials < _MAX_COPY_DENIALS:
        pause = _COPY_RETRY_SECONDS * denials
        assignment.record.note_missing(copy, now + pause)
    else:
        request.excluded.add(server)
    return request.send_count < _MAX_SENDS


def note_failed_run(
    request: RoutedRequest, assignment: Assignment, now: float, *, asks_to_wait: bool
) -> None:
    """Record that a server may have run a request but did not serve it.

    A server that asks for a wait says nothing of its health by that.
    """
    server = assignment.record.id
    request.started_on.add(server)
    request.excluded.add(server)
    if not asks_to_wait:
        assignment.record.health.note_failure(now)
