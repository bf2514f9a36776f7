"""EXPOSURE: a machine that is cut off from the others, but not from the store, completes a bad rollout alone.

The service has two endpoints of each version. The machines of the new version are cut off.
"""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"  # what was sent, answered and run
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import CONTACT_S, TROUBLE, Fleet, configuration, limits, main, route, service  # noqa: E402

HOST = "mesh.example"
ALLOWED_S = 14.0  # `Duration` of the rollout
CUT_S = 12.0
ROLLBACK_S = 5.0
BAD_ANSWERS = 50


def version_1():
    return configuration(1, [limits(), service("portal"), service("vault"), route("home", HOST, "/home/", "portal"),
                             route("read", HOST, "/read/", "vault"),
                             route("pay", HOST, "/pay/", "vault", kind="unsafe", attempts=1)])


async def case(record_path):
    machines = [(f"portal-{i}-{zone}", zone, "portal") for zone in ("north", "south", "coast") for i in (1, 2)]
    machines += [(f"vault-{age}-{zone}", zone, "vault") for age in ("old", "new") for zone in ("north", "south")]
    async with Fleet(record_path, machines, proxied_peers=True) as fleet:
        record = fleet.record
        old = [machine for machine in fleet.machines if machine.name.startswith("vault-old")]
        new = [machine for machine in fleet.machines if machine.name.startswith("vault-new")]
        present = [machine for machine in fleet.machines if machine not in new]
        fleet.store.put("op", "config", version_1())
        for machine in present:
            await fleet.start_machine(machine)
        await fleet.wait_ready(present)
        await asyncio.sleep(2)
        for machine in present:
            fleet.every(0.15, lambda machine=machine: machine.request("GET", HOST, "/read/1"))
            fleet.every(0.15, lambda machine=machine: machine.request("POST", HOST, "/pay/1", b"x" * 200))
            fleet.every(0.5, lambda machine=machine: machine.request("GET", HOST, "/home/1"))
        await asyncio.sleep(4)
        # The new version fails all requests of one route.
        for machine in new:
            machine.bootstrap = False  # it joins a system that runs
            await fleet.start_machine(machine, version="v2")
            machine.endpoint.fails = lambda target: target.startswith("/pay/")
        fleet.store.put("op", "rollout/vault", {"Service": "vault", "To": "v2", "Duration": f"{int(ALLOWED_S)}s"})
        record.add("rollout ordered")
        await fleet.wait_ready(new)
        for machine in new:
            fleet.every(0.05, lambda machine=machine: machine.request("GET", HOST, "/read/1"))
            if TROUBLE:
                fleet.cut_off(machine)
        fleet.tasks.append(asyncio.create_task(act_as_platform(fleet, old, new)))
        await asyncio.sleep(CUT_S)
        healed = record.now()
        if TROUBLE:
            fleet.heal()
        await asyncio.sleep(CONTACT_S + ROLLBACK_S + 6)
        return judge(record, new, healed)


async def act_as_platform(fleet, old, new):
    """At `completed` the old endpoints stop at once; at `rolled_back` the new ones drain."""
    while True:
        status = fleet.store.value("status", "rollout/vault")
        if status is not None and status["State"] != "running":
            fleet.record.add("rollout ended", state=status["State"])
            if status["State"] == "completed":
                for machine in old:
                    machine.endpoint.stop()
            else:
                await asyncio.sleep(3)
                for machine in new:
                    machine.endpoint.state = "draining"
            return
        await asyncio.sleep(0.05)


def judge(record, new, healed):
    """Requests to the bad version that were sent later than Rollback after its 50th bad answer.

    Only machines other than those that were cut off, and only answers and requests from Contact after the end of
    the partition, when all machines are in touch.
    """
    names = [machine.name for machine in new]
    calm = healed + CONTACT_S
    sent = {entry["request"]: entry for entry in record.of("sent") if entry["machine"] not in names}
    bad = [entry["t"] for entry in record.of("answer") if entry["request"] in sent and entry["status"] == 500
           and entry["t"] > calm]
    if len(bad) < BAD_ANSWERS:
        return []
    limit = bad[BAD_ANSWERS - 1] + ROLLBACK_S
    return [f"{sent[entry['request']]['target']} sent by {sent[entry['request']]['machine']} reached v2 "
            f"{entry['t'] - bad[BAD_ANSWERS - 1]:.2f} s after its 50th bad answer"
            for entry in record.of("run") if entry["version"] == "v2" and entry["request"] in sent
            and sent[entry["request"]]["t"] > limit]


main(case, RECORD)
