"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

MAX_HEAD_BYTES = 65_536


@dataclass
class Message:
    """Hold a start line, the header fields by lower-case name, and a whole body."""

    start: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        return self.target.partition("?")[2]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, or ``None`` at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return Message(start, fields)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request with its body, or ``None`` at the end of the stream."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        message.body = await reader.readexactly(
            int(message.fields.get("content-length", "0"))
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode(status: int, body: bytes, fields: dict[str, str] | None = None) -> bytes:
    """Return a whole response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_json(status: int, value: Any, fields: dict[str, str] | None = None) -> bytes:
    """Return a whole response with a JSON body."""
    headers = {"Content-Type": "application/json", **(fields or {})}
    return encode(status, json.dumps(value).encode(), headers)


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listen; the handler answers each request and says whether to keep the connection."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not await handler(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        connected, host, port, limit=MAX_HEAD_BYTES, backlog=1024
    )
