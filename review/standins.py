"""Stand-ins for the platform's store, replicas and clients, and the start of the real entries.

Everything runs on loopback addresses and the real clock. Only the standard library is used.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "coriandercove-platform-entry")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
START = time.monotonic()


class CannotRun(Exception):
    """The case cannot be run here."""


class Record:
    """Writes what was sent, answered and run, with the time since `start` in seconds.

    With a `start` of 0 it has the time of the steady clock, which all processes share, and is added to.
    """

    def __init__(self, path, start=START):
        self.start = start
        self.file = open(path, "a" if start == 0.0 else "w", buffering=1)

    def __call__(self, *words):
        print(f"{time.monotonic() - self.start:9.3f}", *words, file=self.file)


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def common_ports(ips, n):
    """Ports that are free for TCP and UDP on all the addresses."""
    ports = []
    for _ in range(1000):
        port = free_port(ips[0])
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
        if len(ports) == n:
            return ports
    raise CannotRun("no free ports")


async def read_head(reader):
    """Reads a head; returns its first line and its headers in lower case, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    """Reads a chunked body; returns its bytes and whether it is complete."""
    out = bytearray()
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return bytes(out), True
            out += await reader.readexactly(size)
            await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return bytes(out), False


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunked(reader)
    size = int(headers.get("content-length", "0"))
    try:
        return await reader.readexactly(size), True
    except asyncio.IncompleteReadError as e:
        return e.partial, False
    except (ConnectionError, OSError):
        return b"", False


