"""A small fleet of the deploy file's program on loopback, for review cases.

Starts `target/flamingoyoked-platform` as the deploy file does, with settings
made from its template, beside a stand-in of the platform's store and stand-ins
of targets. Everything a case sees passes through sockets; `Record` writes it.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Requests that a target queues beside those in its slots.
QUEUE = 8
PROGRAM = ROOT / "target" / "flamingoyoked-platform"
TEMPLATE = ROOT / "platform" / "settings.json.template"


def free_ports(count, host="127.0.0.1"):
    import socket

    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


async def read_head(reader):
    """Returns the first line and the headers (lower case), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body by its framing; None if it ends early."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                if size == 0:
                    await reader.readline()
                    return body
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


class Store:
    """The platform's store: revisions, lists by page, watches with history.

    A watch returns all changes after its revision; those of the last
    `HISTORY_S` are kept, and an older revision is answered 410.
    """

    HISTORY_S = 20

    def __init__(self, record, page=50):
        self.record = record
        self.page = page
        self.rev = 10
        self.compacted = 10
        # Encoded as they are answered.
        self.items = {}
        # (revision, key, time, encoded event), oldest first.
        self.history = collections.deque()
        self.changed = asyncio.Event()
        self.port = 0
        self.server = None
        self.generation = 0
        # Seconds by which answers are late.
        self.delay = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """`value` is bytes, an object for JSON, or None to remove the item."""
        self.rev += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "rev": self.rev, "tombstone": True}
        else:
            raw = value if isinstance(value, bytes) else json.dumps(value).encode()
            event = {
                "key": key,
                "value": base64.b64encode(raw).decode(),
                "rev": self.rev,
                "create_revision": self.rev,
                "lease": 0,
            }
        encoded = json.dumps(event).encode()
        if value is not None:
            self.items[key] = encoded
        self.history.append((self.rev, key, time.monotonic(), encoded))
        self.changed.set()
        self.changed = asyncio.Event()
        self.record(f"store acknowledges revision {self.rev}: {key}")

    def silence(self):
        """Open connections get no more answers; new ones do."""
        self.generation += 1
        self.record("store: open connections go silent")

    def _compact(self):
        while self.history and time.monotonic() - self.history[0][2] > self.HISTORY_S:
            self.compacted = self.history.popleft()[0]

    async def _serve(self, reader, writer):
        generation = self.generation
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                path, _, query = head[0].split(" ")[1].partition("?")
                args = {
                    name: urllib.parse.unquote(value)
                    for name, _, value in (p.partition("=") for p in query.split("&"))
                }
                if self.delay:
                    await asyncio.sleep(self.delay)
                status, body = await self._answer(path, args)
                if generation != self.generation:
                    # Waits until the peer closes.
                    await reader.read()
                    return
                self.record(f"store answers {path[-8:]} {status}, {len(body)} bytes")
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, args):
        prefix = args.get("prefix", "")
        if path == "/flamingoyoke/kv-range":
            after = args.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = b",".join(self.items[key] for key in keys[: self.page])
            more = b"true" if len(keys) > self.page else b"false"
            return 200, b'{"items":[%s],"has_more":%s,"as_of":%d}' % (
                items,
                more,
                self.rev,
            )
        if path != "/flamingoyoke/kv-watch":
            return 404, b"{}"
        after = int(args.get("after", "0"))
        end = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
        while True:
            self._compact()
            if after < self.compacted:
                return 410, b"{}"
            changed = self.changed
            events = [
                encoded
                for revision, key, _, encoded in self.history
                if revision > after and key.startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[%s],"as_of":%d}' % (
                    b",".join(events),
                    self.rev,
                )
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Target:
    """A sound target: runs requests for `work` seconds and signs its answers.

    `handle` gets the head, the body and the writer, and returns whether the
    connection stays open.
    """

    def __init__(self, record, service, ident, work=0.05, slots=8, zone="a"):
        self.record = record
        self.service = service
        self.id = ident
        self.work = work
        self.slots = slots
        self.zone = zone
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.runs = {}
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.seq += 1
        return {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "seq": self.seq, "warmup_left_ms": 0},
        }

    def ran(self, request_id):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record(f"target {self.id} runs {request_id}")

    def answer(self, headers, body, status="200 OK", extra=""):
        return (
            f"HTTP/1.1 {status}\r\nX-Request-Id: {headers.get('x-request-id', '')}\r\n"
            f"X-Gateway-Signature: sig.{self.id}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def handle(self, head, headers, body, writer):
        request_id = headers.get("x-request-id")
        if self.running + self.waiting >= self.slots + QUEUE:
            self.record(f"target {self.id} is full: {request_id}")
            writer.write(
                self.answer(
                    headers, b"", "503 Service Unavailable", "X-Not-Executed: 1\r\n"
                )
            )
            await writer.drain()
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.ran(request_id)
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
            self.free.release()
        writer.write(self.respond(headers))
        await writer.drain()
        return True

    def respond(self, headers):
        """Bytes of the answer to a request that ran. A case overrides it."""
        return self.answer(headers, b"ok " + self.id.encode())

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                expected = headers.get("x-expect-instance")
                body = await read_body(reader, headers)
                if body is None:
                    return
                if expected is not None and expected != self.id:
                    writer.write(
                        f"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: "
                        f"{headers.get('x-request-id', '')}\r\nX-Instance-Id: {self.id}"
                        f"\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
                    )
                    await writer.drain()
                    continue
                if not await self.handle(line, headers, body, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Link:
    """A link from one VM to the store, which can be cut without a reset."""

    def __init__(self, port):
        self.store_port = port
        self.is_cut = False
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self.store_port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, up_writer), self._copy(up_reader, writer)
        )

    async def _copy(self, reader, writer):
        was_cut = False
        try:
            while True:
                data = await reader.read(65536)
                # What a cut swallows is missing on the connection for good.
                was_cut = was_cut or self.is_cut
                if not data:
                    break
                if not was_cut:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Vm:
    """One process of the fleet, at a loopback address of its own."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.number = number
        self.ip = f"127.0.{fleet.net}.{number + 1}"
        self.zone = zone
        self.ports = fleet.ports
        self.process = None
        self.log = fleet.folder / f"vm{number}.log"
        self.store_port = fleet.store_port

    @property
    def front(self):
        return (self.ip, self.ports[0])

    @property
    def ready_address(self):
        return (self.ip, self.ports[1])

    def settings(self):
        ports = self.ports
        seeds = [f"{vm.ip}:{ports[2]}" for vm in self.fleet.vms[:3]]
        values = {
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "limits.cpu_share": "0.2",
            "limits.cores": "1",
            "limits.link_mbps": "1000.0",
            "limits.memory_mb": "260",
            "listen.front": f"{self.ip}:{ports[0]}",
            "listen.ready": f"{self.ip}:{ports[1]}",
            "listen.control": f"{self.ip}:{ports[2]}",
            "listen.directory": f"{self.ip}:{ports[3]}",
            "port_range.1": str(ports[4]),
            "platform.address": f"127.0.0.1:{self.store_port}",
            "bounds.grace_s": "6",
            "bounds.floor_share": "0.7",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_slack": "56",
        }
        text = TEMPLATE.read_text()
        seeds_text = ", ".join(f'"{seed}"' for seed in seeds)
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", seeds_text, text, flags=re.S)
        return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: values[m.group(1)], text)

    def start(self):
        path = self.fleet.folder / f"vm{self.number}.json"
        path.write_text(self.settings())
        self.process = subprocess.Popen(
            [str(self.fleet.program)],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.fleet.folder),
                "LANG": "C.UTF-8",
                "FLAMINGOYOKE_BOOT": str(path),
            },
            stdout=open(self.log, "ab"),
            stderr=subprocess.STDOUT,
        )
        self.fleet.record(f"vm {self.number} at {self.ip} starts")

    def signal(self, number):
        self.fleet.record(f"vm {self.number} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def exit_code(self):
        return self.process.poll()


class Fleet:
    def __init__(self, record, store, count=3, program=None):
        self.record = record
        self.store_port = store.port
        self.program = program or PROGRAM
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = 10 + os.getpid() % 200
        self.ports = free_ports(5)
        self.vms = []
        for number in range(count):
            self.vms.append(Vm(self, number, "abcd"[number % 4]))

    def start(self):
        for vm in self.vms:
            vm.start()

    async def wait_ready(self, vms=None, timeout=15):
        end = time.monotonic() + timeout
        for vm in vms or self.vms:
            while True:
                answer = await request(
                    vm.ready_address, "GET", "/flamingoyoke/ready", "x", None, timeout=1
                )
                if answer and answer.status == 200:
                    break
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.05)
        return True

    def stop(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            if vm.process:
                vm.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_answer(reader):
    """Returns a complete answer; None if the connection ends before."""
    head = await read_head(reader)
    if head is None:
        return None
    body = await read_body(reader, head[1])
    if body is None:
        return None
    return Answer(int(head[0].split(" ")[1]), head[1], body)


def make_request(method, path, host, request_id, body=None, deadline_ms=None):
    text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    if request_id is not None:
        text += f"X-Request-Id: {request_id}\r\n"
    if deadline_ms is not None:
        text += f"X-Request-Deadline-Ms: {deadline_ms}\r\n"
    if body is not None:
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + (body or b"")


async def request(
    address, method, path, host, request_id, body=None, deadline_ms=None, timeout=10
):
    """One request on a connection of its own; None if it got no answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), min(timeout, 1)
        )
        writer.write(make_request(method, path, host, request_id, body, deadline_ms))
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


def config(version, routes, services, limits=None):
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": {
            name: {
                "health_path": "/health",
                "max_conns": 330,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": limits
        or {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def route(service, prefix, kind="safe", host="h.example", timeout_ms=2000, **more):
    each = {
        "host": host,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": 600,
        "priority": 1,
        "max_attempts": 2,
    }
    if isinstance(service, str):
        each["service"] = service
    else:
        each["traffic_split"] = service
    each.update(more)
    return each
