"""Helpers shared by the tests that run a mesh of daemons."""
import json
import pathlib
import re

from harness import NO_RESPONSE, wait_until

ROOT = pathlib.Path(__file__).resolve().parents[2]
SCIACCA = json.loads((ROOT / "examples/sciacca/answers.json").read_text())
TOKEN = "sciacca-token"
DOMAINS = ["sciacca-porto", "monte-kronio", "menfi-deposito"]


def answers(**changes):
    """Returns the answers of the example without moves and with the given changes."""
    document = json.loads(json.dumps(SCIACCA))
    document["moves"] = []
    document.update(changes)
    return document


def answers_with_timeout(timeout_ms):
    document = answers()
    document["routes"][0]["timeout_ms"] = timeout_ms
    return document


def submit(daemon, body=None, version=0, key="submit-1", token=TOKEN, team="sciacca"):
    headers = {"authorization": f"Bearer {token}", "if-match": str(version), "idempotency-key": key}
    return daemon.admin("POST", f"/endive/v1/parts/{team}", json.dumps(body or answers()), headers)


def accept(daemon, body=None, version=0, key="submit-1"):
    answer = submit(daemon, body, version, key)
    assert answer.status in (200, 201), answer
    return answer.json()["version"]


def admin_get(daemon, path):
    answer = daemon.admin("GET", path, headers={"authorization": f"Bearer {TOKEN}"}, timeout=5)
    assert answer.status == 200, answer
    return answer.json()


def status(daemon):
    return admin_get(daemon, "/endive/v1/status")


def settings(fleet, name, platform, index, **more):
    return fleet.daemon_settings(name, platform.address, failure_domain=DOMAINS[index % 3],
                                 tokens={"sciacca": TOKEN}, **more)


def start_daemons(fleet, platform, count=3):
    daemons = [fleet.start_daemon(settings(fleet, f"d{i}", platform, i)) for i in range(count)]
    for daemon in daemons:
        daemon.wait_ready()
    return daemons


def wait_version(daemons, version, timeout=30):
    for daemon in daemons:
        wait_until(lambda: status(daemon)["active_version"] >= version, f"{daemon.name} at version {version}", timeout)


def wait_endpoints(daemons, service, count, version="v1"):
    """Waits until each daemon reports `count` serving endpoints of the service version."""
    def known(daemon):
        found = [e for e in status(daemon)["endpoints"] if (e["service"], e["version"]) == (service, version)]
        return bool(found) and found[0]["serving"] == count
    for daemon in daemons:
        wait_until(lambda: known(daemon), f"{daemon.name} reports {count} endpoints of {service} {version}", 30)


def start_mesh(fleet, count=3, service="bacheca", body=None, **backend_flags):
    """Starts the platform and daemons with a backend server each, and activates a configuration on all."""
    platform = fleet.platform()
    daemons = start_daemons(fleet, platform, count)
    backends = [fleet.backend(service, "v1", announce=daemon.admin_address, **backend_flags)
                for daemon in daemons]
    wait_version(daemons, accept(daemons[0], body))
    wait_endpoints(daemons, service, count)
    return platform, daemons, backends


def applied_versions(daemon):
    """Returns the versions that one run of a daemon applied, in order, from its log."""
    return [event["version"] for event in daemon.log_events() if event["event"] == "snapshot_applied"]


def executions(backends, request_id):
    return sum(len(backend.ledger(request_id)) for backend in backends)


def hedged_calls(daemons):
    """Sums the daemons' counters of hedged attempts; a counter is absent, counted as 0, before the first."""
    pages = [daemon.admin("GET", "/metrics").body.decode() for daemon in daemons]
    return sum(int(value) for page in pages for value in re.findall(r"^endive_calls_hedged_total (\d+)", page, re.M))


def try_call(daemon, *arguments, **more):
    """Returns the response, or None when the connection ended without a complete one."""
    try:
        return daemon.call(*arguments, **more)
    except NO_RESPONSE:
        return None
