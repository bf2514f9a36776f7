"""Clients that exceed the limits must not end a daemon: two real `endive_sidecar` processes with little memory and few
descriptors, a backend server with long answers, and a small crowd at the first daemon.

Each test checks what does not depend on the machine's speed: both processes live, their peak memory and open
descriptors stay under the bounds of their settings, and an ordinary request is answered 200 while the crowd is
connected and after it has left. The tests measure peak memory; run them without other tests beside them.
"""
import asyncio
import pathlib
import resource
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from integration.harness import die_with_parent  # noqa: E402
from soak import world as soak_world  # noqa: E402
from soak.world import HOST, Backend, Daemon, Ledger, Store, message, read_message  # noqa: E402

MEMORY_MB = 64
MAX_DESCRIPTORS = 256
ANSWER_BYTES = 2_000_000
MAX_BODY_BYTES = 4_000_000
CROWD_S = 5.0  # the crowd stays connected for at least this time
PATIENCE_S = 30.0  # for one ordinary request, and for the start
ROUTE_TIMEOUT_MS = 3000


class LongAnswers(Backend):
    """Answers `/r/long...` with many bytes, everything else with a few."""

    async def handle(self, start_line, headers, body):
        answer = await super().handle(start_line, headers, body)
        if answer is None or not answer.startswith(b"HTTP/1.1 200") or "/r/long" not in start_line:
            return answer
        return message("HTTP/1.1 200 OK", {"X-Request-Id": headers["x-request-id"]}, b"x" * ANSWER_BYTES)


class NoProxy:
    """Daemons reach each other without a proxy, which would buffer bytes itself."""

    @staticmethod
    def pair(_name, target):
        return target


class LimitedDaemon(Daemon):
    """A daemon process with few descriptors. Its peaks are sampled while it runs."""

    def __init__(self, directory, ledger, store, name, service):
        super().__init__(directory, ledger, store, NoProxy, name, service)
        self.backend = LongAnswers(ledger, name, service)
        self.most_descriptors = 0

    async def start(self):
        def limit_child():
            die_with_parent()
            resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))

        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                soak_world.BIN / "endive_sidecar", "--settings", self.settings_path, stdout=log, stderr=log,
                preexec_fn=limit_child)

    def is_running(self):
        return self.process.returncode is None

    def peak_mb(self):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0  # the process has ended

    def sample(self):
        if self.is_running():
            count = len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))
            self.most_descriptors = max(self.most_descriptors, count)


def configuration():
    result = soak_world.configuration(1, ["a", "b"])
    for entry in result["Resources"]:
        if entry["ResourceType"] == "Limits":
            entry["Spec"]["MaxBodyBytes"] = MAX_BODY_BYTES
    return result


