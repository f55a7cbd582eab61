"""Stand-ins of the cases 6 to 10: the platform's store, model engines, replicas of a plain service and
callers, and the entries under test as separate processes.

Everything listens on loopback addresses and free ports. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "coriandercove-platform-entry")
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODEL = "huvo11a"
PLAIN = "wuno96b"
MODEL_PATH = "/lohu930/"
UNSAFE_PATH = "/puxa403/"
SAFE_PATH = "/cufi504/"
HEARTBEAT_S = 1.2
GRACE_S = 8


class CannotRun(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Head:
    """Start line and headers of a message; names of headers are in lower case."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    """Reads a head; None at the end of the connection before its first byte."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionError("the connection ended within a head") from error
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_chunks(reader):
    """Yields the chunks of a body; ends after the last one."""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"x", 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield data


async def read_body(reader, head):
    if "transfer-encoding" in head.headers:
        return b"".join([data async for data in read_chunks(reader)])
    return await reader.readexactly(int(head.get("content-length", "0")))


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP server whose connections are known, so that it can end as a crashed process does."""

    def __init__(self):
        self.server = None
        self.address = None
        self.writers = set()

    async def listen(self, address=("127.0.0.1", 0)):
        self.server = await asyncio.start_server(self.connected, *address, backlog=512)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head.start.split(" ")
                body = await read_body(reader, head)
                if not await self.serve(method, target, head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, method, target, head, body, reader, writer):
        raise NotImplementedError

    def end(self):
        """Stops listening and closes the connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def text(self):
        return f"{self.address[0]}:{self.address[1]}"


class Store(Server):
    """The platform's object store: lists and watches of objects by kind and name."""

    PAGE = 500

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}
        self.events = []
        self.revision = 100
        # Replaced and set at each change.
        self.changed = asyncio.Event()
        # Time of the last heartbeat by name.
        self.heartbeats = {}
        # Engines by address, which know what the other parts of a path hold.
        self.engines = {}

    def beat(self, name):
        """Takes a heartbeat, in which only `Sequence` changes, so that it is no event."""
        self.heartbeats[name] = time.monotonic()

    async def expire(self):
        """Removes replicas that have not written for three intervals."""
        while True:
            await asyncio.sleep(0.2)
            oldest = time.monotonic() - 3 * HEARTBEAT_S
            for kind, name in list(self.objects):
                if kind == "servers" and self.heartbeats.get(name, 0) < oldest:
                    await self.remove(kind, name)

    def wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def put(self, kind, name, spec):
        self.beat(name)
        known = self.objects.get((kind, name))
        if known is not None and known["Spec"] == spec:
            return
        self.revision += 1
        thing = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": 1,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind, name] = thing
        self.events.append((self.revision, kind, False, thing))
        self.wake()
        self.record.note(f"store: {kind}/{name} at revision {self.revision}")

    async def remove(self, kind, name):
        thing = self.objects.pop((kind, name), None)
        if thing is None:
            return
        self.revision += 1
        gone = thing | {"Metadata": thing["Metadata"] | {"Revision": self.revision}}
        self.events.append((self.revision, kind, True, gone))
        self.wake()
        self.record.note(f"store: {kind}/{name} removed at revision {self.revision}")

    async def serve(self, method, target, head, body, reader, writer):
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return await self.answer(writer, 404, {})
        kind, name = parts[2], "/".join(parts[3:])
        if method == "POST":
            thing = json.loads(body)
            name = thing["Metadata"]["Name"]
            if (kind, name) in self.objects:
                return await self.answer(writer, 409, self.objects[kind, name])
            await self.put(kind, name, thing["Spec"])
            return await self.answer(writer, 201, self.objects[kind, name])
        if method == "DELETE":
            await self.remove(kind, name)
            return await self.answer(writer, 200, {})
        if method != "GET":
            return await self.answer(writer, 405, {})
        if name:
            thing = self.objects.get((kind, name))
            return await self.answer(writer, 200 if thing else 404, thing or {})
        if "Watch" in fields:
            return await self.watch(writer, kind, int(fields["Watch"]), int(fields["WaitMs"]) / 1e3)
        names = sorted(n for k, n in self.objects if k == kind and n > fields.get("After", ""))
        items = [self.objects[kind, n] for n in names[: self.PAGE]]
        page = {"Items": items, "HasMore": len(names) > self.PAGE, "AsOf": self.revision}
        return await self.answer(writer, 200, page)

    async def watch(self, writer, kind, after, wait):
        def news():
            return [e for e in self.events if e[0] > after and e[1] == kind]

        end = time.monotonic() + wait
        while not news() and time.monotonic() < end:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        events = [{"Removed": removed, "Object": thing} for _, _, removed, thing in news()]
        as_of = self.revision
        return await self.answer(writer, 200, {"events": events, "AsOf": as_of})

    async def answer(self, writer, status, body):
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        writer.write(message(f"HTTP/1.1 {status} OK", headers, json.dumps(body).encode()))
        await writer.drain()
        return True


