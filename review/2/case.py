"""Usual clients while other clients send the greater part of a request each and wait for their close."""

import asyncio
import os
import struct
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import parties

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 80
DESCRIPTORS = 512
BAD_CLIENTS = 150  # clients hold a third of the descriptors at most: 170, the usual ones among them
BAD_LENGTH = 262144  # what their request's length field says: the largest that the protocol allows
BAD_BYTES = 200000  # what they send of it
BAD_WAIT_S = 6.0  # they wait for what they are owed within 3 s: a refusal, an error or a close
CALM_S, AFTER_S = 1.0, 6.0  # the bad clients connect after CALM_S
REQUEST_INTERVAL_S = 0.05
REQUESTS_EACH = 10  # of a usual client's connection
LIMIT_MS = 1500  # half of the class's cut-off
LATE_MS = 500  # up to half a second after its time an answer only earns nothing
SLACK_MS = 50  # of each time limit on sockets
WORK_S = 0.02


async def usual_clients(record: parties.Record) -> bool:
    """Return whether a usual client's request got no final answer in its time and half a second more."""

    async def work(link: parties.Link, request: str, fields: dict[str, str], body: bytes) -> None:
        await asyncio.sleep(WORK_S)
        minted = round(time.time() * 1000.0)
        link.answer(request, "DONE", f"tag=4be0c1927d55a6f3,minted={minted},why=cached", b"x" * 500)

    entries = await parties.small_branch(record, work)
    change_log = parties.ChangeLog(record)
    await change_log.listen()
    config = parties.settings_of_the_sample()
    config.update(changelog=change_log.address, known=parties.known(entries))
    config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    front = parties.Front(config, record)
    clients: list[parties.Client] = []
    sent: dict[str, tuple[float, asyncio.Future[parties.Answer | None]]] = {}

    async def send_requests(seconds: float) -> None:
        for number in range(round(seconds / REQUEST_INTERVAL_S)):
            if number % REQUESTS_EACH == 0:
                clients.append(parties.Client(f"client-{len(clients) + 1}", front.port, record))
                await clients[-1].connect()
            request = f"{len(sent) + 1:016x}"
            sent[request] = record.now(), clients[-1].send({
                "verb": "maps", "txn": request, "limit": str(LIMIT_MS), "item": f"{len(sent) % 20:016x}",
                "nth": "0", "batch": "7", "ram": "100",
            })  # fmt: skip
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def bad_client(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
        record.add(f"bad-{number}", f"sends {BAD_BYTES} bytes of a request of {BAD_LENGTH}")
        writer.write(struct.pack(">IBI", BAD_LENGTH, 16, 1) + b"x" * BAD_BYTES)
        try:
            async with asyncio.timeout(BAD_WAIT_S):
                while await reader.read(65536):
                    pass
            record.add(f"bad-{number}", "is closed by the front")
        except (OSError, TimeoutError):
            record.add(f"bad-{number}", "leaves")
        writer.close()

    try:
        await front.start()
        await send_requests(CALM_S)
        bad = [asyncio.ensure_future(bad_client(number)) for number in range(BAD_CLIENTS if TROUBLE else 0)]
        await send_requests(AFTER_S)
        await asyncio.gather(*bad)
        await asyncio.sleep((LIMIT_MS + LATE_MS + SLACK_MS) / 1000.0)
        lost, latest, codes = [], 0.0, Counter[int]()
        for request, (at, answer) in sent.items():
            result = answer.result() if answer.done() else None
            if result is None or result.at - at > LIMIT_MS + LATE_MS + SLACK_MS:
                lost.append(request)
            if result is not None:
                codes[result.code] += 1
                latest = max(latest, result.at - at)
        if front.status is not None:
            raise RuntimeError("the front has ended")
    finally:
        await front.end()
    summary = (
        f"{len(sent)} requests, answers by code {dict(codes)}, the latest after {latest:.0f} ms; "
        f"{len(lost)} with no answer within {LIMIT_MS + LATE_MS + SLACK_MS} ms, first {lost[:3]}"
    )
    record.add("case", summary)
    print(summary)
    return bool(lost)


sys.exit(parties.play(usual_clients, HERE))
