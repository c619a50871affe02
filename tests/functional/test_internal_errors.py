"""Check over real sockets what callers get when the handling of a request fails."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from gooseberrydeal._internal.operations.router.accounts.account_gate import (
    AccountGate,
)
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.head_notes import HeadNotes
from gooseberrydeal._internal.operations.router.outcome_handler import OutcomeHandler
from gooseberrydeal._internal.operations.router.request_forwarder import (
    RequestForwarder,
)
from tests.lib.relay_scripts import echo, request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.scripted_server import ReceivedRequest, response


def _fail_on_call(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, number: int = 1
) -> None:
    """Let the call of a method with this number raise after it has been made."""
    method: Callable[..., Any] = getattr(owner, name)
    calls = [0]

    def count() -> None:
        calls[0] += 1
        if calls[0] == number:
            raise ValueError("unexpected")

    async def call_and_wait(*arguments: Any, **options: Any) -> Any:
        result = await method(*arguments, **options)
        count()
        return result

    def call(*arguments: Any, **options: Any) -> Any:
        result = method(*arguments, **options)
        count()
        return result

    is_async = asyncio.iscoroutinefunction(method)
    monkeypatch.setattr(owner, name, call_and_wait if is_async else call)


async def _refuse(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    fields = (request_id_line(request), "X-Not-Executed: 1")
    writer.write(response(b"", "503 Service Unavailable", *fields))


async def _lose(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.close()


def _statuses(path: str, servers: list[Any]) -> list[int]:
    """Return the statuses of three requests, all on one connection."""
    statuses: list[int] = []

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        for number in range(3):
            caller.send(path, f"q{number}")
            status, fields, _ = await caller.read_response()
            assert status != 503 or "retry-after" in fields
            statuses.append(status)

    run_relay(scenario, servers)
    return statuses


@pytest.mark.parametrize("path", ["/once/a", "/safe/a"])
@pytest.mark.parametrize(
    ("owner", "name"), [(AccountGate, "admit"), (Dispatcher, "assign")]
)
def test_a_request_that_was_not_sent_is_refused_as_not_run(
    owner: type, name: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # LOST: the connections of such requests were closed without an answer.
    _fail_on_call(monkeypatch, owner, name)
    assert _statuses(path, [echo]) == [503, 200, 200]


@pytest.mark.parametrize("path", ["/once/a", "/safe/a"])
def test_a_request_that_its_server_refused_is_refused_as_not_run(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # LOST: in the incident, a sound server had turned the request away before.
    _fail_on_call(monkeypatch, Dispatcher, "assign", 2)
    assert _statuses(path, [_refuse])[0] == 503


@pytest.mark.parametrize(
    ("owner", "name"), [(RequestForwarder, "send"), (OutcomeHandler, "handle")]
)
def test_a_request_that_may_have_run_is_not_reported_as_unrun(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    _fail_on_call(monkeypatch, owner, name)
    assert _statuses("/once/a", [_lose])[0] == 502


def test_a_request_that_a_lost_server_may_have_run_is_not_reported_as_unrun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _fail_on_call(monkeypatch, Dispatcher, "assign", 2)
    assert _statuses("/safe/a", [_lose, _lose])[0] == 502


def test_a_reply_that_has_begun_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    async def begin(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        fields = f"{request_id_line(request)}\r\nContent-Length: 4"
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\nha".encode())
        await asyncio.sleep(0.05)
        writer.close()

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/once/a")
        data = await caller.read_to_end()
        assert data.startswith(b"HTTP/1.1 200 ")
        assert data.endswith(b"\r\n\r\nha")

    _fail_on_call(monkeypatch, HeadNotes, "ended")
    run_relay(scenario, [begin])
