"""Checks that each fault of the test tools takes effect, so that no test that uses one passes vacuously.

Delays are checked by the order of events: a fast request that starts later completes earlier.
"""
import concurrent.futures
import http.client
import http.server
import json
import os
import pathlib
import socket
import socketserver
import threading

import pytest

from harness import (Fleet, NO_RESPONSE, Process, http as send, http_connection, request, wait_until)

LONG_MS = 3000
ABSENT = {"If-None-Match": "*"}


@pytest.fixture
def fleet():
    with Fleet() as started:
        yield started


@pytest.fixture
def background():
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        yield pool


class Echo(socketserver.BaseRequestHandler):
    def handle(self):
        while data := self.request.recv(65536):
            self.request.sendall(data)


@pytest.fixture
def echo_address():
    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), Echo) as server:
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield f"127.0.0.1:{server.server_address[1]}"
        server.shutdown()


def connect(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=20)


def echoed(connection, data=b"ping"):
    connection.sendall(data)
    return read_exactly(connection, len(data)) == data


def read_exactly(connection, count):
    data = b""
    while len(data) < count:
        part = connection.recv(count - len(data))
        if not part:
            break
        data += part
    return data


def stays_silent(connection):
    connection.settimeout(0.3)
    try:
        return connection.recv(1) is None
    except socket.timeout:
        return True
    finally:
        connection.settimeout(20)


# ---- platform_stand_in -----------------------------------------------------------------------------------

def test_platform_enforces_preconditions(fleet):
    platform = fleet.platform()
    created = send("PUT", platform.address, "/rows/op/a%20b", "one", ABSENT)
    assert created.status == 201
    assert send("PUT", platform.address, "/rows/op/a%20b", "two", ABSENT).status == 412
    changed = send("PUT", platform.address, "/rows/op/a%20b", "two", {"If-Match": created.headers["etag"]})
    assert changed.status == 200
    assert send("DELETE", platform.address, "/rows/op/a%20b", headers={"If-Match": "\"0\""}).status == 412
    assert send("PUT", platform.address, "/rows/head", "no condition").status == 428
    rows = send("GET", platform.address, "/rows?prefix=op/").json()
    assert rows == [{"key": "op/a b", "value": "two", "etag": changed.headers["etag"]}]
    assert send("GET", platform.address, "/rows/absent").status == 404


def test_platform_refuses_by_kind_prefix_and_count(fleet):
    platform = fleet.platform()
    platform.faults({"kind": "refuse", "on": "writes", "prefix": "op/", "next": 1})
    assert send("GET", platform.address, "/rows/op/1").status == 404
    assert send("PUT", platform.address, "/rows/head", "v", ABSENT).status == 201
    assert send("PUT", platform.address, "/rows/op/1", "v", ABSENT).status == 503
    assert send("GET", platform.address, "/rows/op/1").status == 404
    assert send("PUT", platform.address, "/rows/op/1", "v", ABSENT).status == 201
    counts = platform.counts()
    assert (counts["reads"], counts["writes"], counts["faults"]["refuse"]) == (2, 3, 1)


def test_platform_loses_answers_after_the_write(fleet):
    platform = fleet.platform()
    platform.faults({"kind": "lose_answer", "on": "writes", "store": "rows", "next": 1})
    assert send("PUT", platform.address, "/objects/o", "v").status == 201
    with pytest.raises(NO_RESPONSE):
        send("PUT", platform.address, "/rows/head", "v", ABSENT)
    assert send("GET", platform.address, "/rows/head").body == b"v"


def test_platform_hangs_without_effect(fleet):
    platform = fleet.platform()
    platform.faults({"kind": "hang", "on": "writes"})
    with pytest.raises(NO_RESPONSE):
        send("PUT", platform.address, "/rows/head", "v", ABSENT, timeout=0.3)
    platform.faults()
    assert send("GET", platform.address, "/rows/head").status == 404


