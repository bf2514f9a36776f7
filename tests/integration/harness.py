"""Runs the programs of the project on loopback for integration tests and ends them after each test.

    with Fleet() as fleet:
        platform = fleet.platform()
        daemon = fleet.daemon("d1", platform, failure_domain="a", region="r")
        backend = fleet.backend("kin-portal", announce=daemon.admin_address)
        daemon.wait_ready()
        answer = http("GET", daemon.caller_address, "/balance")

Programs that choose their own port print it; `endived` reads its ports from its settings file.
"""
import contextlib
import ctypes
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import tempfile
import time
from http import client as http_client

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = ROOT / os.environ.get("BUILD_DIR", "build") / "bin"
# Timeout for conditions that normally hold within milliseconds; long because the machine may be busy.
WAIT_S = 20.0
POLL_S = 0.02
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


def die_with_parent():
    """Runs in the child: makes the kernel kill it when the test process dies, even by SIGKILL."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Response:
    """A complete HTTP response. Header names are lower-case."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    def json(self):
        return json.loads(self.body)

    def __repr__(self):
        return f"Response({self.status}, {self.headers}, {self.body[:200]!r})"


def http(method, address, path, body=None, headers=None, timeout=WAIT_S):
    """Sends one request on a new connection. Raises one of NO_RESPONSE without a complete response."""
    host, port = address.rsplit(":", 1)
    connection = http_connection(host, int(port), timeout)
    with contextlib.closing(connection):
        return request(connection, method, path, body, headers)


def http_connection(host, port, timeout=WAIT_S):
    return http_client.HTTPConnection(host, port, timeout=timeout)


def request(connection, method, path, body=None, headers=None):
    """Sends one request on an open connection, which stays open."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    connection.request(method, path, body=body, headers=headers or {})
    response = connection.getresponse()
    return Response(response.status, response.getheaders(), response.read())


NO_RESPONSE = (OSError, http_client.HTTPException)


def wait_until(condition, what, timeout=WAIT_S):
    """Polls until `condition()` is truthy and returns its value. NO_RESPONSE errors count as not yet true."""
    end = time.monotonic() + timeout
    last_error = None
    while time.monotonic() < end:
        try:
            value = condition()
            if value:
                return value
        except NO_RESPONSE as failure:
            last_error = failure
        time.sleep(POLL_S)
    raise AssertionError(f"not within {timeout} s: {what} (last error: {last_error!r})")


_assigned_ports = set()


def free_port(host="127.0.0.1"):
    """Returns a port that was recently free and that this process has not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        if port not in _assigned_ports:
            _assigned_ports.add(port)
            return port


class Process:
    """One running program. `log` is the file of its standard error.

    Start it from the main thread: the kernel kills the child when the thread that started it ends.
    """

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = pathlib.Path(folder) / f"{name}.log"
        self._log_file = self.log.open("ab")
        program = BIN / arguments[0]
        self._child = subprocess.Popen([str(program), *arguments[1:]], stdout=subprocess.PIPE,
                                       stderr=self._log_file, preexec_fn=die_with_parent)
        self.pid = self._child.pid

    def first_line(self):
        """Returns the JSON object that the program prints once its ports are open."""
        ready, _, _ = select.select([self._child.stdout], [], [], WAIT_S)
        line = self._child.stdout.readline() if ready else b""
        if not line:
            raise AssertionError(f"{self.name} printed no first line; log: {self.log_text()}")
        return json.loads(line)

    def output(self):
        """Waits for the exit and returns the rest of standard output."""
        return self._child.communicate(timeout=10 * WAIT_S)[0].decode()

    def signal(self, number):
        os.kill(self.pid, number)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self):
        """Requests a planned stop with SIGTERM; `wait_exit` waits for the exit."""
        self.signal(signal.SIGTERM)

    def kill(self):
        """Sends SIGKILL and waits for the exit."""
        if self.running():
            self.signal(signal.SIGKILL)
        self.wait_exit()

    def running(self):
        return self._child.poll() is None

    def wait_exit(self, timeout=WAIT_S):
        return self._child.wait(timeout)

    def log_text(self):
        return self.log.read_text(errors="replace")

    def log_events(self):
        """Returns the JSON lines of the log."""
        events = []
        for line in self.log_text().splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def close(self):
        if self.running():
            self.signal(signal.SIGKILL)
        self._child.wait()
        self._child.stdout.close()
        self._log_file.close()


class Platform(Process):
    def __init__(self, name, folder, *flags):
        super().__init__(name, ["platform_stand_in", *flags], folder)
        self.address = f"127.0.0.1:{self.first_line()['port']}"

    def faults(self, *rules):
        """Replaces the fault rules; without arguments, removes them all."""
        answer = http("PUT", self.address, "/control", {"faults": list(rules)})
        assert answer.status == 200, answer

    def counts(self):
        return http("GET", self.address, "/control").json()


class Backend(Process):
    def __init__(self, name, folder, *flags):
        super().__init__(name, ["backend_stand_in", *flags], folder)
        self.address = f"127.0.0.1:{self.first_line()['port']}"

    def faults(self, *rules, health=None, load=None):
        """Replaces the fault rules and the overrides of `/health` and `/load`."""
        body = {"faults": list(rules), "health": health or {}, "load": load or {}}
        answer = http("PUT", self.address, "/test/faults", body)
        assert answer.status == 200, answer

    def ledger(self, request_id=""):
        return http("GET", self.address, f"/test/ledger?id={request_id}").json()["entries"]

    def stats(self):
        return http("GET", self.address, "/test/stats").json()


