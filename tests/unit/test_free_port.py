"""Check that ports are free for TCP and for UDP."""

import socket

import pytest

from gooseberrydeal._internal.lab import free_port


class _Ports:
    """Hand out one port first, and others after it."""

    def __init__(self, first: int) -> None:
        self._next = first - 1

    def next(self) -> int:
        self._next += 1
        return self._next


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_in_use_is_not_handed_out(
    kind: socket.SocketKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    with socket.socket(type=kind) as user:
        user.bind((free_port.LOOPBACK, free_port.free_port()))
        used = user.getsockname()[1]
        monkeypatch.setattr(free_port, "_ports", _Ports(used))
        assert free_port.free_port() > used
