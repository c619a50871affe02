"""Check over real sockets that callers that read slowly get whole responses."""

import asyncio
import socket
from dataclasses import replace
from unittest.mock import patch

import pytest

from gooseberrydeal._internal.network.http1.acknowledgement_state import (
    AcknowledgementState,
)
from tests.lib.crash_cluster import CALLER_HOST
from tests.lib.crashing_server import CrashingServer
from tests.lib.link_proxy import LinkState
from tests.lib.partition_cluster import PartitionCluster
from tests.lib.relay_scripts import echo, request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer
from tests.lib.silent_scripts import Framing, chunk, silent_within
from tests.lib.slow_caller import ReadingPace, read_slowly

_BODY = bytes(range(256)) * 2_000
_STEADY = ReadingPace(pause_seconds=0.2)
_PAUSE = ReadingPace(piece_bytes=500_000, pause_once=4.0)
_GRACE_SECONDS = 8.0
_SEND_BUFFER_BYTES = 32_768
_READ_LIMIT_BYTES = 4_096
_UNREAD_SECONDS = 3.0
_LONG_BODY_BYTES = 7_000_000
_UNANSWERED = AcknowledgementState(1, 0, since_data_sent=0.2, since_acknowledged=9.0)


class LargeAnswerServer(CrashingServer):
    """Answer with a body that is longer than the sockets' buffers hold."""

    body = _BODY

    async def _write_answer(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        head = answer.partition(b"\r\nContent-Length")[0]
        writer.write(b"%b\r\nContent-Length: %d\r\n\r\n" % (head, len(self.body)))
        writer.write(self.body)


class LargeAnswerCluster(PartitionCluster):
    """Run hosts before servers with large answers."""

    server_class = LargeAnswerServer


class SlowReadingServer(ScriptedServer):
    """Leave the body of a request unread for a while before reading it."""

    received_bytes = 0

    async def start(self, address: str = "127.0.0.1:0") -> "SlowReadingServer":
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=_READ_LIMIT_BYTES
        )
        return self

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            request = ReceivedRequest(head[:-4], b"")
            length = int(request.header("content-length") or 0)
            await asyncio.sleep(_UNREAD_SECONDS)
            self.received_bytes += len(await reader.readexactly(length))
            line = request_id_line(request)
            writer.write(f"HTTP/1.1 200 OK\r\n{line}\r\n".encode())
            writer.write(b"Content-Length: 4\r\n\r\ndone")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # Probes close their connections without a request.
            return
        finally:
            writer.close()


def _request(path: bytes, host: bytes = b"example") -> bytes:
    return (
        b"POST %b HTTP/1.1\r\nHost: %b\r\nX-Request-Id: 00000000000000aa\r\n"
        b"X-Deadline-Ms: 20000\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"
        % (path, host)
    )


def _body_of(response: bytes) -> bytes:
    head, _, body = response.partition(b"\r\n\r\n")
    if b"chunked" not in head:
        return body
    pieces = []
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        pieces.append(body[:length])
        body = body[length + 2 :]
    return b"".join(pieces)


def _check_whole(response: bytes, expected: bytes) -> None:
    """Check a body without the listing of a long difference."""
    body = _body_of(response)
    assert len(body) == len(expected)
    is_equal = body == expected
    assert is_equal


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("pace", [_STEADY, _PAUSE])
def test_a_caller_that_reads_slowly_gets_the_whole_response(
    pace: ReadingPace, is_chunked: bool
) -> None:
    """LOST: the kernel reset callers whose window was too small for 1.8 s."""

    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 200 OK\r\n{request_id_line(request)}\r\n"
        if is_chunked:
            writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            writer.write(chunk(_BODY) + chunk(b""))
        else:
            writer.write(f"{head}Content-Length: {len(_BODY)}\r\n\r\n".encode())
            writer.write(_BODY)

    async def run() -> bytes:
        server = await ScriptedServer(answer).start()
        async with RelayHarness([server], []) as harness:
            request = _request(b"/patient/a")
            return await read_slowly(harness.address, request, pace)

    _check_whole(asyncio.run(run()), _BODY)


def test_a_caller_that_reads_slowly_gets_the_whole_response_of_a_second_host() -> None:
    """LOST: the second host reset the first one, which waited for its caller."""

    async def run() -> bytes:
        async with LargeAnswerCluster(hosts=2, servers=1) as cluster:
            await cluster.cut(["host-0"], LinkState.RESET_AND_REFUSED)
            while not cluster.nodes["host-0"]._reachability.is_isolated:
                await cluster.call("host-0", b"notice")
            for server in cluster.servers:
                assert isinstance(server, LargeAnswerServer)
                # More than the sockets of the two hosts hold.
                server.body = _BODY * 16
            request = _request(b"/long/a", CALLER_HOST.encode())
            address = cluster.address_of("host-0")
            pace = ReadingPace(piece_bytes=500_000, pause_once=2.5)
            return await read_slowly(address, request, pace)

    _check_whole(asyncio.run(asyncio.wait_for(run(), 30.0)), _BODY * 16)


