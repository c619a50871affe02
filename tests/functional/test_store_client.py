"""Check the store's client against responses that are broken off or malformed."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from gooseberrydeal._internal.exceptions import StoreError, StoreUnansweredError
from gooseberrydeal._internal.platform.store_client import PlatformStore
from tests.lib.scripted_server import ReceivedRequest, ScriptedServer, response


@pytest.mark.parametrize("body", [b"", b'{"revision": 1'])
def test_a_write_whose_response_was_broken_off_may_have_had_an_effect(
    body: bytes,
) -> None:
    async def close_early(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(response(body, framed=False))
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        server = await ScriptedServer(close_early).start()
        store = PlatformStore(server.address)
        with pytest.raises(StoreUnansweredError):
            await store.put("a", b"1")
        await server.stop()

    asyncio.run(scenario())


_CALLS: list[Callable[[PlatformStore], Awaitable[Any]]] = [
    lambda store: store.list(""),
    lambda store: store.changes("", 5, 0.1, 1.0),
    lambda store: store.put("a", b"1"),
    lambda store: store.grant_lease(3.0),
]
_MALFORMED_BODIES = [
    b"{}",
    b'{"items": null, "events": null, "storeRevision": 1}',
    b'{"items": [7], "events": [7], "storeRevision": 1}',
    b'{"items": [{"key": "a"}], "events": [{"key": "a"}], "storeRevision": 1}',
    b'{"items": [], "events": [], "storeRevision": null, "revision": null}',
    b'{"items": [], "events": [], "storeRevision": 1e400, "revision": 1e400}',
    b'{"a": ' + b"[" * 100_000,
    *(
        b'{"items": [], "events": [], "storeRevision": %b, "revision": %b, "lease": %b}'
        % (number, number, number)
        for number in (b"-1", b"9" * 400, b"9" * 5_000)
    ),
]


@pytest.mark.parametrize("body", _MALFORMED_BODIES, ids=lambda body: repr(body[:30]))
@pytest.mark.parametrize("call", _CALLS, ids=["list", "changes", "put", "grant"])
def test_a_malformed_response_is_reported_as_a_failed_call(
    call: Callable[[PlatformStore], Awaitable[Any]], body: bytes
) -> None:
    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(body))
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        server = await ScriptedServer(answer).start()
        with pytest.raises(StoreError):
            await call(PlatformStore(server.address))
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("epoch", ["9" * 10, "9" * 5_000, "-1", "x"])
def test_an_impossible_epoch_is_ignored(epoch: str) -> None:
    # Each later response would count as one from before the store was restored.
    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(b'{"lease": 7}', "200 OK", f"Store-Era: {epoch}"))

    async def scenario() -> None:
        server = await ScriptedServer(answer).start()
        assert await PlatformStore(server.address).grant_lease(3.0) == "0/7"
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_stalled", [False, True])
def test_a_response_is_read_to_its_end_unless_it_stalls(is_stalled: bool) -> None:
    body = b'{"items": [], "truncated": false, "storeRevision": 7}' + b" " * 9_000

    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        data = response(body)
        for start in range(0, len(data), 1_000):
            if writer.is_closing():
                return
            writer.write(data[start : start + 1_000])
            await asyncio.sleep(2.0 if is_stalled else 0.3)

    async def scenario() -> None:
        server = await ScriptedServer(answer).start()
        store = PlatformStore(server.address)
        if is_stalled:
            with pytest.raises(StoreUnansweredError):
                await store.list("")
        else:
            assert (await store.list("")).items == ()
        store._client.close()
        await server.stop_idle()

    asyncio.run(scenario())
