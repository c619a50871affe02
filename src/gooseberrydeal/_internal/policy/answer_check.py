"""Check that an answer is whole and in order."""

from zlib import crc32

from gooseberrydeal._internal.models.messages.finished import Finished
from gooseberrydeal._internal.models.messages.tokens import Tokens


class AnswerCheck:
    """Count the frames of one answer and sum its bytes."""

    def __init__(self, tokens_before: int = 0) -> None:
        self._frames = 0
        self._tokens = tokens_before
        self._checksum = 0

    @property
    def tokens(self) -> int:
        """Return how many tokens were accepted."""
        return self._tokens

    @property
    def checksum(self) -> int:
        """Return the checksum of the accepted bytes."""
        return self._checksum

    @property
    def frames(self) -> int:
        """Return how many frames were accepted."""
        return self._frames

    def accept(self, frame: Tokens) -> bool:
        """Accept the next frame; return whether it is the expected one."""
        if frame.number != self._frames:
            return False
        self._frames += 1
        self._tokens += frame.count
        self._checksum = crc32(frame.text.encode(), self._checksum)
        return True

    def is_whole(self, end: Finished) -> bool:
        """Return whether the end frame agrees with what was accepted."""
        return (
            end.frames == self._frames
            and end.tokens == self._tokens
            and end.checksum == self._checksum
        )

    @staticmethod
    def matches_body(end: Finished) -> bool:
        """Return whether the body of a plain answer is whole."""
        return end.checksum == crc32(end.body)
