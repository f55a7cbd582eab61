"""One engine as a process of its own. It ends as soon as it begins an answer on the crashing part.

Usage: engine.py NAME RECORD PORT PART FRAMING. PORT is 0 for a free one; PART is the crashing part, or -;
FRAMING is `connection` for answers that end with their connection, or `chunks`.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import Record, Replica

EVENTS = 20
EVENT_S = 0.03


def event(label, number):
    return f"id: {number}\ndata: {label}:{number}\n\n".encode()


def whole(label):
    return b"".join(event(label, n) for n in range(1, EVENTS + 1))


async def stream(replica, line, headers, body, reader, writer):
    label = headers["x-attempt-id"]
    after = int(headers.get("last-event-id", "0"))
    parts = [p.split(":")[0] for p in headers.get("x-prompt-prefix", "").split(",")]
    is_crashing = PART in parts[:-1]
    RECORD("reached", label, "crashing" if is_crashing else "sound", "after", after)
    framing = "Transfer-Encoding: chunked" if CHUNKS else "Connection: close"
    writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {label}\r\nX-Server-Stamp: 3e1b.{label}\r\n"
                  f"Content-Type: text/event-stream\r\n{framing}\r\n\r\n").encode())
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        piece = event(label, number)
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if CHUNKS else piece)
        await writer.drain()
        if is_crashing:
            RECORD("crashes on", label)
            os._exit(1)
    if CHUNKS:
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    return CHUNKS


async def main(name, port):
    engine = Replica(name, "huvo11a", "kumamoto", stream, kind="large", layers=(0, 12))
    await engine.start(port=port)
    print(engine.address, engine.born, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    NAME, PATH, PORT, PART, FRAMING = sys.argv[1:]
    CHUNKS = FRAMING == "chunks"
    RECORD = Record(PATH, start=0.0)
    asyncio.run(main(NAME, int(PORT)))