def unix_ms():
    return int(time.time() * 1e3)


class Target(Server):
    """A replica. `name` is its id in the store."""

    def __init__(self, record, store, name, zone, service):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.zone = zone
        self.service = service
        self.born = unix_ms()
        self.state = "ready"
        self.ran = []
        self.arrived = []
        # Labels of the requests that run.
        self.running = set()

    def entry(self):
        return {
            "Service": self.service,
            "Address": self.text(),
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.SLOTS,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.born,
        }

    async def start(self):
        await self.listen()
        await self.register()
        asyncio.get_running_loop().create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.server.is_serving() and ("servers", self.name) in self.store.objects:
                self.store.beat(self.name)

    async def register(self):
        await self.store.put("servers", self.name, self.entry())

    async def serve(self, method, target, head, body, reader, writer):
        if target == "/api/report":
            return await self.report(writer)
        label = head.get("x-attempt-id")
        if head.get("x-expected-replica") not in ("", self.name):
            return await self.not_run(writer, label, 421)
        if target == "/api/order":
            return await self.order(json.loads(body), writer)
        if not label:
            return await self.not_run(writer, label, 400)
        refusal = self.refuse(head)
        if refusal is not None:
            return await self.not_run(writer, label, *refusal)
        self.arrived.append((self.record.now(), label))
        self.running.add(label)
        try:
            return await self.run(label, target, head, body, writer)
        finally:
            self.running.discard(label)

    def refuse(self, head):
        """Status and headers with which a request is turned away that does not fit; none if it fits."""
        return None

    async def not_run(self, writer, label, status, more=()):
        headers = [("X-Not-Executed", "1"), ("X-Replica-Id", self.name)] + list(more)
        if label:
            headers.append(("X-Attempt-Id", label))
        writer.write(message(f"HTTP/1.1 {status} Not Run", headers))
        await writer.drain()
        return True

    async def report(self, writer):
        writer.write(message("HTTP/1.1 404 Not Found", []))
        await writer.drain()
        return True

    async def order(self, order, writer):
        writer.write(message("HTTP/1.1 400 Bad Request", []))
        await writer.drain()
        return True

    async def run(self, label, target, head, body, writer):
        raise NotImplementedError

    def stamp(self, label):
        return f"{self.name}.{label}"


class Plain(Target):
    """A replica of the plain service; each request runs for 15 ms."""

    SLOTS = 6
    WORK_S = 0.015

    def __init__(self, record, store, name, zone):
        super().__init__(record, store, name, zone, PLAIN)

    async def run(self, label, target, head, body, writer):
        self.ran.append(label)
        self.record.note(f"{self.name}: runs {label}")
        await asyncio.sleep(self.WORK_S)
        headers = [("X-Attempt-Id", label), ("X-Server-Stamp", self.stamp(label))]
        writer.write(message("HTTP/1.1 200 OK", headers, whole_body(label)))
        await writer.drain()
        return True


def whole_body(label):
    return (label * 100)[:800].encode()


