"""Runs both example deployments as real processes on loopback and checks the guaranteed properties.

Submits the answers, sends requests of callers, moves one good and one bad version in each deployment, prints
the operators' report and writes build/demo-report.html. The exit status is 0 only if
all checked properties held.
"""
import datetime
import html
import json
import os
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests/integration"))
from harness import BIN, Fleet, wait_until  # noqa: E402

BUILD = BIN.parent
# Deadline of the moves: long enough for each traffic-share step at RATE, short enough for a demo.
MOVE_SECONDS = 60
LOAD_SECONDS = 70
OBSERVE_SECONDS = 75
CONVERGENCE_LIMIT_S = 9.0
RATE = 600


class Deployment:
    """The example deployment of one organisation, with its daemons and backend servers."""

    def __init__(self, fleet, name, good, bad, paths, payment):
        self.fleet = fleet
        self.name = name
        self.answers = json.loads((ROOT / f"examples/{name}/answers.json").read_text())
        self.team = self.answers["team"]
        self.good, self.bad, self.paths, self.payment = good, bad, paths, payment
        self.token = f"{self.team}-token"
        self.shares = {}
        self.checks = []

    def check(self, property_name, held, detail):
        self.checks.append((property_name, bool(held), detail))

    def get(self, path, daemon=None):
        answer = (daemon or self.daemons[0]).admin("GET", path, headers={"authorization": f"Bearer {self.token}"})
        assert answer.status == 200, answer
        return answer.json()

    def start(self):
        """Starts a daemon for each endpoint, with a v1 backend server and a v2 one if the service moves."""
        self.platform = self.fleet.platform()
        domains = self.answers["regions"][0]["failure_domains"]
        services = [s["name"] for s in self.answers["services"] for _ in range(s["endpoints"])]
        self.daemons = [
            self.fleet.daemon(f"{self.name}-{i}", self.platform, failure_domain=domains[i % len(domains)],
                              tokens={self.team: self.token}, region=self.answers["regions"][0]["name"])
            for i in range(len(services))]
        for daemon in self.daemons:
            daemon.wait_ready(60)
        slots = self.answers["services"][0]["slots"]
        self.backends = {}
        for service, daemon in zip(services, self.daemons):
            for version in ["v1", "v2"] if service in (self.good, self.bad) else ["v1"]:
                backend = self.fleet.backend(service, version, announce=daemon.admin_address, slots=slots,
                                             service_time_ms=2)
                self.backends.setdefault((service, version), []).append(backend)

    def submit(self, document):
        """Submits with endivectl; returns the version and the seconds until it is active on every daemon."""
        folder = pathlib.Path(self.fleet.folder)
        answers, token = folder / f"{self.name}.answers.json", folder / f"{self.name}.token"
        answers.write_text(json.dumps(document))
        token.write_text(self.token)
        started = time.monotonic()
        result = self.ctl("submit", str(answers), "--json")
        version = json.loads(result)["version"]

        def everywhere():
            return all(self.get("/endive/v1/status", d)["active_version"] >= version for d in self.daemons)
        wait_until(everywhere, f"{self.name} at version {version} on all daemons", 60)
        return version, time.monotonic() - started

    def ctl(self, *arguments):
        command = [str(BIN / "endivectl"), *arguments, f"--daemon={self.daemons[0].admin_address}",
                   f"--token-file={self.fleet.folder}/{self.name}.token"]
        run = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if run.returncode != 0:
            raise AssertionError(f"endivectl {arguments} exited {run.returncode}: {run.stderr}{run.stdout}")
        return run.stdout

    def accept_first_version(self):
        document = dict(self.answers, moves=[])
        _, seconds = self.submit(document)
        self.convergence = [seconds]

        def known():
            found = {(e["service"], e["version"]): e["serving"] for e in self.get("/endive/v1/status")["endpoints"]}
            return all(found.get(key) == len(group) for key, group in self.backends.items())
        wait_until(known, f"{self.name} reports all endpoints", 60)

    def begin_moves(self):
        for backend in self.backends[self.bad, "v2"]:
            backend.faults({"kind": "fail", "rate": 0.5, "seed": 11})
        deadline = datetime.datetime.now(datetime.timezone.utc) + datetime.timedelta(seconds=MOVE_SECONDS)
        moves = [{"service": service, "from": "v1", "to": "v2", "deadline": deadline.strftime("%Y-%m-%dT%H:%M:%SZ")}
                 for service in (self.good, self.bad)]
        targets = [d.caller_address for d in self.daemons[1:]]
        self.load = self.fleet.load(targets, rate=RATE, duration_s=LOAD_SECONDS, paths=",".join(self.paths),
                                    connections=40, id_prefix=f"{self.name}-")
        self.payments = self.fleet.load(targets, rate=20, duration_s=LOAD_SECONDS, paths=self.payment, method="POST",
                                        body_size=64, idempotency_keys="true", connections=8,
                                        id_prefix=f"{self.name}-pay-")
        _, seconds = self.submit(dict(self.answers, moves=moves))
        self.convergence.append(seconds)
        self.moves_started = time.monotonic()

    def observe(self):
        for move in self.get("/endive/v1/moves")["moves"]:
            point = (time.monotonic() - self.moves_started, move["share"], move["state"])
            self.shares.setdefault(move["id"], []).append(point)

    def moves_finished(self):
        latest = {move: points[-1][2] for move, points in self.shares.items()}
        return len(latest) == 2 and all(s in ("complete", "watching", "done", "taken_back", "expired")
                                        for s in latest.values())

    def stop_one_daemon(self):
        """Stops one daemon as planned, under load."""
        self.stopped_daemon = self.daemons[0]
        self.stopped_daemon.terminate()
        self.daemons = self.daemons[1:]

    def check_results(self):
        self.results = [self.fleet.load_result(self.load), self.fleet.load_result(self.payments)]
        self.report = self.ctl("report")
        self.check_versions()
        self.check_moves()
        self.check_calls()

    def check_versions(self):
        increasing = True
        for daemon in [*self.daemons, self.stopped_daemon]:
            versions = [e["version"] for e in daemon.log_events() if e["event"] == "snapshot_applied"]
            increasing = increasing and versions == sorted(set(versions)) and len(versions) > 0
        self.check("P1 no daemon returns to an older version", increasing, "versions in all daemons' logs only increase")
        state = self.get("/endive/v1/status")
        self.check("P2, P3 configurations are applied completely", not state["lagging"], f"lagging: {state['lagging']}")
        slowest = max(self.convergence)
        self.check("P10 accepted versions are active on all daemons within 9 s", slowest < CONVERGENCE_LIMIT_S,
                   f"slowest {slowest:.2f} s over {len(self.daemons) + 1} daemons")
        stopped = [e for e in self.stopped_daemon.log_events() if e["event"] == "stopped"]
        self.check("P9 a planned stop cuts no request", stopped and stopped[0]["calls_cut"] == 0,
                   "one daemon stopped under load")

    def check_moves(self):
        moves = {move["service"]: move for move in self.get("/endive/v1/moves")["moves"]}
        good, bad = moves[self.good], moves[self.bad]
        self.check(f"the good version of {self.good} moved on time",
                   good["state"] in ("complete", "watching", "done"), f"state {good['state']}, {good['reason']}")
        self.check(f"P4 the bad version of {self.bad} was taken back", bad["state"] == "taken_back",
                   f"state {bad['state']}, {bad['reason']}")
        bad_requests = sum(b.stats()["executed"] for b in self.backends[self.bad, "v2"])
        total = bad_requests + sum(b.stats()["executed"] for b in self.backends[self.bad, "v1"])
        self.check("P4 the bad version got under 1% of its service's requests", bad_requests < 0.01 * total,
                   f"{bad_requests} of {total} requests")

    def check_calls(self):
        records = [record for _, found in self.results for record in found]
        wrong = [r for r in records if r["status"] == 200 and not r["valid"]]
        self.check("P5 every 200 response was complete and matched its request", not wrong, f"{len(records)} requests")
        runs = {}
        for group in self.backends.values():
            for backend in group:
                for entry in backend.ledger():
                    runs[entry["id"]] = runs.get(entry["id"], 0) + 1
        false_not_run = [r for r in records if r["outcome"] == "not-run" and runs.get(r["id"], 0) > 0]
        self.check('P6 every "not-run" outcome was correct', not false_not_run,
                   f"{sum(r['outcome'] == 'not-run' for r in records)} outcomes")
        payments = self.results[1][1]
        duplicates = [r["id"] for r in payments if runs.get(r["id"], 0) > 1]
        self.check("P7 no payment ran more than once", not duplicates, f"{len(payments)} payments")


