"""Verify that an answer arrived complete and in order."""

from zlib import crc32

from gooseberrydeal._internal.models.messages.finished import Finished
from gooseberrydeal._internal.models.messages.tokens import Tokens


class AnswerCheck:
    """Track the frames, tokens and CRC-32 checksum of one streamed answer.

    ``token_offset`` is the number of tokens that the caller already received, if the
    stream resumes an interrupted answer.
    """

    def __init__(self, token_offset: int = 0) -> None:
        self._frames = 0
        self._tokens = token_offset
        self._checksum = 0

    @property
    def tokens(self) -> int:
        """Return the number of tokens received, including ``token_offset``."""
        return self._tokens

    @property
    def checksum(self) -> int:
        """Return the CRC-32 of the accepted text."""
        return self._checksum

    @property
    def frames(self) -> int:
        """Return the number of accepted frames."""
        return self._frames

    def accept(self, frame: Tokens) -> bool:
        """Add a frame if it is the next one in order.

        Returns ``False`` for a frame that is repeated, out of order or follows a gap.
        """
        if frame.number != self._frames:
            return False
        self._frames += 1
        self._tokens += frame.count
        self._checksum = crc32(frame.text.encode(), self._checksum)
        return True

    def is_complete(self, end: Finished) -> bool:
        """Return whether the end frame's totals match the accepted frames."""
        return (
            end.frames == self._frames
            and end.tokens == self._tokens
            and end.checksum == self._checksum
        )

    @staticmethod
    def matches_body(end: Finished) -> bool:
        """Return whether the body of a non-streamed answer matches its checksum."""
        return end.checksum == crc32(end.body)
