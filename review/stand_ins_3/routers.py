"""Run the router of the deploy file as processes, one for each machine."""

import asyncio
import os
import signal
import sys
import tomllib
from pathlib import Path

from record import Record

ROOT = Path(__file__).resolve().parents[2]
_STOP_SECONDS = 5.0


def router_command() -> list[str]:
    """Return the command by which the deploy file runs the router."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    program, *arguments = deploy["roles"]["router"]["run"].split()
    return [sys.executable if program == "python3" else program, *arguments]


class Router:
    """Start, stop, pause and kill the router of one machine."""

    def __init__(
        self, name: str, zone: str, ip: str, first_port: int, store_address: str,
        folder: Path, record: Record, bounds: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.ip = ip
        self.front = f"{ip}:{first_port}"
        self.ready = f"{ip}:{first_port + 1}"
        self._first_port = first_port
        self._zone = zone
        self._store_address = store_address
        self._folder = folder
        self._record = record
        self._bounds = bounds or {}
        self._process: asyncio.subprocess.Process | None = None
        self._starts = 0

    @property
    def port(self) -> int:
        return self._first_port

    @property
    def returncode(self) -> int | None:
        return None if self._process is None else self._process.returncode

    async def start(self, is_first: bool) -> None:
        """Start the process, with the settings of a small deployment."""
        self._starts += 1
        settings = self._folder / f"{self.name}.conf"
        settings.write_text(self._settings(is_first))
        log = (self._folder / f"{self.name}.{self._starts}.log").open("wb")
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GOOSEBERRYDEAL_CONFIG"] = str(settings)
        self._process = await asyncio.create_subprocess_exec(
            *router_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._record.note(f"{self.name}: started")

    def send(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._record.note(f"{self.name}: {number.name}")
        self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self._process is not None and self._process.returncode is None:
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def wait(self, seconds: float) -> int | None:
        assert self._process is not None
        try:
            return await asyncio.wait_for(self._process.wait(), seconds)
        except TimeoutError:
            return None

    async def is_ready(self) -> bool:
        """Return whether the process answers the platform's probe with 200."""
        ip, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds: float) -> bool:
        for _ in range(int(seconds / 0.1)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def _settings(self, is_first: bool) -> str:
        port = self._first_port
        fields = {
            "nodeName": self.name, "role": "router", "machineClass": "edge",
            "serves": "edge", "ip": self.ip, "zone": self._zone, "region": "r",
            f"zones.{self._zone}": "r",
            "listen.front": self.front, "listen.ready": self.ready,
            "listen.control": f"{self.ip}:{port + 2}",
            "portRange": f"{port + 3},{port + 9}",
            "bootstrap": "true" if is_first else "false", "lossCounted": "false",
            "limits.memoryMb": "300", "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0", "discovery": "platform", "entry": "vip",
            "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine,"
            "platform",
            "bounds.stableWindowMs": "3000", "bounds.drainMs": "2000",
            "bounds.graceS": "8", "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000", "bounds.rollbackSlackMs": "250",
            "bounds.skewMaxMs": "5000", "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10", "bounds.retryBudgetSlack": "56",
            "bounds.recoveryS": "12", "bounds.requireFence": "false",
            "bounds.leaseMs": "3000", "bounds.thawSlackMs": "300",
            "bounds.version_ms": "5000",
            "platform.address": self._store_address, "platform.form": "kv",
            "platform.writesPerS": "400", "platform.readsPerS": "2000",
            "platform.historyS": "20", "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000",
        } | self._bounds
        return "".join(f"{name}={value}\n" for name, value in fields.items())
