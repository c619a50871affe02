"""Suspend the tasks of single hosts that share an event loop."""

import asyncio
import inspect
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context, ContextVar, copy_context
from types import coroutine
from typing import Any

_freezer: ContextVar["HostFreezer | None"] = ContextVar("freezer", default=None)


class HostFreezer:
    """Suspend all tasks that are started in the context of one host.

    Time-outs go on and are noticed after the thaw, as in a suspended process.
    """

    def __init__(self) -> None:
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._context = copy_context()
        self._context.run(_freezer.set, self)
        self._received: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    @property
    def is_frozen(self) -> bool:
        """Return whether the host is suspended."""
        return not self._thawed.is_set()

    def freeze(self) -> None:
        """Suspend the host."""
        self._thawed.clear()

    def thaw(self) -> None:
        """Let the host go on, first with what it has received meanwhile."""
        self._thawed.set()
        received, self._received = self._received, []
        for call, arguments in received:
            self._context.run(call, *arguments)

    def call(self, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function of the host now, or after its thaw."""
        if self.is_frozen:
            self._received.append((call, arguments))
        else:
            self._context.run(call, *arguments)

    @coroutine
    def gate(self, work: Coroutine[Any, Any, Any]) -> Generator[Any, Any, Any]:
        """Run a coroutine, each step only while the host is not suspended."""
        error: BaseException | None = None
        while True:
            while self.is_frozen:
                try:
                    yield from self._thawed.wait().__await__()
                except asyncio.CancelledError as cancelled:
                    error = cancelled
            try:
                future = work.send(None) if error is None else work.throw(error)
            except StopIteration as stop:
                return stop.value
            error = None
            try:
                yield future
            except BaseException as raised:
                error = raised


def install_freezers() -> None:
    """Let freezers suspend the tasks of the running loop."""

    async def gated(freezer: HostFreezer, work: Coroutine[Any, Any, Any]) -> Any:
        return await freezer.gate(work)

    def create(
        loop: asyncio.AbstractEventLoop, work: Any, context: Context | None = None
    ) -> asyncio.Task[Any]:
        host = (context or copy_context()).get(_freezer)
        started = work if host is None else gated(host, work)
        return asyncio.Task(started, loop=loop, context=context)

    asyncio.get_running_loop().set_task_factory(create)


class OutsideCalls:
    """Pass calls on to an object outside of the host, which goes on while it is frozen.

    A call that the host gives up is still carried out.
    """

    def __init__(self, target: Any) -> None:
        self._target = target

    def __getattr__(self, name: str) -> Any:
        found = getattr(self._target, name)
        if not inspect.iscoroutinefunction(found):
            return found

        async def call(*arguments: Any, **named: Any) -> Any:
            loop = asyncio.get_running_loop()
            work = found(*arguments, **named)
            return await asyncio.shield(loop.create_task(work, context=Context()))

        return call
