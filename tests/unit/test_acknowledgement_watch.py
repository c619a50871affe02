"""Check that peers that are gone are told from those that read slowly."""

import asyncio
import socket
from unittest.mock import create_autospec, patch

import pytest

from gooseberrydeal._internal.network.http1.acknowledgement_state import (
    AcknowledgementState,
)
from gooseberrydeal._internal.network.http1.acknowledgement_watch import (
    AcknowledgementWatch,
)
from tests.lib.virtual_loop import run_virtual

_SETTLED = AcknowledgementState(0, 0, 0.0, 0.0)
_UNANSWERED = AcknowledgementState(3, 0, 0.2, 10.0)
_UNANSWERED_PROBES = AcknowledgementState(0, 2, 10.0, 10.0)
_ANSWERED = AcknowledgementState(3, 0, 5.0, 5.0)
_PROBED = AcknowledgementState(0, 1, 10.0, 5.0)


def _closed_after(states: list[AcknowledgementState], unsent: int = 0) -> float | None:
    """Return after how many seconds the connection was closed, if it was in 10 s.

    ``states`` are those of the checks, the last one of all further ones.
    """

    async def scenario() -> float | None:
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        closed: list[float] = []
        transport = create_autospec(asyncio.Transport, instance=True)
        transport.get_extra_info.return_value.fileno.return_value = 1
        transport.get_write_buffer_size.return_value = unsent
        transport.abort.side_effect = lambda: closed.append(loop.time() - begun_at)
        remaining = iter([*states, *[states[-1]] * 100])
        with patch.object(
            AcknowledgementState, "from_socket", lambda sock: next(remaining)
        ):
            AcknowledgementWatch().data_sent(transport)
            await asyncio.sleep(10.0)
        return closed[0] if closed else None

    return run_virtual(scenario())


@pytest.mark.parametrize("state", [_UNANSWERED, _UNANSWERED_PROBES])
def test_a_peer_that_acknowledges_nothing_is_given_up_within_two_seconds(
    state: AcknowledgementState,
) -> None:
    """Its connection is not to be kept for as long as that of a slow reader."""
    seconds = _closed_after([state])
    assert seconds is not None
    assert 1.8 <= seconds <= 2.1


@pytest.mark.parametrize("state", [_ANSWERED, _PROBED])
def test_a_peer_that_answers_probes_is_not_given_up(
    state: AcknowledgementState,
) -> None:
    """LOST: callers that read slowly were reset in the middle of a response."""
    assert _closed_after([state], unsent=1) is None


def test_a_connection_is_not_checked_once_all_is_acknowledged() -> None:
    assert _closed_after([_SETTLED, _UNANSWERED]) is None


def test_a_connection_is_checked_while_bytes_wait_to_be_sent() -> None:
    assert _closed_after([_SETTLED, _UNANSWERED], unsent=1) is not None


def test_the_state_of_a_socket_is_read() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as client,
        server.accept()[0] as accepted,
    ):
        client.sendall(b"x")
        assert accepted.recv(1) == b"x"
        state = AcknowledgementState.from_socket(client)
    assert state.is_settled
    assert not state.is_unanswered
    assert 0.0 <= state.since_data_sent < 60.0
    assert 0.0 <= state.since_acknowledged < 60.0
