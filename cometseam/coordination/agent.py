"""A front that owns fleet tasks, as a process of its own for the tests and for installations that allow it.

It takes part in one task on the coordination service (`TaskHolder`), or with `--tasks` in several
(`TaskOwners`), and, while the owner's clock says that it may act, sends an effect every `--every-ms` to a
target over TCP: `EFFECT task token name number`, answered `OK highest` or `STALE highest`. The answer is the
decision of the target's fence; a rejection is logged and ends nothing (the target decides, not the owner).
With `--members N` the process acts as N fronts with a connection each. On the fleet's bench fronts do not
talk to each other, so `run` never starts this.

    python -m cometseam.coordination.agent --etcd 127.0.0.1:2379 --target 127.0.0.1:7000 --task probe \
        --name f1

For fault injection: SIGUSR1 moves the process's lease clock forward by `--jump-ms`, SIGUSR2 back by as much.
"""

import argparse
import signal
import sys
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream, TaskGroup

from cometseam.coordination.election import ServiceAddress, TaskHolder, boot_time, connect
from cometseam.coordination.task_owners import TaskOwners
from cometseam.ownership import OwnershipTerms, OwnershipTermsError


class Clock:
    """The lease clock, with an offset that a test can change."""

    def __init__(self) -> None:
        self.offset_ms = 0.0

    def now(self) -> float:
        """Return the time in ms."""
        return boot_time() + self.offset_ms

    async def handle_jump_signals(self, jump_ms: float) -> None:
        """Move the clock by `jump_ms` at each signal: SIGUSR1 forward, SIGUSR2 back."""
        with anyio.open_signal_receiver(signal.SIGUSR1, signal.SIGUSR2) as signals:
            async for signal_number in signals:
                self.offset_ms += jump_ms if signal_number == signal.SIGUSR1 else -jump_ms


class EffectSender:
    """Sends the effects of one front's tasks to the target; reconnects when the link fails."""

    def __init__(
        self, name: str, target: ServiceAddress, every_ms: float, clock: Callable[[], float]
    ) -> None:
        self.name, self.target, self.every_ms, self.clock = name, target, every_ms, clock
        self._stream: ByteStream | None = None
        self._number = 0

    async def run(self, holders: Callable[[], list[TaskHolder]]) -> None:
        """Send one effect every `every_ms` for each task that this front may act for."""
        while True:
            await anyio.sleep(self.every_ms / 1000.0)
            for holder in holders():
                if holder.ownership.may_act(self.clock()):
                    await self._send(holder)

    async def _send(self, holder: TaskHolder) -> None:
        owner = holder.ownership
        self._number += 1
        line = f"EFFECT {owner.task} {owner.token} {self.name} {self._number}\n".encode()
        try:
            if self._stream is None:
                self._stream = await anyio.connect_tcp(self.target.host, self.target.port)
            await self._stream.send(line)
            answer = await self._stream.receive(256)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            self._stream = None  # the effect may or may not have arrived; the fence decides
            return
        if not answer.startswith(b"OK"):
            print(f"refused {owner.task} token={owner.token} {answer.decode().strip()}", flush=True)


def _print_changes(holder: TaskHolder) -> None:
    for change in holder.ownership.pop_changes():
        task = holder.ownership.task
        print(f"state {change.after.value} task={task} token={change.token} why={change.reason}", flush=True)


def _parse_terms(args: argparse.Namespace) -> OwnershipTerms:
    return OwnershipTerms(args.ttl_ms, args.margin_ms, args.drift, args.renew_ms, args.round_trip_ms)


async def _run_single(args: argparse.Namespace, clock: Clock, group: TaskGroup) -> None:
    terms = _parse_terms(args)
    async with connect(ServiceAddress.parse(args.etcd), terms) as client:
        holder = TaskHolder(client, args.task, args.name, terms, clock.now, read_first=not args.no_look)
        group.start_soon(holder.run)
        sender = EffectSender(args.name, ServiceAddress.parse(args.target), args.every_ms, clock.now)
        group.start_soon(sender.run, lambda: [holder])
        print(f"ready {args.name}", flush=True)
        while True:
            await anyio.sleep(0.05)
            _print_changes(holder)


async def _run_member(args: argparse.Namespace, name: str, clock: Clock) -> None:
    terms = _parse_terms(args)
    async with connect(ServiceAddress.parse(args.etcd), terms) as client, anyio.create_task_group() as group:
        tasks = {task: terms for task in args.tasks.split(",")}
        task_owners = TaskOwners(
            client, name, tasks, args.refresh_ms, clock.now, _print_changes, args.spread_ms
        )
        group.start_soon(task_owners.run)
        sender = EffectSender(name, ServiceAddress.parse(args.target), args.every_ms, clock.now)
        group.start_soon(sender.run, task_owners.active_holders)


async def main_async(args: argparse.Namespace) -> None:
    clock = Clock()
    async with anyio.create_task_group() as group:
        group.start_soon(clock.handle_jump_signals, args.jump_ms)
        if not args.tasks:
            await _run_single(args, clock, group)
        for number in range(args.members):
            name = args.name if args.members == 1 else f"{args.name}.{number}"
            group.start_soon(_run_member, args, name, clock)
        print(f"ready {args.name}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(
        description="Own fleet tasks on etcd's v3 API and act while they are owned"
    )
    parser.add_argument("--etcd", required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument("--task", default="probe")
    parser.add_argument("--tasks", default="", help="comma-separated tasks to take part in, instead of one")
    parser.add_argument("--members", type=int, default=1, help="number of fronts that this process acts as")
    parser.add_argument("--name", required=True)
    parser.add_argument("--ttl-ms", type=float, default=1000.0)
    parser.add_argument("--margin-ms", type=float, default=250.0)
    parser.add_argument("--drift", type=float, default=0.01)
    parser.add_argument("--renew-ms", type=float, default=200.0)
    parser.add_argument("--round-trip-ms", type=float, default=100.0)
    parser.add_argument("--refresh-ms", type=float, default=500.0, help="interval of reads beside the watch")
    parser.add_argument("--every-ms", type=float, default=20.0)
    parser.add_argument(
        "--jump-ms", type=float, default=0.0, help="what SIGUSR1 and SIGUSR2 move the clock by"
    )
    parser.add_argument("--no-look", action="store_true", help="campaign without reading the key first")
    parser.add_argument(
        "--spread-ms", type=float, default=None, help="with --tasks: the longest wait before a campaign"
    )
    args = parser.parse_args()
    try:
        _parse_terms(args).check()
    except OwnershipTermsError as error:
        print(f"cometseam: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(main_async, args, backend="asyncio")
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