class Engine(Target):
    """A model replica that holds a range of layers. An event of a stream holds three tokens."""

    SLOTS = 192
    EVENT_S = 0.015
    LOAD_S = 0.5

    def __init__(self, record, store, name, zone, kind):
        super().__init__(record, store, name, zone, MODEL)
        self.kind = kind
        self.layers = None
        self.sequence = 0
        self.is_busy = False

    def entry(self):
        return super().entry() | {
            "Phase": "combined",
            "RouteKind": self.kind,
            "Models": [{"Name": "daka510000", "Version": 1, "Adapters": []}],
            "Layers": self.layer_list(),
        }

    async def start(self):
        await super().start()
        self.store.engines[self.text()] = self

    def check_path(self, path):
        """Status and headers for a path that begins elsewhere or has a part that is not held."""
        parts = [part.partition("=") for part in path.split(",")]
        addresses = [address for address, _, _ in parts]
        if addresses[0] != self.text() or len(parts) > 32 or len(set(addresses)) < len(parts):
            return 400, []
        for address, _, layers in parts:
            first, _, end = layers.partition("-")
            held = getattr(self.store.engines.get(address), "layers", None)
            if held is None or int(first) < held[0] or int(end) > held[1]:
                return 421, [("At-Server", address)]
        return None

    def refuse(self, head):
        return self.check_path(head.get("x-hop-count", f"{self.text()}=0-80"))

    def layer_list(self):
        if self.layers is None:
            return []
        return [{"From": self.layers[0], "Target": self.layers[1], "Version": 1}]

    async def report(self, writer):
        state = {
            "Phase": "combined",
            "Models": [{"Name": "daka510000", "Version": 1, "Adapters": []}],
            "Busy": self.is_busy,
            "Sequence": self.sequence,
            "Queued": 0,
            "Active": 0,
            "KvUsed": 0,
            "KvTotal": 90000,
            "Handles": 0,
            "Stalled": [],
            "pace": 1.0,
            "born": self.born,
            "Layers": self.layer_list(),
        }
        headers = [("Content-Type", "application/json")]
        writer.write(message("HTTP/1.1 200 OK", headers, json.dumps(state).encode()))
        await writer.drain()
        return True

    async def order(self, order, writer):
        status = self.begin_order(order)
        self.record.note(f"{self.name}: order {json.dumps(order)} -> {status}")
        writer.write(message(f"HTTP/1.1 {status} OK", []))
        await writer.drain()
        return True

    def begin_order(self, order):
        if order.get("Op") == "repath":
            if order.get("Id") not in self.running:
                return 404
            refusal = self.check_path(order["Path"])
            return 200 if refusal is None else {400: 400, 421: 409}[refusal[0]]
        if order.get("Op") != "place":
            return 400
        if self.is_busy or order.get("Expected", self.sequence) != self.sequence:
            return 409
        layers = (order["From"], order["Target"])
        if self.layers == layers:
            return 200
        self.sequence += 1
        self.is_busy = True
        asyncio.get_running_loop().create_task(self.load(layers))
        return 202

    async def load(self, layers):
        await asyncio.sleep(self.LOAD_S)
        self.layers = layers
        self.is_busy = False
        await self.register()

    async def run(self, label, target, head, body, writer):
        self.ran.append(label)
        after = int(head.get("last-event-id", "0"))
        self.record.note(f"{self.name}: runs {label} after event {after}")
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("X-Attempt-Id", label),
            ("X-Server-Stamp", self.stamp(label)),
        ]
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
        await self.stream(label, head, after, writer)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def stream(self, label, head, after, writer):
        last = int(head.get("x-token-count", "1,3").split(",")[1]) // 3
        for number in range(after + 1, last + 1):
            await asyncio.sleep(self.EVENT_S)
            await self.send(event(label, number), writer)

    async def send(self, data, writer):
        writer.write(chunk(data))
        await writer.drain()


