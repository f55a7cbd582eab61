"""Another writer of the store registers the replicas' addresses under a service of its own."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import TROUBLE, CannotRun, Client, Entries, Replica, Store, configuration, response, run

# A service that no configuration names.
OTHER_SERVICE = "exporter0"
SECONDS = 20


async def order(replica, line, headers, body, reader, writer):
    label = headers["x-attempt-id"]
    RECORD("run", label, "at", replica.name)
    await asyncio.sleep(0.015)
    writer.write(response(200, "OK", {"X-Attempt-Id": label, "X-Server-Stamp": f"3e1b.{label}"},
                          b"y" * 800))
    await writer.drain()
    return True


async def main(record, folder, running):
    global RECORD
    RECORD = record
    store = Store()
    await store.start()
    store.put("config", "main", configuration())
    for i in range(3):
        r = Replica(f"i-app{i}", "wuno96b", "kumamoto", order, slots=6)
        await r.start()
        store.put("servers", r.name, r.entry())
        if TROUBLE:
            odd = dict(r.entry(), Service=OTHER_SERVICE, born=r.born + 1000)
            store.put("servers", f"x-other{i}", odd)
            record("another writer's entry", f"x-other{i}", odd)
    entries = Entries(store, 2, folder)
    running.append(entries)
    for i in range(2):
        entries.start(i)
    await entries.wait_until_ready()
    results = {}

    async def caller(n):
        client = Client(entries.fronts[n % 2])
        for k in range(SECONDS * 5):
            label = f"{n:02x}{k:04x}"
            record("send", label)
            answer = await client.request("POST", "/puxa403/2f", label, b"x" * 600, 1500)
            result = answer.status or answer.cause
            results[result] = results.get(result, 0) + 1
            record("answer", label, result, answer.body[:40])
            await asyncio.sleep(0.2)

    await asyncio.gather(*(caller(n) for n in range(6)))
    record("results", results)
    print("results", results)
    return results.get(200, 0) > 0


run(5, main)
