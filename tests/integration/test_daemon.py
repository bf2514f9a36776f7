"""Command line, settings and malformed input on the ports of a single daemon."""
import json
import random
import socket
import subprocess

import pytest

from harness import BIN, Fleet, http
from mesh import SCIACCA, start_mesh, status


def run_endived(*arguments):
    return subprocess.run([str(BIN / "endived"), *arguments], capture_output=True, text=True, timeout=20)


def test_help_and_version():
    assert run_endived("--version").stdout.startswith("endived ")
    assert "--settings" in run_endived("--help").stdout


@pytest.mark.parametrize("change, code", [({"nmae": "x"}, 2003), ({"peer_address": "nowhere"}, 2007),
                                          ({"drain_timeout_ms": -1}, 2006), ({"tokens": []}, 2005)])
def test_a_bad_setting_names_key_and_code(tmp_path, change, code):
    with Fleet() as fleet:
        settings = {**fleet.daemon_settings("d", "127.0.0.1:9"), **change}
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(settings))
    result = run_endived(f"--settings={file}")
    assert result.returncode == 3
    assert str(code) in result.stderr
    assert next(iter(change)) in result.stderr


def test_hostile_bytes_on_every_port_leave_the_daemon_serving():
    """Guards against crashes and stalls caused by malformed frames, malformed HTTP and idle connections."""
    generator = random.Random(5)
    with Fleet() as fleet:
        _, daemons, _ = start_mesh(fleet, 2)
        target = daemons[0]
        idle = []
        for address in (target.peer_address, target.caller_address, target.admin_address):
            host, port = address.rsplit(":", 1)
            for size in (1, 4, 100, 5000):
                with socket.create_connection((host, int(port)), timeout=5) as link:
                    link.sendall(generator.randbytes(size))
            with socket.create_connection((host, int(port)), timeout=5) as link:
                link.sendall(b"\xff\xff\xff\x7f" + b"x" * 1000)
            idle += [socket.create_connection((host, int(port)), timeout=5) for _ in range(10)]
        assert target.call("GET", "/bacheca/orari").status == 200
        assert status(target)["daemons_alive"] == 2
        for link in idle:
            link.close()
        assert target.running()


def test_a_submission_larger_than_the_limit_is_refused():
    with Fleet() as fleet:
        _, daemons, _ = start_mesh(fleet, 1)
        body = json.dumps(SCIACCA) + " " * (5 * 1024 * 1024)
        headers = {"authorization": "Bearer sciacca-token", "if-match": "1", "idempotency-key": "big"}
        answer = http("POST", daemons[0].admin_address, "/endive/v1/parts/sciacca", body, headers)
        assert answer.status == 413
        assert status(daemons[0])["active_version"] == 1
