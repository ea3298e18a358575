"""Controls one front's process: starts it with a given endpoint list, signals it, records its ends."""

import json
import signal
import time
from collections.abc import Mapping
from copy import deepcopy
from pathlib import Path
from subprocess import DEVNULL
from typing import Any

import anyio
from anyio.abc import Process

from cometseam.counters import memory_bytes_of
from cometseam.soak.clients import Target
from cometseam.soak.discovery import Discovery, EventLog
from cometseam.soak.history import Ended, History, Sampled, Started

# SIGKILL follows SIGTERM after the longest deadline, of which at most 3 s count, and 0.7 s more.
KILL_DELAY_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
SAMPLE_INTERVAL_S = 0.05


class FrontProcess:
    """A front's process across its restarts."""

    def __init__(
        self, target: Target, discovery: Discovery, log: EventLog, config: dict[str, Any], folder: Path,
        command: list[str], environment: Mapping[str, str],
    ) -> None:  # fmt: skip
        self.target, self.discovery = target, discovery
        self.is_running = False
        self.has_active_fault = False  # a fault is acting on the process
        self._log, self._config = log, deepcopy(config)
        self._path = folder / f"front-{target.number}.json"
        self._log_path = folder / f"front-{target.number}.log"
        self._log_path.unlink(missing_ok=True)
        self._command, self._environment = command, dict(environment)
        self._process: Process
        self._sigterm_at = 0.0

    @property
    def name(self) -> str:
        """Return its name in the history."""
        return f"front-{self.target.number}"

    @property
    def longest_deadline(self) -> float:
        """Return the longest deadline of its request classes in seconds."""
        return max(float(grade["hardLimit"]) for grade in self._config["settings"]["grades"]) / 1000.0

    def write_config(self) -> int:
        """Write its configuration with the current endpoint list; return the last event in it."""
        host, port = self.target.address
        self._config.update(name=self.name, listen=f"{host}:{port}")
        self._config["changelog"] = f"127.0.0.1:{self.discovery.port}"
        self._config["known"] = {"seq": 1, "results": self._log.full_list()}
        self._path.write_text(json.dumps(self._config))
        return len(self._log.events)

    async def start(self, base: int) -> None:
        """Start it with the written configuration, whose last event is `base`."""
        self.target.life += 1
        self.discovery.life, self.discovery.base, self._sigterm_at = self.target.life, base, 0.0
        with self._log_path.open("ab") as output:
            self._process = await anyio.open_process(
                self._command, stdin=DEVNULL, stdout=output, stderr=output,
                env={**self._environment, "ROUTER_CONFIG": str(self._path)},
            )  # fmt: skip
        self.is_running = True
        self._history.add(Started(time.monotonic(), self.target.number, self.target.life, base))

    @property
    def _history(self) -> History:
        return self._log.history

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """End it by SIGKILL."""
        self.is_running = False
        self.signal(signal.SIGKILL)
        await self._record_end(killed=True)

    async def terminate(self) -> None:
        """End it by SIGTERM, and by SIGKILL if it still runs at the earliest time that operations allow."""
        self.is_running = False
        self._sigterm_at = time.monotonic()
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(min(self.longest_deadline, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S) as scope:
            await self._process.wait()
        if scope.cancelled_caught:
            self.signal(signal.SIGKILL)
        await self._record_end(killed=scope.cancelled_caught)

    async def _record_end(self, killed: bool) -> None:
        status = await self._process.wait()
        target, now = self.target, time.monotonic()
        self._history.add(Ended(now, target.number, target.life, status, self._sigterm_at, killed))

    async def monitor(self) -> None:
        """Sample its descriptors and memory, and record an unexpected end, until cancelled."""
        while True:
            await anyio.sleep(SAMPLE_INTERVAL_S)
            if not self.is_running:
                continue
            if self._process.returncode is not None:
                self.is_running = False
                await self._record_end(killed=False)
                continue
            try:
                folder = Path(f"/proc/{self._process.pid}")
                descriptors = len(list((folder / "fd").iterdir()))
                memory = memory_bytes_of(self._process.pid) / (1 << 20)
            except (OSError, ValueError):
                continue
            sample = Sampled(time.monotonic(), self.target.number, descriptors, memory)
            self._history.add(sample)
