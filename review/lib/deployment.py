"""Start the project's routers as processes, with settings of a small deployment."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case may take 120 seconds; one that takes longer than this could not run.
MAX_CASE_SECONDS = 112.0
_STARTED: list[asyncio.subprocess.Process] = []


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP, one after the other."""
    for first in range(20_000 + os.getpid() * 16 % 10_000, 32_000, count):
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    found = socket.socket(socket.AF_INET, kind)
                    sockets.append(found)
                    found.bind((HOST, port))
        except OSError:
            continue
        finally:
            for found in sockets:
                found.close()
        return list(range(first, first + count))
    raise OSError("no free ports")


class Record:
    """Write what was sent, answered and run to ``record.txt``, in seconds."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, what: str, details: dict | None = None) -> None:
        """Write one line."""
        text = json.dumps(details) if details else ""
        self._file.write(f"{self.now():9.4f} {what} {text}\n")
        self._file.flush()


class Router:
    """Run one router as a process of its own, as the deploy file starts it."""

    def __init__(
        self, name: str, zone: str, store: str, folder: Path, ports: list[int]
    ) -> None:
        self.name = name
        self.zone = zone
        self._folder = folder
        self._store = store
        self._ports = ports
        self._process: asyncio.subprocess.Process | None = None
        self.front = f"{HOST}:{ports[0]}"
        self.ready = f"{HOST}:{ports[1]}"

    @property
    def process(self) -> asyncio.subprocess.Process:
        """Return the running process."""
        assert self._process is not None
        return self._process

    async def start(self, *, is_first: bool) -> None:
        """Start the process."""
        settings = self._folder / f"{self.name}.conf"
        settings.write_text(self._settings(is_first=is_first))
        log = (self._folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GOOSEBERRYDEAL_CONFIG": str(settings),
        }
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gooseberrydeal._internal.cli.router",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        _STARTED.append(self._process)
        log.close()

    async def kill(self, number: signal.Signals = signal.SIGKILL) -> int:
        """Send a signal to the process and wait for its end."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()

    def _settings(self, *, is_first: bool) -> str:
        first, last = self._ports[2], self._ports[3]
        lines = [
            f"nodeName={self.name}",
            "role=router",
            "machineClass=edge",
            "serves=edge",
            f"ip={HOST}",
            f"zone={self.zone}",
            "region=r",
            f"listen.front={self.front}",
            f"listen.ready={self.ready}",
            f"portRange={first},{last}",
            f"bootstrap={'true' if is_first else 'false'}",
            "heartbeatMs=1200",
            "bounds.stableWindowMs=3000",
            "bounds.drainMs=2000",
            "bounds.graceS=8",
            "bounds.configApplyMs=2000",
            "bounds.retryBudgetRatio=0.2",
            "bounds.budgetWindowS=10",
            "bounds.retryBudgetSlack=56",
            "bounds.requireFence=false",
            "bounds.leaseMs=3000",
            "bounds.version_ms=5000",
            f"platform.address={self._store}",
            "platform.form=kv",
            "platform.ttlMinMs=1000",
        ]
        return "\n".join(lines) + "\n"


async def start_routers(
    store: Store, names: list[str], zone: str, folder: Path
) -> dict[str, Router]:
    """Start several routers for the first time."""
    ports = free_ports(4 * len(names))
    routers = {}
    for number, name in enumerate(names):
        address = await store.open(name, HOST)
        own = ports[4 * number : 4 * number + 4]
        routers[name] = Router(name, zone, address, folder, own)
    await asyncio.gather(*(r.start(is_first=True) for r in routers.values()))
    return routers


async def wait_ready(router: Router, seconds: float = 20.0) -> bool:
    """Wait until a router says that it is ready."""
    host, _, port = router.ready.partition(":")
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            if b" 200 " in line:
                return True
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.02)
    return False


async def _play_until_signal(
    play: Callable[[Record, Path], Awaitable[int]], record: Record, folder: Path
) -> int:
    """Play a case; SIGTERM and SIGINT end it and all that it started."""
    task = asyncio.ensure_future(play(record, folder))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(task, MAX_CASE_SECONDS)
    except asyncio.CancelledError:
        return NOT_RUN
    finally:
        for process in _STARTED:
            if process.returncode is None:
                process.kill()
                await process.wait()


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Play a case; return its exit code, 2 if it could not run."""
    record = Record(folder)
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as name:
            return asyncio.run(_play_until_signal(play, record, Path(name)))
    except Exception:
        traceback.print_exc()
        record.write("the case could not run", {"error": traceback.format_exc()})
        return NOT_RUN
