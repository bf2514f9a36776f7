"""A deployment on loopback around real `endive_sidecar` processes, in one asyncio loop: the metadata store,
the backend servers, the fault proxy in front of each daemon's peer port, and callers that check the
guarantees.

Faults can be injected into each part. All executions and responses are recorded in one `Ledger`, which
checks the guarantees.
"""
import asyncio
import base64
import json
import os
import pathlib
import signal
import time

from integration.harness import BIN, Proxy, die_with_parent, free_port

NOT_RUN = {408, 421, 429, 503}  # statuses that guarantee that the request never runs
MAX_ATTEMPTS = 2
HEARTBEAT_S = 0.3
CALL_DELAY_S = 0.1  # maximum time from sending a call to the start of its run, on links without faults
WORK_S = 0.03  # execution time of a request at a backend server
# The platform's specification allows new requests for at most this time after an acknowledged departure.
DRAIN_S = 2.5


# Each test process has its own loopback address, so that no other takes a port while its daemon is down.
HOST = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"


async def read_message(reader):
    """Returns start line, headers and body of a message. Raises IncompleteReadError at the stream's end."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return start_line, headers, body


def message(start_line, headers, body=b""):
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Ledger:
    """Records executions and responses, and collects violations of the guarantees."""

    def __init__(self):
        self.runs = {}  # request id -> number of runs
        self.kinds = {}  # request id -> route type: safe, unsafe or upload
        self.not_run_statuses = {}  # request id -> status
        self.violations = []
        self.served_versions = {}  # (daemon, process id) -> newest configuration version that it has served
        self.answers = {}  # status -> count
        self.killed = set()  # (daemon, process id)
        self.active = {}  # request id -> runs that are at work, as (backend, its id, start time)
        self.disturbed = {}  # daemon -> last time at which it was killed or its links were reset

    def on_run(self, request_id):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        limit = MAX_ATTEMPTS if self.kinds.get(request_id) == "safe" else 1
        if self.runs[request_id] > limit:
            self.violations.append(f"{request_id} ({self.kinds.get(request_id)}) ran {self.runs[request_id]} times")
        if request_id in self.not_run_statuses:
            self.violations.append(f"{request_id} ran after its caller had received {self.not_run_statuses[request_id]}")

    def begin_run(self, request_id, backend):
        self.on_run(request_id)
        run = (backend, backend.id, time.monotonic())
        self.active.setdefault(request_id, []).append(run)
        return run

    def end_run(self, request_id, run):
        self.active[request_id].remove(run)

    def on_disturbed(self, daemon):
        """Call after the disturbance. A call sent before it may reach the backend server a little later."""
        self.disturbed[daemon] = time.monotonic() + CALL_DELAY_S

    def undisturbed_runs(self, request_id, daemon):
        """Names of the backend servers that are at work on a request of `daemon`'s caller and can still answer it."""
        return [backend.name for backend, id, started in self.active.get(request_id, [])
                if backend.id == id and backend.server is not None
                and max(self.disturbed.get(name, 0) for name in (daemon, backend.name)) < started]

    def check_given_up(self, request_id, status, daemon):
        """A request may not fail while its run is at work and its answer can still reach the daemon."""
        if status == 502:
            for backend in self.undisturbed_runs(request_id, daemon):
                self.violations.append(f"{request_id} ({self.kinds.get(request_id)}) got 502 from {daemon} "
                                       f"while {backend} was at work")

    def check_unanswered(self, request_id, daemon, process_id):
        """A connection may not end without the response to a request that has run, unless its process was killed."""
        if self.runs.get(request_id, 0) > 0 and (daemon, process_id) not in self.killed:
            self.violations.append(f"{request_id} ({self.kinds.get(request_id)}) ran and got no answer from {daemon}")

    def on_answer(self, request_id, status):
        self.answers[status] = self.answers.get(status, 0) + 1
        if status in NOT_RUN:
            self.not_run_statuses[request_id] = status
            if self.runs.get(request_id, 0) > 0:
                self.violations.append(f"{request_id} was answered {status} although it had run")


