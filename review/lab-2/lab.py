"""Stand-ins and helpers for the scripts of review/4 and later.

One asyncio process holds the platform's store, the list of boxes, the workers
and the clients; the daemons are the project's own program, started with the
command of deploy/system.toml on settings rendered from its template. Only the
standard library is used, and every address is a loopback address.
"""

import asyncio
import base64
import bisect
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["zone-a", "zone-b", "zone-c"]
# Bounds and limits of the small deployment tkl-hive.
BOUNDS = {
    "configApplyMs": 2000, "holdMaxMs": 10000, "stop_ms": 400, "move_s": 1.5,
    "upkeep_s": 2, "graceS": 6, "enforceFencing": True, "cancel_ms": 3000,
    "visible_ms": 3000, "contactMs": 3000, "early_ms": 250,
}
MEMORY_MB = 260
HEARTBEAT_MS = 1500
START = time.monotonic()


def now():
    return time.monotonic() - START


def free_port():
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


# --- HTTP ---


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_message(reader):
    """The first line, the headers in lower case, and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def encode_response(status, body):
    head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Silent(Exception):
    """Raised by a handler: the call gets no answer, its connection ends later."""


class Server:
    """Serves `handler(request) -> (status, object or bytes)` on its own port.

    Answers leave through `link`, if there is one.
    """

    def __init__(self, handler, link=None, port=0):
        self.handler = handler
        self.link = link
        self.port = port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                status, answer = await self.handler(Request(method, target, headers, body))
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer, separators=(",", ":")).encode()
                data = encode_response(status, answer)
                if self.link:
                    await self.link.send(writer, data)
                else:
                    writer.write(data)
                    await writer.drain()
        except Silent:
            await asyncio.sleep(30)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """The process is gone: its port and its connections reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Link:
    """A machine's link: answers on their way share its bandwidth evenly."""

    TICK_S = 0.002

    def __init__(self, mbit_per_s):
        self.bytes_per_tick = int(mbit_per_s * 1e6 / 8 * self.TICK_S)
        self.active = []
        self.task = None

    async def send(self, writer, data):
        done = asyncio.get_running_loop().create_future()
        self.active.append([writer, memoryview(data), 0, done])
        if not self.task or self.task.done():
            self.task = asyncio.create_task(self.run())
        await done

    async def run(self):
        last = time.monotonic()
        while self.active:
            await asyncio.sleep(self.TICK_S)
            elapsed = time.monotonic() - last
            last += elapsed
            room = int(self.bytes_per_tick * min(elapsed / self.TICK_S, 4))
            share = max(1, room // len(self.active))
            for entry in list(self.active):
                writer, data, at, done = entry
                # A receiver that does not read holds the sender up.
                if writer.transport.get_write_buffer_size() > 65536:
                    continue
                writer.write(data[at:at + share])
                entry[2] = at + share
                if entry[2] >= len(data) or writer.is_closing():
                    self.active.remove(entry)
                    if not done.done():
                        done.set_result(None)


async def call(address, method, target, body=None, headers=None, timeout=3.0,
               source=None):
    """One request on a connection of its own: (status, body), or (0, reason)."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {target} HTTP/1.1", "Connection: close",
                 f"Content-Length: {len(data)}"]
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        if body is not None:
            lines.append("Content-Type: application/json")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        first, _, answer = await read_message(reader)
        return int(first.split(" ")[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return 0, b"no answer in time"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__.encode()
    finally:
        if writer:
            writer.close()


# --- The platform's store ---


class Store:
    """Rows, transactions and feeds, as PROTOCOL.md tells them."""

    MAX_ROWS = 500
    MAX_BYTES = 1_000_000
    ANSWER_S = 0.004
    TX_S = 0.003

    def __init__(self, link_mbit=None):
        self.rows = {}     # (table, part) -> {key: (value base64, version)}
        self.keys = {}     # (table, part) -> sorted keys
        self.version = 1
        self.history = []  # (version, table, part, key, value or None)
        self.forgotten = 0
        self.changed = asyncio.Condition()
        self.part_free = {}
        self.link_mbit = link_mbit
        self.fault = None  # fault(request) -> awaitable, may raise Silent
        self.server = None
        self.endpoints = []

    async def endpoint(self):
        """An address of the store for one daemon, behind a link of its own."""
        link = Link(self.link_mbit) if self.link_mbit else None
        server = await Server(self.handle, link).start()
        self.endpoints.append(server)
        return server.address

    def stamp(self):
        return {"ver": self.version, "now_ms": int(now() * 1000) + 100000}

    def put(self, table, part, key, value):
        """A row of the operator or of a worker; `value` is an object."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self.write_row(table, part, key, text)
        asyncio.ensure_future(self.notify())

    def drop(self, table, part, key):
        self.version += 1
        self.write_row(table, part, key, None)
        asyncio.ensure_future(self.notify())

    def write_row(self, table, part, key, text):
        rows = self.rows.setdefault((table, part), {})
        keys = self.keys.setdefault((table, part), [])
        if text is None:
            if rows.pop(key, None) is not None:
                keys.pop(bisect.bisect_left(keys, key))
        else:
            if key not in rows:
                bisect.insort(keys, key)
            rows[key] = (text, self.version)
        self.history.append((self.version, table, part, key, text))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        self.history.clear()
        self.forgotten = self.version
        asyncio.ensure_future(self.notify())

    def value(self, table, part, key):
        found = self.rows.get((table, part), {}).get(key)
        return json.loads(base64.b64decode(found[0])) if found else None

    def table(self, table):
        """(part, key, value) of all rows of the table."""
        for (name, part), rows in self.rows.items():
            if name == table:
                for key, (text, _) in rows.items():
                    yield part, key, base64.b64decode(text).decode()

    async def handle(self, request):
        if self.fault:
            await self.fault(request)
        if request.path == "/rows-tx":
            return await self.transact(request.json())
        await asyncio.sleep(self.ANSWER_S)
        if request.path == "/rows-get":
            return 200, self.get(request.query)
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        if request.path == "/rows-parts":
            return 200, {"parts": sorted(p for t, p in self.rows
                                         if t == request.query["table"]), **self.stamp()}
        return 404, {}

    async def transact(self, body):
        parts = {e["part"] for k in ("expectedRev", "put", "remove")
                 for e in body.get(k, [])}
        took = self.TX_S * (2 if len(parts) > 1 else 1)
        if len(parts) > 1 and not body.get("across"):
            return 400, {}
        # One part takes its calls in turn.
        at = time.monotonic()
        begin = max([at] + [self.part_free.get(p, 0) for p in parts])
        for part in parts:
            self.part_free[part] = begin + 1 / 300
        await asyncio.sleep(begin - at + took)
        return await self.apply(body)

    async def apply(self, body):
        rows, holds = [], True
        for want in body.get("expectedRev", []):
            found = self.rows.get((want["table"], want["part"]), {}).get(want["key"])
            holds = holds and (found[1] if found else 0) == want["ver"]
            row = {"table": want["table"], "part": want["part"], "key": want["key"],
                   "ver": found[1] if found else 0}
            if found:
                row["value"] = found[0]
            rows.append(row)
        if not holds:
            return 412, {"rows": rows, **self.stamp()}
        for entry in body.get("put", []):
            if len(entry["value"]) > 65536:
                return 400, {}
        self.version += 1
        for entry in body.get("put", []):
            self.write_row(entry["table"], entry["part"], entry["key"], entry["value"])
        for entry in body.get("remove", []):
            self.write_row(entry["table"], entry["part"], entry["key"], None)
        await self.notify()
        return 200, self.stamp()

    def get(self, query):
        where = (query["table"], query.get("part", ""))
        rows, keys = self.rows.get(where, {}), self.keys.get(where, [])
        limit = min(int(query.get("limit", self.MAX_ROWS)), self.MAX_ROWS)
        until = query.get("targetVersion")
        found, size, more = [], 0, False
        prefix = json.dumps({"table": where[0], "part": where[1]})[:-1]
        for i in range(bisect.bisect_left(keys, query.get("from", "")), len(keys)):
            key = keys[i]
            if until and key >= until:
                break
            text, version = rows[key]
            row = f'{prefix},"key":{json.dumps(key)},"value":"{text}","ver":{version}}}'
            if len(found) == limit or (found and size + len(row) > self.MAX_BYTES):
                more = True
                break
            found.append(row)
            size += len(row) + 1
        stamp = json.dumps(self.stamp())[1:-1]
        return (f'{{"rows":[{",".join(found)}],"more":{"true" if more else "false"},'
                f'{stamp}}}').encode()

    async def feed(self, query):
        table, since = query["table"], int(query["dependsOn"])
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            if since < self.forgotten:
                return 410, {}
            first = bisect.bisect_right(self.history, since, key=lambda h: h[0])
            rows, last = [], self.version
            for version, name, part, key, text in self.history[first:]:
                if name != table:
                    continue
                if len(rows) >= self.MAX_ROWS and version != rows[-1]["ver"]:
                    last = rows[-1]["ver"]
                    break
                row = {"table": name, "part": part, "key": key, "ver": version}
                if text is None:
                    row["gone"] = True
                else:
                    row["value"] = text
                rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self.stamp(), "ver": last}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# --- Boxes and workers ---


