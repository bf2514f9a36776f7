"""CONFIG: all open connections to the store go silent; the operator then changes the configuration."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"  # what was sent, answered and run
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import (CONFIG_APPLY_S, CONTACT_S, MAX_STRETCH_S, TROUBLE, Fleet, configuration, limits, main, route,  # noqa: E402
                   service)

HOST = "mesh.example"
WATCHED_S = 16  # time after the change in which clients send


def version_1():
    return configuration(1, [limits(), service("portal"), service("desk"), route("moved", HOST, "/moved/", "portal"),
                             route("dropped", HOST, "/dropped/", "portal"), route("kept", HOST, "/kept/", "desk")])


def version_2():
    return configuration(2, [limits(), service("portal"), service("desk"), route("moved", HOST, "/moved/", "desk"),
                             route("kept", HOST, "/kept/", "desk"), route("added", HOST, "/added/", "desk")])


async def case(record_path):
    machines = [(f"{name}-{zone}", zone, name) for name in ("portal", "desk") for zone in ("north", "south", "coast")]
    async with Fleet(record_path, machines) as fleet:
        record = fleet.record
        fleet.store.put("op", "config", version_1())
        await fleet.start()
        await fleet.wait_ready()
        for machine in fleet.machines:
            for path in ("/moved/1", "/dropped/1", "/kept/1"):
                fleet.every(0.25, lambda machine=machine, path=path: machine.request("GET", HOST, path))
        await asyncio.sleep(6)
        if TROUBLE:
            for machine in fleet.machines:
                machine.store_proxy.silence()
            record.add("open connections to the store go silent")
        await asyncio.sleep(CONTACT_S + 1)
        fleet.store.put("op", "config", version_2())
        acknowledged = record.add("version 2 acknowledged")["t"]
        await asyncio.sleep(WATCHED_S)
    return judge(record, acknowledged)


def judge(record, acknowledged):
    """Requests that were sent later than ConfigApply after the acknowledgement and handled by the old version.

    The bound is stretched by MaxStretch, the most that any excuse of the rules allows.
    """
    runs = {entry["request"]: entry for entry in record.of("run")}
    violations = []
    for sent in record.of("sent"):
        late = sent["t"] - acknowledged
        run = runs.get(sent["request"])
        if late <= CONFIG_APPLY_S + MAX_STRETCH_S or run is None:
            continue
        if run["service"] == "portal":
            violations.append(f"{sent['target']} sent to {sent['machine']} {late:.2f} s after the acknowledgement of "
                              f"r2 was run by {run['service']}, as only r1 allows")
    return violations


main(case, RECORD)
