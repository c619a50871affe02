"""Check what a resumed stream takes over from the next server's answer."""

import asyncio

import pytest

from tests.lib.relay_scripts import broken_stream, request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import ReceivedRequest, response

_FIRST_EVENTS = b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
_LAST_EVENT = b"id: 3\ndata: e3\n\n"


def _answers(answer: bytes) -> tuple[bytes, bool]:
    """Let a stream break off and the next server give an answer.

    Returns what the caller got of the body, and whether it looked complete. The id of
    the request takes the place of ``ID`` in the answer.
    """
    received: list[tuple[bytes, bool]] = []

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.header("last-event-id") is None:
            await broken_stream(request, writer)
            return
        writer.write(answer.replace(b"ID", request_id_line(request).encode()))
        await writer.drain()
        writer.close()

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/resumable/a")
        await caller.read_head()
        data = await caller.read_to_end() if not caller.reader.at_eof() else b""
        received.append((data, data.endswith(b"0\r\n\r\n")))

    run_relay(scenario, engines=[script, script])
    return received[0]


@pytest.mark.parametrize(
    "answer",
    [
        response(b"an error", "500 Internal Server Error", "ID"),
        response(b"an error", "503 Service Unavailable", "ID"),
        response(b"an error", "404 Not Found", "ID"),
        response(b"an error", "400 Bad Request", "ID"),
        response(b"an error", "200 OK", "ID", "Content-Type: text/plain"),
        response(b"an error", "200 OK", "ID", "Content-Type: text/event-streams"),
        response(b"an error", "200 OK", "ID"),
        response(b"", "204 No Content", "ID", framed=False),
        response(
            b"an error", "206 Partial Content", "ID", "Content-Type: text/event-stream"
        ),
        response(b"an error", "302 Found", "ID", "Location: /"),
        response(b"an error", "200 OK", "ID", "Content-Type: text/plain", framed=False),
        b"HTTP/1.1 200 OK\r\nContent-Ty",
        b"HTTP/1.1 100 Continue\r\n\r\n"
        + response(b"an error", "200 OK", "ID", "Content-Type: text/plain"),
    ],
)
def test_an_answer_that_is_no_stream_does_not_get_into_a_resumed_one(
    answer: bytes,
) -> None:
    body, is_complete = _answers(answer)
    assert _FIRST_EVENTS in body
    assert b"error" not in body
    assert not is_complete


@pytest.mark.parametrize(
    "content_type", ["text/event-stream; charset=utf-8", "Text/Event-Stream"]
)
def test_a_stream_goes_on_whatever_the_spelling_of_its_type(content_type: str) -> None:
    answer = response(_LAST_EVENT, "200 OK", "ID", f"Content-Type: {content_type}")
    body, is_complete = _answers(b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer)
    assert _LAST_EVENT in body
    assert is_complete
