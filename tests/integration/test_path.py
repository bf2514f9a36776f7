"""The whole path with real processes: answers, acceptance, distribution, calls."""
import json
import pathlib

from harness import Fleet, http, wait_until

ROOT = pathlib.Path(__file__).resolve().parents[2]
SCIACCA = (ROOT / "examples/sciacca/answers.json").read_bytes()
TOKEN = "sciacca-token"


def submit(daemon, body=SCIACCA, team="sciacca", version=0, key="submit-1", token=TOKEN):
    headers = {"authorization": f"Bearer {token}", "if-match": str(version), "idempotency-key": key}
    return daemon.admin("POST", f"/endive/v1/parts/{team}", body, headers)


def status(daemon):
    answer = daemon.admin("GET", "/endive/v1/status", headers={"authorization": f"Bearer {TOKEN}"})
    assert answer.status == 200, answer
    return answer.json()


def start_fleet(fleet, count=3, service="bacheca", **more):
    """One daemon and one backend server for each of `count` VMs."""
    platform = fleet.platform()
    domains = ["sciacca-porto", "monte-kronio", "menfi-deposito"]
    daemons = [fleet.daemon(f"d{i}", platform, failure_domain=domains[i % 3], tokens={"sciacca": TOKEN}, **more)
               for i in range(count)]
    for daemon in daemons:
        daemon.wait_ready()
    backends = [fleet.backend(service, "v1", announce=daemon.admin_address) for daemon in daemons]
    return platform, daemons, backends


def wait_serving(daemons, path="/bacheca/orari"):
    for daemon in daemons:
        wait_until(lambda: daemon.call("GET", path).status == 200, f"{daemon.name} serves {path}")


def test_answers_reach_every_daemon_and_calls_reach_backend_servers():
    with Fleet() as fleet:
        _, daemons, backends = start_fleet(fleet)
        accepted = submit(daemons[0])
        assert accepted.status in (200, 201), accepted
        version = accepted.json()["version"]
        for daemon in daemons:
            wait_until(lambda: status(daemon)["active_version"] == version, f"{daemon.name} at {version}")
        wait_serving(daemons)
        answer = daemons[1].call("GET", "/bacheca/orari/oggi", headers={"endive-test-id": "one"})
        assert answer.status == 200
        runs = sum(len(backend.ledger("one")) for backend in backends)
        assert runs == 1
        refused = daemons[2].call("GET", "/unknown")
        assert refused.status == 404
        assert refused.headers["endive-outcome"] == "not-run"