class Proxy(Process):
    def __init__(self, name, folder):
        super().__init__(name, ["fault_proxy"], folder)
        self.control_address = f"127.0.0.1:{self.first_line()['port']}"

    def pair(self, name, target, port=0):
        """Opens a listening port for the target, or retargets an existing pair; returns its address."""
        answer = http("PUT", self.control_address, f"/pairs/{name}", {"port": port, "target": target})
        assert answer.status == 200, answer
        return f"127.0.0.1:{answer.json()['port']}"

    def change(self, pair="", **faults):
        answer = http("PUT", self.control_address, "/control", {"pair": pair, **faults})
        assert answer.status == 200, answer

    def state(self):
        return http("GET", self.control_address, "/control").json()

    def connections(self, pair):
        return [link for link in self.state()["connections"] if link["pair"] == pair]

    def silence(self, pair=""):
        """Silences existing connections permanently in both directions; new connections work."""
        self.change(pair, to_target={"silence": True}, to_client={"silence": True})

    def cut(self, pair=""):
        self.change(pair, to_target={"cut": True}, to_client={"cut": True})

    def partition(self, pair="", on=True):
        """Holds all bytes back and refuses new connections while `on`."""
        self.change(pair, to_target={"hold": on}, to_client={"hold": on}, refuse_new=on)


class Daemon(Process):
    """An `endived` process. A restart with the same settings uses the same ports."""

    def __init__(self, settings, folder, run):
        self.settings = settings
        self.caller_address = settings["caller_address"]
        self.admin_address = settings["admin_address"]
        self.peer_address = settings["peer_address"]
        name = settings["name"]
        file = pathlib.Path(folder) / f"{name}.json"
        file.write_text(json.dumps(settings))
        super().__init__(f"{name}.{run}" if run else name, ["endived", f"--settings={file}"], folder)

    def ready(self):
        return http("GET", self.admin_address, "/readyz", timeout=2).status == 200

    def wait_ready(self, timeout=WAIT_S):
        def check():
            assert self.running(), f"{self.name} exited; log: {self.log_text()[-2000:]}"
            return self.ready()
        wait_until(check, f"{self.name} ready", timeout)

    def admin(self, method, path, body=None, headers=None, timeout=WAIT_S):
        return http(method, self.admin_address, path, body, headers, timeout)

    def call(self, method, path, body=None, headers=None, timeout=WAIT_S):
        return http(method, self.caller_address, path, body, headers, timeout)


class Fleet:
    """All processes of one test. Leaving the `with` block kills them, also after an exception."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory(prefix="endive-test-")
        self.folder = self._folder.name
        self.processes = []
        self._runs = {}

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        for process in reversed(self.processes):
            process.close()
        self._folder.cleanup()

    def print_logs(self):
        """Prints the end of each log; pytest shows it for a failed test."""
        for process in self.processes:
            print(f"--- log of {process.name} (pid {process.pid})\n{process.log_text()[-4000:]}")

    def _name(self, base):
        count = self._runs[base] = self._runs.get(base, 0) + 1
        return base if count == 1 else f"{base}-{count}"

    def _add(self, process):
        self.processes.append(process)
        return process

    def platform(self, *flags):
        return self._add(Platform(self._name("platform"), self.folder, *flags))

    def backend(self, service="service", version="v1", **settings):
        """Starts backend_stand_in. Keyword arguments are its flags, such as slots or service_time_ms."""
        flags = [f"--{key}={value}" for key, value in settings.items()]
        return self._add(Backend(self._name(f"backend-{service}"), self.folder, f"--service={service}",
                                 f"--service_version={version}", *flags))

    def proxy(self):
        return self._add(Proxy(self._name("proxy"), self.folder))

    def daemon_settings(self, name, platform_address, failure_domain="a", region="r", seeds=(), **more):
        """Returns settings of a daemon with free ports, to be adapted before `start_daemon`."""
        def address():
            return f"127.0.0.1:{free_port()}"
        return {"name": name, "failure_domain": failure_domain, "region": region,
                "caller_address": address(), "admin_address": address(), "peer_address": address(),
                "platform_address": platform_address, "seeds": list(seeds), "tokens": {},
                "log_level": "info", **more}

    def start_daemon(self, settings):
        """Starts `endived`. A second start with the same settings is a restart on the same ports."""
        run = self._runs[settings["name"]] = self._runs.get(settings["name"], 0) + 1
        return self._add(Daemon(settings, self.folder, run if run > 1 else 0))

    def daemon(self, name, platform, **more):
        return self.start_daemon(self.daemon_settings(name, platform.address, **more))

    def load(self, targets, **flags):
        """Starts load_gen; `load_result` waits for its exit."""
        name = self._name("load")
        output = pathlib.Path(self.folder) / f"{name}.jsonl"
        arguments = ["load_gen", f"--targets={','.join(targets)}", f"--output={output}"]
        arguments += [f"--{key}={value}" for key, value in flags.items()]
        process = self._add(Process(name, arguments, self.folder))
        process.records_file = output
        return process

    def load_result(self, process):
        """Returns the summary of a load and its records, one for each request."""
        text = process.output()
        assert process.wait_exit() == 0, process.log_text()
        records = [json.loads(line) for line in process.records_file.read_text().splitlines()]
        return json.loads(text), records