def test_platform_delays_only_requests_that_match_the_rule(fleet, background):
    platform = fleet.platform()
    platform.faults({"kind": "delay", "delay_ms": LONG_MS, "prefix": "slow"})
    slow = background.submit(send, "GET", platform.address, "/rows/slow")
    wait_until(lambda: platform.counts()["reads"] == 1, "slow request arrived")
    assert send("GET", platform.address, "/rows/fast").status == 404
    assert not slow.done()
    assert slow.result().status == 404


def test_platform_probability_follows_the_seed(fleet):
    platform = fleet.platform()

    def pattern(seed):
        platform.faults({"kind": "refuse", "probability": 0.5, "seed": seed})
        return [send("GET", platform.address, "/rows/head").status for _ in range(40)]
    first = pattern(1)
    assert set(first) == {404, 503}
    assert pattern(1) == first
    assert pattern(2) != first


@pytest.mark.parametrize("faults", [[{"kind": "bogus"}], [{"kind": "refuse", "unknown": 1}], [{"kind": 3}]])
def test_platform_rejects_malformed_rules(fleet, faults):
    platform = fleet.platform()
    assert send("PUT", platform.address, "/control", {"faults": faults}).status == 400
    assert send("GET", platform.address, "/rows/head").status == 404


# ---- backend_stand_in ------------------------------------------------------------------------------------

def test_backend_sheds_above_its_slots_and_records_only_executions(fleet, background):
    backend = fleet.backend(slots=1)
    backend.faults({"kind": "freeze"})
    held = background.submit(send, "POST", backend.address, "/pay", "x", {"endive-test-id": "held"})
    wait_until(lambda: backend.stats()["in_flight"] == 1, "first request executing")
    shed = send("POST", backend.address, "/pay", "x", {"endive-test-id": "shed"})
    assert (shed.status, shed.headers["endive-outcome"]) == (503, "not-run")
    assert backend.ledger("shed") == []
    assert [entry["state"] for entry in backend.ledger("held")] == ["running"]
    backend.faults()
    assert held.result().status == 200
    assert [entry["state"] for entry in backend.ledger("held")] == ["completed"]


def test_backend_cancels_at_the_deadline_and_on_disconnect(fleet, background):
    backend = fleet.backend()
    backend.faults({"kind": "slow", "factor": 1e6, "path_prefix": "/slow"})
    late = send("GET", backend.address, "/slow", headers={"endive-test-id": "late", "endive-timeout-ms": "50"})
    assert late.status == 504
    with pytest.raises(NO_RESPONSE):
        send("GET", backend.address, "/slow", headers={"endive-test-id": "gone"}, timeout=0.3)
    wait_until(lambda: backend.ledger("gone")[0]["state"] == "cancelled", "disconnect noticed")
    assert backend.ledger("late")[0]["state"] == "cancelled"
    expired = send("GET", backend.address, "/", headers={"endive-test-id": "past", "endive-timeout-ms": "0"})
    assert expired.headers["endive-outcome"] == "not-run"
    assert backend.ledger("past") == []


def test_backend_fails_at_the_seeded_rate_and_only_on_its_path(fleet):
    backend = fleet.backend()
    rule = {"kind": "fail", "rate": 0.5, "seed": 7, "status": 502, "path_prefix": "/bad"}

    def pattern():
        backend.faults(rule)
        return [send("GET", backend.address, "/bad").status for _ in range(30)]
    first = pattern()
    assert set(first) == {200, 502}
    assert pattern() == first
    assert {send("GET", backend.address, "/good").status for _ in range(10)} == {200}


def test_backend_fault_waits_for_its_delay(fleet):
    backend = fleet.backend()
    backend.faults({"kind": "fail", "after_ms": 3600000}, {"kind": "fail", "after_ms": 200, "path_prefix": "/b"})
    assert send("GET", backend.address, "/a").status == 200
    wait_until(lambda: send("GET", backend.address, "/b").status == 500, "fault active")
    assert send("GET", backend.address, "/a").status == 200


