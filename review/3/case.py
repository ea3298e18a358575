"""The front's memory while other clients send hundreds of requests at once, each with a body."""

import asyncio
import os
import random
import signal
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import parties

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 47
MEMORY_MB = 64
DESCRIPTORS = 512
BAD_CLIENTS = 145  # clients hold a third of the descriptors at most: 170, the usual ones among them
BAD_REQUESTS = 100  # of each bad client, at once; the same again once it is turned away
BAD_BODY_BYTES = (8000, 16000)
BAD_S = 6.0
BAD_WAIT_S = 3.0  # the time within which such a client is owed a refusal, an error or a close
CALM_S, AFTER_S = 2.0, 8.0  # the bad clients connect after CALM_S
REQUEST_INTERVAL_S = 0.05
REQUESTS_EACH = 10  # of a usual client's connection
LIMIT_MS = 1500  # half of the class's cut-off
WORK_S = 0.1
SAMPLE_INTERVAL_S = 0.02


def private_kb(process_id: int) -> int:
    """Return the private memory of a process in KB, without pages of files."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(status.split("RssAnon:")[1].split()[0])


async def memory_limit(record: parties.Record) -> bool:
    """Return whether the front went over its memory limit, so that the platform killed it."""
    random_source = random.Random(SEED)

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
    answers: list[asyncio.Future[parties.Answer | None]] = []
    peak_kb = 0

    async def send_requests(seconds: float) -> None:
        for number in range(round(seconds / REQUEST_INTERVAL_S)):
            if front.status is not None:
                return
            if number % REQUESTS_EACH == 0:
                with suppress(OSError):
                    client = parties.Client(f"client-{len(clients) + 1}", front.port, record)
                    await client.connect()
                    clients.append(client)
            answers.append(clients[-1].send({
                "verb": "maps", "txn": f"{len(answers) + 1:016x}", "limit": str(LIMIT_MS),
                "item": f"{len(answers) % 20:016x}", "nth": "0", "batch": "7", "ram": "100",
            }))  # fmt: skip
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def platform() -> None:
        nonlocal peak_kb
        while front.status is None:
            with suppress(OSError, IndexError):
                peak_kb = max(peak_kb, private_kb(front.process_id))
            if peak_kb > MEMORY_MB * 1024:
                record.add("platform", f"{peak_kb} KB are over {MEMORY_MB} MB: the front is killed")
                front.signal(signal.SIGKILL)
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def bad_request(number: int, wave: int, stream: int) -> bytes:
        fields = {
            "verb": "maps", "txn": f"{1 << 60 | number << 40 | wave << 20 | stream:016x}", "ram": "1",
            "limit": str(LIMIT_MS), "item": f"{stream % 20:016x}", "nth": "0", "batch": "7",
        }  # fmt: skip
        body = b"x" * random_source.randint(*BAD_BODY_BYTES)
        return parties.frame(16, stream, parties.fields_of(fields) + body)

    async def bad_client(number: int, until: float) -> None:
        wave = 0
        while time.monotonic() < until and front.status is None:
            wave += 1
            requests = [bad_request(number, wave, stream) for stream in range(1, BAD_REQUESTS + 1)]
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
                record.add(f"bad-{number}", f"sends {BAD_REQUESTS} requests at once")
                writer.write(b"".join(requests))
                with suppress(TimeoutError):
                    async with asyncio.timeout(BAD_WAIT_S):
                        while await reader.read(65536):
                            pass
                writer.close()

    watch = None
    try:
        await front.start()
        watch = asyncio.ensure_future(platform())
        await send_requests(CALM_S)
        until = time.monotonic() + BAD_S
        count = BAD_CLIENTS if TROUBLE else 0
        bad = [asyncio.ensure_future(bad_client(number, until)) for number in range(count)]
        await send_requests(AFTER_S)
        await asyncio.gather(*bad)
        await asyncio.wait(answers, timeout=LIMIT_MS / 1000.0 + 0.5)
        killed = front.status is not None or peak_kb > MEMORY_MB * 1024
    finally:
        if watch is not None:
            watch.cancel()
        await front.end()
    codes = Counter(answer.result().code if answer.done() and answer.result() else 0 for answer in answers)
    summary = (
        f"{len(answers)} usual requests, answers by code (0: none) {dict(codes)}; "
        f"private memory {peak_kb} KB at the most, limit {MEMORY_MB * 1024} KB"
    )
    record.add("case", summary)
    print(summary)
    return killed


sys.exit(parties.play(memory_limit, HERE))