async def _call_with_long_body(server: ScriptedServer, path: bytes) -> bytes:
    """Send a request that is longer than what the sockets' buffers hold."""
    async with RelayHarness([server], []) as harness:
        configuration = harness.view.configuration
        assert configuration is not None
        limits = replace(configuration.limits, body_bytes=8_000_000)
        harness.view.configuration = replace(configuration, limits=limits)
        body = bytes(_LONG_BODY_BYTES)
        request = _request(path).removesuffix(b"x")
        request = request.replace(b"Length: 1", b"Length: %d" % len(body))
        response = await read_slowly(harness.address, request + body, ReadingPace())
    await server.stop()
    return response


def test_a_server_that_reads_a_long_request_slowly_answers_it() -> None:
    """LOST: the kernel reset servers that left a long request unread for 1.8 s."""

    async def run() -> tuple[int, bytes]:
        server = SlowReadingServer(_unused)
        await server.start()
        response = await _call_with_long_body(server, b"/patient/a")
        return server.received_bytes, _body_of(response)

    assert asyncio.run(run()) == (_LONG_BODY_BYTES, b"done")


async def _unused(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    raise NotImplementedError


def test_a_caller_that_acknowledges_nothing_is_closed_during_its_response() -> None:
    """Its connection must not stay open until the server ends the response."""

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        with patch.object(AcknowledgementState, "from_socket", lambda _: _UNANSWERED):
            caller.send("/patient/a")
            await asyncio.wait_for(caller.read_to_end(), 10.0)

    run_relay(scenario, [silent_within(Framing.LENGTH, silence_seconds=20.0)])


def test_a_server_that_acknowledges_no_part_of_a_long_request_is_given_up() -> None:
    """Its connection must not stay open until the timeout of the route."""

    async def run() -> bytes:
        server = await SlowReadingServer(_unused).start()
        with patch.object(AcknowledgementState, "from_socket", lambda _: _UNANSWERED):
            return await _call_with_long_body(server, b"/patient/a")

    assert asyncio.run(run()).startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("is_state_known", [True, False])
def test_the_kernel_ends_connections_to_callers_only_if_it_tells_no_state(
    is_state_known: bool,
) -> None:
    """LOST: its timeout resets callers that read slowly, so it is a last resort."""
    state = AcknowledgementState(0, 0, 0.0, 0.0)
    result = [state] * 1_000 if is_state_known else OSError("not supported")
    options: list[int] = []

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        with patch.object(AcknowledgementState, "from_socket", side_effect=result):
            other = await Caller.connect(harness)
            other.send("/patient/a")
            await other.read_response()
            for connection in harness.listener._connections:
                assert connection._transport is not None
                sock = connection._transport.get_extra_info("socket")
                if sock.getpeername() == other.writer.get_extra_info("sockname"):
                    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                    level, option = socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                    options.append(sock.getsockopt(level, option))

    run_relay(scenario, [echo])
    assert options == [0 if is_state_known else 1_800]


def test_a_stopping_host_sends_all_that_it_has_of_a_response() -> None:
    """LOST: what a stopping host had not sent yet was discarded, with grace left."""

    async def run() -> bytes:
        async with LargeAnswerCluster(hosts=1, servers=1) as cluster:
            for server in cluster.servers:
                assert isinstance(server, LargeAnswerServer)
                server.body = _BODY * 3
            node = cluster.nodes["host-0"]
            bounds = replace(node._settings.bounds, grace=_GRACE_SECONDS)
            node.apply(replace(node._settings, bounds=bounds))
            address = cluster.address_of("host-0")
            listening = node._listeners.callers._server
            assert listening is not None
            # Accepted connections get the same buffer.
            sock = listening.sockets[0]
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
            request = _request(b"/long/a", CALLER_HOST.encode())
            # The response goes on until after the host has left the rotation.
            pace = ReadingPace(piece_bytes=16_384, pause_seconds=0.05)
            reading = asyncio.create_task(read_slowly(address, request, pace))
            await asyncio.sleep(0.5)
            del cluster.nodes["host-0"]
            assert await node.stop() == 0
            return await reading

    _check_whole(asyncio.run(asyncio.wait_for(run(), 30.0)), _BODY * 3)
