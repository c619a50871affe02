"""Check HTTP header limits and mutual TLS between peers."""

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
from tests.lib.certificates import CertificateAuthority


async def _echo(request: Request) -> Response:
    return JSONResponse({"bytes": len(await request.body())})


async def _start_server() -> HttpServer:
    app = Starlette(routes=[Route("/", _echo, methods=["POST"])])
    limits = HttpLimits(header_bytes=1024, header_seconds=0.3)
    server = HttpServer(app, LOOPBACK, 0, limits=limits)
    await server.start()
    return server


async def _exchange(port: int, *parts: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.05)
    async with asyncio.timeout(3):
        received = b""
        while part := await reader.read(4096):
            received += part
            if b"bytes" in received or b"400" in received:
                break
    writer.close()
    return received


def test_slow_or_oversized_headers_close_only_their_own_connection() -> None:
    async def scenario() -> None:
        server = await _start_server()
        slow_reply = await _exchange(
            server.port, b"POST / HTTP/1.1\r\n", b"Host: x\r\n"
        )
        assert slow_reply == b""
        silent_reply = await _exchange(server.port)
        assert silent_reply == b""
        long_header = b"POST / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"y" * 4000
        assert b"400" in await _exchange(server.port, long_header)
        body = json.dumps("z" * 5000).encode()
        head = f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        reply = await _exchange(server.port, head.encode() + body)
        assert b'"bytes":5002' in reply
        await server.abort()

    asyncio.run(scenario())


def test_malformed_bytes_close_only_their_own_connection() -> None:
    async def scenario() -> None:
        server = await _start_server()
        assert b"400" in await _exchange(server.port, b"\x00\xff garbage \r\n\r\n")
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
        assert b'"bytes":2' in await _exchange(server.port, head)
        await server.abort()

    asyncio.run(scenario())


async def _can_connect(server: TlsSettings | None, client: TlsSettings | None) -> bool:
    return await _can_connect_with(
        TlsContexts.from_files(server), TlsContexts.from_files(client)
    )


async def _can_connect_with(
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


def test_peers_must_present_a_certificate_of_the_authority(tmp_path: Path) -> None:
    trusted_ca, other_ca = (
        CertificateAuthority(tmp_path, "ours"),
        CertificateAuthority(tmp_path, "other"),
    )
    server, client = trusted_ca.identity("server"), trusted_ca.identity("client")
    foreign_identity = other_ca.identity("stranger")
    untrusted = TlsSettings(
        certificate=foreign_identity.certificate,
        key=foreign_identity.key,
        authority=trusted_ca.path,
    )
    assert asyncio.run(_can_connect(server, client))
    assert not asyncio.run(_can_connect(server, untrusted))
    assert not asyncio.run(_can_connect(server, None))
    assert not asyncio.run(_can_connect(untrusted, client))


@pytest.mark.parametrize("kind", ["entry", "keeper"])
def test_missing_tls_files_are_rejected(kind: str, tmp_path: Path) -> None:
    missing = TlsSettings(
        certificate=tmp_path / "no.crt",
        key=tmp_path / "no.key",
        authority=tmp_path / "no.pem",
    )
    with pytest.raises(OSError, match="No such file"):
        TlsContexts(missing)


def test_rotated_certificates_are_reloaded_without_a_restart(tmp_path: Path) -> None:
    trusted_ca, other_ca = (
        CertificateAuthority(tmp_path, "ours"),
        CertificateAuthority(tmp_path, "other"),
    )
    client = trusted_ca.identity("client")
    server = other_ca.identity("server")
    server_settings = TlsSettings(
        certificate=server.certificate, key=server.key, authority=trusted_ca.path
    )
    contexts = TlsContexts(server_settings)
    assert not asyncio.run(_can_connect(server_settings, client))
    trusted_ca.identity("server")
    modified_ns = server_settings.certificate.stat().st_mtime_ns + 1_000_000
    os.utime(server_settings.certificate, ns=(modified_ns, modified_ns))
    contexts.refresh()
    assert asyncio.run(_can_connect_with(contexts, TlsContexts(client)))
