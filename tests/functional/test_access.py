"""Keep out strangers and those that hold connections."""

import asyncio
import json
import os
from pathlib import Path

import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrydeal._internal.exceptions import PeerUnreachableError
from gooseberrydeal._internal.lab.free_port import LOOPBACK, free_address
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.models.settings import TlsSettings
from gooseberrydeal._internal.network.http_server import HttpServer
from gooseberrydeal._internal.network.limited_http import HttpLimits
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.network.peer_listener import PeerListener
from gooseberrydeal._internal.network.websocket_transport import WebsocketTransport
from gooseberrydeal._internal.utils.tls import TlsContexts
from tests.lib.certificates import Authority


async def _echo(request: Request) -> Response:
    return JSONResponse({"bytes": len(await request.body())})


async def _server() -> HttpServer:
    app = Starlette(routes=[Route("/", _echo, methods=["POST"])])
    limits = HttpLimits(header_bytes=1024, header_seconds=0.3)
    server = HttpServer(app, LOOPBACK, 0, limits=limits)
    await server.start()
    return server


async def _talk(port: int, *parts: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.05)
    async with asyncio.timeout(3):
        answer = b""
        while part := await reader.read(4096):
            answer += part
            if b"bytes" in answer or b"400" in answer:
                break
    writer.close()
    return answer


def test_slow_and_long_headers_end_the_connection_and_others_are_served() -> None:
    async def scenario() -> None:
        server = await _server()
        slow = await _talk(server.port, b"POST / HTTP/1.1\r\n", b"Host: x\r\n")
        assert slow == b""
        silent = await _talk(server.port)
        assert silent == b""
        long = b"POST / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"y" * 4000
        assert b"400" in await _talk(server.port, long)
        body = json.dumps("z" * 5000).encode()
        head = f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        whole = await _talk(server.port, head.encode() + body)
        assert b'"bytes":5002' in whole
        await server.abort()

    asyncio.run(scenario())


def test_garbage_ends_the_connection_and_others_are_served() -> None:
    async def scenario() -> None:
        server = await _server()
        assert b"400" in await _talk(server.port, b"\x00\xff garbage \r\n\r\n")
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
        assert b'"bytes":2' in await _talk(server.port, head)
        await server.abort()

    asyncio.run(scenario())


async def _connects(server: TlsSettings | None, client: TlsSettings | None) -> bool:
    return await _connects_with(
        TlsContexts.from_files(server), TlsContexts.from_files(client)
    )


async def _connects_with(
    server: TlsContexts | None, client: TlsContexts | None
) -> bool:
    address = free_address()
    hello = Hello("h", "d", "keeper", address)
    listener = PeerListener(
        hello,
        lambda connection, message: None,
        WebsocketTransport(server),
    )
    await listener.start(address)
    dialer = PeerDialer(
        hello,
        lambda connection, message: None,
        WebsocketTransport(client),
    )
    try:
        connection = await dialer.connect(address)
        async with asyncio.timeout(2):
            while connection.peer is None and connection.is_open:
                await asyncio.sleep(0.01)
        return connection.is_open and connection.peer is not None
    except PeerUnreachableError:
        return False
    finally:
        await dialer.stop()
        await listener.stop()


def test_peers_must_show_a_certificate_of_the_authority(tmp_path: Path) -> None:
    ours, other = Authority(tmp_path, "ours"), Authority(tmp_path, "other")
    server, client = ours.identity("server"), ours.identity("client")
    stranger = other.identity("stranger")
    disguised = TlsSettings(
        certificate=stranger.certificate, key=stranger.key, authority=ours.path
    )
    assert asyncio.run(_connects(server, client))
    assert not asyncio.run(_connects(server, disguised))
    assert not asyncio.run(_connects(server, None))
    assert not asyncio.run(_connects(disguised, client))


@pytest.mark.parametrize("kind", ["entry", "keeper"])
def test_settings_with_tls_files_that_are_missing_are_refused(
    kind: str, tmp_path: Path
) -> None:
    missing = TlsSettings(
        certificate=tmp_path / "no.crt",
        key=tmp_path / "no.key",
        authority=tmp_path / "no.pem",
    )
    with pytest.raises(OSError, match="No such file"):
        TlsContexts(missing)


def test_rotated_files_are_read_again_without_a_restart(tmp_path: Path) -> None:
    ours, other = Authority(tmp_path, "ours"), Authority(tmp_path, "other")
    client = ours.identity("client")
    server = other.identity("server")
    trusting = TlsSettings(
        certificate=server.certificate, key=server.key, authority=ours.path
    )
    contexts = TlsContexts(trusting)
    assert not asyncio.run(_connects(trusting, client))
    ours.identity("server")
    stamp = trusting.certificate.stat().st_mtime_ns + 1_000_000
    os.utime(trusting.certificate, ns=(stamp, stamp))
    contexts.refresh()
    assert asyncio.run(_connects_with(contexts, TlsContexts(client)))