def share_plot(deployment):
    """Returns an inline SVG of the traffic share of each move over time."""
    colours = ["#1a6", "#c33"]
    parts = ['<svg viewBox="0 0 640 240" width="640" height="240" role="img">',
             '<rect x="40" y="10" width="590" height="200" fill="none" stroke="#999"/>']
    for index, (move, points) in enumerate(sorted(deployment.shares.items())):
        path = " ".join(f"{40 + 590 * t / OBSERVE_SECONDS:.1f},{210 - 200 * share:.1f}" for t, share, _ in points)
        parts.append(f'<polyline points="{path}" fill="none" stroke="{colours[index % 2]}" stroke-width="2"/>')
        parts.append(f'<text x="{50 + 300 * index}" y="232" fill="{colours[index % 2]}">{html.escape(move)}</text>')
    return "".join(parts) + "</svg>"


def write_report(deployments, path):
    sections = []
    for deployment in deployments:
        rows = "".join(f"<tr><td>{'held' if held else 'BROKEN'}</td><td>{html.escape(name)}</td>"
                       f"<td>{html.escape(detail)}</td></tr>" for name, held, detail in deployment.checks)
        loads = "".join(f"<tr><td>{label}</td><td>{s['requests']}</td><td>{s['p50_ms']:.2f}</td>"
                        f"<td>{s['p99_ms']:.2f}</td><td>{html.escape(json.dumps(s['by_status']))}</td></tr>"
                        for label, (s, _) in zip(("reads", "payments"), deployment.results))
        sections.append(
            f"<h2>{deployment.name}</h2><table><tr><th></th><th>property</th><th>observed</th></tr>{rows}</table>"
            f"<h3>Share of the new version over time (0 to {OBSERVE_SECONDS} s)</h3>{share_plot(deployment)}"
            f"<h3>Requests</h3><table><tr><th></th><th>requests</th><th>p50 ms</th><th>p99 ms</th>"
            f"<th>by status</th></tr>{loads}</table><h3>Operators' report</h3><pre>{html.escape(deployment.report)}</pre>")
    path.write_text("<!doctype html><meta charset=utf-8><title>endiveledge demo</title><style>body{font-family:"
                    "sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}</style><h1>endiveledge demo</h1>"
                    + "".join(sections))


