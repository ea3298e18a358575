"""A front's hold on fleet work, as a process of its own for the tests and for installations that allow it.

It holds one task on the coordination service (`Holder`) and, while `Owner.may_act` says yes, sends an effect
every `--every-ms` to a target over TCP: one line `EFFECT task token name number`, answered `OK highest` or
`STALE highest`. The answer is what the target's fence said; a refusal is logged and ends nothing (the target,
not the owner, judges). On the fleet's bench no front talks to another, so `run` never starts this.

    python -m cometseam.coordination.agent --etcd 127.0.0.1:2379 --target 127.0.0.1:7000 --task probe \
        --name f1
"""

import argparse
import sys
import time

import anyio
from anyio.abc import ByteStream

from cometseam.coordination.elect import Holder, Place, connect
from cometseam.ownership import Refused, Terms


def clock() -> float:
    """The one clock: monotonic, ms."""
    return time.monotonic() * 1000.0


async def act(holder: Holder, target: Place, every_ms: float, log: bool) -> None:
    """Send effects while this front may act; reconnect to the target when its link fails."""
    number = 0
    stream: ByteStream | None = None
    while True:
        await anyio.sleep(every_ms / 1000.0)
        owner = holder.owner
        if not owner.may_act(clock()):
            continue
        number += 1
        line = f"EFFECT {owner.task} {owner.token} {holder.name} {number}\n".encode()
        try:
            if stream is None:
                stream = await anyio.connect_tcp(target.host, target.port)
            await stream.send(line)
            answer = await stream.receive(256)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            stream = None  # the target's link failed: the effect may or may not have landed; the fence judges
            continue
        if log and not answer.startswith(b"OK"):
            print(f"refused {owner.task} token={owner.token} {answer.decode().strip()}", flush=True)


async def main_async(words: argparse.Namespace) -> None:
    terms = Terms(words.ttl_ms, words.margin_ms, words.drift, words.renew_ms, words.round_trip_ms)
    place = Place.parse(words.etcd)
    client = connect(place, terms)
    holder = Holder(client, words.task, words.name, terms, clock, look_first=not words.no_look)
    async with client, anyio.create_task_group() as group:
        group.start_soon(holder.run)
        group.start_soon(act, holder, Place.parse(words.target), words.every_ms, True)
        print(f"ready {words.name}", flush=True)
        while True:
            await anyio.sleep(0.05)
            for change in holder.owner.drain():
                print(f"state {change.after.value} token={change.token} why={change.why}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(
        description="Hold one fleet task on etcd's v3 API and act while it is held"
    )
    parser.add_argument("--etcd", required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument("--task", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--ttl-ms", type=float, default=1000.0)
    parser.add_argument("--margin-ms", type=float, default=250.0)
    parser.add_argument("--drift", type=float, default=0.01)
    parser.add_argument("--renew-ms", type=float, default=200.0)
    parser.add_argument("--round-trip-ms", type=float, default=100.0)
    parser.add_argument("--every-ms", type=float, default=20.0)
    parser.add_argument("--no-look", action="store_true", help="campaign without reading the key first")
    words = parser.parse_args()
    try:
        Terms(words.ttl_ms, words.margin_ms, words.drift, words.renew_ms, words.round_trip_ms).check()
    except Refused as error:
        print(f"cometseam: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(main_async, words, backend="asyncio")
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