class Worker:
    """One life of a box's worker, as PROTOCOL.md tells it."""

    def __init__(self, fleet, box, service, zone, rack, kind):
        fleet.lives += 1
        self.fleet, self.box, self.service, self.zone, self.rack = (
            fleet, box, service, zone, rack)
        self.kind = kind
        self.id = f"i-{fleet.lives:08x}"
        self.born = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}   # task -> [run, end on the clock or None, spec]
        self.over = {}      # task -> highest run that ended or was stopped
        self.ends = []
        self.last_end = 0
        self.sequence = 0
        self.alive = True
        self.news = asyncio.Event()

    async def start(self):
        self.server = await Server(self.handle).start()
        self.announce()
        self.task = asyncio.create_task(self.work())
        return self

    def clock(self):
        return int((time.monotonic() - self.born) * 1000) + 1

    def announce(self):
        self.sequence += 1
        self.fleet.store.put("servers", "", self.id, {
            "service": self.service, "address": self.server.address,
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0, "machine": self.box,
            "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
            "labels": [self.kind, self.rack], "clockMs": self.clock(),
            "sequence": self.sequence})

    async def work(self):
        beat = time.monotonic()
        while self.alive:
            await asyncio.sleep(0.005)
            clock = self.clock()
            for task, run in list(self.running.items()):
                if clock > self.deadline:
                    self.end(task, "lapsed")
                elif run[1] is not None and clock >= run[1]:
                    self.end(task, "done")
            if time.monotonic() - beat >= HEARTBEAT_MS / 1000:
                beat += HEARTBEAT_MS / 1000
                self.announce()

    def crash(self):
        self.alive = False
        for task, run in self.running.items():
            self.fleet.note(f"{self.id} crashes with {task} run {run[0]}")
        self.running.clear()
        self.server.stop()

    def end(self, task, how):
        run = self.running.pop(task)
        self.over[task] = max(self.over.get(task, 0), run[0])
        self.last_end += 1
        self.ends.append([self.last_end, task, run[0], how, ""])
        self.fleet.note(f"{self.id} ends {task} run {run[0]}: {how}")
        self.fleet.ended.append((now(), task, run[0], how, self))
        self.news.set()

    def listing(self):
        running = []
        for task, run in self.running.items():
            running.append([task, run[0], "", run[3](self.clock())])
        return {"clockMs": self.clock(), "running": running,
                "finished": self.ends[:500]}

    def answer(self, status=200, **more):
        return status, {"clockMs": self.clock(), **more}

    async def handle(self, request):
        if not self.alive:
            raise ConnectionError
        meant = request.headers.get("expect-instance")
        if meant and meant != self.id:
            return self.answer(421)
        body = request.json()
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/run-start":
            return self.run_start(body)
        if request.path == "/run-stop":
            return await self.run_stop(body)
        if request.path == "/pace":
            return self.answer()
        return self.answer(400)

    def extend(self, deadline):
        most = self.clock() + BOUNDS["holdMaxMs"]
        self.deadline = max(self.deadline, min(deadline, most))

    async def hold(self, body):
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        self.ends = [e for e in self.ends if e[0] > seen]
        if not self.ends and body.get("waitMs", 0) > 0:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, self.listing()

    def run_start(self, body):
        task, run = body["task"], body["run"]
        if body["deadlineMs"] < self.clock():
            return self.answer(409, reason="late")
        self.extend(body["deadlineMs"])
        there = self.running.get(task)
        if there and there[0] == run:
            return self.answer()
        if not self.fleet.is_ticket_valid(self, task, body.get("ticket", "")):
            return self.answer(409, reason="ticket")
        if run <= self.over.get(task, 0):
            return self.answer(409, reason="old")
        spec = json.loads(body["spec"].strip())
        begun, length = self.clock(), spec.get("ms")
        until = None if length is None else begun + length

        def percent(clock):
            return 100 if length is None else min(99, (clock - begun) * 100 // length)

        self.running[task] = [run, until, spec, percent]
        self.fleet.note(f"{self.id} starts {task} run {run} under token {self.fence}")
        self.fleet.started.append((now(), task, run, self))
        return self.answer()

    async def run_stop(self, body):
        task, run = body["task"], body["run"]
        self.over[task] = max(self.over.get(task, 0), run)
        there = self.running.get(task)
        if there and there[0] == run:
            self.end(task, "stopped")
        return self.answer()


class Fleet:
    """The workers, and the platform's list of boxes."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.lives = 0
        self.workers = {}   # box -> Worker
        self.started = []
        self.ended = []
        self.quiet = False
        self.is_ticket_valid = lambda worker, task, ticket: True

    def note(self, text):
        if not self.quiet:
            self.record.add(text)

    async def start(self, service, kinds):
        """A worker for each letter of `kinds`, or so many of kind "a"."""
        for i, kind in enumerate(kinds if isinstance(kinds, str) else "a" * kinds):
            box = f"m-{service}-{i}"
            await self.begin(box, service, ZONES[i % 3], f"r-{i // 4}", kind)
        if not hasattr(self, "cloud"):
            self.cloud = await Server(self.handle).start()

    async def begin(self, box, service, zone, rack, kind="a"):
        self.workers[box] = await Worker(self, box, service, zone, rack, kind).start()
        return self.workers[box]

    async def crash(self, box, away_s):
        """The worker is gone; a new life comes after `away_s`."""
        life = self.workers.pop(box)
        life.crash()

        async def forget():
            await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
            self.store.drop("servers", "", life.id)

        async def back():
            await asyncio.sleep(away_s)
            await self.begin(box, life.service, life.zone, life.rack, life.kind)

        asyncio.ensure_future(forget())
        asyncio.ensure_future(back())

    async def handle(self, request):
        if request.path == "/machines":
            return 200, {"machines": [
                {"machine": box, "pool": w.service, "state": "up", "zone": w.zone,
                 "labels": [w.kind, w.rack], "id": w.id,
                 "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}}
                for box, w in self.workers.items()], "nextToken": None}
        return 409, {"reason": "busy"}

    def runs_of(self, job):
        return [s for s in self.started if s[1].startswith(job + ".")]


# --- Daemons ---


class Daemon:
    def __init__(self, name, zone, store_address, cloud_address, folder, record,
                 cores=0.25, advice_address=""):
        self.advice_address = advice_address
        self.name, self.zone, self.record = name, zone, record
        self.folder, self.cores = folder, cores
        self.store_address, self.cloud_address = store_address, cloud_address
        self.frontend = f"127.0.0.1:{free_port()}"
        self.readiness = f"127.0.0.1:{free_port()}"
        self.metrics_port = free_port()
        self.process = None
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.ini = os.path.join(folder, name + ".ini")
        self.peak_mb = 0.0
        self.own_ends = 0

    def render(self):
        values = {
            "node": self.name, "zone": self.zone, "limits.cpuShare": self.cores,
            "listen.frontend": self.frontend, "listen.readiness": self.readiness,
            "ip": "127.0.0.1", "internalPorts.0": self.metrics_port,
            "platform.address": self.store_address, "platform.across": "true",
            "platform.row_bytes": 65536, "bounds.enforceFencing": "true",
            "cloudApi.address": self.cloud_address, "cloudApi.ratePerS": 64.0,
            "advice": self.advice_address, "heartbeatMs": HEARTBEAT_MS,
        }
        for name, value in BOUNDS.items():
            values.setdefault("bounds." + name, value)
        with open(os.path.join(ROOT, "deploy/quartzhoistd.ini"), encoding="utf-8") as f:
            text = f.read()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        with open(self.ini, "w", encoding="utf-8") as f:
            f.write(text)

    def start(self):
        self.render()
        program = os.environ.get(
            "QUARTZHOISTD", os.path.join(ROOT, "target/daemon/quartzhoistd"))
        self.process = subprocess.Popen(
            [program, "--settings", self.ini], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.record.add(f"{self.name} started")

    def signal(self, number):
        self.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


class Deployment:
    """A store, workers and three daemons; used by `run`."""

    def __init__(self, record, link_mbit=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="quartzhoist-review-")
        self.store = Store(link_mbit)
        self.fleet = Fleet(self.store, record)
        self.daemons = []

    async def start(self, services, routes, daemons=3, advice_address=""):
        self.store.put("op", "", "config", {
            "version": 1, "routes": routes, "limits": {"maxBodyBytes": 262144},
            "services": [{"name": s, "enforcesCapacity": False} for s in services]})
        for service, kinds in services.items():
            await self.fleet.start(service, kinds)
        for i in range(daemons):
            self.daemons.append(Daemon(
                f"edge-{i}", ZONES[i % 3], await self.store.endpoint(),
                self.fleet.cloud.address, self.folder, self.record,
                advice_address=advice_address))
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await self.wait(lambda: self.is_ready(daemon), 15, daemon.name + " ready")
        await self.wait(lambda: self.owner() is not None, 10, "an owner")

    async def is_ready(self, daemon):
        status, _ = await call(daemon.readiness, "GET", "/ready", timeout=1)
        return status == 200

    def owner_row(self):
        for _, key, value in self.store.table("owner"):
            if key == "scheduler":
                return json.loads(value)
        return None

    def owner(self):
        row = self.owner_row()
        return next((d for d in self.daemons if row and d.name == row["holder"]), None)

    async def wait(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{what}: not within {seconds} s")

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        if os.environ.get("KEEP"):
            self.record.add(f"logs kept in {os.path.basename(self.folder)}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def enforce_memory(deployment, down_s=1.0):
    """The platform: it kills what is over memoryMb, and starts what has ended."""
    async def restart(daemon):
        await asyncio.sleep(down_s)
        daemon.start()

    while True:
        for daemon in deployment.daemons:
            used = daemon.memory_mb() if daemon.is_up() else 0
            daemon.peak_mb = max(daemon.peak_mb, used)
            if used > MEMORY_MB:
                deployment.record.add(f"{daemon.name} takes {used:.0f} MB, over "
                                      f"memoryMb = {MEMORY_MB}: killed")
                daemon.own_ends += 1
                daemon.kill()
                asyncio.ensure_future(restart(daemon))
        await asyncio.sleep(0.02)


async def enforce_cpu(deployment, share=0.25, period_s=0.1):
    """A quota of the processor: `share` of each period, then nothing until its end."""
    def used(daemon):
        try:
            with open(f"/proc/{daemon.process.pid}/schedstat", encoding="utf-8") as f:
                return int(f.read().split()[0]) / 1e9
        except (OSError, ValueError):
            return 0.0

    stopped = set()
    while True:
        begin = time.monotonic()
        at_begin = {}
        for daemon in deployment.daemons:
            if daemon.is_up():
                if daemon in stopped:
                    daemon.process.send_signal(signal.SIGCONT)
                at_begin[daemon] = (daemon.process.pid, used(daemon))
        stopped.clear()
        while time.monotonic() < begin + period_s:
            await asyncio.sleep(0.004)
            for daemon, (pid, before) in at_begin.items():
                if (daemon not in stopped and daemon.is_up() and daemon.process.pid == pid
                        and used(daemon) - before > share * period_s):
                    daemon.process.send_signal(signal.SIGSTOP)
                    stopped.add(daemon)


class CannotRun(Exception):
    pass


ROUTE = {"name": "r-jobs", "host": "jobs.example", "pathPrefix": "/jobs/",
         "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600,
         "priority": 0, "service": "svc", "attempts": 4, "extension": 1.6}


async def submit(daemon, job, body, timeout=3.0, prefix=ROUTE["pathPrefix"]):
    return await call(daemon.frontend, "POST", prefix + job, body,
                      {"Host": ROUTE["host"], "Deadline-Ms": int(timeout * 1000)},
                      timeout)


async def state(daemon, job, timeout=3.0):
    status, body = await call(daemon.frontend, "GET", ROUTE["pathPrefix"] + job, None,
                              {"Host": ROUTE["host"], "Deadline-Ms": int(timeout * 1000)},
                              timeout)
    return status, (json.loads(body).get("state") if status == 200 else None)


async def cancel(daemon, job, timeout=3.0):
    return await call(daemon.frontend, "DELETE", ROUTE["pathPrefix"] + job, None,
                      {"Host": ROUTE["host"], "Deadline-Ms": int(timeout * 1000)},
                      timeout)


async def watch_lag(record):
    """Notes when the stand-ins themselves were late."""
    last = time.monotonic()
    while True:
        await asyncio.sleep(0.05)
        late = time.monotonic() - last - 0.05
        last += late + 0.05
        if late > 0.2:
            record.add(f"the stand-ins were {late * 1000:.0f} ms late")


def main(folder, scenario, link_mbit=None):
    """Runs `scenario(deployment, trouble) -> bool`: whether the rule held."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(record, link_mbit)
        code = 2
        asyncio.ensure_future(watch_lag(record))
        try:
            held = await asyncio.wait_for(scenario(deployment, trouble), 115)
            code = 0 if held else 1
        except (CannotRun, asyncio.TimeoutError) as problem:
            record.add(f"cannot run: {problem!r}")
        except Exception:  # a fault of the script itself
            record.add("cannot run: " + traceback.format_exc())
        finally:
            deployment.end()
            record.add(f"exit {code}")
            # Without the loop's shutdown, which would wait for open calls.
            os._exit(code)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    asyncio.run(run())
