"""Run hosts as processes of two builds before servers that can crash."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Self

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.platform.boot_file import SETTINGS_PATH_VARIABLE
from tests.lib.brittle_server import PLACES, BrittleServer
from tests.lib.crash_cluster import CrashCluster

_GRACE_SECONDS = 4
_STOP_SECONDS = 10.0


class BuildCluster(CrashCluster):
    """Start each host as a process of a build, whose source is in a folder."""

    server_class = BrittleServer
    server_slots = PLACES

    def __init__(self, folder: Path, source: Path, hosts: int, servers: int) -> None:
        super().__init__(hosts=hosts, servers=servers, down_seconds=1.0)
        self.source = source
        self._folder = folder
        self._readiness: dict[str, str] = {}
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    @property
    def log(self) -> list[str]:
        """Return the lines that all hosts have written."""
        files = sorted(self._folder.glob("host-*.log"))
        return [line for file in files for line in file.read_text().splitlines()]

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        # Each host has read the records of the others after a poll.
        await asyncio.sleep(2.0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await super().__aexit__(*exc)

    async def start_host(self, name: str) -> None:
        """Start a process of the present build; a host keeps its addresses."""
        if name not in self._addresses:
            self._addresses[name] = free_address()
            self._readiness[name] = free_address()
            self._peers[name] = free_address()
            # The port after that is taken for metrics.
            free_address()
        port = int(self._peers[name].rsplit(":", 1)[1])
        settings = self._folder / f"{name}.conf"
        settings.write_text(
            f"nodeName={name}\nzone=d1\nip=127.0.0.1\nbootstrap=true\n"
            f"portRange={port},{port + 10}\nbounds.graceS={_GRACE_SECONDS}\n"
            f"listen.front={self._addresses[name]}\n"
            f"listen.ready={self._readiness[name]}\n"
            f"platform.address={self._store_address}\n"
        )
        with (self._folder / f"{name}.log").open("a") as output:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gooseberrydeal._internal.cli.router",
                stdout=output,
                stderr=output,
                env={
                    **os.environ,
                    "PYTHONPATH": str(self.source),
                    SETTINGS_PATH_VARIABLE: str(settings),
                },
            )
        await self._wait_until_serving(name)

    async def replace_host(self, name: str, source: Path) -> None:
        """Stop a host in order, and start it again as a process of another build."""
        process = self._processes[name]
        process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(process.wait(), _STOP_SECONDS)
        self.source = source
        await self.start_host(name)

    async def _wait_until_serving(self, name: str) -> None:
        while True:
            try:
                if (await self.call(name, b"ready?"))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
