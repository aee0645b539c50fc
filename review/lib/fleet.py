"""Runs flamingoyoked-platform processes on loopback addresses with stand-ins
for the store, the targets and the clients of the platform."""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.environ.get(
    "FLAMINGOYOKED", os.path.join(ROOT, "target", "flamingoyoked-platform"))
TEMPLATE = os.path.join(ROOT, "platform", "settings.json.template")


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (time.monotonic() - self.start, text))

    def result(self, text):
        self(text)
        print(text, flush=True)


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def shared_ports(hosts, count):
    """Returns ports that are free on all hosts."""
    ports = []
    while len(ports) < count:
        port = free_port(hosts[0])
        if port in ports:
            continue
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        ports.append(port)
    return ports


async def read_head(reader):
    """Returns (first line, headers in lower case), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's metadata store: kv-key, kv-range and kv-watch."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.port = None
        # The connections on which a watch waits.
        self.waiting = set()

    def cut_watches(self):
        """Closes the connections of the watches that are waiting."""
        cut = len(self.waiting)
        for writer in self.waiting:
            writer.close()
        self.waiting.clear()
        return cut

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.server = server

    def put(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("create_revision", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "rev": self.revision, "create_revision": created, "lease": 0}
        self.items[key] = item
        self.commit(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.commit({"key": key, "rev": self.revision, "tombstone": True})

    def commit(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                path = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = {k: v[0] for k, v in urllib.parse.parse_qs(
                    path.query, keep_blank_values=True).items()}
                is_watch = path.path.endswith("/kv-watch")
                if is_watch:
                    self.waiting.add(writer)
                status, body = await self.answer(path.path, query)
                self.waiting.discard(writer)
                if writer.is_closing():
                    break
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.waiting.discard(writer)
            writer.close()

    async def answer(self, path, query):
        prefix = query.get("prefix", "")
        if path.endswith("/kv-key"):
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, dict(item, as_of=self.revision)
        if path.endswith("/kv-range"):
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and
                          k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if path.endswith("/kv-watch"):
            after = int(query.get("after", "0"))
            end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                changed = self.changed
                events = [e for e in self.history
                          if e["rev"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Target:
    """A target with `slots` requests at once and a short queue. Drops a
    request when its connection closes. `work` returns the seconds of work and
    the bytes of the answer."""

    def __init__(self, record, target_id, service, zone="a", slots=4, queue=8,
                 work=None):
        self.record = record
        self.id = target_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work = work or (lambda request_id: (0.02, b"answer of " +
                                                 request_id.encode()))
        self.running = 0
        self.waiting = 0
        self.gate = asyncio.Semaphore(slots)
        # (time, request id, method, path) of each run, when work begins.
        self.runs = []
        self.arrivals = []
        self.port = None
        self.server = None

    async def start(self, host="127.0.0.1"):
        self.host = host
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {"address": "%s:%d" % (self.host, self.port),
                "born": 1700000000000,
                "info": {"service": self.service, "version": "v1",
                         "zone": self.zone, "slots": self.slots},
                "status": {"state": state, "seq": 4, "warmup_left_ms": 0}}

    def load(self):
        return "%d,%d,%d" % (self.running, self.waiting, self.slots)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.handle(head, body, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def reply(self, writer, status, headers, body=b""):
        text = "HTTP/1.1 %d X\r\n" % status
        for name, value in headers.items():
            text += "%s: %s\r\n" % (name, value)
        text += "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(text.encode() + body)

    async def handle(self, head, body, reader, writer):
        method, path, _ = head[0].split(" ")
        request_id = head[1].get("x-request-id", "")
        echo = {"X-Request-Id": request_id, "X-Instance-Load": self.load()}
        if path == "/health":
            self.reply(writer, 200, {"X-Instance-Id": self.id})
            return True
        self.arrivals.append((time.monotonic(), request_id, method, path))
        self.record("target %s got %s %s id=%s deadline=%s" % (
            self.id, method, path, request_id,
            head[1].get("x-request-deadline-ms")))
        if head[1].get("x-expect-instance") not in (None, self.id):
            self.reply(writer, 421, dict(echo, **{"X-Instance-Id": self.id}))
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record("target %s shed id=%s" % (self.id, request_id))
            self.reply(writer, 503, dict(echo, **{"X-Not-Executed": "1"}))
            return True
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            self.running += 1
            try:
                self.runs.append((time.monotonic(), request_id, method, path,
                                  body))
                self.record("target %s runs %s %s id=%s body=%d bytes" % (
                    self.id, method, path, request_id, len(body)))
                seconds, answer = self.work(request_id)
                # Work stops when the connection closes.
                closed = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait({closed}, timeout=seconds)
                if done:
                    self.record("target %s dropped id=%s" % (
                        self.id, request_id))
                    return False
                closed.cancel()
                try:
                    await closed
                except asyncio.CancelledError:
                    pass
            finally:
                self.running -= 1
        self.record("target %s answers id=%s 200 with %d bytes" % (
            self.id, request_id, len(answer)))
        self.reply(writer, 200, dict(echo, **{
            "X-Gateway-Signature": "sig." + request_id}), answer)
        await writer.drain()
        return True


class Vm:
    def __init__(self, fleet, index):
        self.fleet = fleet
        self.host = "127.0.1.%d" % (index + 1)
        self.zone = "abcd"[index % 4]
        self.process = None

    async def start(self):
        fleet = self.fleet
        values = {
            "ip": self.host, "zone": self.zone, "region": "r",
            "limits.cpu_share": "0.2", "limits.cores": "1",
            "limits.link_mbps": "1000.0", "limits.memory_mb": "260",
            "listen.front": "%s:%d" % (self.host, fleet.ports[0]),
            "listen.ready": "%s:%d" % (self.host, fleet.ports[1]),
            "listen.control": "%s:%d" % (self.host, fleet.ports[2]),
            "listen.directory": "%s:%d" % (self.host, fleet.ports[3]),
            "port_range.1": str(fleet.ports[4]),
            "platform.address": "127.0.0.1:%d" % fleet.store_port,
            "bounds.grace_s": "6", "bounds.floor_share": "0.7",
            "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "56"}
        seeds = ",".join('"%s:%d"' % (vm.host, fleet.ports[2])
                         for vm in fleet.vms[:3])
        text = open(TEMPLATE).read()
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", seeds, text)
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}",
                      lambda match: values[match.group(1)], text)
        path = os.path.join(fleet.folder, self.host + ".json")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(fleet.folder, self.host + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, env={"FLAMINGOYOKE_BOOT": path, "PATH": os.environ[
                "PATH"], "HOME": fleet.folder, "LANG": "C"},
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        fleet.record("vm %s started, pid %d" % (self.host, self.process.pid))

    def signal(self, number):
        self.fleet.record("vm %s gets signal %d" % (self.host, number))
        self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.host, self.fleet.ports[1]), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        writer.write(b"GET /flamingoyoke/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            head = await asyncio.wait_for(read_head(reader), 1)
        except asyncio.TimeoutError:
            head = None
        writer.close()
        return head is not None and " 200 " in head[0] + " "


class Fleet:
    def __init__(self, record, vms, host="orders.example"):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("no program at %s" % PROGRAM)
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="flamingoyoke-review-")
        self.store = Store()
        self.targets = []
        self.vms = [Vm(self, index) for index in range(vms)]
        self.ports = shared_ports([vm.host for vm in self.vms], 5)
        self.host = host
        self.version = 3
        self.routes = {}
        self.limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.front = self.ports[0]
        self.store_port = None

    def route(self, name, prefix, kind, service, timeout_ms=3000,
              slo_ms=600, max_attempts=2):
        self.routes[name] = {
            "host": self.host, "prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 1,
            "service": service, "max_attempts": max_attempts}

    def publish(self):
        self.version += 2
        services = {route["service"]: {"health_path": "/health",
                                       "max_conns": 330, "protocol": "h1",
                                       "tls": False}
                    for route in self.routes.values()}
        self.store.put("op/config", {
            "version": "r%d" % self.version, "routes": self.routes,
            "services": services, "limits": self.limits})
        self.record("operator published r%d" % self.version)

    async def add_target(self, target, register=True, address=None):
        await target.start()
        self.targets.append(target)
        if register:
            entry = target.entry()
            if address:
                entry["address"] = address
            self.store.put("servers/" + target.id, entry)

    async def start(self):
        await self.store.start()
        self.store_port = self.store_port or self.store.port
        self.publish()
        for vm in self.vms:
            await vm.start()

    async def wait_ready(self, seconds=30):
        end = time.monotonic() + seconds
        for vm in self.vms:
            while not await vm.ready():
                if time.monotonic() > end:
                    raise CannotRun("vm %s is not ready" % vm.host)
                await asyncio.sleep(0.1)
        # Longer than stable_window_ms, so that all machines are in touch.
        await asyncio.sleep(3.5)
        self.record("all vms are ready and in touch")

    async def stop(self):
        for vm in self.vms:
            if vm.process and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            if vm.process:
                await vm.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
            return
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


class Client:
    """One connection of a client to a VM."""

    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.vm = vm

    async def connect(self, address=None):
        host, port = address or (self.vm.host, self.fleet.front)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1)

    def head(self, method, path, request_id, deadline_ms, extra=""):
        return ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                "X-Request-Deadline-Ms: %d\r\n%s\r\n" % (
                    method, path, self.fleet.host, request_id, deadline_ms,
                    extra)).encode()

    def send(self, method, path, request_id, deadline_ms=2500, body=None):
        extra = "" if body is None else "Content-Length: %d\r\n" % len(body)
        self.fleet.record("client sends %s %s id=%s to %s" % (
            method, path, request_id, self.vm.host))
        self.writer.write(self.head(method, path, request_id, deadline_ms,
                                    extra) + (body or b""))

    async def receive(self, request_id=""):
        """Returns (status, headers, body), or None if the connection ended
        without a complete answer."""
        self.has_head = False
        head = await read_head(self.reader)
        self.has_head = head is not None
        answer = None
        got = 0
        if head is not None:
            status = int(head[0].split(" ")[1])
            try:
                answer = status, head[1], await read_body(self.reader, head[1])
                got = len(answer[2])
            except (asyncio.IncompleteReadError, ConnectionError,
                    OSError) as error:
                got = "%s of the body" % error
        self.fleet.record("client got id=%s: %s" % (request_id, (
            "no complete answer (%s)" % (got if head else "no head")) if
            answer is None else "%d with %d bytes" % (answer[0], got)))
        return answer

    def close(self):
        self.writer.close()


def main(case, record_path):
    """Runs `case(record, trouble)`, which returns whether the rule held."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("TROUBLE=%d" % trouble)

    async def run():
        return await asyncio.wait_for(case(record, trouble), 110)

    try:
        held = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.result("cannot run: %r" % error)
        return 2
    record.result("the rule held" if held else "THE RULE WAS BROKEN")
    return 0 if held else 1
