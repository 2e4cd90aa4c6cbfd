"""Stand-ins of the platform for the scripts of this review: the store, the
workers, the boxes' interface and callers, on loopback addresses, in one asyncio
loop. They follow the users' pages (PROTOCOL, DEPLOY) and need only python3 and
its standard library."""

import asyncio
import base64
import bisect
import json
import os
import re
import signal
import subprocess
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# All addresses of a run: a loopback address of its own, so that runs beside each
# other don't meet.
HOST = "127.%d.%d.1" % (16 + os.getpid() // 250 % 100, 1 + os.getpid() % 250)

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


def now():
    return time.monotonic()


def pack(value):
    return base64.b64encode(value.encode()).decode()


class Record:
    """The file record.txt: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (now() - self.start, text))
        self.file.flush()


class Server:
    """HTTP/1.1 with keep-alive. `handle(method, path, headers, body)` returns
    (status, text), or None to leave the call without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, HOST, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    async def answer_of(self, reader, method, path, headers, body):
        """Gives the call up when its caller closes the connection."""
        task = asyncio.ensure_future(self.handle(method, path, headers, body))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=0.05)
                if not task.done() and reader.at_eof():
                    raise ConnectionError
            return task.result()
        finally:
            task.cancel()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = b""
                if int(headers.get("content-length", "0")) > 0:
                    body = await reader.readexactly(int(headers["content-length"]))
                answer = await self.answer_of(reader, method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                status, text = answer
                data = text.encode()
                writer.write(
                    b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" %
                    (status, REASONS.get(status, "X").encode(), len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """The listener goes and open connections are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store: rows, conditional writes, feeds."""

    PAGE = 500
    PAGE_BYTES = 1_000_000

    def __init__(self, answer_s=0.004):
        self.answer_s = answer_s
        self.version = 0
        self.down = False  # it answers 503, and does nothing
        self.parts = {}   # (table, part) -> (sorted keys, {key: (value, version)})
        self.history = []  # (version, table, part, key, value or None)
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.reads = 0
        self.writes = 0

    def part(self, table, part):
        return self.parts.setdefault((table, part), ([], {}))

    def put_packed(self, table, part, key, packed, version, in_history=True):
        keys, rows = self.part(table, part)
        if key not in rows:
            bisect.insort(keys, key)
        rows[key] = (packed, version)
        if in_history:
            self.history.append((version, table, part, key, packed))

    def put(self, table, part, key, value):
        self.version += 1
        self.put_packed(table, part, key, pack(value), self.version)
        self.wake()

    def remove(self, table, part, key):
        self.version += 1
        keys, rows = self.part(table, part)
        if key in rows:
            del rows[key]
            keys.remove(key)
        self.history.append((self.version, table, part, key, None))
        self.wake()

    def fill(self, table, part, keys_added, packed):
        """Adds many rows at once that no feed tells of any more."""
        keys, rows = self.part(table, part)
        for key in keys_added:
            self.version += 1
            rows[key] = (packed, self.version)
        keys[:] = sorted(rows)

    def value(self, table, part, key):
        row = self.part(table, part)[1].get(key)
        return base64.b64decode(row[0]).decode() if row else None

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def now_ms(self):
        return int(now() * 1000)

    async def handle(self, method, path, _headers, body):
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if self.down:
            return 503, "{}"
        if url.path == "/rows-feed":
            return await self.feed(query)
        await asyncio.sleep(self.answer_s)
        if url.path == "/rows-get":
            return self.get(query)
        if url.path == "/rows-tx":
            return self.write(json.loads(body))
        if url.path == "/rows-parts":
            names = sorted(p for (t, p) in self.parts if t == query.get("table"))
            return 200, json.dumps({"parts": names, "more": False,
                                    "ver": self.version, "now_ms": self.now_ms()})
        return 404, "{}"

    @staticmethod
    def row_text(table, part, key, packed, version):
        return json.dumps({"table": table, "part": part, "key": key,
                           "value": packed, "ver": version})

    def get(self, query):
        self.reads += 1
        table, part = query.get("table", ""), query.get("part", "")
        keys, rows = self.part(table, part)
        limit = min(self.PAGE, int(query.get("limit", self.PAGE)))
        at = bisect.bisect_left(keys, query.get("from", ""))
        end = query.get("targetVersion", "")
        texts, size, more = [], 0, False
        while at < len(keys) and (not end or keys[at] < end):
            if len(texts) >= limit or size > self.PAGE_BYTES:
                more = True
                break
            key = keys[at]
            packed, version = rows[key]
            text = self.row_text(table, part, key, packed, version)
            texts.append(text)
            size += len(text)
            at += 1
        return 200, '{"rows":[%s],"more":%s,"ver":%d,"now_ms":%d}' % (
            ",".join(texts), "true" if more else "false", self.version, self.now_ms())

    def write(self, body):
        self.writes += 1
        holds = True
        seen = []
        for entry in body.get("expectedRev", []):
            table, part, key = entry["table"], entry["part"], entry["key"]
            row = self.part(table, part)[1].get(key)
            version = row[1] if row else 0
            holds = holds and version == entry["ver"]
            one = {"table": table, "part": part, "key": key, "ver": version}
            if row:
                one["value"] = row[0]
            seen.append(one)
        if not holds:
            return 412, json.dumps({"rows": seen, "ver": self.version,
                                    "now_ms": self.now_ms()})
        self.version += 1
        for entry in body.get("put", []):
            self.put_packed(entry["table"], entry["part"], entry["key"],
                            entry["value"], self.version)
        for entry in body.get("remove", []):
            table, part, key = entry["table"], entry["part"], entry["key"]
            keys, rows = self.part(table, part)
            if key in rows:
                del rows[key]
                keys.remove(key)
            self.history.append((self.version, table, part, key, None))
        self.wake()
        return 200, json.dumps({"ver": self.version, "now_ms": self.now_ms()})

    async def feed(self, query):
        table = query.get("table", "")
        since = int(query.get("dependsOn", "0"))
        until = now() + min(30000, int(query.get("waitMs", "0"))) / 1000
        while True:
            # Read before waiting, so that no change is missed.
            event = self.changed
            first = bisect.bisect_right(self.history, since, key=lambda c: c[0])
            rows = []
            for version, of, part, key, packed in self.history[first:]:
                if of != table:
                    continue
                row = {"table": of, "part": part, "key": key, "ver": version}
                if packed is None:
                    row["gone"] = True
                else:
                    row["value"] = packed
                rows.append(row)
            if rows or now() >= until:
                return 200, json.dumps({"rows": rows, "ver": self.version,
                                        "now_ms": self.now_ms()})
            try:
                await asyncio.wait_for(event.wait(), max(0.001, until - now()))
            except asyncio.TimeoutError:
                pass


class Worker:
    """One life of a minion. The spec of a task is JSON: `ms`, how long it
    works; `cpu` and `mem`, what it takes; `lasts`; `fails`."""

    HOLD_MAX_MS = 10_000

    def __init__(self, fleet, box, service, zone, rack, ident=None):
        self.fleet = fleet
        self.box, self.service, self.zone, self.rack = box, service, zone, rack
        self.id = ident or fleet.next_id()
        self.born = int(time.time() * 1000)
        self.born_at = now()
        self.fence = 0
        self.deadline = 0     # on its clock
        self.runs = {}        # task -> dict(run, ends, spec, saved, began)
        self.over = {}        # task -> highest run that ended or was stopped
        self.ends = []
        self.last_end = 0
        self.changed = asyncio.Event()
        self.alive = True
        self.state = "ready"
        self.server = Server(self.handle)

    def clock(self):
        return int((now() - self.born_at) * 1000) + 1

    def announce(self):
        if not self.alive:
            return
        self.fleet.store.put("servers", "", self.id, json.dumps({
            "service": self.service, "address": self.server.address,
            "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
            "coldRemainingMs": 0, "machine": self.box,
            "capacity": {"cpu": self.fleet.cpu, "memMb": self.fleet.mem, "gpu": 0},
            "labels": ["a", self.rack], "clockMs": self.clock(), "sequence": 1}))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, task, how):
        run = self.runs.pop(task)
        self.over[task] = max(self.over.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, run["saved"]])
        self.fleet.on_end(self, task, run["run"], how)
        self.wake()

    def tick(self):
        if not self.alive:
            return
        lapsed = self.clock() > self.deadline
        t = now()
        for task, run in list(self.runs.items()):
            if lapsed:
                self.end(task, "lapsed")
            elif run["ends"] is not None and t >= run["ends"]:
                self.end(task, "failed" if run["spec"].get("fails") else "done")

    def lists(self):
        running = []
        for task, run in self.runs.items():
            if run["ends"] is None:
                percent = 100 if now() - run["began"] > 0.5 else 10
            else:
                span = max(0.001, run["ends"] - run["began"])
                percent = min(99, int(100 * (now() - run["began"]) / span))
            running.append([task, run["run"], run["saved"], percent, 0])
        return {"clockMs": self.clock(), "running": running, "finished": self.ends[:500]}

    def answer(self, status, body=None):
        text = dict(body or {})
        text["clockMs"] = self.clock()
        return status, json.dumps(text)

    async def handle(self, _method, path, headers, raw):
        meant = headers.get("expect-instance")
        if meant and meant != self.id:
            return self.answer(421)
        body = json.loads(raw or b"{}")
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return self.answer(409, {"reason": "fence"})
        self.fence = token
        if path == "/hold":
            return await self.hold(body)
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            return self.stop_run(body)
        if path == "/pace":
            return self.answer(200)
        return self.answer(400)

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + self.HOLD_MAX_MS))

    async def hold(self, body):
        if body.get("deadlineMs"):
            self.extend(body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.fleet.on_noted(end[1], end[2], end[3])
        self.ends = [end for end in self.ends if end[0] > seen]
        until = now() + min(2000, body.get("waitMs", 0)) / 1000
        while not self.ends and now() < until and self.alive:
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        return 200, json.dumps(self.lists())

    def start_run(self, body):
        task, run = body["task"], body["run"]
        if body.get("deadlineMs"):
            self.extend(body["deadlineMs"])
        if body.get("deadlineMs", 0) <= self.clock():
            return self.answer(409, {"reason": "late"})
        there = self.runs.get(task)
        if there and there["run"] == run:
            return self.answer(200)
        if (there and run <= there["run"]) or run <= self.over.get(task, 0):
            return self.answer(409, {"reason": "old"})
        advice = self.fleet.advice
        if advice and not advice.allows(task, self.id, body.get("ticket", "")):
            return self.answer(409, {"reason": "ticket"})
        spec = json.loads(body.get("spec") or "{}")
        self.fleet.on_start(self, task, run, body.get("fencingToken", 0), spec,
                            body.get("checkpoint", ""))
        length = None if spec.get("lasts") else spec.get("ms", 300) / 1000
        self.runs[task] = {"run": run, "spec": spec, "saved": body.get("checkpoint", ""),
                           "began": now(), "ends": None if length is None else now() + length}
        return self.answer(200)

    def stop_run(self, body):
        task, run = body["task"], body["run"]
        there = self.runs.get(task)
        if there and there["run"] == run:
            self.end(task, "stopped")
        self.over[task] = max(self.over.get(task, 0), run)
        return self.answer(200)

    def crash(self):
        self.alive = False
        self.fleet.on_crash(self)
        self.runs = {}
        self.server.stop()
        self.wake()


class Fleet:
    """All workers, and the interface that moves and maintains boxes."""

    HEARTBEAT_S = 1.5
    MOVE_S = 1.5

    def __init__(self, store, record, cpu=16000, mem=32768):
        self.store, self.record, self.cpu, self.mem = store, record, cpu, mem
        self.workers = {}  # box -> Worker
        self.pools = {}
        self.count = 0
        self.starts = {}   # task -> list of runs started
        self.done = {}     # task -> time
        self.failed = {}   # task -> ends failed
        self.noted = set()
        self.breaks = []   # broken rules, in words
        self.boxes = Server(self.handle_boxes)
        self.quiet = False
        self.advice = None  # Advice, if starts need tickets

    def next_id(self):
        self.count += 1
        return "i-%04x%04x" % (os.getpid() % 65536, self.count)

    async def add(self, box, service, zone, rack):
        worker = Worker(self, box, service, zone, rack)
        await worker.server.start()
        self.workers[box] = worker
        self.pools[box] = (service, zone, rack)
        worker.announce()

    async def run(self):
        beat = 0.0
        while True:
            await asyncio.sleep(0.01)
            for worker in list(self.workers.values()):
                worker.tick()
            if now() >= beat:
                beat = now() + self.HEARTBEAT_S
                for worker in list(self.workers.values()):
                    worker.announce()

    # --- What workers see ---

    def on_start(self, worker, task, run, token, _spec, _checkpoint):
        for other in self.workers.values():
            if other.alive and task in other.runs:
                self.breaks.append("TWICE: %s run %d starts on %s while run %d is on %s" % (
                    task, run, worker.id, other.runs[task]["run"], other.id))
        if task in self.noted:
            self.breaks.append("TWICE: %s run %d starts after a noted end" % (task, run))
        self.starts.setdefault(task, []).append(run)
        if not self.quiet:
            self.record.write("%s starts %s run %d, token %d" % (worker.id, task, run, token))

    def on_end(self, worker, task, run, how):
        if how == "done":
            self.done.setdefault(task, now())
        if how == "failed":
            self.failed[task] = self.failed.get(task, 0) + 1
        if not self.quiet:
            self.record.write("%s ends %s run %d %s" % (worker.id, task, run, how))

    # --- What can be asked of them ---

    def is_running(self, job):
        return any(task.startswith(job + ".") for worker in self.workers.values()
                   for task in worker.runs)

    def running_tasks(self):
        return sum(len(worker.runs) for worker in self.workers.values())

    def is_done(self, job, tasks):
        return sum(task.startswith(job + ".") for task in self.done) >= tasks

    def on_noted(self, task, _run, how):
        if how == "done":
            self.noted.add(task)

    def on_crash(self, worker):
        self.record.write("%s on %s crashes with %d runs" % (
            worker.id, worker.box, len(worker.runs)))

    async def crash(self, box, down_s):
        """The life on the box ends without a word; another comes after `down_s`.
        Its entry goes after three heartbeats of silence."""
        worker = self.workers.pop(box)
        worker.crash()

        async def lapse():
            await asyncio.sleep(3 * self.HEARTBEAT_S)
            self.store.remove("servers", "", worker.id)
        asyncio.ensure_future(lapse())
        await asyncio.sleep(down_s)
        await self.add(box, *self.pools[box])

    # --- Boxes ---

    async def handle_boxes(self, method, path, _headers, raw):
        if method == "GET":
            listed = []
            for box, (pool, zone, rack) in self.pools.items():
                worker = self.workers.get(box)
                up = worker is not None and worker.alive
                listed.append({"machine": box, "pool": pool, "state": "up" if up else "moving",
                               "zone": zone, "labels": ["a", rack],
                               "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                               "id": worker.id if up else ""})
            return 200, json.dumps({"machines": listed, "nextToken": None})
        body = json.loads(raw or b"{}")
        box = body.get("machine")
        if box not in self.pools:
            return 400, "{}"
        worker = self.workers.get(box)
        if path == "/machine-move" and self.pools[box][0] == body.get("pool"):
            return 200, "{}"
        if worker is None or not worker.alive:
            return 409, json.dumps({"reason": "busy"})
        if path != "/machine-move":
            return 409, json.dumps({"reason": "wave"})
        self.record.write("box %s moves to %s" % (box, body["pool"]))
        asyncio.ensure_future(self.replace(box, body["pool"]))
        return 200, "{}"

    async def replace(self, box, pool):
        worker = self.workers.pop(box)
        worker.crash()
        self.store.remove("servers", "", worker.id)
        self.pools[box] = (pool,) + self.pools[box][1:]
        await asyncio.sleep(self.MOVE_S)
        await self.add(box, *self.pools[box])


class Advice:
    """The advice service. It handles one call at a time, in turn, with at most 32
    waiting, and passes over calls whose caller has gone. One machine calls it."""

    WAITING = 32

    def __init__(self, record, decide_ms, each_ms, valid_ms):
        self.record = record
        self.decide_ms, self.each_ms, self.valid_ms = decide_ms, each_ms, valid_ms
        self.turn = asyncio.Lock()
        self.waiting = 0
        self.calls = self.refused = self.count = 0
        self.tickets = {}  # (step, worker, ticket) -> until when it is valid
        self.server = Server(self.handle)

    async def handle(self, _method, _path, _headers, raw):
        body = json.loads(raw)
        if self.waiting >= self.WAITING:
            self.refused += 1
            return 429, "{}"
        asked = now()
        self.waiting += 1
        try:
            await self.turn.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep((self.decide_ms + self.each_ms * len(body["workers"])) / 1000)
            good = []
            for worker in body["workers"]:
                self.count += 1
                ticket = "t-%08x" % self.count
                self.tickets[(body["step"], worker, ticket)] = now() + self.valid_ms / 1000
                good.append([worker, ticket])
        finally:
            self.turn.release()
        self.calls += 1
        self.record.write("advice on %s after %d ms" % (body["step"], 1000 * (now() - asked)))
        return 200, json.dumps({"good": good, "valid_ms": self.valid_ms})

    def allows(self, task, worker, ticket):
        step = task.rsplit(".", 1)[0]
        return self.tickets.get((step, worker, ticket), 0) > now()


class Daemon:
    """One entry box: its settings from the deploy file's template, and its
    process by the deploy file's command."""

    def __init__(self, system, name, zone):
        self.system, self.name, self.zone = system, name, zone
        self.process = None
        self.ports = [free_port() for _ in range(3)]
        self.file = os.path.join(system.folder, name + ".toml")
        self.ends_by_itself = 0
        self.killed_for_memory = 0
        self.peak_kb = 0
        self.ready = False
        self.wanted = False

    @property
    def callers(self):
        return HOST, self.ports[0]

    def start(self):
        self.system.write_settings(self)
        log = open(os.path.join(self.system.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.system.command(self.file), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.system.folder,
                 "QUARTZHOIST_NODE_FILE": self.file})
        log.close()
        self.wanted = True
        self.system.record.write("%s starts, pid %d" % (self.name, self.process.pid))

    def rss_kb(self):
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1])
        except (OSError, ValueError):
            pass
        return 0

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)


