"""Read from the kernel whether a connection's peer acknowledges what is sent."""

import socket
import struct
from dataclasses import dataclass
from typing import Final, Self

# The beginning of Linux's ``struct tcp_info``: eight bytes, of which the fourth counts
# probes, and 32-bit numbers.
_LAYOUT: Final = struct.Struct("=8B13I")
_PROBES_INDEX: Final = 3
_UNACKNOWLEDGED_INDEX: Final = 8 + 4
_LAST_DATA_SENT_INDEX: Final = 8 + 9
_LAST_ACK_RECEIVED_INDEX: Final = 8 + 12
# One probe may just be under way.
_MIN_UNANSWERED_PROBES: Final = 2


@dataclass(frozen=True, slots=True)
class AcknowledgementState:
    """Hold what was sent on a connection without an answer of its peer.

    ``segments`` is the number of segments under way, ``probes`` that of unanswered
    probes of a peer without room for more data. Times are in seconds before now.
    """

    segments: int
    probes: int
    since_data_sent: float
    since_acknowledged: float

    @classmethod
    def from_socket(cls, sock: socket.socket) -> Self:
        """Return the state of a socket; raise ``OSError`` if it can't be read."""
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAYOUT.size)
        if len(data) < _LAYOUT.size:
            raise OSError(f"TCP_INFO has {len(data)} bytes, {_LAYOUT.size} are needed")
        fields = _LAYOUT.unpack(data)
        return cls(
            fields[_UNACKNOWLEDGED_INDEX],
            fields[_PROBES_INDEX],
            fields[_LAST_DATA_SENT_INDEX] / 1000,
            fields[_LAST_ACK_RECEIVED_INDEX] / 1000,
        )

    @property
    def is_settled(self) -> bool:
        """Return whether nothing is under way."""
        return not self.segments and not self.probes

    @property
    def is_unanswered(self) -> bool:
        """Return whether the peer has not answered the last thing that was sent.

        A peer that reads slowly answers probes, and data that it has no room for.
        """
        is_data_unanswered = self.since_acknowledged > self.since_data_sent
        return (self.segments > 0 and is_data_unanswered) or (
            self.probes >= _MIN_UNANSWERED_PROBES
        )
