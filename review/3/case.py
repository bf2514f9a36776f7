"""DRAIN: a daemon acknowledges that its endpoint leaves, is killed and started again while the store is down."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"  # what was sent, answered and run
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import (CONTACT_S, DRAIN_S, TROUBLE, Fleet, configuration, limits, main, route,  # noqa: E402
                   service)

HOST = "mesh.example"
BEAT_DELAY_S = 3.0  # of the last heartbeat before the departure
SERVES_S = 13.0  # after the acknowledgement


def version_1():
    return configuration(1, [limits(), service("portal"), service("desk"), route("read", HOST, "/read/", "portal"),
                             route("pay", HOST, "/pay/", "portal", kind="unsafe", attempts=1)])


async def case(record_path):
    machines = [(f"{name}-{zone}", zone, name) for name in ("portal", "desk") for zone in ("north", "south", "coast")]
    async with Fleet(record_path, machines) as fleet:
        record = fleet.record
        fleet.store.put("op", "config", version_1())
        await fleet.start()
        await fleet.wait_ready()
        for machine in fleet.machines:
            fleet.every(0.1, lambda machine=machine: machine.request("GET", HOST, "/read/1"))
            fleet.every(0.2, lambda machine=machine: machine.request("POST", HOST, "/pay/1", b"x" * 200))
        await asyncio.sleep(6)
        leaving = fleet.machine("portal-coast")
        endpoint = leaving.endpoint
        if TROUBLE:
            for machine in fleet.machines:
                machine.store_proxy.refuse()
            record.add("the store is down")
        await asyncio.sleep(0.5)
        # The endpoint never reports `draining`: it deregisters first. Its last heartbeat is still on its way.
        endpoint.task.cancel()
        late_beat = endpoint.beat()
        endpoint.state = "leaving"
        if not await endpoint.call("deregister", {"born": endpoint.born}):
            return []
        acknowledged = record.add("departure acknowledged", endpoint=endpoint.id)["t"]
        await asyncio.sleep(0.5)
        if TROUBLE:
            await leaving.kill()
            await asyncio.sleep(0.5)
            await leaving.start()
            await asyncio.sleep(0.5)
            for machine in fleet.machines:
                machine.store_proxy.restore()
            record.add("the store is back")
        back = record.now()
        await asyncio.sleep(acknowledged + BEAT_DELAY_S - back)
        record.add("late heartbeat", acknowledged=await endpoint.call("heartbeat", late_beat))
        await asyncio.sleep(SERVES_S - BEAT_DELAY_S)
        endpoint.stop()
        await asyncio.sleep(0.2)
        return judge(record, acknowledged, back, endpoint.id)


def judge(record, acknowledged, back, endpoint_id):
    """Requests that reached the endpoint later than Drain after the acknowledgement.

    Counted only from Contact after the last disruption, so that all machines are in touch.
    """
    since = max(acknowledged + DRAIN_S, back + CONTACT_S)
    return [f"{entry['request']} reached {endpoint_id} {entry['t'] - acknowledged:.2f} s after its departure was "
            f"acknowledged" for entry in record.of("arrived") if entry["endpoint"] == endpoint_id and entry["t"] > since]


main(case, RECORD)