FREE = {"next": 21000 + os.getpid() % 9000}


def free_port():
    """A port that is free now, below the ephemeral range."""
    import socket
    while True:
        FREE["next"] += 1
        with socket.socket() as probe:
            try:
                probe.bind((HOST, FREE["next"]))
                return FREE["next"]
            except OSError:
                continue


class System:
    """The deployment: store, fleet and daemons."""

    MEMORY_MB = 260

    def __init__(self, case_folder, folder, bounds=None):
        self.folder = folder
        self.record = Record(case_folder)
        self.store = Store()
        self.fleet = Fleet(self.store, self.record)
        self.daemons = []
        self.tasks = []
        self.values = {
            "limits.cpuShare": "0.25", "platform.across": "true",
            "platform.row_bytes": "65536", "bounds.enforceFencing": "true",
            "cloudApi.ratePerS": "64.0", "advice": HOST + ":9",
            "bounds.configApplyMs": "2000", "bounds.holdMaxMs": "10000",
            "bounds.stop_ms": "400", "heartbeatMs": "1500", "bounds.move_s": "1.5",
            "bounds.upkeep_s": "2", "bounds.graceS": "6"}
        self.values.update(bounds or {})

    def command(self, file):
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as text:
            run = re.search(r'^run = "(.*)"$', text.read(), re.M).group(1)
        words = run.split()
        return [os.path.join(ROOT, words[0])] + [
            file if word.endswith("local.toml") else word for word in words[1:]]

    def store_address_of(self, _daemon):
        return self.store.server.address

    def write_settings(self, daemon):
        values = dict(self.values)
        values.update({
            "node": daemon.name, "zone": daemon.zone, "ip": HOST,
            "listen.frontend": "%s:%d" % daemon.callers,
            "listen.readiness": "%s:%d" % (HOST, daemon.ports[1]),
            "internalPorts.0": str(daemon.ports[2]),
            "platform.address": self.store_address_of(daemon),
            "cloudApi.address": self.fleet.boxes.address})
        with open(os.path.join(ROOT, "deploy/quartzhoistd.ini"), encoding="utf-8") as text:
            rendered = re.sub(r"\{\{([^}]*)\}\}",
                              lambda gap: values.get(gap.group(1), ""), text.read())
        with open(daemon.file, "w", encoding="utf-8") as out:
            out.write(rendered)

    async def begin(self, config, boxes, daemons):
        await self.store.server.start()
        await self.fleet.boxes.start()
        self.store.put("op", "", "config", json.dumps(config))
        for box, service, zone, rack in boxes:
            await self.fleet.add(box, service, zone, rack)
        for name, zone in daemons:
            daemon = Daemon(self, name, zone)
            self.daemons.append(daemon)
            daemon.start()
        self.tasks.append(asyncio.ensure_future(self.fleet.run()))
        self.tasks.append(asyncio.ensure_future(self.watch()))
        self.tasks.append(asyncio.ensure_future(self.balance()))

    async def watch(self):
        """Kills a process that goes over its memory, and starts what has ended
        again after a short delay, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for daemon in self.daemons:
                if not daemon.wanted:
                    continue
                if not daemon.running():
                    code = daemon.process.returncode
                    daemon.ends_by_itself += 1
                    daemon.wanted = False
                    self.record.write("%s has ended by itself, code %s" % (daemon.name, code))
                    asyncio.ensure_future(self.start_later(daemon))
                    continue
                kilobytes = daemon.rss_kb()
                daemon.peak_kb = max(daemon.peak_kb, kilobytes)
                if kilobytes > self.MEMORY_MB * 1024:
                    self.record.write("%s takes %d MB, over its %d MB: killed by the platform" % (
                        daemon.name, kilobytes // 1024, self.MEMORY_MB))
                    daemon.killed_for_memory += 1
                    daemon.wanted = False
                    daemon.signal(signal.SIGKILL)
                    daemon.process.wait()
                    asyncio.ensure_future(self.start_later(daemon))

    async def start_later(self, daemon, delay=0.5):
        await asyncio.sleep(delay)
        daemon.start()

    async def balance(self):
        """Asks each daemon every second whether it is ready."""
        while True:
            async def ask(daemon):
                status, _ = await call(HOST, daemon.ports[1], "GET", "/ready", timeout=0.9)
                daemon.ready = status == 200
            await asyncio.gather(*(ask(d) for d in self.daemons))
            await asyncio.sleep(1.0)

    def owner(self):
        for (table, _part), (_keys, rows) in self.store.parts.items():
            if table == "owner" or table.startswith("owner"):
                for packed, _version in rows.values():
                    try:
                        record = json.loads(base64.b64decode(packed))
                    except ValueError:
                        continue
                    if record.get("holder"):
                        return record["holder"]
        return None

    def daemon(self, name):
        return next((d for d in self.daemons if d.name == name), None)

    async def kill(self, daemon, number=signal.SIGKILL, down_s=0.5):
        daemon.wanted = False
        daemon.signal(number)
        daemon.process.wait()
        self.record.write("%s is killed" % daemon.name)
        await asyncio.sleep(down_s)
        daemon.start()

    def end(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.wanted = False
            if daemon.running():
                daemon.process.kill()
                daemon.process.wait()


async def call(host, port, method, path, body=None, timeout=3.0, headers=None):
    """One request on a connection of its own: (status, text); status 0 if
    there was no whole answer."""
    writer = None
    try:
        async def go():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, port)
            data = body.encode() if body else b""
            lines = ["%s %s HTTP/1.1" % (method, path), "Connection: close",
                     "Content-Length: %d" % len(data)]
            for name, value in (headers or {"Host": "jobs.example"}).items():
                lines.append("%s: %s" % (name, value))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = re.search(rb"(?i)content-length: *(\d+)", head)
            text = await reader.readexactly(int(length.group(1))) if length else b""
            return status, text.decode()
        return await asyncio.wait_for(go(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, ""
    finally:
        if writer:
            writer.close()


XX_P = (2654435761, 2246822519, 3266489917, 668265263, 374761393)


def part_of(ident):
    """The part of a job's rows: XXH32 of its id, of 16 characters, modulo 64."""
    mask = 0xFFFFFFFF
    p1, p2, p3, p4, _ = XX_P
    data = ident.encode()
    acc = 0
    for lane, seed in enumerate(((p1 + p2) & mask, p2, 0, (-p1) & mask)):
        value = (seed + int.from_bytes(data[4 * lane:4 * lane + 4], "little") * p2) & mask
        value = ((value << 13) | (value >> 19)) & mask
        value = value * p1 & mask
        turn = (1, 7, 12, 18)[lane]
        acc += ((value << turn) | (value >> (32 - turn))) & mask
    acc = (acc + 16) & mask
    acc = (acc ^ (acc >> 15)) * p2 & mask
    acc = (acc ^ (acc >> 13)) * p3 & mask
    return str((acc ^ (acc >> 16)) % 64)
