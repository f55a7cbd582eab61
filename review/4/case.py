"""A part of prompts crashes each engine that begins an answer on it; answers end with their connection."""

import asyncio
import os
import random
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from engine import whole
from standins import (START, STREAM_HEADERS, TROUBLE, CannotRun, Client, Entries, Replica, Store,
                      configuration, run)

HERE = os.path.dirname(os.path.abspath(__file__))
ENGINES = 8
CALLERS = 40
SECONDS = 30
# Crashing requests: one a second among some fifty sound ones (`poison`: a share of 0.03), for 20 s.
CRASHING_S = 20
CRASHING_PART = "dead0001"
# "the replica is back after some seconds"
BACK_AFTER_S = 3.0
CONTACT_S = 3.0
FRAMING = os.environ.get("FRAMING", "connection")
RNG = random.Random(int(os.environ.get("SEED", "1")))


class Processes(list):
    """Engines that the case started."""

    def end_all(self):
        for p in self:
            if p is not None and p.poll() is None:
                p.kill()
                p.wait()


async def main(record, folder, running):
    store = Store()
    await store.start()
    store.put("config", "main", configuration())
    engines = Processes([None] * ENGINES)
    running.append(engines)
    crashes, is_over = [], []

    async def engine(i):
        """Starts the engine, and starts it again some seconds after each crash."""
        name, port = f"i-engine{i}", 0
        while not is_over:
            p = subprocess.Popen([sys.executable, os.path.join(HERE, "engine.py"), name,
                                  os.path.join(folder, name), str(port),
                                  CRASHING_PART if TROUBLE else "-", FRAMING],
                                 stdout=subprocess.PIPE, text=True, stdin=subprocess.DEVNULL)
            engines[i] = p
            address, born = (await asyncio.to_thread(p.stdout.readline)).split()
            port = int(address.split(":")[1])
            known = Replica(name, "huvo11a", "kumamoto", None, kind="large", layers=(0, 12))
            known.address, known.born = address, int(born)
            store.put("servers", name, known.entry())
            while p.poll() is None and not is_over:
                await asyncio.sleep(0.005)
            if not is_over:
                crashes.append(time.monotonic())
                record("crash", len(crashes), "of", name)
                await asyncio.sleep(BACK_AFTER_S)

    keepers = [asyncio.ensure_future(engine(i)) for i in range(ENGINES)]
    while sum(1 for k in store.objects if k[0] == "servers") < ENGINES:
        await asyncio.sleep(0.1)
    entries = Entries(store, 2, folder)
    running.append(entries)
    for i in range(2):
        entries.start(i)
    await entries.wait_until_ready()
    await asyncio.sleep(2)
    results, sent = {}, {}
    end = time.monotonic() + SECONDS

    async def ask(label, entry, part):
        client = Client(entries.fronts[entry])
        parts = f"{part}:40,{RNG.randrange(1 << 32):08x}:720"
        sent[label] = time.monotonic()
        answer = await client.request("POST", "/lohu930/2f", label, RNG.randbytes(16),
                                      headers=dict(STREAM_HEADERS, **{"X-Prompt-Prefix": parts}))
        client.close()
        if answer.status == 200 and answer.whole:
            return "right" if answer.body == whole(label) else "short, but ends as complete"
        return answer.cause or answer.status

    async def sound(n):
        k = 0
        while time.monotonic() < end:
            k += 1
            label = f"{n:04x}{k:08x}"
            result = await ask(label, n % 2, f"{RNG.randrange(0x100, 0x13c):08x}")
            record("sound", label, result)
            results[result] = results.get(result, 0) + 1
            await asyncio.sleep(RNG.uniform(0.0, 0.2))

    async def crashing():
        k = 0
        until = time.monotonic() + 2 + CRASHING_S
        await asyncio.sleep(2)
        while TROUBLE and time.monotonic() < until:
            k += 1
            label = f"ffff{k:08x}"
            record("crashing", label, "sent to entry", k % 2 + 1)
            result = await ask(label, k % 2, CRASHING_PART)
            record("crashing", label, result)
            await asyncio.sleep(1.0)

    await asyncio.gather(crashing(), *(sound(n) for n in range(CALLERS)))
    is_over.append(True)
    await asyncio.gather(*keepers)
    late = []
    fifth = sorted(crashes)[4] if len(crashes) > 4 else None
    for i in range(ENGINES):
        with open(os.path.join(folder, f"i-engine{i}")) as f:
            for line in f:
                words = line.split()
                record(f"i-engine{i}", f"{float(words[0]) - START:.3f}", *words[1:])
                if words[3] == "crashing" and words[1] == "reached" and fifth is not None:
                    if float(words[0]) > fifth + CONTACT_S:
                        late.append(words[2])
    record("crashes", len(crashes), "crashing requests that reached replicas later than ContactMs "
           "after the fifth crash:", len(late), "sound requests", results)
    print("crashes", len(crashes), "crashing requests after the fifth and ContactMs", len(late),
          "sound requests", results)
    if results.get("right", 0) < 50:
        raise CannotRun("too few requests were served")
    return len(late) <= 3


run(4, main)