def test_backend_fault_above_a_concurrency(fleet, background):
    backend = fleet.backend()
    backend.faults({"kind": "fail", "above_concurrency": 1}, {"kind": "freeze", "path_prefix": "/held"})
    assert send("GET", backend.address, "/").status == 200
    held = background.submit(send, "GET", backend.address, "/held")
    wait_until(lambda: backend.stats()["in_flight"] == 1, "first request executing")
    assert send("GET", backend.address, "/").status == 500
    backend.faults()
    assert held.result().status == 200


def test_backend_cuts_responses_and_drops_them_after_execution(fleet):
    backend = fleet.backend()
    backend.faults({"kind": "cut", "next": 1})
    with pytest.raises(http.client.IncompleteRead):
        send("GET", backend.address, "/", headers={"endive-test-size": "100000"})
    backend.faults({"kind": "drop", "next": 1})
    with pytest.raises(NO_RESPONSE):
        send("POST", backend.address, "/", "x", {"endive-test-id": "dropped"})
    assert [entry["state"] for entry in backend.ledger("dropped")] == ["completed"]
    assert send("GET", backend.address, "/").status == 200


def test_backend_health_and_load_can_be_overridden_and_delayed(fleet):
    backend = fleet.backend()
    assert send("GET", backend.address, "/health").status == 200
    backend.faults({"kind": "fail"})
    assert send("GET", backend.address, "/health").status == 503
    backend.faults({"kind": "fail"}, health={"report": "ok"}, load={"report": 0.25})
    assert send("GET", backend.address, "/health").status == 200
    assert send("GET", backend.address, "/load").json()["load"] == 0.25
    backend.faults({"kind": "fail"}, health={"lag_ms": 3600000})
    assert send("GET", backend.address, "/health").status == 200


def test_backend_cold_start_slows_the_first_requests_only(fleet):
    headers = {"endive-timeout-ms": "100"}
    cold = fleet.backend(cold_start_ms=3600000, cold_start_slowdown=1e5)
    assert send("GET", cold.address, "/", headers=headers).status == 504
    warming = fleet.backend(cold_start_ms=300, cold_start_slowdown=1e5)
    wait_until(lambda: send("GET", warming.address, "/", headers=headers).status == 200, "cold start over")


