"""Define the message that completes an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finished:
    """Complete a stream, with totals by which the receiver verifies the answer.

    ``checksum`` is the CRC-32 of the answer's bytes. ``status``, ``content_type`` and
    ``body`` are those of a plain service's response.
    """

    stream: int
    request_id: str
    frames: int
    tokens: int
    checksum: int
    finish_reason: str
    prompt_tokens: int = 0
    status: int = 200
    content_type: str = ""
    body: bytes = b""