class Site:
    """The two daemons, and the crowd's sockets, which are closed at the end."""

    def __init__(self, directory):
        self.directory = directory
        self.ledger = Ledger()
        self.sockets = []
        self.tasks = []
        self.requests = 0

    async def __aenter__(self):
        self.store = Store()
        self.store.put("op", "config", configuration())
        self.daemons = [LimitedDaemon(self.directory, self.ledger, self.store, f"{service}0", service)
                        for service in ("a", "b")]
        for daemon in self.daemons:
            await daemon.prepare(memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS)
            await daemon.start()
        self.tasks.append(asyncio.create_task(self._sample()))
        return self

    async def __aexit__(self, *_):
        self.leave()
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.close()
        self.store.close()

    async def _sample(self):
        while True:
            for daemon in self.daemons:
                daemon.sample()
            await asyncio.sleep(0.02)

    def head(self, method, path, **headers):
        self.requests += 1
        fields = {"Host": "b.example", "X-Request-Id": f"q{self.requests}", "X-Request-Deadline": ROUTE_TIMEOUT_MS,
                  **{name.replace("_", "-"): value for name, value in headers.items()}}
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def connect(self):
        """A connection of the crowd at the first daemon; null when there is none."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        client.connect_ex((HOST, self.daemons[0].callers_port))
        self.sockets.append(client)
        return client

    def leave(self):
        for client in self.sockets:
            client.close()
        self.sockets.clear()

    async def send(self, client, data):
        """Sends as much as the daemon reads, until the connection ends."""
        try:
            await asyncio.get_running_loop().sock_sendall(client, data)
        except OSError:
            pass  # the daemon has closed the connection

    def begin(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def read_slowly(self, pipelined, path="/r/long", bytes_per_s=0):
        """Sends requests for long answers at once and reads next to nothing of them."""
        client = self.connect()
        await self.send(client, b"".join(self.head("GET", path) for _ in range(pipelined)))
        while bytes_per_s > 0:
            await asyncio.sleep(1)
            try:
                client.recv(bytes_per_s)
            except BlockingIOError:
                pass
            except OSError:
                return

    async def connect_silent(self, count):
        """Opens connections beside those that send, after these have had a second."""
        await asyncio.sleep(1)
        for _ in range(count):
            self.connect()

    async def send_announced(self, size):
        """A body of `size` bytes with Content-Length, sent as far as it is read."""
        client = self.connect()
        await self.send(client, self.head("POST", "/u/1", Content_Length=size))
        await self.send(client, b"x" * size)

    async def send_chunked(self, size):
        client = self.connect()
        await self.send(client, self.head("POST", "/u/1", Transfer_Encoding="chunked"))
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        await self.send(client, chunk * (size // 0x10000))

    async def send_half_head(self):
        await self.send(self.connect(), self.head("GET", "/r/1", X_Filler="x" * 15_000)[:-200])

    async def send_half_body(self, size):
        """All but the last byte of a body inside the limit."""
        client = self.connect()
        await self.send(client, self.head("POST", "/u/1", Content_Length=size) + b"x" * (size - 1))

    async def ask(self):
        """Status of one ordinary request of a client that reads its answer; None without one."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, self.daemons[0].callers_port), 2)
            writer.write(self.head("GET", "/r/1"))
            start_line, _, _ = await asyncio.wait_for(read_message(reader), 5)
            return int(start_line.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def wait_served(self):
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            if await self.ask() == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def judge(self):
        """Lets the crowd stay, then checks the daemons; returns what broke."""
        await asyncio.sleep(CROWD_S)
        broken = []
        if not await self.wait_served():
            broken.append("no ordinary request was answered 200 beside the crowd")
        self.leave()
        if not await self.wait_served():
            broken.append("no ordinary request was answered 200 after the crowd had left")
        for daemon in self.daemons:
            peak = daemon.peak_mb()
            print(f"{daemon.name}: peak {peak:.0f} MB of {MEMORY_MB}, {daemon.most_descriptors} descriptors of "
                  f"{MAX_DESCRIPTORS}")
            if not daemon.is_running():
                broken.append(f"{daemon.name} ended: {daemon.process.returncode}")
            if peak >= MEMORY_MB:
                broken.append(f"{daemon.name} took {peak:.0f} MB of {MEMORY_MB}")
            if daemon.most_descriptors >= MAX_DESCRIPTORS:
                broken.append(f"{daemon.name} had {daemon.most_descriptors} descriptors open of {MAX_DESCRIPTORS}")
            if "accept_failed" in daemon.log_path.read_text():
                broken.append(f"{daemon.name} had no descriptor for a new connection")
        return broken + self.ledger.violations


def run(directory, crowd):
    async def play():
        async with Site(directory) as site:
            assert await site.wait_served(), "no ordinary request was answered before the crowd came"
            crowd(site)
            return await site.judge()

    assert asyncio.run(play()) == []


def test_slow_readers_of_pipelined_long_answers(tmp_path):
    """Guards against responses that are queued without bound for clients that read nothing or next to nothing."""
    def crowd(site):
        for index in range(40):
            site.begin(site.read_slowly(4, bytes_per_s=1000 * (index % 2)))

    run(tmp_path, crowd)


def test_slow_readers_at_the_own_endpoint(tmp_path):
    """The same where the daemon serves the requests with its own endpoint, without a peer link between."""
    def crowd(site):
        for _ in range(40):
            client = site.connect()
            requests = b"".join(site.head("GET", "/r/long", Host="a.example") for _ in range(4))
            site.begin(site.send(client, requests))

    run(tmp_path, crowd)


def test_bodies_over_the_limit(tmp_path):
    """Guards against bodies that are read faster than the memory limit is checked."""
    def crowd(site):
        for _ in range(100):
            site.begin(site.send_chunked(3 * MAX_BODY_BYTES))
        for _ in range(20):
            site.begin(site.send_announced(3 * MAX_BODY_BYTES))

    run(tmp_path, crowd)


def test_half_sent_heads_and_bodies(tmp_path):
    """Guards against incomplete requests that together take more memory than there is."""
    def crowd(site):
        for _ in range(40):
            site.begin(site.send_half_head())
            site.begin(site.send_half_body(MAX_BODY_BYTES - 1000))

    run(tmp_path, crowd)


def test_silent_connections_beyond_the_descriptors(tmp_path):
    """Guards against silent callers that take the descriptors which peers, endpoint and store need."""
    def crowd(site):
        for _ in range(400):
            site.connect()

    run(tmp_path, crowd)


def test_all_of_it_together(tmp_path):
    """Guards against limits that hold singly, but whose sum exceeds the memory."""
    def crowd(site):
        for index in range(30):
            site.begin(site.read_slowly(4, bytes_per_s=1000 * (index % 2)))
            site.begin(site.send_chunked(3 * MAX_BODY_BYTES))
            site.begin(site.send_half_head())
            site.begin(site.send_half_body(MAX_BODY_BYTES - 1000))
        site.begin(site.connect_silent(200))

    run(tmp_path, crowd)
