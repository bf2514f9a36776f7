"""Runs endivectl against a scripted daemon and checks exit codes, requests and output."""
import http.server
import json
import os
import pathlib
import socket
import subprocess
import threading

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
CTL = ROOT / os.environ.get("BUILD_DIR", "build") / "bin" / "endivectl"
SCIACCA = ROOT / "examples" / "sciacca" / "answers.json"
BAD = ROOT / "tests" / "data" / "bad_answers"
MOVE = {"id": "bacheca:v2", "team": "sciacca", "service": "bacheca", "from": "v1", "to": "v2",
        "state": "canary", "share": 0.01, "row_version": 4, "reason": "", "started": "2035-05-01T00:00:00.000Z",
        "changed": None, "deadline": "2035-05-04T03:30:00.000Z", "finished": None,
        "evidence": [{"route": "read-schedules", "version": "v2", "requests": 120, "failures": 3, "slow": 7}]}


class Daemon:
    """Answers each (method, path) with a scripted (status, body) and records the requests."""

    def __init__(self):
        self.answers = {}
        self.requests = []
        daemon = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def answer(self):
                body = self.rfile.read(int(self.headers.get("content-length") or 0))
                daemon.requests.append((self.command, self.path, dict(self.headers.items()), body))
                status, answer = daemon.answers.get((self.command, self.path), (500, None))
                if status is None:  # closes the connection without a response
                    self.close_connection = True
                    return
                data = b"not JSON" if answer is None else json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("content-length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = answer

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


@pytest.fixture
def daemon():
    started = Daemon()
    yield started
    started.server.shutdown()
    started.server.server_close()


@pytest.fixture
def token(tmp_path):
    path = tmp_path / "token"
    path.write_text("secret-token\n")
    return path


def ctl(*arguments):
    return subprocess.run([str(CTL), *map(str, arguments)], capture_output=True, text=True, timeout=60, check=False)


def remote(daemon, token, *arguments):
    address = daemon if isinstance(daemon, str) else daemon.address
    return ctl("--daemon=" + address, "--token-file=%s" % token, *arguments)


def failure(code, name, **fields):
    return {"code": code, "name": name, "message": "refused", "place": "here", **fields}


def closed_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


def test_check_and_generate_work_offline_and_are_deterministic(tmp_path):
    assert ctl("check", SCIACCA).returncode == 0
    first, second = ctl("generate", SCIACCA), ctl("generate", SCIACCA)
    assert first.returncode == 0 and first.stdout == second.stdout
    out = tmp_path / "part.json"
    assert ctl("generate", SCIACCA, "--out=%s" % out).returncode == 0
    assert out.read_text() == first.stdout


def test_each_bad_file_is_rejected_with_one_error_and_nothing_is_written(tmp_path):
    out = tmp_path / "part.json"
    for entry in json.loads((BAD / "index.json").read_text()):
        result = ctl("--json", "generate", BAD / entry["file"], "--out=%s" % out)
        assert result.returncode == 2, entry
        error = json.loads(result.stdout)
        assert (error["name"], error["place"]) == (entry["code"], entry["place"])
    assert list(tmp_path.iterdir()) == []


def test_unreadable_and_too_large_files_are_rejected(tmp_path):
    assert ctl("check", tmp_path / "absent.json").returncode == 2
    assert "answers_unreadable" in ctl("check", tmp_path).stderr
    large = tmp_path / "large.json"
    with open(large, "wb") as file:
        file.truncate(50_000_000)
    assert "answers_too_large" in ctl("check", large).stderr


def test_usage_errors_exit_with_1(daemon, token):
    for arguments in ([], ["nonsense"], ["check"], ["check", "a", "b"], ["--no-such-flag", "status"], ["move"],
                      ["move", "stop", "x"], ["status"], ["status", "--daemon=localhost:1", "--token-file=x"]):
        assert ctl(*arguments).returncode == 1, arguments
    assert remote(daemon, token, "move", "extend", "bacheca:v2").returncode == 1
    assert remote(daemon, token, "submit", SCIACCA, "--if-match=x").returncode == 1
    assert remote(daemon, "/absent", "status").returncode == 1
    assert daemon.requests == []


def test_help_and_version():
    assert "take-back ID" in ctl("--help").stdout
    assert ctl("--version").stdout.startswith("endivectl 0.")


def test_submit_sends_the_bytes_with_precondition_key_and_token(daemon, token):
    daemon.answers = {("GET", "/endive/v1/parts/sciacca"): (200, {"changed_at_version": 7, "part": None}),
                      ("POST", "/endive/v1/parts/sciacca"): (200, {"version": 9, "changed": True})}
    result = remote(daemon, token, "submit", SCIACCA)
    assert result.returncode == 0 and "configuration version 9" in result.stdout
    _, _, headers, body = daemon.requests[1]
    lower = {name.lower(): value for name, value in headers.items()}
    assert body == SCIACCA.read_bytes()
    assert lower["if-match"] == '"7"' and lower["authorization"] == "Bearer secret-token"
    remote(daemon, token, "submit", SCIACCA)
    again = {name.lower(): value for name, value in daemon.requests[3][2].items()}
    assert again["idempotency-key"] == lower["idempotency-key"]
    remote(daemon, token, "submit", SCIACCA, "--if-match=8")
    other = {name.lower(): value for name, value in daemon.requests[4][2].items()}
    assert other["if-match"] == '"8"' and other["idempotency-key"] != lower["idempotency-key"]


def test_a_bad_file_is_not_submitted(daemon, token):
    assert remote(daemon, token, "submit", BAD / "weights_sum.json").returncode == 2
    assert daemon.requests == []


@pytest.mark.parametrize("status, code, name, expected", [
    (422, 1012, "answers_absent_service", 2), (422, 1107, "snapshot_conflicting_routes", 2),
    (412, 4001, "submit_conflict", 3), (401, 4002, "submit_unauthorized", 4), (403, 4003, "submit_wrong_team", 4),
    (503, 4005, "not_ready", 5), (503, 3001, "platform_unavailable", 5), (404, 4008, "admin_not_found", 6),
    (409, 6003, "move_wrong_state", 7), (503, 3006, "platform_outcome_unknown", 8), (500, 1, "internal", 9)])
def test_exit_code_of_each_kind_of_error(daemon, token, status, code, name, expected):
    daemon.answers = {("GET", "/endive/v1/status"): (status, failure(code, name, current_version=12))}
    result = remote(daemon, token, "status")
    assert result.returncode == expected
    assert name in result.stderr and "current version: 12" in result.stderr and result.stdout == ""
    assert json.loads(remote(daemon, token, "--json", "status").stdout)["code"] == code


def test_an_answer_that_is_not_json_is_an_internal_error(daemon, token):
    for status in (200, 500):
        daemon.answers = {("GET", "/endive/v1/status"): (status, None)}
        assert remote(daemon, token, "status").returncode == 9


def test_the_next_daemon_is_tried_when_one_is_down_or_not_ready(daemon, token):
    other = Daemon()
    daemon.answers = {("GET", "/endive/v1/report"): (503, failure(4005, "not_ready"))}
    other.answers = {("GET", "/endive/v1/report"): (200, {"version": 3, "teams": [], "moves": [MOVE]})}
    addresses = ",".join([closed_port(), daemon.address, other.address])
    result = remote(addresses, token, "report")
    assert result.returncode == 0 and "bacheca:v2" in result.stdout
    assert len(daemon.requests) == 1
    other.server.shutdown()
    other.server.server_close()
    result = remote(closed_port(), token, "report")
    assert result.returncode == 5 and "admin_unreachable" in result.stderr


def test_a_move_action_without_an_answer_is_not_repeated_at_another_daemon(daemon, token):
    other = Daemon()
    daemon.answers = {("POST", "/endive/v1/moves/bacheca%3Av2/pause"): (None, None)}
    result = remote(daemon.address + "," + other.address, token, "move", "pause", "bacheca:v2", "--if-match=4")
    assert result.returncode == 8 and other.requests == []
    daemon.answers = {("POST", "/endive/v1/moves/bacheca%3Av2/pause"): (503, failure(3006, "platform_outcome_unknown"))}
    result = remote(daemon.address + "," + other.address, token, "move", "pause", "bacheca:v2", "--if-match=4")
    assert result.returncode == 8 and other.requests == []
    other.server.shutdown()
    other.server.server_close()


def test_moves_show_state_share_evidence_and_times(daemon, token):
    daemon.answers = {("GET", "/endive/v1/moves"): (200, {"moves": [MOVE]})}
    listed = remote(daemon, token, "move", "list").stdout
    for text in ("canary", "1.0%", "120 requests, 3 failed, 7 slow", "2035-05-04T03:30:00.000Z"):
        assert text in listed
    assert "read-schedules" in remote(daemon, token, "move", "show", "bacheca:v2").stdout
    assert json.loads(remote(daemon, token, "--json", "move", "show", "bacheca:v2").stdout) == MOVE
    assert remote(daemon, token, "move", "show", "other:v2").returncode == 6


def test_move_actions_send_their_precondition(daemon, token):
    base = "/endive/v1/moves/bacheca%3Av2/"
    daemon.answers = {("GET", "/endive/v1/moves"): (200, {"moves": [MOVE]}),
                      **{("POST", base + name): (200, MOVE) for name in ("resume", "extend", "take-back")}}
    assert remote(daemon, token, "move", "resume", "bacheca:v2").returncode == 0
    deadline = "2035-06-01T00:00:00Z"
    assert remote(daemon, token, "move", "extend", "bacheca:v2", "--deadline=" + deadline).returncode == 0
    assert remote(daemon, token, "take-back", "bacheca:v2").returncode == 0
    sent = [({k.lower(): v for k, v in r[2].items()}["if-match"], r[1][len(base):], json.loads(r[3]))
            for r in daemon.requests if r[0] == "POST"]
    assert sent == [('"4"', "resume", {}), ('"4"', "extend", {"deadline": deadline}), ("*", "take-back", {})]


def test_diff_exits_with_10_when_answers_and_accepted_part_differ(daemon, token):
    part = json.loads(ctl("generate", SCIACCA).stdout)
    daemon.answers = {("GET", "/endive/v1/parts/sciacca"): (200, {"changed_at_version": 7, "part": part})}
    assert remote(daemon, token, "diff", SCIACCA).returncode == 0
    part["services"][0]["endpoints"] = 9
    result = remote(daemon, token, "diff", SCIACCA)
    assert result.returncode == 10 and "changed service archivio-gruppi" in result.stdout
    changes = json.loads(remote(daemon, token, "--json", "diff", SCIACCA).stdout)["changes"]
    assert [c["resource"] for c in changes] == ["service archivio-gruppi"]
