"""Send one request to a router and say what came back."""

import asyncio
from dataclasses import dataclass, field

from .messages import read_head


@dataclass
class Answer:
    """Hold what a client got; ``status`` is 0 without the head of an answer."""

    status: int = 0
    is_whole: bool = False
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    problem: str = ""

    @property
    def is_served(self) -> bool:
        sealed = "x-response-seal" in self.fields
        return 200 <= self.status < 300 and self.is_whole and sealed


async def call(
    port: int,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    seconds: float = 10.0,
) -> Answer:
    """Send a request on a new connection, and read the whole answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(encode_request(method, target, fields, body))
                await _read(reader, answer)
            finally:
                writer.close()
    except TimeoutError:
        answer.problem = f"nothing more within {seconds:g} s"
    except OSError as error:
        answer.problem = f"connection failed: {error}"
    return answer


def encode_request(
    method: str, target: str, fields: dict[str, str], body: bytes = b""
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await read_head(reader)
    if head is None:
        answer.problem = "the connection ended without an answer"
        return
    answer.status, answer.fields = head.status, head.fields
    try:
        if "chunked" in head.fields.get("transfer-encoding", ""):
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            length = int(head.fields.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        answer.problem = f"the answer broke off: {error!r}"
        return
    answer.is_whole = True


class Connection:
    """Send requests one after the other on one connection, as long as it lives."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.is_open = True

    async def call(
        self,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes = b"",
        seconds: float = 10.0,
    ) -> Answer:
        answer = Answer()
        try:
            async with asyncio.timeout(seconds):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        "127.0.0.1", self._port
                    )
                reader, writer = self._streams
                writer.write(encode_request(method, target, fields, body))
                await _read(reader, answer)
        except TimeoutError:
            answer.problem = f"nothing more within {seconds:g} s"
        except OSError as error:
            answer.problem = f"connection failed: {error}"
        closes = answer.fields.get("connection", "").lower() == "close"
        if not answer.is_whole or closes:
            self.close()
        return answer

    def close(self) -> None:
        self.is_open = False
        if self._streams is not None:
            self._streams[1].close()
