"""Start the project's router as the deploy file does, and end only what was started."""

import asyncio
import os
import random
import signal
import socket
import tomllib
from pathlib import Path

from .messages import read_head

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
# As on the small sites: sites/halskov-dies.toml.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "requireFence": "false",
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "ceilingWindowS": 5,
    "ceilingOvershoot": 1.1,
    "version_ms": 5000,
}
MEMORY_MB = 300
MAX_FDS = 4100
READY_SECONDS = 20.0
PORTS = (15_000, 30_000)
_taken: set[int] = set()


def free_port(host: str = "127.0.0.1", count: int = 1) -> int:
    """Return the first of some ports in a row that are free for TCP and UDP.

    They lie below the ports that the kernel gives to outgoing connections, so that
    none of these takes them before they are used.
    """
    while True:
        first = random.randrange(*PORTS)
        if _taken.isdisjoint(range(first, first + count)) and all(
            _is_free(host, port) for port in range(first, first + count)
        ):
            _taken.update(range(first, first + count))
            return first


def _is_free(host: str, port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind((host, port))
    except OSError:
        return False
    return True


class Router:
    """Run one router process, with settings like those of a small deployment."""

    def __init__(
        self,
        name: str,
        zone: str,
        folder: Path,
        store_port: int,
        bounds: dict[str, object],
    ) -> None:
        self._bounds = BOUNDS | bounds
        self.name = name
        self.zone = zone
        self.front = free_port()
        self.ready = free_port()
        self.peers = free_port(count=2)
        self._store_port = store_port
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._starts = 0
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._command = role["run"].split()

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        return None if self._process is None else self._process.returncode

    def resident_mb(self) -> float:
        """Return the memory that the process holds now, 0 if it does not run."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def start(self, *, is_first: bool) -> None:
        """Start the process without waiting until it is ready."""
        self._starts += 1
        settings = self._folder / f"{self.name}.conf"
        settings.write_text(self._settings(is_first=is_first))
        keep = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in keep if k in os.environ}
        environment["GOOSEBERRYDEAL_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(DEPENDENCIES)
        log = (self._folder / f"{self.name}.{self._starts}.log").open("wb")
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=asyncio.subprocess.STDOUT,
        )
        log.close()

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and head.status == 200

    async def wait_ready(self, seconds: float = READY_SECONDS) -> bool:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: signal.Signals) -> None:
        if self.is_running:
            os.kill(self.pid, number)

    async def kill(self) -> None:
        if self.is_running:
            assert self._process is not None
            self._process.kill()
            await self._process.wait()

    async def wait(self) -> int:
        assert self._process is not None
        return await self._process.wait()

    def log_lines(self) -> list[str]:
        lines: list[str] = []
        for number in range(1, self._starts + 1):
            path = self._folder / f"{self.name}.{number}.log"
            lines += path.read_text(errors="replace").splitlines()
        return lines

    def _settings(self, *, is_first: bool) -> str:
        values = {
            "nodeName": self.name,
            "role": "router",
            "machineClass": "edge",
            "serves": "edge",
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "r",
            "listen.front": f"127.0.0.1:{self.front}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "portRange": f"{self.peers},{self.peers + 1}",
            "bootstrap": str(is_first).lower(),
            "limits.cpuShare": "0.537",
            "limits.cores": "2",
            "limits.memoryMb": str(MEMORY_MB),
            "limits.maxFds": str(MAX_FDS),
            "limits.linkMbps": "1000.0",
            "limits.diskMb": "0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": "1200",
            "platform.address": f"127.0.0.1:{self._store_port}",
            "platform.form": "kv",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000",
            **{f"bounds.{name}": str(value) for name, value in self._bounds.items()},
        }
        return "".join(f"{name}={value}\n" for name, value in values.items())