def response(status, reason, headers, body=b""):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's object store: lists, watches, objects of own kinds."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def _change(self, kind, name, spec):
        self.revision += 1
        removed = spec is None
        if removed:
            obj = self.objects.pop((kind, name))
        else:
            obj = {"Metadata": {"Name": name, "Revision": self.revision, "Created": 1,
                                "Finalizers": [], "Deleting": False},
                   "Spec": spec, "Status": None}
            self.objects[(kind, name)] = obj
        self.history.append((self.revision, kind, {"Removed": removed, "Object": obj}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        self._change(kind, name, spec)

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self._change(kind, name, None)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body, _ = await read_body(reader, headers)
                status, value = await self.answer(line, body)
                writer.write(response(status, "OK" if status < 300 else "Refused",
                                      {"Content-Type": "application/json", "Store-Era": "1"},
                                      json.dumps(value).encode()))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(p.partition("=")[::2] for p in query.split("&") if p)
        parts = path.strip("/").split("/")
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return 404, None
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "POST":
            obj = json.loads(body)
            name = obj["Metadata"]["Name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            self.put(kind, name, obj["Spec"])
            return 201, self.objects[(kind, name)]
        if method == "DELETE":
            if (kind, name) not in self.objects:
                return 404, None
            self.remove(kind, name)
            return 200, None
        if method != "GET":
            return 405, None
        if name:
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, None)
        if "Watch" in fields:
            after, wait = int(fields["Watch"]), int(fields.get("WaitMs", "0")) / 1000
            end = time.monotonic() + wait
            while True:
                events = [e for r, k, e in self.history if r > after and k == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        items = [o for (k, n), o in sorted(self.objects.items())
                 if k == kind and n > fields.get("After", "")]
        return 200, {"Items": items[:500], "HasMore": len(items) > 500, "AsOf": self.revision}


class Replica:
    """A replica that answers by `handler(replica, line, headers, body, reader, writer)`.

    The handler returns whether the connection is kept.
    """

    def __init__(self, name, service, zone, handler, slots=64, kind=None, layers=None):
        self.name, self.service, self.zone = name, service, zone
        self.handler, self.slots, self.kind, self.layers = handler, slots, kind, layers
        self.born = int(time.time() * 1000)
        self.requests = 0

    async def start(self, ip="127.0.0.1", read_body=True, port=0):
        self.read_body = read_body
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)
        self.address = "%s:%d" % (ip, self.server.sockets[0].getsockname()[1])

    def entry(self, state="ready"):
        spec = {"Service": self.service, "Address": self.address, "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": state, "ColdRemainingMs": 0,
                "Sequence": 1, "born": self.born}
        if self.layers:
            spec.update({"Phase": "combined", "RouteKind": self.kind,
                         "Models": [{"Name": "daka510000", "Version": 1, "Adapters": []}],
                         "Layers": [{"From": self.layers[0], "Target": self.layers[1], "Version": 1}]})
        return spec

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                if line.startswith("GET /api/report"):
                    await self.report(writer)
                    continue
                body = b""
                if self.read_body:
                    body, whole = await read_body(reader, headers)
                    if not whole:
                        break
                expected = headers.get("x-expected-replica")
                if expected is not None and expected != self.name:
                    writer.write(response(421, "Misdirected Request",
                                          {"X-Attempt-Id": headers.get("x-attempt-id", ""),
                                           "X-Not-Executed": "1", "X-Replica-Id": self.name}))
                    await writer.drain()
                    continue
                self.requests += 1
                if not await self.handler(self, line, headers, body, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def report(self, writer):
        value = {"Phase": "combined", "Busy": False, "Sequence": 0, "Queued": 0, "Active": 0,
                 "KvUsed": 0, "KvTotal": 1_000_000, "Handles": 0, "born": self.born, "pace": 1.0,
                 "Models": [{"Name": "daka510000", "Version": 1, "Adapters": []}]}
        if self.layers:
            value["RouteKind"] = self.kind
            value["Layers"] = {"From": self.layers[0], "Target": self.layers[1], "Version": 1}
        writer.write(response(200, "OK", {"Content-Type": "application/json"},
                              json.dumps(value).encode()))
        await writer.drain()


LAYERS = 12


def engine():
    """The model of the service `huvo11a`; a card of kind `large` holds all its layers."""
    return {"Slots": 64, "KvCapacity": 1_000_000, "KvTokenBytes": 9000, "LinkMbps": 400000.0,
            "Stride": 1, "Models": [{"Name": "daka510000", "pace": 1.0, "LoadS": 1.0, "WarmS": 0.1}],
            "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956,
            "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512, "report_lag_ms": 200.0,
            "LoadsPerS": 0.0, "loads_at_once": 5,
            "delays": [{"From": "kumamoto", "Target": "fukuoka", "delay_ms": 0.3}],
            "usual": {"prompt": 774, "answer": 204}, "Layers": LAYERS, "LayerMb": 1000.0,
            "ActBytes": 4590, "PipeMbps": 22000.0,
            "Kinds": [{"Name": "large", "Megabytes": 40000.0, "pace": 1.0, "ReadFactor": 1.0}]}


def configuration(version=1, timeout_ms=20000):
    def route(name, prefix, kind, service, **more):
        return dict({"Name": name, "Host": HOST, "PathPrefix": prefix, "RouteKind": kind,
                     "TimeoutMs": timeout_ms, "TargetLatencyMs": 500, "Priority": 1,
                     "Service": service, "MaxAttempts": 2, "Anonymous": False}, **more)
    return {"Version": version,
            "Routes": [
                route("r-stream", "/lohu930/", "streaming", "huvo11a", Sticky=True,
                      Resumable=True, GapTargetMs=200),
                route("r-unsafe", "/puxa403/", "unsafe", "wuno96b", MaxAttempts=1),
                route("r-safe", "/cufi504/", "safe", "wuno96b")],
            "Services": [
                {"Name": "huvo11a", "HealthPath": "/health", "MaxConnections": 2256,
                 "Protocol": "h1", "Tls": False, "Engine": engine()},
                {"Name": "wuno96b", "HealthPath": "/health", "MaxConnections": 200,
                 "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}]}


class Entries:
    """The project's entries as separate processes, with settings as the template renders them."""

    def __init__(self, store, n, folder, memory_mb=182):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} has not been built")
        self.folder = folder
        self.ips = ["127.0.0.%d" % (i + 1) for i in range(n)]
        front, ready, peers, metrics = common_ports(self.ips, 4)
        self.fronts = [(ip, front) for ip in self.ips]
        self.readiness = [(ip, ready) for ip in self.ips]
        self.metrics = [(ip, metrics) for ip in self.ips]
        self.processes = [None] * n
        self.settings = []
        seeds = "".join(f'  - "{ip}:{peers}"\n' for ip in self.ips[:3])
        for i, ip in enumerate(self.ips):
            path = os.path.join(folder, f"entry-{i + 1}.yaml")
            with open(path, "w") as f:
                f.write(f'node: "edge-kumamoto-{i + 1}"\nzone: "kumamoto"\n'
                        f'callers: "{ip}:{front}"\nreadiness: "{ip}:{ready}"\n'
                        f'store: "{store.address}"\npeers: "{ip}:{peers}"\n'
                        f'metrics: "{ip}:{metrics}"\nseeds:\n{seeds}'
                        f'grace_seconds: 8\nmax_descriptors: 2940\nmemory_mb: {memory_mb}\n'
                        f'retry_ratio: 0.2\nretry_slack: 396\nretry_window_seconds: 10\n'
                        f'apply_ms: 2000\ndrain_ms: 2000\n')
            self.settings.append(path)

    def start(self, i):
        log = open(os.path.join(self.folder, f"entry-{i + 1}.log"), "a")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CORIANDERCOVE_BOOT"] = self.settings[i]
        self.processes[i] = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log,
                                             stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    async def is_ready(self, i):
        try:
            reader, writer = await asyncio.open_connection(*self.readiness[i])
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self):
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if all([await self.is_ready(i) for i in range(len(self.ips))]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the entries did not get ready in 15 s")

    def end_all(self):
        for p in self.processes:
            if p is not None and p.poll() is None:
                p.kill()
                p.wait()


class Answer:
    """What a client got: status (None if none came), headers, body, and whether it is complete."""

    def __init__(self, status=None, headers=None, body=b"", whole=False, cause=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.cause = whole, cause


class Client:
    """A client with one kept connection."""

    def __init__(self, front):
        self.front = front
        self.streams = None

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams = None

    async def request(self, method, path, attempt, body=b"", deadline_ms=20000, headers=None):
        """Sends a request and reads the answer. A new connection is made if none is kept."""
        if self.streams is None:
            try:
                self.streams = await asyncio.wait_for(
                    asyncio.open_connection(*self.front, limit=1 << 22), 1)
            except (OSError, asyncio.TimeoutError):
                return Answer(cause="no connection")
        reader, writer = self.streams
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n")
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n"
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        try:
            writer.write((head + "\r\n").encode("latin-1") + body)
            return await asyncio.wait_for(self.read(reader), deadline_ms / 1000)
        except asyncio.TimeoutError:
            self.close()
            return Answer(cause="deadline")
        except (ConnectionError, OSError):
            self.close()
            return Answer(cause="connection lost")

    async def read(self, reader):
        head = await read_head(reader)
        if head is None:
            self.close()
            return Answer(cause="closed without an answer")
        line, headers = head
        body, whole = await read_body(reader, headers)
        if not whole or headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split(" ")[1]), headers, body, whole,
                      "" if whole else "cut in the answer")


STREAM_HEADERS = {"X-Model": "daka510000", "X-Token-Count": "760,80",
                  "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:720"}


def run(case, main, limit_s=110):
    """Runs `main(record, folder)`, which returns whether the rule held; exits 0, 1 or 2."""
    here = os.path.join(ROOT, "review", str(case))
    record = Record(os.path.join(here, "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-")
    entries = []

    def stop(*_):
        for e in entries:
            e.end_all()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)

    async def limited():
        return await asyncio.wait_for(main(record, folder, entries), limit_s)

    code = 2
    try:
        held = asyncio.run(limited())
        code = 0 if held else 1
        record("RULE HELD" if held else "RULE BROKEN")
        print("held" if held else "broken", f"(TROUBLE={'1' if TROUBLE else '0'})")
    except CannotRun as e:
        record("could not run:", e)
        print("could not run:", e)
    except Exception as e:  # whatever keeps the case from being played
        record("could not run:", type(e).__name__, e)
        print("could not run:", type(e).__name__, e)
    finally:
        for e in entries:
            e.end_all()
        if os.environ.get("KEEP"):
            print("logs in", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