class HttpServer:
    """Serves one port with `handle(start_line, headers, body) -> bytes | None`; None sends no response."""

    def __init__(self, port=0):
        self.port = port or free_port(HOST)
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port, reuse_address=True)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                answer = await self.handle(*await read_message(reader))
                if answer is None:
                    continue
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer disconnected or the run ended
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store. Each daemon has its own port, so that faults affect single daemons."""

    def __init__(self):
        self.rows = {}  # (table, key) -> [value, version, removed]
        self.version = 0
        self.history_from = 0  # feeds from before this version answer 410
        self.changed = asyncio.Event()
        self.ports = []
        self.modes = {}  # daemon -> ok, slow, busy, reset, silent, lost

    async def open_port(self, daemon):
        server = StorePort(self, daemon)
        await server.open()
        self.ports.append(server)
        return server.port

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = [base64.b64encode(json.dumps(value).encode()).decode(), self.version, False]
        self._wake()
        return self.version

    def discard_history(self):
        self.history_from = self.version
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, table, after=0):
        rows = [{"TableName": t, "part": "", "Key": key, "Value": value, "Ver": version, "Removed": removed}
                for (t, key), (value, version, removed) in sorted(self.rows.items())
                if t == table and version > after and (after or not removed)]
        return {"Rows": rows, "HasMore": False, "Ver": self.version, "Now": "1ms"}

    def transact(self, body):
        for condition in body["ExpectedRev"]:
            row = self.rows.get((condition["TableName"], condition["Key"]))
            current = 0 if row is None or row[2] else row[1]
            if current != condition["Ver"]:
                page = self.page(condition["TableName"])
                page["Rows"] = [entry for entry in page["Rows"] if entry["Key"] == condition["Key"]]
                return 412, page
        self.version += 1
        for write in body["Writes"]:
            self.rows[(write["TableName"], write["Key"])] = [write["Value"], self.version, False]
        for removal in body["Remove"]:
            self.rows[(removal["TableName"], removal["Key"])] = ["", self.version, True]
        self._wake()
        return 200, {"Ver": self.version, "Now": "1ms"}

    def close(self):
        for server in self.ports:
            server.close()


class StorePort(HttpServer):
    def __init__(self, store, daemon):
        super().__init__()
        self.store = store
        self.daemon = daemon

    async def handle(self, start_line, headers, body):
        mode = self.store.modes.get(self.daemon, "ok")
        if mode == "silent":
            return None
        if mode == "reset":
            raise ConnectionResetError
        if mode == "busy":
            return message("HTTP/1.1 503 Busy", {})
        if mode == "slow":
            await asyncio.sleep(0.5)
        method, target, _ = start_line.split(" ")
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
        if method == "POST":
            status, answer = self.store.transact(json.loads(body))
            if mode == "lost":
                return None
        elif target.startswith("/-/rows-feed"):
            status, answer = await self.watch(query["TableName"], int(query["after"]), int(query["WaitMs"]) / 1000)
        else:
            status, answer = 200, self.store.page(query["TableName"])
        return message(f"HTTP/1.1 {status} X", {}, json.dumps(answer).encode())

    async def watch(self, table, after, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            if after < self.store.history_from:
                return 410, {}
            page = self.store.page(table, after)
            left = deadline - time.monotonic()
            if page["Rows"] or left <= 0:
                return 200, page
            try:
                await asyncio.wait_for(self.store.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Backend(HttpServer):
    """The backend server beside a daemon. A restart is a new endpoint with a new id on the same port."""

    def __init__(self, ledger, name, service, slots=8):
        super().__init__()
        self.ledger, self.name, self.service, self.slots = ledger, name, service, slots
        self.announce_port = 0
        self.starts = 0
        self.slow_factor = 1.0
        self.refusing = False
        self.task = None

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.departed_at = None  # when the daemon acknowledged the deregistration
        await self.open()
        self.task = asyncio.create_task(self._send_heartbeats())

    def crash(self):
        self.close()
        self.task.cancel()

    async def handle(self, start_line, headers, body):
        method, target, _ = start_line.split(" ")
        if target == "/health":
            return message("HTTP/1.1 200 OK", {"X-Instance-Id": self.id,
                                               "X-Server-Load": f"{self.running},0,{self.slots}"})
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if headers.get("x-expected-instance", self.id) != self.id:
            return message("HTTP/1.1 421 X", {**echo, "X-Not-Executed": "1"})
        if self.refusing or self.running >= 2 * self.slots:
            return message("HTTP/1.1 503 X", {**echo, "X-Not-Executed": "1"})
        if self.departed_at is not None and time.monotonic() - self.departed_at > DRAIN_S:
            self.ledger.violations.append(f"{request_id} began at {self.id} after its departure")
        run = self.ledger.begin_run(request_id, self)
        self.running += 1
        try:
            await asyncio.sleep(WORK_S * self.slow_factor)
        finally:
            self.running -= 1
            self.ledger.end_run(request_id, run)
        return message("HTTP/1.1 200 OK", {**echo, "X-Response-Signature": self.id},
                       f"{request_id} at {self.service} of {len(body)} bytes".encode())

    async def _call(self, call, body):
        reader, writer = await asyncio.open_connection(HOST, self.announce_port)
        try:
            writer.write(message(f"POST /-/rpc?call=instances.{call}&of={self.id} HTTP/1.1", {"Host": "x"},
                                 json.dumps(body).encode()))
            return await asyncio.wait_for(read_message(reader), 2)
        finally:
            writer.close()

    async def _send_heartbeats(self):
        while True:
            self.sequence += 1
            heartbeat = {"Service": self.service, "Address": f"{HOST}:{self.port}", "Zone": "z", "Version": "v1",
                    "Slots": self.slots, "State": self.state, "ColdRemaining": "0ms", "Sequence": self.sequence,
                    "born": self.born}
            try:
                await self._call("heartbeat", heartbeat)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass  # the daemon is down; the next heartbeat registers the endpoint
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self):
        """Drains and deregisters; later than DRAIN_S after the acknowledgement no request may begin here."""
        self.state = "draining"
        try:
            await self._call("deregister", {})
            self.departed_at = time.monotonic()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass  # not acknowledged, so no guarantee applies


class Daemon:
    """One `endive_sidecar` process with its backend server. Other daemons reach it through the proxy."""

    def __init__(self, directory, ledger, store, proxy, name, service):
        self.directory, self.store, self.proxy = pathlib.Path(directory), store, proxy
        self.name, self.service = name, service
        self.backend = Backend(ledger, name, service)
        self.callers_port, self.peers_port, self.ready_port = free_port(HOST), free_port(HOST), free_port(HOST)
        self.announce_port = free_port(HOST)
        self.process = None
        self.log_path = self.directory / f"{name}.log"

    async def prepare(self, **more):
        self.backend.announce_port = self.announce_port
        await self.backend.start()
        settings = {
            "name": self.name, "service": self.service, "endpoint_address": f"{HOST}:{self.backend.port}",
            "failure_domain": "z", "heartbeat_interval": f"{int(HEARTBEAT_S * 1000)}ms",
            "callers_address": f"{HOST}:{self.callers_port}", "peers_address": f"{HOST}:{self.peers_port}",
            "advertised_peer_address": self.proxy.pair(self.name, f"{HOST}:{self.peers_port}"), "readiness_address": f"{HOST}:{self.ready_port}",
            "announcements_address": f"{HOST}:{self.announce_port}", "memory_mb": 64,
            "store_address": f"{HOST}:{await self.store.open_port(self.name)}", "stop_grace": "6000ms",
            "retry_slack": 60, **more}
        self.settings_path = self.directory / f"{self.name}.json"
        self.settings_path.write_text(json.dumps(settings))

    async def start(self):
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                BIN / "endive_sidecar", "--settings", self.settings_path, stdout=log, stderr=log,
                preexec_fn=die_with_parent)

    def signal(self, signum):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def stop(self, signum, timeout_s=12):
        """Sends the signal and waits. Raises TimeoutError if the process runs longer than `timeout_s`."""
        if signum == signal.SIGKILL and self.process is not None:
            self.backend.ledger.killed.add((self.name, self.process.pid))
        self.signal(signum)
        if signum == signal.SIGKILL:
            self.backend.ledger.on_disturbed(self.name)
        if self.process is not None:
            await asyncio.wait_for(self.process.wait(), timeout_s)

    async def close(self):
        self.signal(signal.SIGCONT)
        await self.stop(signal.SIGKILL)
        self.backend.crash()


def configuration(version, services):
    """A configuration with routes for each service and kind, and one path that only this version has."""
    kinds = {"safe": "/r/", "unsafe": "/w/", "upload": "/u/"}
    resources = [{"ResourceType": "Limits", "Metadata": {},
                  "Spec": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1_000_000, "HeaderTimeout": "3000ms",
                           "IdleTimeout": "15000ms"}}]
    for service in services:
        resources.append({"ResourceType": "Services", "Metadata": {"Name": service},
                          "Spec": {"HealthCheck": "/health", "MaxConnections": 100}})
        for kind, prefix in [*kinds.items(), ("safe", f"/v{version}/")]:
            resources.append({"ResourceType": "Routes", "Metadata": {"Name": f"{service}{prefix}"},
                              "Spec": {"Hostname": f"{service}.example", "Prefix": prefix, "RouteType": kind,
                                       "Timeout": "3000ms", "TargetLatency": "300ms", "Service": service,
                                       "MaxAttempts": MAX_ATTEMPTS if kind == "safe" else 1}})
    return {"Version": f"r{version}", "Resources": resources}


class World:
    """The daemons of two services and the metadata store."""

    def __init__(self, directory, daemons_per_service=3):
        self.directory = directory
        self.ledger = Ledger()
        self.services = ["a", "b"]
        self.daemons_per_service = daemons_per_service
        self.requests = 0
        self.version = 0

    async def __aenter__(self):
        self.store = Store()
        self.proxy = Proxy("fault_proxy", self.directory)
        self.daemons = [Daemon(self.directory, self.ledger, self.store, self.proxy, f"{service}{i}", service)
                        for service in self.services for i in range(self.daemons_per_service)]
        self.change_configuration()
        for daemon in self.daemons:
            await daemon.prepare()
            await daemon.start()
        return self

    async def __aexit__(self, *_):
        for daemon in self.daemons:
            await daemon.close()
        self.store.close()
        self.proxy.close()

    def change_configuration(self):
        self.version += 1
        self.store.put("op", "config", configuration(self.version, self.services))

    def make_request(self, kind, service, path=None, body=b"", allowed_ms=2000):
        """Returns the id and the bytes of a new request."""
        self.requests += 1
        request_id = f"q{self.requests}"
        self.ledger.kinds[request_id] = kind
        path = path or {"safe": "/r/1", "unsafe": "/w/1", "upload": "/u/1"}[kind]
        method = "GET" if kind == "safe" else "POST"
        return request_id, message(f"{method} {path} HTTP/1.1",
                                   {"Host": f"{service}.example", "X-Request-Id": request_id,
                                    "X-Request-Deadline": allowed_ms}, body)

    def check_answer(self, request_id, service, size, start_line, headers, body):
        status = int(start_line.split(" ")[1])
        self.ledger.on_answer(request_id, status)
        if status == 200:
            expected = f"{request_id} at {service} of {size} bytes"
            if body.decode() != expected or headers.get("x-request-id") != request_id:
                self.ledger.violations.append(f"{request_id} got {body[:80]!r} instead of {expected!r}")
        if status == 503 and "retry-after" not in headers:
            self.ledger.violations.append(f"{request_id} was refused without Retry-After")
        return status

    async def call(self, daemon, kind, service, path=None, body=b"", timeout_s=30, allowed_ms=2000):
        """Sends one request on a new connection; returns its status, or None without a complete response."""
        request_id, data = self.make_request(kind, service, path, body, allowed_ms)
        process = daemon.process
        try:
            reader, writer = await asyncio.open_connection(HOST, daemon.callers_port)
        except OSError:
            return None
        try:
            writer.write(data)
            answer = await asyncio.wait_for(read_message(reader), timeout_s)
            self.ledger.check_given_up(request_id, int(answer[0].split(" ")[1]), daemon.name)
            return self.check_answer(request_id, service, len(body), *answer)
        except asyncio.TimeoutError:
            self.ledger.violations.append(f"{request_id} had no answer from {daemon.name} within {timeout_s} s")
            return None
        except (OSError, asyncio.IncompleteReadError):
            self.ledger.check_unanswered(request_id, daemon.name, process.pid)
            return None
        finally:
            writer.close()

    async def wait_recovered(self, timeout_s=60):
        """Waits until each daemon serves each service and kind with the newest configuration."""
        deadline = time.monotonic() + timeout_s
        for daemon in self.daemons:
            for service in self.services:
                for kind, path in [("safe", None), ("unsafe", None), ("upload", None), ("safe", f"/v{self.version}/1")]:
                    status = None
                    while status != 200:
                        status = await self.call(daemon, kind, service, path, b"x" * 2000 if kind == "upload" else b"")
                        if time.monotonic() > deadline:
                            self.ledger.violations.append(
                                f"{daemon.name} (exit {daemon.process.returncode}) answers {status} to {kind} {path or ''} "
                                f"of {service} after {timeout_s} s")
                            return
                        await asyncio.sleep(0.05)
