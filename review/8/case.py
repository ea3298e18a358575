"""Six in ten caches of a large fleet are replaced within 7 s while clients go on asking one front."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from stand import (  # noqa: E402
    Attempt,
    Cache,
    ChangeLog,
    Client,
    Front,
    OwnLag,
    Record,
    endpoint,
    lost_requests,
    main,
    now,
    sample_config,
    with_trouble,
)

CACHES = 3200  # in the list; those of the front's own zone are played, a front sends to no others
OWN_CACHES = 12
ZONES = 16
REPLACED_SHARE = 0.6
RELEASE_S = 7.0
LIMIT_S = 2.5  # how long a client waits; `maps` of the sample: 3 s at the most
REQUEST_INTERVAL_S = 0.05
CONNECTIONS = 4


async def serve(attempt: Attempt) -> None:
    """Answer as a cache that holds the object."""
    await asyncio.sleep(0.02)
    minted = round(time.time() * 1000.0) - 100
    attempt.answer("DONE", f"tag=4be0c1927d55a6f3,minted={minted},why=cached", b"x" * 200)


async def release(log: ChangeLog, caches: list[dict[str, Any]], record: Record) -> None:
    """Replace caches one after another: the new one starts, the old one drains, then it is gone."""
    started_at, count = now(), round(REPLACED_SHARE * CACHES)
    for index, old in enumerate(caches[:count]):
        while now() - started_at < RELEASE_S * index / count:
            await asyncio.sleep(0.001)
        address = old["address"].replace(":9001", ":9002")
        new = old | {"name": f"t-{index:05d}", "address": address, "since_ms": round(time.time() * 1000.0)}
        for entry in (new, old | {"status": "leaving"}, old | {"status": "left"}):
            index_of_list = len(log.events) + 1
            log.tell(True, fleet={"index": index_of_list, "snapshot": False, "endpoints": [entry]})
    record.add(f"release: {count} caches replaced in {now() - started_at:.3f} s, {len(log.events)} events")


async def case(record: Record) -> list[str]:
    """Play the release and judge the answers."""
    own = [Cache(f"cache-{index}", record, serve) for index in range(OWN_CACHES)]
    parent, origin = Cache("parent-1", record, serve), Cache("origin-1", record, serve)
    for each in (*own, parent, origin):
        await each.start()
    zones = ["north", "middle", *(f"edge-{index}" for index in range(1, ZONES + 1))]
    listed = [endpoint(each.name, each.address) for each in own]
    listed += [endpoint("parent-1", parent.address, "parent"), endpoint("origin-1", origin.address, "origin")]
    others = [
        endpoint(f"s-{index:05d}", f"127.{1 + index // 250}.0.{1 + index % 250}:9001")
        | {"zone": f"edge-{2 + index % (ZONES - 1)}"}
        for index in range(CACHES - OWN_CACHES)
    ]
    log = ChangeLog(record, listed + others)
    await log.start()
    config = sample_config(log.known(), log.address)
    settings = config["settings"]
    settings["zones"], settings["balancers"] = zones, ZONES
    settings["familyInfo"]["hubOf"] = [0, 1] + [0] * ZONES
    settings["familyInfo"]["instancesByZone"] = [0, 0] + [1] * ZONES
    front = Front(record, config)
    clients: list[Client] = []
    front.start()
    try:
        await front.wait_ready()
        lag = OwnLag()
        clients += [
            await Client(f"client-{number}", front.address, record).connect() for number in range(CONNECTIONS)
        ]
        sending = asyncio.create_task(send_requests(clients, front, record))
        await asyncio.sleep(2.0)
        if with_trouble():
            await release(log, others, record)
        else:
            await asyncio.sleep(RELEASE_S)
        await asyncio.sleep(4.0)
        sending.cancel()
        await asyncio.sleep(LIMIT_S + 8.0)
        lost, count = lost_requests(clients, record)
        record.add(f"{count} requests, {len(lost)} lost; the stand-ins ran late by {lag.most:.3f} s at most")
        print(f"{count} requests, {len(lost)} lost")
        lag.check(0.3)
        if count < 100:
            raise RuntimeError("too few requests")
        return lost
    finally:
        front.end()


async def send_requests(clients: list[Client], front: Front, record: Record) -> None:
    """Send requests in turn over the connections; one that has ended is replaced."""
    number, turns = 0, clients[:]
    while True:
        for index, client in enumerate(turns):
            if client.ended_at is not None:
                client = turns[index] = await Client(client.name + "'", front.address, record).connect()
                clients.append(client)
            number += 1
            await client.request(f"{number:016x}", LIMIT_S)
            await asyncio.sleep(REQUEST_INTERVAL_S)


if __name__ == "__main__":
    main(case, HERE)
