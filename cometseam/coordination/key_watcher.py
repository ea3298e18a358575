"""Follows a range of keys on the service by reads of the whole range and a watch beside them.

The watch brings changes at once; the reads, every `refresh_ms`, bound the age of the view whatever happens to
the watch: it can be compacted (the service has dropped the revision it starts from), can end with its
connection, or can be silent on a link that loses its events, which the client can't distinguish from a quiet
service. `KeyRangeView` decides what is known; this module only reads and watches.

Cancellation: leaving `run`'s task group. Nothing remains at the service but a watch that ends with the
connection.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import aetcd
import anyio

from cometseam.ownership import KeyChange, KeyEntry, KeyRangeView

Clock = Callable[[], float]
ChangesCallback = Callable[[list[KeyChange]], None]
MIN_WATCH_INTERVAL_S = (
    0.05  # between two watches, so that one that ends at once is not restarted in a busy loop
)


class KeyRangeWatcher:
    """One front's view of the keys below `prefix`; `on_changes` is called with every change, in order."""

    def __init__(
        self,
        client: aetcd.Client,
        prefix: bytes,
        refresh_ms: float,
        clock: Clock,
        on_changes: ChangesCallback,
    ) -> None:
        self.client, self.prefix, self.refresh_ms = client, prefix, refresh_ms
        self.clock, self.on_changes = clock, on_changes
        self.view = KeyRangeView()
        self.reads = self.unanswered = self.watches = self.watches_ended = 0

    async def _call(self, call: Awaitable[Any]) -> Any:
        try:
            return await call
        except Exception:  # the link failed, the deadline passed, or the service refused
            self.unanswered += 1
            return None

    async def read(self) -> bool:
        """Read the whole range once and report the changes; return whether the read was answered."""
        sent_at, floor = self.clock(), self.view.revision
        self.reads += 1
        answer = await self._call(self.client.get_prefix(self.prefix))
        if answer is None:
            return False
        entries = {kv.key: KeyEntry(kv.value, kv.create_revision, kv.mod_revision) for kv in answer}
        changes = self.view.apply_read(answer.header.revision, entries, sent_at, floor)
        if changes:
            self.on_changes(changes)
        return True

    async def _watch(self) -> None:
        """Watch from the last known revision until the watch ends, for whatever reason."""
        self.watches += 1
        try:
            watch = await self.client.watch_prefix(self.prefix, start_revision=self.view.revision + 1)
            async for event in watch:
                kv = event.kv
                is_put = str(event.kind).endswith("PUT")
                entry = KeyEntry(kv.value, kv.create_revision, kv.mod_revision) if is_put else None
                changes = self.view.apply_event(kv.mod_revision, kv.key, entry)
                if changes:
                    self.on_changes(changes)
        except Exception:  # compacted, or the connection ended: the next read brings what was missed
            self.watches_ended += 1

    async def run(self) -> None:
        """Follow the range until cancelled."""
        async with anyio.create_task_group() as tasks:
            while not await self.read():
                await anyio.sleep(self.refresh_ms / 1000.0)
            tasks.start_soon(self._refresh)
            while True:
                await self._watch()
                await anyio.sleep(MIN_WATCH_INTERVAL_S)
                await self.read()

    async def _refresh(self) -> None:
        while True:
            await anyio.sleep(self.refresh_ms / 1000.0)
            await self.read()
