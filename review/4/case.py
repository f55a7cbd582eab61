"""The operator takes away the keys of the only tenant, by a version without any tenant."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import KEY, TROUBLE, Client, Entries, Replica, Store, configuration, response, run

# A key that no configuration holds.
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
OTHER_TENANT = {"Name": "vika412", "ApiKeys": ["b6m2wqk0rrt7cu5n1xhp"], "Priority": 1}
CONFIG_APPLY_S = 2.0
ROUNDS = 10


async def order(replica, line, headers, body, reader, writer):
    label = headers["x-attempt-id"]
    RUNS[label] = headers.get("x-tenant")
    RECORD("run", label, "at", replica.name, "tenant", headers.get("x-tenant"))
    writer.write(response(200, "OK", {"X-Attempt-Id": label, "X-Server-Stamp": f"3e1b.{label}"},
                          b"y" * 800))
    await writer.drain()
    return True


async def main(record, folder, running):
    global RECORD, RUNS
    RECORD, RUNS = record, {}
    store = Store()
    await store.start()
    store.put("config", "main", configuration(version=1))
    for i in range(3):
        r = Replica(f"i-app{i}", "wuno96b", "kumamoto", order, slots=6)
        await r.start()
        store.put("servers", r.name, r.entry())
    entries = Entries(store, 2, folder)
    running.append(entries)
    for i in range(2):
        entries.start(i)
    await entries.wait_until_ready()

    clients = [Client(front) for front in entries.fronts]
    sent = {}

    async def ask(phase, n, entry, key_name, key):
        label = f"{phase}{n:02x}{entry}{key_name[0]}"
        sent[label] = (phase, key_name)
        standins.KEY = key
        record("send", label, "key", key_name, "to entry", entry + 1)
        answer = await clients[entry].request("POST", "/puxa403/2f", label, b"x" * 600, 1500)
        record("answer", label, answer.status, answer.cause)
        return answer.status

    async def ask_all(phase):
        for n in range(ROUNDS):
            for entry in range(2):
                await ask(phase, n, entry, "held", KEY)
                await ask(phase, n, entry, "unknown", UNKNOWN_KEY)
            await asyncio.sleep(0.1)

    await ask_all("a")
    second = configuration(version=5)
    second["Tenants"] = [] if TROUBLE else [OTHER_TENANT]
    store.put("config", "main", second)
    record("version 5 acknowledged, tenants", [t["Name"] for t in second["Tenants"]])
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    await ask_all("b")

    def ran(phase, key_name):
        return [label for label in RUNS if sent[label] == (phase, key_name)]

    if len(ran("a", "held")) < ROUNDS or ran("a", "unknown"):
        raise standins.CannotRun("the first version is not served as it should be")
    dropped, never = ran("b", "held"), ran("b", "unknown")
    record("after version 5: ran with the dropped key", len(dropped), "with a key that no version held",
           len(never), "of", 2 * ROUNDS, "each")
    print("after version 5: ran with the dropped key", len(dropped), "with an unknown key", len(never))
    return not dropped and not never


run(4, main, limit_s=60)