def event(label, number):
    return f"id: {number}\ndata: {label}:{number}\n\n".encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def configuration(version=7, stream_timeout_ms=20000, plain_timeout_ms=800):
    """A configuration like that of a small site."""

    def route(name, prefix, kind, service, timeout, target, attempts, **more):
        return {
            "Name": name,
            "Host": HOST,
            "PathPrefix": prefix,
            "RouteKind": kind,
            "TimeoutMs": timeout,
            "TargetLatencyMs": target,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": attempts,
            "Anonymous": False,
        } | more

    stream = {"Sticky": True, "Resumable": True, "GapTargetMs": 200}
    kinds = [
        {"Name": "a100", "Megabytes": 72000.0, "pace": 2.4, "ReadFactor": 3.2},
        {"Name": "l40s", "Megabytes": 43200.0, "pace": 5.6, "ReadFactor": 2.7},
        {"Name": "l4", "Megabytes": 21600.0, "pace": 16.0, "ReadFactor": 8.2},
    ]
    engine = {
        "Slots": 192,
        "KvCapacity": 100000,
        "KvTokenBytes": 918000,
        "LinkMbps": 400000.0,
        "Stride": 3,
        "Models": [{"Name": "daka510000", "pace": 1.0, "LoadS": 14.0, "WarmS": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.00714,
        "context_per_k": 0.00956,
        "read_per_s": 105000.0,
        "pairs_per_m": 0.309,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "LoadsPerS": 0.0,
        "loads_at_once": 5,
        "delays": [{"From": "kumamoto", "Target": "fukuoka", "delay_ms": 0.3}],
        "usual": {"prompt": 774, "answer": 204},
        "Layers": 80,
        "LayerMb": 1750.0,
        "ActBytes": 45900,
        "PipeMbps": 22000.0,
        "Kinds": kinds,
    }
    health = {"HealthPath": "/health", "Protocol": "h1", "Tls": False}
    return {
        "Version": version,
        "Routes": [
            route("r-model", MODEL_PATH, "streaming", MODEL, stream_timeout_ms, 500, 2, **stream),
            route("r-unsafe", UNSAFE_PATH, "unsafe", PLAIN, plain_timeout_ms, 100, 1),
            route("r-safe", SAFE_PATH, "safe", PLAIN, plain_timeout_ms, 100, 2),
        ],
        "Services": [
            {"Name": MODEL, "MaxConnections": 2256, "Engine": engine} | health,
            {"Name": PLAIN, "MaxConnections": 200} | health,
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


def free_port(kind, address):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Entry:
    """One entry as a process of its own, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, address, ports, store, seeds):
        self.name = name
        self.address = address
        self.callers = (address, ports["callers"])
        self.readiness = (address, ports["readiness"])
        self.settings = os.path.join(folder, f"{name}.yaml")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        lines = [
            f"node: {name}",
            f"zone: {zone}",
            f'callers: "{address}:{ports["callers"]}"',
            f'readiness: "{address}:{ports["readiness"]}"',
            f'store: "{store}"',
            f'peers: "{address}:{ports["peers"]}"',
            f'metrics: "{address}:{ports["metrics"]}"',
            "seeds:",
            *[f'  - "{seed}:{ports["control"]}"' for seed in seeds],
            f"grace_seconds: {GRACE_S}",
            "max_descriptors: 2940",
            "memory_mb: 182",
            "retry_ratio: 0.2",
            "retry_slack: 396",
            "retry_window_seconds: 10",
            "apply_ms: 2000",
            "drain_ms: 2000",
        ]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        environment = {"CORIANDERCOVE_BOOT": self.settings, "PATH": os.environ.get("PATH", "")}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.process is not None:
            if self.is_running():
                self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.readiness)
            writer.write(message("GET /api/readiness HTTP/1.1", [("Host", "entry")]))
            head = await read_head(reader)
            writer.close()
            return head is not None and head.start.split(" ")[1] == "200"
        except OSError:
            return False


class Site:
    """A small deployment: the store, replicas and entries in a temporary folder."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="coriandercove-case-")
        self.store = Store(record)
        self.targets = []
        self.entries = []

    async def start(self, targets, entries, configured):
        """Starts the replicas that `targets` makes for the store, and so many entries."""
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing: run the build of the deploy file")
        await self.store.listen()
        asyncio.get_running_loop().create_task(self.store.expire())
        await self.store.put("config", "main", configured)
        self.targets = targets(self.store)
        for target in self.targets:
            await target.start()
        ports = {}
        for purpose in ("callers", "readiness", "metrics", "control"):
            ports[purpose] = free_port(socket.SOCK_STREAM, "127.0.0.1")
        ports["peers"] = free_port(socket.SOCK_DGRAM, "127.0.0.1")
        # A network of its own on the loopback interface, as all entries use the same ports.
        network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        addresses = [f"{network}.{number}" for number in range(10, 10 + entries)]
        for number, address in enumerate(addresses, 1):
            zone = ("kumamoto", "fukuoka")[number % 2]
            entry = Entry(
                self.folder, f"edge-{zone}-{number}", zone, address, ports, self.store.text(),
                addresses[:3],
            )
            self.entries.append(entry)
            entry.start()

    async def put_foreign(self, name, spec):
        """Lists an entry of another writer, which writes it again at each interval."""

        async def beat():
            while True:
                await asyncio.sleep(HEARTBEAT_S)
                self.store.beat(name)

        await self.store.put("servers", name, spec)
        asyncio.get_running_loop().create_task(beat())

    async def wait_until_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await entry.is_ready() for entry in self.entries]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entries did not become ready")

    def end(self):
        for entry in self.entries:
            entry.end()
        for server in [self.store, *self.targets]:
            if server.server is not None:
                server.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def caller_head(path, label, deadline_ms, more=(), method="POST", length=0, key=KEY):
    headers = [
        ("Host", HOST),
        ("X-Attempt-Id", label),
        ("X-Deadline-Ms", deadline_ms),
        ("Authorization", f"Token {key}"),
        *more,
        ("Content-Length", length),
    ]
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Caller:
    """A caller's connection to an entry, which it keeps for several requests."""

    def __init__(self, record, entry, key=KEY):
        self.record = record
        self.entry = entry
        self.key = key
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*self.entry.callers)
        return self

    async def send(self, path, label, deadline_ms, more=(), method="POST"):
        """Sends a request and returns the head of the answer; none if the connection ends."""
        self.record.note(f"caller: sends {method} {path} {label} to {self.entry.name}")
        try:
            self.writer.write(caller_head(path, label, deadline_ms, more, method, key=self.key))
            head = await read_head(self.reader)
        except ConnectionError:
            head = None
        status = head.start.split(" ")[1] if head else "connection ended"
        self.record.note(f"caller: {label} gets {status}")
        return head

    async def call(self, path, label, deadline_ms, more=(), method="POST"):
        """Sends a request and returns the status and the body; none if the answer is not whole."""
        head = await self.send(path, label, deadline_ms, more, method)
        if head is None:
            return None
        try:
            return int(head.start.split(" ")[1]), await read_body(self.reader, head)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            self.record.note(f"caller: the answer to {label} is not whole")
            return None

    def close(self):
        if self.writer is not None:
            self.writer.close()


def model_headers(prompt, answer, parts):
    return [
        ("X-Model", "daka510000"),
        ("X-Token-Count", f"{prompt},{answer}"),
        ("X-Prompt-Prefix", parts),
    ]


def run_case(folder, play):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.

    `play(record, site, has_trouble)` returns the verdict: a list of the breaks that were seen.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        site = Site(record)
        try:
            return await asyncio.wait_for(play(record, site, has_trouble), 110)
        finally:
            site.end()

    def stop(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        breaks = asyncio.run(whole())
    except (Exception, KeyboardInterrupt) as error:  # A fault of the case itself is no verdict.
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaks:
        record.note(f"BROKEN: {text}")
    print("broken" if breaks else "held")
    sys.exit(1 if breaks else 0)
