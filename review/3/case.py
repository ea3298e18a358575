"""Two purges of one object, told in the other order than they were made."""

import asyncio
import os
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import parties

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 47
OBJECTS = 10
INTERVAL_S = 3.0  # between two objects: 0.67 purges a second
# In s from the first purge of an object: a request that fills a cache, the second purge, when each is told,
# and the requests that may not be answered from a copy older than the second purge.
FILL_AT, SECOND_PURGE_AT = 0.05, 0.1
FIRST_TOLD_AT = 0.3 if TROUBLE else 0.15
SECOND_TOLD_AT = 0.2
READS_AT = (1.4, 1.9, 2.4)
GRACE_MS = 1000
SLACK_MS = 50  # of each time limit on sockets
DROPPED_AFTER_S = 5.0  # caches drop a purged copy by themselves; 6 s are allowed
PURGE_TAKES_MS = 6000
LIMIT_MS = 3000  # half of the class's cut-off


def unix_ms() -> float:
    """Return the time by the system's clock."""
    return time.time() * 1000.0


@dataclass
class Purged:
    """The newest purge of an object: when it was made, and when the change log told it."""

    made: float
    told: float = float("inf")


async def purged_copies(record: parties.Record) -> bool:
    """Return whether a request sent after the grace was answered from a copy older than a purge."""
    random_source = random.Random(SEED)
    held: dict[tuple[str, str], float] = {}  # cache and object: when the origin gave the copy out
    purges: dict[str, Purged] = {}
    broken: list[str] = []

    async def work(link: parties.Link, request: str, fields: dict[str, str], body: bytes) -> None:
        arrived, item = unix_ms(), fields["name"]
        copy = link.cache.name, item
        await asyncio.sleep(0.003)
        minted, oldest = held.get(copy, 0.0), float(fields.get("fresh", 0.0))
        if minted and not (oldest and unix_ms() - minted > oldest):
            why = "cached"
        elif "via" not in fields:
            link.answer(request, "LACK")
            return
        else:
            minted, why = float(round(unix_ms())), "fetched"
            await asyncio.sleep(0.01)
            if fields.get("tier", "0") != "0":
                held[copy] = minted
        purge = purges.get(item)
        if purge is not None and minted < purge.made and arrived > purge.told + GRACE_MS + SLACK_MS:
            what = f"{request} came {arrived - purge.told:.0f} ms after the purge was told, and is answered "
            what += f"from a copy {purge.made - minted:.0f} ms older than it"
            broken.append(what)
            record.add("case", what)
        link.answer(request, "DONE", f"tag={round(minted):016x},minted={minted:.0f},why={why}", b"x" * 500)

    entries = await parties.small_branch(record, work)
    change_log = parties.ChangeLog(record)
    await change_log.listen()
    config = parties.settings_of_the_sample()
    config.update(changelog=change_log.address, known=parties.known(entries))
    settings = config["settings"]
    settings["familyInfo"].update(obeyAfter=float(GRACE_MS), purgeTakes=float(PURGE_TAKES_MS))
    settings["safety"]["drainGrace"] = 1000.0
    grade = settings["grades"][0]
    grade["name"] = "full-media"
    front = parties.Front(config, record)
    answers: list[asyncio.Future[parties.Answer | None]] = []
    client = parties.Client("client-1", front.port, record)

    def read(item: str) -> None:
        answers.append(client.send({
            "verb": grade["name"], "txn": f"{len(answers) + 1:016x}", "limit": str(LIMIT_MS), "item": item,
            "nth": "0", "batch": "7", "ram": "200",
        }))  # fmt: skip

    async def one_object(item: str) -> None:
        started = asyncio.get_running_loop().time()

        async def until(at: float) -> None:
            await asyncio.sleep(max(started + at - asyncio.get_running_loop().time(), 0.0))

        async def tell(at: float, made: float) -> None:
            await until(at)
            change_log.add({"invalidate": {"object": item, "time": round(made)}})
            if purges[item].made == made:
                purges[item].told = unix_ms()

        async def drop() -> None:
            await asyncio.sleep(DROPPED_AFTER_S)
            for copy in [copy for copy in held if copy[1] == item and held[copy] < purges[item].made]:
                del held[copy]

        purges[item] = Purged(first := float(round(unix_ms())))
        record.add("origin", f"purges {item} at {first:.0f}")
        tasks = [asyncio.ensure_future(tell(FIRST_TOLD_AT, first))]
        await until(FILL_AT)
        read(item)
        await until(SECOND_PURGE_AT)
        purges[item] = Purged(second := float(round(unix_ms())))
        record.add("origin", f"purges {item} at {second:.0f}")
        tasks += [asyncio.ensure_future(tell(SECOND_TOLD_AT, second)), asyncio.ensure_future(drop())]
        for at in READS_AT:
            await until(at)
            read(item)
        await asyncio.gather(*tasks)

    try:
        await front.start()
        await client.connect()
        objects = []
        for _ in range(OBJECTS):
            objects.append(asyncio.ensure_future(one_object(f"{random_source.randrange(1 << 48):016x}")))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*objects, *answers)
    finally:
        await front.end()
    served = sum(answer.result() is not None and answer.result().code == 1 for answer in answers)
    if served < len(answers) // 2:
        raise RuntimeError("most requests were not served")
    summary = (
        f"{len(answers)} requests, {served} served; {len(broken)} sent after the grace were answered from "
        f"a copy older than a purge, first: {broken[:1]}"
    )
    record.add("case", summary)
    print(summary)
    return bool(broken)


sys.exit(parties.play(purged_copies, HERE))
