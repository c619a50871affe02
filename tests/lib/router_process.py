"""Run the router as a process of its own."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from types import TracebackType

import psutil

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.platform.boot_file import SETTINGS_PATH_VARIABLE

_STOP_SECONDS = 10.0
_POLL_SECONDS = 0.1
# Longer than the grace period of 8 s.
_TERMINATION_SECONDS = 20.0


class RouterProcess:
    """Start ``gooseberry-router`` with a settings file in a folder, and end it."""

    def __init__(
        self,
        folder: Path,
        store_address: str,
        memory_mb: int | None = None,
        max_descriptors: int | None = None,
        name: str = "host-0",
        domain: str = "d1",
    ) -> None:
        self.callers = free_address()
        self.readiness = free_address()
        self.peers = free_address()
        # The port after that serves metrics.
        free_address()
        port = self.peers.rsplit(":", 1)[1]
        self._settings = folder / f"{name}.conf"
        limits = ""
        if memory_mb is not None:
            limits += f"limits.memoryMb={memory_mb}\n"
        if max_descriptors is not None:
            limits += f"limits.maxFds={max_descriptors}\n"
        self._settings.write_text(
            f"nodeName={name}\nzone={domain}\nip=127.0.0.1\nbootstrap=true\n"
            f"portRange={port},{int(port) + 10}\n"
            f"listen.front={self.callers}\nlisten.ready={self.readiness}\n"
            f"platform.address={store_address}\n{limits}"
        )
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def memory_mb(self) -> float:
        assert self._process is not None
        return float(psutil.Process(self._process.pid).memory_info().rss) / 1e6

    @property
    def peak_memory_bytes(self) -> int:
        """Return the largest resident memory that the process has had."""
        assert self._process is not None
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    @property
    def open_descriptors(self) -> int:
        assert self._process is not None
        return int(psutil.Process(self._process.pid).num_fds())

    @property
    def log(self) -> list[str]:
        return self._log.read_text().splitlines()

    async def __aenter__(self) -> "RouterProcess":
        with self._log.open("w") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gooseberrydeal._internal.cli.router",
                stdout=output,
                stderr=output,
                env={**os.environ, SETTINGS_PATH_VARIABLE: str(self._settings)},
            )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._process is not None and self.is_running:
            self._process.kill()
            await asyncio.wait_for(self._process.wait(), _STOP_SECONDS)

    def freeze(self) -> None:
        """Suspend the process."""
        assert self._process is not None
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a suspended process go on."""
        assert self._process is not None
        self._process.send_signal(signal.SIGCONT)

    async def terminate(self) -> int:
        """Ask the process to end, and return its exit code."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self._process.wait(), _TERMINATION_SECONDS)

    async def wait_ready(self, seconds: float) -> bool:
        """Return whether the process says within a time that it is ready."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until and self.is_running:
            if b" 200 " in await self._ask():
                return True
            await asyncio.sleep(_POLL_SECONDS)
        return False

    async def _ask(self) -> bytes:
        host, port = self.readiness.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except ConnectionError:
            return b""
        try:
            writer.write(
                b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            return await reader.readline()
        except ConnectionError:
            return b""
        finally:
            writer.close()
