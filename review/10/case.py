"""A replica whose streams go on without end, faster than the entry looks at the time."""

import asyncio
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
import standins_2 as standins  # noqa: E402

STREAMS = 24
TIMEOUT_S = 20.0
TOKENS = 6000
# Time after the route's `TimeoutMs` within which a request must have its final answer.
SLACK_S = 0.5
MIN_LATE = 8
MIN_SHARE = 0.25
# Time after the bound for which callers go on reading.
WATCHED_S = 2.0
# Events in one block of a stream without end, and the bytes of each.
BLOCK = 500
EVENT_BYTES = 390


def blocking(stream):
    """The socket of a connection, for use by a thread."""
    copy = socket.socket(fileno=os.dup(stream.get_extra_info("socket").fileno()))
    copy.setblocking(True)
    return copy


def send_without_end(connection, number):
    """Sends events whose ids go on counting, until the other side closes."""
    try:
        while True:
            numbers = range(number + 1, number + 1 + BLOCK)
            block = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * EVENT_BYTES) for n in numbers)
            connection.sendall(standins.chunk(block))
            number += BLOCK
    except OSError:
        connection.close()


class LongEngine(standins.Engine):
    """Its streams outlast the time budget, at which a sound replica stops work. One with trouble goes on
    counting instead, until the caller closes."""

    is_endless = False

    async def stream(self, label, head, after, writer):
        if self.is_endless:
            await writer.drain()
            thread = threading.Thread(target=send_without_end, args=(blocking(writer), after))
            thread.daemon = True
            thread.start()
            while thread.is_alive():
                await asyncio.sleep(0.05)
            self.record.note(f"{self.name}: the entry has closed {label}")
            raise ConnectionError("the caller has closed")
        budget = int(head.get("x-deadline-ms")) / 1e3
        try:
            await asyncio.wait_for(super().stream(label, head, after, writer), budget)
        except asyncio.TimeoutError:
            writer.transport.abort()
            raise ConnectionError("the time budget has passed") from None


def read_until(connection, end):
    """Reads at once what arrives; returns the number of bytes, and the time of the end if there is one."""
    count = 0
    try:
        while time.monotonic() < end:
            connection.settimeout(max(0.01, end - time.monotonic()))
            data = connection.recv(1 << 18)
            count += len(data)
            if not data:
                return count, time.monotonic()
    except socket.timeout:
        pass
    except OSError:
        return count, time.monotonic()
    finally:
        connection.close()
    return count, None


async def stream(record, entry, number):
    """Reads a stream without a pause; returns the time until the entry has ended it, if it has."""
    caller = await standins.Caller(record, entry).connect()
    label = f"{number:016x}"
    more = standins.model_headers(100, TOKENS, f"5c1e07a2:40,{label}:60")
    sent = time.monotonic()
    head = await caller.send(standins.MODEL_PATH + "2f", label, int(TIMEOUT_S * 1e3), more)
    if head is None or head.start.split(" ")[1] != "200":
        caller.close()
        return 0.0
    # What has been read ahead belongs to the stream as well.
    caller.writer.transport.pause_reading()
    end = sent + TIMEOUT_S + SLACK_S + WATCHED_S
    loop = asyncio.get_running_loop()
    result = loop.create_future()

    def read():
        outcome = read_until(blocking(caller.writer), end)
        loop.call_soon_threadsafe(result.set_result, outcome)

    threading.Thread(target=read, daemon=True).start()
    count, ended = await result
    caller.close()
    took = None if ended is None else ended - sent
    how = "goes on" if took is None else f"is ended after {took:.2f} s"
    record.note(f"caller: {label} {how}, {count} bytes")
    return took


async def play(record, site, has_trouble):
    def targets(store):
        zones = ["kumamoto", "fukuoka"]
        return [
            LongEngine(record, store, f"i-engine-{zone}-{n}", zone, "a100")
            for zone in zones
            for n in range(3)
        ]

    await site.start(targets, 1, standins.configuration(stream_timeout_ms=int(TIMEOUT_S * 1e3)))
    await site.wait_until_ready()
    await asyncio.sleep(6)
    # The one of the two replicas with the first layers that is in the entry's zone.
    first = [target for target in site.targets if target.layers and target.layers[0] == 0]
    faulty = next(target for target in first if target.zone in site.entries[0].name)
    faulty.is_endless = has_trouble
    record.note(f"first replicas of paths: {[target.name for target in first]}; {faulty.name} is chosen")
    streams = [stream(record, site.entries[0], number) for number in range(1, STREAMS + 1)]
    results = await asyncio.gather(*streams)
    # Those that the entry ends in the last 100 ms before the route's time have used it.
    long = [end for end in results if end is None or end > TIMEOUT_S - 0.1]
    late = [end for end in long if end is None or end > TIMEOUT_S + SLACK_S]
    text = f"{len(late)} of {len(long)} requests that lasted until the route's TimeoutMs had no final "
    text += f"answer {SLACK_S} s after it; {results.count(None)} went on {WATCHED_S} s later"
    record.note(text)
    print(text)
    if len(long) < MIN_LATE:
        raise standins.CannotRun("too few requests lasted long enough")
    is_broken = len(late) >= MIN_LATE and len(late) > MIN_SHARE * len(long)
    return [f"CONFIG: {text}"] if is_broken else []


standins.run_case(FOLDER, play)