def run(fleet):
    sciacca = Deployment(fleet, "sciacca", "bacheca", "biglietteria",
                         ["/bacheca/orari", "/biglietteria/posti", "/archivio/elenchi"], "/biglietteria/caparre")
    granite = Deployment(fleet, "granite-hearth", "kin-portal", "pay-desk", GRANITE_PATHS, GRANITE_PAYMENT)
    deployments = [sciacca, granite]
    for deployment in deployments:
        deployment.start()
    for deployment in deployments:
        deployment.accept_first_version()
        print(f"{deployment.name}: {len(deployment.daemons)} daemons at version 1 after {deployment.convergence[0]:.2f} s", flush=True)
    for deployment in deployments:
        deployment.begin_moves()
    end = time.monotonic() + OBSERVE_SECONDS
    stopped = False
    while time.monotonic() < end and not (stopped and all(deployment.moves_finished() for deployment in deployments)):
        for deployment in deployments:
            deployment.observe()
        if not stopped and time.monotonic() > end - OBSERVE_SECONDS + 10:
            stopped = True
            for deployment in deployments:
                deployment.stop_one_daemon()
        time.sleep(0.5)
    for deployment in deployments:
        deployment.check_results()
    return deployments


GRANITE_PATHS = ["/portal/plans", "/portal/balances", "/portal", "/portal/plans", "/pay/balances",
                 "/vault/statements"]
GRANITE_PAYMENT = "/pay/instalments"


def main():
    with Fleet() as fleet:
        deployments = run(fleet)
    report = BUILD / "demo-report.html"
    write_report(deployments, report)
    held = True
    for deployment in deployments:
        print(f"\n== {deployment.name}\n{deployment.report}")
        for name, good, detail in deployment.checks:
            print(f"{'held  ' if good else 'BROKEN'} {name} ({detail})")
            held = held and good
    print(f"\nreport: {os.path.relpath(report, ROOT)}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
