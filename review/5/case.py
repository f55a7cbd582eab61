"""A replica leaves without reporting it, while sound replicas fall silent for a second now and then."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (STREAM_HEADERS, TROUBLE, CannotRun, Client, Entries, Replica, Store,
                      configuration, run)

# One of eight engines leaves (`scale_in`: a share of 0.13 at most).
ENGINES = 8
STREAMS = 64
EVENTS = 150
EVENT_S = 0.1
# "A sound server may fall silent for a second or so and go on".
SILENCE_S = 1.2
MAX_ATTEMPTS = 2
RNG = random.Random(int(os.environ.get("SEED", "1")))


def event(label, number):
    return f"id: {number}\ndata: {label}:{number}\n\n".encode()


class Engine(Replica):
    """An engine that can be silent on all its connections for a while; its work goes on after it."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.speaks = asyncio.Event()
        self.speaks.set()

    async def report(self, writer):
        await self.speaks.wait()
        await super().report(writer)

    async def be_silent(self):
        RECORD("silent", self.name)
        self.speaks.clear()
        await asyncio.sleep(SILENCE_S)
        self.speaks.set()
        RECORD("goes on", self.name)


async def stream(replica, line, headers, body, reader, writer):
    label = headers["x-attempt-id"]
    after = int(headers.get("last-event-id", "0"))
    await replica.speaks.wait()
    RUNS.setdefault(label, [])
    if replica.name not in RUNS[label]:
        RUNS[label].append(replica.name)
    RECORD("run", label, "at", replica.name, "after", after)
    writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {label}\r\nX-Server-Stamp: 3e1b.{label}\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        await replica.speaks.wait()
        if reader.at_eof() or writer.is_closing():
            return False
        piece = event(label, number)
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def main(record, folder, running):
    global RECORD, RUNS
    RECORD, RUNS = record, {}
    store = Store()
    await store.start()
    cfg = configuration()
    assert cfg["Routes"][0]["MaxAttempts"] == MAX_ATTEMPTS
    store.put("config", "main", cfg)
    engines = []
    for i in range(ENGINES):
        e = Engine(f"i-engine{i}", "huvo11a", "kumamoto", stream, kind="large", layers=(0, 12))
        await e.start()
        store.put("servers", e.name, e.entry())
        engines.append(e)
    entries = Entries(store, 2, folder)
    running.append(entries)
    for i in range(2):
        entries.start(i)
    await entries.wait_until_ready()
    await asyncio.sleep(2)
    results = {}

    async def caller(n):
        label = f"{n:04x}{RNG.randrange(1 << 32):08x}"
        client = Client(entries.fronts[n % 2])
        await asyncio.sleep(n * 0.02)
        record("send", label)
        answer = await client.request("POST", "/lohu930/2f", label, b"x" * 800,
                                      headers=STREAM_HEADERS)
        whole = b"".join(event(label, k) for k in range(1, EVENTS + 1))
        result = "right" if answer.whole and answer.body == whole else answer.cause or "wrong"
        results[result] = results.get(result, 0) + 1
        record("answer", label, answer.status, result, "ran at", *RUNS.get(label, []))
        client.close()

    async def trouble():
        await asyncio.sleep(2.0)
        if TROUBLE:
            # The engine leaves: its entry is removed without `draining`, and it goes on serving.
            store.remove("servers", engines[0].name)
            record("leaves without a report", engines[0].name)
        await asyncio.sleep(1.5)
        for e in engines:
            await e.be_silent()
            await asyncio.sleep(0.2)

    await asyncio.gather(trouble(), *(caller(n) for n in range(STREAMS)))
    over = {label: at for label, at in RUNS.items() if len(at) > MAX_ATTEMPTS}
    for label, at in over.items():
        record("ran on more replicas than MaxAttempts:", label, at)
    record("results", results, "requests on more than", MAX_ATTEMPTS, "replicas:", len(over))
    print("results", results, "requests on more than", MAX_ATTEMPTS, "replicas:", len(over))
    if results.get("right", 0) < STREAMS // 2:
        raise CannotRun("fewer than half of the streams were served")
    return len(over) <= 3


run(5, main)
