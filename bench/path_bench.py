"""Latency that one daemon adds to a call, compared with direct calls at the same rate; real processes."""
import json
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests/integration"))
from harness import Fleet  # noqa: E402
from mesh import start_mesh  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
RATES = [100, 1000]
DURATION_S = 20
CONNECTIONS = 4
WARM_UP_S = 3
ADDED_P99_TARGET_MS = 0.34


def emit(metric, value, target=None, baseline=None):
    print(json.dumps({"bench": "path", "metric": metric, "value": value, "unit": "ms", "target": target,
                      "baseline": baseline, "seed": SEED}), flush=True)


def run_load(fleet, target, rate, seconds):
    load = fleet.load([target], rate=rate, duration_s=seconds, paths="/bacheca/orari", connections=CONNECTIONS)
    summary, _ = fleet.load_result(load)
    assert summary["by_status"] == {"200": rate * seconds}, summary
    return summary


def main():
    with Fleet() as fleet:
        _, daemons, backends = start_mesh(fleet, 1, service_time_ms=0, slots=64)
        for rate in RATES:
            results = {}
            for name, target in (("direct", backends[0].address), ("daemon", daemons[0].caller_address)):
                run_load(fleet, target, rate, WARM_UP_S)
                results[name] = run_load(fleet, target, rate, DURATION_S)
            for quantile in ("p50", "p99", "p99_9"):
                direct, through = (results[name][f"{quantile}_ms"] for name in ("direct", "daemon"))
                emit(f"direct_{quantile}_{rate}_per_second", direct)
                emit(f"added_{quantile}_{rate}_per_second", through - direct,
                     ADDED_P99_TARGET_MS if quantile == "p99" else None)


if __name__ == "__main__":
    main()