class Admin(http.server.BaseHTTPRequestHandler):
    announced = []

    def do_PUT(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.announced.append((self.path, json.loads(body)))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


def test_backend_announces_itself_drains_and_finishes_its_work(fleet, background):
    Admin.announced = announced = []
    with http.server.ThreadingHTTPServer(("127.0.0.1", 0), Admin) as admin:
        threading.Thread(target=admin.serve_forever, daemon=True).start()
        backend = fleet.backend("kin-portal", "v2", announce=f"127.0.0.1:{admin.server_address[1]}", drain_ms=0)
        wait_until(lambda: len(announced) >= 2, "announcement repeated")
        assert announced[0] == ("/endive/v1/endpoint", {
            "address": backend.address, "service": "kin-portal", "version": "v2", "slots": 12,
            "connections": 120, "state": "serving"})
        backend.faults({"kind": "freeze", "path_prefix": "/held"})
        held = background.submit(send, "GET", backend.address, "/held")
        wait_until(lambda: backend.stats()["in_flight"] == 1, "request executing")
        backend.terminate()
        wait_until(lambda: announced[-1][1]["state"] == "draining", "draining announced")
        assert send("GET", backend.address, "/new").headers["endive-outcome"] == "not-run"
        backend.faults()
        assert held.result().status == 200
        assert backend.wait_exit() == 0
        assert announced[-1][1]["state"] == "leaving"
        admin.shutdown()


# ---- fault_proxy -----------------------------------------------------------------------------------------

def test_proxy_silence_hits_existing_connections_only(fleet, echo_address):
    proxy = fleet.proxy()
    address = proxy.pair("a", echo_address)
    old = connect(address)
    assert echoed(old)
    proxy.silence("a")
    old.sendall(b"lost")
    assert stays_silent(old)
    assert echoed(connect(address))
    proxy.change("a", to_target={"hold": False}, to_client={"hold": False})
    assert stays_silent(old)


def test_proxy_silence_of_one_direction(fleet, echo_address):
    proxy = fleet.proxy()
    connection = connect(proxy.pair("a", echo_address))
    assert echoed(connection)
    proxy.change("a", to_client={"silence": True})
    connection.sendall(b"more")
    wait_until(lambda: proxy.connections("a")[0]["to_target_bytes"] == 8, "bytes reached the target")
    assert stays_silent(connection)


def test_proxy_holds_one_connection_back_while_others_continue(fleet, echo_address):
    proxy = fleet.proxy()
    address = proxy.pair("a", echo_address)
    first, second = connect(address), connect(address)
    assert echoed(first) and echoed(second)
    held = min(link["id"] for link in proxy.connections("a"))
    proxy.change(connection=held, to_client={"hold": True})
    first.sendall(b"one")
    assert echoed(second, b"two")
    assert stays_silent(first)
    proxy.change(connection=held, to_client={"hold": False})
    assert read_exactly(first, 3) == b"one"


@pytest.mark.parametrize("direction", ["to_target", "to_client"])
def test_proxy_delay_acts_on_its_pair(fleet, echo_address, direction):
    proxy = fleet.proxy()
    slow, fast = connect(proxy.pair("slow", echo_address)), connect(proxy.pair("fast", echo_address))
    proxy.change("slow", **{direction: {"delay_ms": LONG_MS}})
    slow.sendall(b"one")
    assert echoed(fast, b"two")
    assert stays_silent(slow)
    assert read_exactly(slow, 3) == b"one"


def test_proxy_throttle_ends_when_it_is_cleared(fleet, echo_address):
    proxy = fleet.proxy()
    connection = connect(proxy.pair("a", echo_address))
    proxy.change("a", to_client={"bytes_per_second": 1000})
    data = os.urandom(200000)
    connection.sendall(data)
    start = read_exactly(connection, 10)
    assert proxy.connections("a")[0]["to_client_bytes"] < len(data)
    proxy.change("a", to_client={"bytes_per_second": 0})
    assert start + read_exactly(connection, len(data) - 10) == data


def test_proxy_cuts_with_a_reset(fleet, echo_address):
    proxy = fleet.proxy()
    address = proxy.pair("a", echo_address)
    connection = connect(address)
    assert echoed(connection)
    proxy.cut("a")
    with pytest.raises(ConnectionResetError):
        connection.recv(1)
    assert echoed(connect(address))
    proxy.change("a", to_client={"cut_after_bytes": 5})
    truncated = connect(address)
    truncated.sendall(b"0123456789")
    with pytest.raises(ConnectionResetError):
        assert read_exactly(truncated, 5) == b"01234"
        truncated.recv(1)


def test_proxy_refuses_new_connections_and_keeps_old_ones(fleet, echo_address):
    proxy = fleet.proxy()
    address = proxy.pair("a", echo_address)
    old = connect(address)
    assert echoed(old)
    proxy.change("a", refuse_new=True)
    with pytest.raises(ConnectionRefusedError):
        connect(address)
    assert echoed(old)
    proxy.change("a", refuse_new=False)
    assert echoed(connect(address))


def test_proxy_carries_hundreds_of_connections_and_forwards_the_half_close(fleet, echo_address):
    proxy = fleet.proxy()
    address = proxy.pair("a", echo_address)
    connections = [connect(address) for _ in range(300)]
    assert all(echoed(connection, b"x%d" % index) for index, connection in enumerate(connections))
    for connection in connections:
        connection.shutdown(socket.SHUT_WR)
    assert all(connection.recv(1) == b"" for connection in connections)
    wait_until(lambda: proxy.connections("a") == [], "connections removed")


# ---- load_gen --------------------------------------------------------------------------------------------

def test_load_reports_each_request_and_matches_the_ledger(fleet):
    backend = fleet.backend()
    backend.faults({"kind": "fail", "next": 3, "status": 502, "path_prefix": "/a"},
                   {"kind": "cut", "next": 2, "path_prefix": "/b"})
    process = fleet.load([backend.address], rate=200, duration_s=0.5, connections=4, method="POST",
                         body_size=50, response_size=5000, idempotency_keys="true", paths="/a,/b")
    summary, records = fleet.load_result(process)
    assert summary["requests"] == 100
    assert summary["by_status"] == {"0": 2, "200": 95, "502": 3}
    assert (summary["valid"], summary["invalid"]) == (98, 0)
    assert sum(summary["errors"].values()) == 2
    ledger = backend.ledger()
    assert sorted(entry["id"] for entry in ledger) == sorted(record["id"] for record in records)
    assert len({entry["idempotency_key"] for entry in ledger}) == 100


def test_load_counts_outcomes_and_latency_from_the_intended_time(fleet):
    backend = fleet.backend(slots=1, service_time_ms=50)
    shedding = fleet.load([backend.address], rate=100, duration_s=0.5, connections=8)
    summary, _ = fleet.load_result(shedding)
    assert summary["by_outcome"] == {"not-run": summary["by_status"]["503"]}
    # 40 sequential executions of at least 50 ms each; the last was scheduled 390 ms after the first. Measured
    # from the actual send time, each latency would be close to 50 ms.
    queueing = fleet.load([backend.address], rate=100, duration_s=0.4, connections=1)
    _, records = fleet.load_result(queueing)
    assert records[-1]["latency_ms"] >= 40 * 50 - 390


class WrongResponse(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # XXH64 of the empty string: request and response both have an empty body.
    correct_headers = {"endive-test-checksum": "ef46db3751d8e999", "endive-test-request-digest": "ef46db3751d8e999"}
    wrong_headers = {}

    def do_GET(self):
        self.send_response(200)
        headers = {"endive-test-id": self.headers["endive-test-id"], "Content-Length": "0", **self.correct_headers}
        for name, value in {**headers, **self.wrong_headers}.items():
            self.send_header(name, value)
        self.end_headers()

    def log_message(self, *arguments):
        pass


@pytest.mark.parametrize("header", [None, "endive-test-id", "endive-test-checksum",
                                    "endive-test-request-digest"])
def test_load_detects_responses_of_another_request(fleet, header):
    WrongResponse.wrong_headers = {header: "0000000000000000"} if header else {}
    with http.server.ThreadingHTTPServer(("127.0.0.1", 0), WrongResponse) as server:
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        load = fleet.load([f"127.0.0.1:{server.server_address[1]}"], rate=50, duration_s=0.2, connections=2)
        summary, _ = fleet.load_result(load)
        server.shutdown()
    assert (summary["valid"], summary["invalid"]) == ((0, 10) if header else (10, 0))


# ---- harness ---------------------------------------------------------------------------------------------

def test_pause_and_resume_act_on_the_process(fleet, background):
    backend = fleet.backend()
    backend.pause()
    waiting = background.submit(send, "GET", backend.address, "/")
    with pytest.raises(NO_RESPONSE):
        send("GET", backend.address, "/", timeout=0.3)
    assert not waiting.done()
    backend.resume()
    assert waiting.result().status == 200


def test_keep_alive_connection_carries_several_requests(fleet):
    backend = fleet.backend()
    host, port = backend.address.split(":")
    connection = http_connection(host, int(port))
    assert [request(connection, "GET", "/").status for _ in range(3)] == [200, 200, 200]


def test_fleet_ends_its_processes_after_a_failure(capsys):
    with pytest.raises(RuntimeError):
        with Fleet() as fleet:
            processes = [fleet.platform(), fleet.backend()]
            processes[0].pause()
            raise RuntimeError
    assert not any(pathlib.Path(f"/proc/{process.pid}").exists() for process in processes)
    assert "log of platform" in capsys.readouterr().out


@pytest.mark.parametrize("tool", ["platform_stand_in", "backend_stand_in", "fault_proxy", "load_gen"])
def test_tools_print_version_and_refuse_unknown_flags(fleet, tool):
    assert Process("version", [tool, "--version"], fleet.folder).output().strip()
    bad = Process("bad", [tool, "--no_such_flag=1"], fleet.folder)
    assert bad.wait_exit() != 0
