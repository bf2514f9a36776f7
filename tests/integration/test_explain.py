"""Runs `endivectl explain` over the logs of real daemons to find the causes of failed requests."""
import asyncio
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from integration.harness import BIN  # noqa: E402
from soak.world import World  # noqa: E402


async def send_request(world, daemon, kind, service, path=None):
    status = await world.call(daemon, kind, service, path)
    return f"q{world.requests}", status


def explain(world, request_id):
    logs = [daemon.log_path for daemon in world.daemons]
    return subprocess.run([BIN / "endivectl", "explain", request_id, *logs], capture_output=True, text=True, check=True).stdout


async def three_failures(directory):
    """Returns status and explanation for an unknown path, a lost execution and an absent endpoint."""
    async with World(directory, daemons_per_service=1) as world:
        await world.wait_recovered()
        front, back = world.daemons
        found = {"no_route": await send_request(world, front, "safe", "b", "/nothing/1")}
        back.backend.slow_factor = 1000
        lost = asyncio.create_task(send_request(world, front, "unsafe", "b"))
        while back.backend.running == 0:
            await asyncio.sleep(0.01)
        lost_id = f"q{world.requests}"
        back.backend.crash()
        found["lost"] = (lost_id, (await lost)[1])
        status, refused_id = None, None
        while status != 503:  # until the daemon has detected that its endpoint is down
            refused_id, status = await send_request(world, front, "safe", "b")
            await asyncio.sleep(0.1)
        found["refused"] = (refused_id, status)
        return {name: (status, explain(world, request_id)) for name, (request_id, status) in found.items()}


def test_three_kinds_of_failed_request_are_traced_to_their_cause(tmp_path):
    found = asyncio.run(three_failures(tmp_path))
    status, text = found["no_route"]
    assert status == 404
    assert "no route of the configuration in force matches" in text
    status, text = found["lost"]
    assert status == 502
    assert "a0  request_failed" in text and "b0  call_failed" in text
    assert "the connection to the endpoint ended before a complete response; it may have run" in text
    status, text = found["refused"]
    assert "a0  request_refused" in text
    assert any(cause in text for cause in ["the daemon knew no ready endpoint", "the endpoint was leaving",
                                           "the endpoint did not accept a connection"])
