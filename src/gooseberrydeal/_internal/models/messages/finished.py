"""End an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finished:
    """End a stream with what is needed to check that it is whole.

    ``checksum`` is the CRC-32 of the answer's bytes. A plain answer carries its
    status, content type and body here.
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
