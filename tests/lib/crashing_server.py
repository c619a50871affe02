"""Serve HTTP until a request ends the server, which then starts again."""

import asyncio
import itertools
import math
from collections.abc import Callable

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.utils.tasks import TaskOwner
from tests.lib.scripted_server import ReceivedRequest, reset_connection, response

CRASH_MARK = b"crash"
BAD_PART = "bad"
_STREAM_PATHS = (b"POST /stream/", b"POST /resumable/", b"POST /onward/")
# Events of a stream, and the time between two of them.
EVENTS = 4
_EVENT_INTERVAL_SECONDS = 0.1


class CrashingServer:
    """Answer requests with their body, and crash when one starts that has the mark.

    A request with one of ``bad_parts`` among the parts of its prompt, of which the last
    does not count, crashes the server after the head of its response was sent. Paths
    under ``/stream/`` are answered with events. ``stated_limit`` is the limit on
    requests that all responses state. The mark may begin the body or the query; the
    server then crashes ``crash_delay_seconds`` after it began to run the request, with
    all others that run there.

    With ``is_leaving``, all responses say that the server leaves. Until ``full_until``
    it turns requests away, and asks the host to wait for ``asked_wait`` seconds.

    Streams have ``events`` events, which hold ``version``, and go on after the last
    event that the request names. With ``resets_streams``, the connection of each new
    stream is reset midway. With ``keeps_id``, each start has the id of the first.

    A crash resets all connections and closes the listening socket. The server starts
    again with a new id at the same address ``down_seconds`` later. ``on_start`` is
    called with the id at each start, ``on_end`` when the server has ended.
    """

    def __init__(
        self,
        name: str,
        down_seconds: float,
        service_seconds: float,
        on_start: Callable[["CrashingServer"], None],
        on_end: Callable[["CrashingServer"], None],
    ) -> None:
        self.name = name
        self.address = free_address()
        self.down_seconds = down_seconds
        self.service_seconds = service_seconds
        self.bad_parts = {BAD_PART}
        self.version: object = "v1"
        self.resets_streams = False
        self.keeps_id = False
        self.events = EVENTS
        self.stated_limit: str | None = None
        self.is_leaving = False
        self.full_until = -math.inf
        self.asked_wait = 0.0
        self.arrival_times: list[float] = []
        self.arrivals: list[tuple[bytes, float]] = []
        self.heads: list[bytes] = []
        self.told: list[tuple[bytes, float]] = []
        self.crash_times: list[float] = []
        self.bad_part_times: list[float] = []
        self.crash_delay_seconds = 0.0
        self.bad_arrivals: list[tuple[str, float]] = []
        self.bad_crashes: list[tuple[str, float]] = []
        self._bad_running: set[str] = set()
        self.answered: list[str] = []
        self._on_start = on_start
        self._on_end = on_end
        self._starts = itertools.count(1)
        self._start_number = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks = TaskOwner()

    @property
    def start_number(self) -> int:
        return self._start_number

    @property
    def id(self) -> str:
        """Return the id of the current start."""
        number = 1 if self.keeps_id else self._start_number
        return f"{self.name}-{number}"

    @property
    def is_running(self) -> bool:
        return self._listener is not None

    async def start(self) -> None:
        host, port = self.address.rsplit(":", 1)
        self._listener = await asyncio.start_server(self._serve, host, int(port))
        self._start_number = next(self._starts)
        self._on_start(self)

    async def stop(self) -> None:
        await self._tasks.stop()
        self._end()

    def _end(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            reset_connection(writer)
        self._writers.clear()

    def crash(self) -> None:
        """End the server at once and start it again later."""
        if not self.is_running:
            return
        now = asyncio.get_running_loop().time()
        self.crash_times.append(now)
        self.bad_crashes += [(name, now) for name in self._bad_running]
        self._bad_running.clear()
        self._end()
        self._on_end(self)
        self._tasks.start(self._restart(), f"restart of {self.name}")

    async def _restart(self) -> None:
        await asyncio.sleep(self.down_seconds)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_running:
            # Accepted just before the crash, which reset all connections known then.
            reset_connection(writer)
            return
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = ReceivedRequest(head[:-4], b"")
                length = int(request.header("content-length") or 0)
                request.body = await reader.readexactly(length)
                if request.header("x-expect-instance") != self.id:
                    writer.write(response(b"", "421 Misdirected Request"))
                    continue
                now = asyncio.get_running_loop().time()
                self.arrival_times.append(now)
                self.arrivals.append((request.body, now))
                self.heads.append(head)
                request_id = request.header("x-request-id") or ""
                if await self._turns_away(request, writer):
                    continue
                bad_name = _crashing_name(request)
                if bad_name is not None:
                    await self._run_crashing(bad_name)
                    return
                bad_parts = self.bad_parts.intersection(_shared_parts(request))
                has_bad_part = bool(bad_parts)
                for part in bad_parts:
                    self.bad_part_times.append(now)
                    self.bad_arrivals.append((part, now))
                    self._bad_running.add(part)
                await asyncio.sleep(self.service_seconds)
                if self.is_leaving:
                    now = asyncio.get_running_loop().time()
                    self.told.append((request.body, now))
                if request.head.startswith(_STREAM_PATHS):
                    last = int(request.header("last-event-id") or 0)
                    await self._write_stream(request_id, writer, has_bad_part, last)
                elif has_bad_part:
                    self.crash()
                    return
                else:
                    fields = [f"X-Request-Id: {request_id}", *self._stated_fields()]
                    answer = response(request.body, "200 OK", *fields)
                    await self._write_answer(answer, writer)
                self.answered.append(request_id)
                self._finished()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _write_answer(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(answer)

    async def _run_crashing(self, name: str) -> None:
        start = self._start_number
        self.bad_arrivals.append((name, asyncio.get_running_loop().time()))
        self._bad_running.add(name)
        if self.crash_delay_seconds:
            await asyncio.sleep(self.crash_delay_seconds)
        if self._start_number == start:
            self.crash()

    async def _turns_away(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request that this server does not run; return whether it did."""
        now = asyncio.get_running_loop().time()
        if now >= self.full_until:
            return False
        self.told.append((request.body, now))
        writer.write(self._full_response(request.header("x-request-id") or ""))
        return True

    def _finished(self) -> None:
        """Note that a request was answered."""

    def _stated_fields(self) -> list[str]:
        fields = []
        if self.stated_limit is not None:
            fields.append(f"Server-Limit: {self.stated_limit}")
        if self.is_leaving:
            fields.append("Server-Leaving: 1")
        return fields

    def _full_response(self, request_id: str) -> bytes:
        return response(
            b"",
            "503 Service Unavailable",
            f"X-Request-Id: {request_id}",
            "X-Not-Executed: 1",
            f"Retry-After: {self.asked_wait:g}",
        )

    async def _write_stream(
        self,
        request_id: str,
        writer: asyncio.StreamWriter,
        has_bad_part: bool,
        last_event: int,
    ) -> None:
        fields = [
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request_id}",
            "Transfer-Encoding: chunked",
            *self._stated_fields(),
        ]
        head = "\r\n".join(["HTTP/1.1 200 OK", *fields]) + "\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()
        await asyncio.sleep(self.service_seconds)
        if has_bad_part:
            self.crash()
            return
        for number in range(last_event + 1, self.events + 1):
            if self.resets_streams and not last_event and number > self.events // 2:
                self._writers.discard(writer)
                reset_connection(writer)
                return
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_EVENT_INTERVAL_SECONDS)
        writer.write(b"0\r\n\r\n")


def _crashing_name(request: ReceivedRequest) -> str | None:
    """Return what names a request that crashes servers, ``None`` if it does not."""
    query = request.head.split(b" ", 2)[1].partition(b"?")[2]
    marked = (item for item in (request.body, query) if item.startswith(CRASH_MARK))
    name = next(marked, None)
    return None if name is None else name.partition(b"&")[0].decode()


def _shared_parts(request: ReceivedRequest) -> list[str]:
    """Return the ids of all parts of the prompt but the last."""
    header = request.header("x-prompt-prefix") or ""
    return [item.partition(":")[0] for item in header.split(",")][:-1]
