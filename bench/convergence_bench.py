"""Convergence, control traffic, CPU time and memory of real daemons by fleet size.

The baseline in the same run is one poller per daemon, each reading the head row every 2 s, as in a fleet
without dissemination.
"""
import datetime
import json
import os
import pathlib
import random
import re
import statistics
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests/integration"))
from harness import Fleet, http  # noqa: E402
from mesh import accept, answers_with_timeout, settings, wait_version  # noqa: E402

SIZES = [int(size) for size in os.environ.get("SIZES", "3,11,50,100").split(",")]
SEED = int(os.environ.get("SEED", "1"))
CHANGES = 5
REST_SECONDS = 10
# 10 s after the start, daemons close the links that were needed only for discovery.
SETTLE_SECONDS = 15
# The daemons publish their byte counts in the metrics every 100 ms.
COUNTER_DELAY_SECONDS = 1
POLL_SECONDS = 2.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS = os.sysconf("SC_CLK_TCK")


def emit(metric, value, unit, target=None, baseline=None):
    print(json.dumps({"bench": "convergence", "metric": metric, "value": value, "unit": unit, "target": target,
                      "baseline": baseline, "seed": SEED}), flush=True)


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(process):
    return int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * PAGE_BYTES


def event_time(event):
    return datetime.datetime.fromisoformat(event["time"].replace("Z", "+00:00")).timestamp()


def change_times(daemons, version):
    """Returns the seconds from acceptance to application, for each daemon."""
    accepted = next(event_time(e) for e in daemons[0].log_events()
                    if e["event"] == "submit_finished" and e["version"] == version)
    return [max(0.0, event_time(e) - accepted) for daemon in daemons for e in daemon.log_events()
            if e["event"] == "snapshot_applied" and e["version"] == version]


def polling_times(platform, count, generator):
    """Returns the seconds in which each of `count` pollers detects a change of the head row."""
    head = http("GET", platform.address, "/rows/head")
    changed = json.loads(head.body)
    changed["poll_marker"] = count
    detected_at = []
    lock = threading.Lock()
    changed_at = []

    def poll(offset):
        time.sleep(offset)
        while True:
            if json.loads(http("GET", platform.address, "/rows/head").body).get("poll_marker") == count:
                with lock:
                    detected_at.append(time.monotonic())
                return
            time.sleep(POLL_SECONDS)

    threads = [threading.Thread(target=poll, args=(generator.uniform(0, POLL_SECONDS),)) for _ in range(count)]
    for thread in threads:
        thread.start()
    time.sleep(POLL_SECONDS)
    changed_at.append(time.monotonic())
    http("PUT", platform.address, "/rows/head", json.dumps(changed), {"if-match": head.headers["etag"]})
    for thread in threads:
        thread.join()
    return [moment - changed_at[0] for moment in detected_at]


def quantile(values, q):
    return sorted(values)[min(len(values) - 1, int(q * len(values)))]


def measure(size, generator):
    with Fleet() as fleet:
        platform = fleet.platform()
        daemons = [fleet.start_daemon(settings(fleet, f"d{i}", platform, i)) for i in range(size)]
        for daemon in daemons:
            daemon.wait_ready(120)
        version = accept(daemons[0])
        wait_version(daemons, version, 60)
        first = change_times(daemons, version)
        time.sleep(SETTLE_SECONDS)
        times = []
        for change in range(CHANGES):
            version = accept(daemons[0], answers_with_timeout(1000 + change), version, f"change-{change}")
            wait_version(daemons, version, 60)
            times += change_times(daemons, version)
        time.sleep(COUNTER_DELAY_SECONDS)
        reads_before = platform.counts()["reads"]
        cpu_before = [cpu_seconds(d) for d in daemons]
        bytes_before = [control_bytes(d) for d in daemons]
        time.sleep(REST_SECONDS)
        cpu = [(cpu_seconds(d) - before) / REST_SECONDS * 100 for d, before in zip(daemons, cpu_before)]
        traffic = [(control_bytes(d) - before) / REST_SECONDS for d, before in zip(daemons, bytes_before)]
        reads = (platform.counts()["reads"] - reads_before) / REST_SECONDS
        memory = [resident_bytes(d) for d in daemons]
        polling = polling_times(platform, size, generator)
    emit(f"first_change_after_start_max_{size}", max(first), "s", 9)
    emit(f"time_to_all_p50_{size}", statistics.median(times), "s", 9, statistics.median(polling))
    emit(f"time_to_all_p99_{size}", quantile(times, 0.99), "s", 2, quantile(polling, 0.99))
    emit(f"time_to_all_max_{size}", max(times), "s", 9, max(polling))
    emit(f"rest_bytes_per_second_mean_{size}", statistics.mean(traffic), "bytes/s", 9000)
    emit(f"rest_bytes_per_second_max_{size}", max(traffic), "bytes/s", 9000)
    emit(f"rest_cpu_percent_mean_{size}", statistics.mean(cpu), "%", 4.5)
    emit(f"rest_cpu_percent_max_{size}", max(cpu), "%", 4.5)
    emit(f"resident_bytes_max_{size}", max(memory), "bytes", 64 * 1024 * 1024)
    emit(f"rest_platform_reads_per_second_{size}", reads, "1/s", 2000, size / POLL_SECONDS)
    return statistics.mean(traffic), max(memory)


def control_bytes(daemon):
    text = http("GET", daemon.admin_address, "/metrics").body.decode()
    found = dict(re.findall(r"^\w*peer_bytes_(in|out)\w* (\d+)", text, re.M))
    return int(found["in"]) + int(found["out"])


def main():
    generator = random.Random(SEED)
    points = [(size, *measure(size, generator)) for size in SIZES]
    first, last = points[0], points[-1]
    if last[0] > first[0]:
        emit("resident_bytes_per_daemon_in_fleet", (last[2] - first[2]) / (last[0] - first[0]), "bytes")


if __name__ == "__main__":
    main()
