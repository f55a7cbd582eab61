"""Replicas that send bytes that are no answer, without end, in the body of a stream."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (STREAM_HEADERS, TROUBLE, Client, Entries, Replica, Store, configuration, run)

# Share of the engines, and share of their answers, that are spoilt (`garble`: 0.6 and 0.05 at most).
FAULTY_ENGINES = 2
ENGINES = 4
SPOILT_SHARE = 0.05
STREAMS = 240
EVENTS = 20
RNG = random.Random(int(os.environ.get("SEED", "1")))


def event(label, number):
    return f"id: {number}\ndata: {label}:{number}\n\n".encode()


def whole_body(label):
    return b"".join(event(label, n) for n in range(1, EVENTS + 1))


async def stream(replica, line, headers, body, reader, writer):
    label = headers["x-attempt-id"]
    after = int(headers.get("last-event-id", "0"))
    is_spoilt = TROUBLE and replica.is_faulty and RNG.random() < SPOILT_SHARE
    RECORD("run", label, "at", replica.name, "after", after, "spoilt" if is_spoilt else "")
    head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {label}\r\nX-Server-Stamp: 3e1b.{label}\r\n"
            f"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
    # The answer has neither a length nor chunks and ends with its connection.
    writer.write(head.encode())
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(0.015)
        writer.write(event(label, number))
        await writer.drain()
        if is_spoilt and number == after + 5:
            RECORD("junk begins", label, "at", replica.name, "after event", number)
            sent = 0
            while True:
                writer.write(RNG.randbytes(4096))
                sent += 4096
                await writer.drain()
                await asyncio.sleep(0.01)
                if reader.at_eof() or writer.is_closing():
                    break
            RECORD("junk ends", label, "bytes", sent)
            return False
    return False


async def main(record, folder, running):
    global RECORD
    RECORD = record
    store = Store()
    await store.start()
    store.put("config", "main", configuration())
    replicas = []
    for i in range(ENGINES):
        r = Replica(f"i-engine{i}", "huvo11a", "kumamoto", stream, kind="large", layers=(0, 12))
        r.is_faulty = i < FAULTY_ENGINES
        await r.start()
        store.put("servers", r.name, r.entry())
        replicas.append(r)
    entries = Entries(store, 2, folder)
    running.append(entries)
    for i in range(2):
        entries.start(i)
    await entries.wait_until_ready()
    await asyncio.sleep(2)
    wrong, served, ended = [], 0, 0
    queue = list(range(STREAMS))

    async def caller(i):
        nonlocal served, ended
        client = Client(entries.fronts[i % 2])
        while queue:
            n = queue.pop(0)
            label = f"{n:04x}{RNG.randrange(1 << 32):08x}"
            record("send", label)
            answer = await client.request("POST", "/lohu930/2f", label, b"x" * 800,
                                          headers=STREAM_HEADERS)
            if answer.status == 200 and answer.whole:
                expected = whole_body(label)
                is_right = answer.body == expected
                served += is_right
                record("answer", label, 200, "whole", "right" if is_right else
                       f"WRONG: {len(answer.body)} bytes instead of {len(expected)}")
                if not is_right:
                    wrong.append(label)
                    at = next((k for k, (a, b) in enumerate(zip(answer.body, expected)) if a != b),
                              len(expected))
                    record("first wrong bytes", label, "at", at, repr(answer.body[at:at + 24]),
                           "last bytes", repr(answer.body[-40:]))
            else:
                ended += 1
                record("answer", label, answer.status, answer.cause)

    await asyncio.gather(*(caller(i) for i in range(8)))
    record("served whole and right", served, "not served", ended, "whole and wrong", len(wrong))
    print("served", served, "not served", ended, "complete with foreign bytes", len(wrong))
    return not wrong


run(2, main)
