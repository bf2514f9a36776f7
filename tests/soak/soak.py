"""Randomized fault soak: real `endive_sidecar` processes, faults from outside, promises checked while it runs.

    python3 -m soak.soak --seeds 50          fresh seeds
    python3 -m soak.soak --seed 7 --seconds 8   one of them again

A seed fixes the order and kind of faults and requests; real time decides how they meet. What failed is printed with its seed and
kept in `regressions.txt`.
"""
import argparse
import asyncio
import random
import secrets
import signal
import sys
import tempfile
import time

from soak.world import HOST, World, read_message

CALLERS = 8
STORE_MODES = ["slow", "busy", "reset", "silent", "lost"]


class Soak:
    def __init__(self, world, seed, seconds):
        self.world, self.random, self.seconds = world, random.Random(seed), seconds
        self.stopping = False
        self.faults = []

    async def run(self):
        world = self.world
        await world.recovered()
        callers = [asyncio.create_task(self.call_forever(self.random.getrandbits(64))) for _ in range(CALLERS)]
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        running = []
        while loop.time() < end:
            fault = self.random.choice(FAULTS)
            self.faults.append(fault.__name__)
            running.append(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
        await asyncio.gather(*running)
        self.stopping = True
        await asyncio.gather(*callers)
        self.check_steps()
        await world.recovered()
        return world.ledger.broken

    def check_steps(self):
        """Processes that ended by themselves."""
        for daemon in self.world.daemons:
            code = daemon.process.returncode
            if code is not None:
                self.world.ledger.broken.append(f"{daemon.name} ended by itself with {code}")

    async def call_forever(self, seed):
        """A caller that keeps its connection until the daemon closes it, and sometimes sends ahead."""
        draw = random.Random(seed)
        world = self.world
        while not self.stopping:
            daemon = draw.choice(world.daemons)
            try:
                reader, writer = await asyncio.open_connection(HOST, daemon.callers_port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while not self.stopping and await self.exchange(draw, daemon, reader, writer):
                    await asyncio.sleep(draw.uniform(0, 0.05))
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.01)
            finally:
                writer.close()

    async def exchange(self, draw, daemon, reader, writer):
        """Sends one to three requests and reads their answers in order. False when the connection is to be closed."""
        world = self.world
        service = draw.choice(world.services)
        kind = draw.choice(["safe", "safe", "unsafe", "upload"])
        sent = []
        for _ in range(draw.randint(1, 3) if kind == "safe" else 1):
            probe = kind == "safe" and draw.random() < 0.2
            body = b"" if kind == "safe" else bytes(draw.randint(10, 60_000 if kind == "upload" else 300))
            version = world.version
            path = f"/v{version}/1" if probe else None
            request_id, data = world.call_bytes(kind, service, path, body, draw.choice([800, 1500, 2500]))
            writer.write(data)
            known = probe and world.ledger.seen_versions.get((daemon.name, daemon.process.pid), 0) >= version
            sent.append((request_id, len(body), version if probe else None, known))
        if draw.random() < 0.05:
            return False  # the caller leaves
        process = daemon.process
        for request_id, size, version, known in sent:
            first, headers, body = await asyncio.wait_for(read_message(reader), 30)
            status = world.check_answer(request_id, service, size, first, headers, body)
            self.check_version(daemon, process, version, known, status)
            if headers.get("connection", "").lower() == "close":
                return False
        return True

    def check_version(self, daemon, process, version, known, status):
        """A process that has served a configuration's own path knows it from then on: `known` tells whether it had when the
        request was sent. Answers wait for those to earlier requests of their connection, so that of the answer does not count.
        """
        if version is None:
            return
        seen = self.world.ledger.seen_versions
        key = (daemon.name, process.pid)
        if status == 404 and known and version == self.world.version:
            self.world.ledger.broken.append(f"{daemon.name} went back from configuration {version}")
        if status == 200:
            seen[key] = max(seen.get(key, 0), version)

    # ---- faults: each heals what it did ----

    def some_daemons(self):
        return self.random.sample(self.world.daemons, self.random.randint(1, len(self.world.daemons)))

    async def pause(self, least, most):
        await asyncio.sleep(self.random.uniform(least, most))

    async def restart(self, daemon, which):
        if getattr(daemon, "busy", False):
            return  # another fault has it
        daemon.busy = True
        try:
            await daemon.end(which)
        except asyncio.TimeoutError:
            self.world.ledger.broken.append(f"{daemon.name} outlived its grace time")
            await daemon.end(signal.SIGKILL)
        await asyncio.sleep(self.down_s)
        await daemon.start()
        daemon.busy = False

    down_s = 0.2

    async def stop_one(self):
        await self.restart(self.random.choice(self.world.daemons), signal.SIGTERM)

    async def kill_one(self):
        await self.restart(self.random.choice(self.world.daemons), signal.SIGKILL)

    async def kill_many(self):
        await asyncio.gather(*(self.restart(daemon, signal.SIGKILL) for daemon in self.some_daemons()))

    async def stop_in_series(self):
        for daemon in self.some_daemons():
            await self.restart(daemon, signal.SIGTERM)

    async def freeze(self):
        daemon = self.random.choice(self.world.daemons)
        daemon.signal(signal.SIGSTOP)
        await self.pause(0.1, 2.5)
        daemon.signal(signal.SIGCONT)

    async def reload(self):
        for daemon in self.some_daemons():
            daemon.signal(signal.SIGHUP)

    async def store_fault(self):
        hit, mode = self.some_daemons(), self.random.choice(STORE_MODES)
        for daemon in hit:
            self.world.store.modes[daemon.name] = mode
        await self.pause(0.3, 3.0)
        for daemon in hit:
            self.world.store.modes[daemon.name] = "ok"

    async def forget_history(self):
        self.world.store.forget_history()

    async def change_configuration(self):
        for _ in range(self.random.choice([1, 1, 5])):
            self.world.change_configuration()
            await asyncio.sleep(0.05)

    async def link_fault(self):
        """Links to a daemon are slow, silent, or silent in one direction."""
        name = self.random.choice(self.world.daemons).name
        to_target, to_client = self.random.choice([({"delay_ms": 100}, {"delay_ms": 100}), ({"hold": True}, {"hold": True}),
                                                   ({"hold": True}, {})])
        self.world.proxy.change(name, to_target=to_target, to_client=to_client)
        await self.pause(0.2, 2.5)
        whole = {"delay_ms": 0, "hold": False}
        self.world.proxy.change(name, to_target=whole, to_client=whole)

    async def link_reset(self):
        for daemon in self.some_daemons():
            self.world.proxy.cut(daemon.name)

    async def backend_crash(self):
        backend = self.random.choice(self.world.daemons).backend
        if backend.server is None or backend.left_at is not None or backend.state != "ready":
            return  # another fault has it
        backend.state = "gone"
        backend.crash()
        await self.pause(0.1, 1.0)
        await backend.start()

    async def backend_leaves(self):
        backend = self.random.choice(self.world.daemons).backend
        if backend.server is None or backend.state != "ready":
            return
        await backend.leave()
        await self.pause(0.3, 3.0)
        backend.crash()
        await backend.start()

    async def backend_slow(self):
        backend = self.random.choice(self.world.daemons).backend
        backend.slow_factor = self.random.choice([3, 10, 40])
        await self.pause(0.3, 2.0)
        backend.slow_factor = 1.0


FAULTS = [Soak.stop_one, Soak.kill_one, Soak.kill_many, Soak.stop_in_series, Soak.freeze, Soak.reload, Soak.store_fault,
          Soak.forget_history, Soak.change_configuration, Soak.link_fault, Soak.link_reset, Soak.backend_crash,
          Soak.backend_leaves, Soak.backend_slow]


async def run_seed(seed, seconds, directory):
    """Broken promises of one run, its faults and how the requests were answered."""
    async with World(directory) as world:
        soak = Soak(world, seed, seconds)
        broken = await soak.run()
        return broken, soak.faults, world.ledger.answers


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--seeds", type=int, default=1, help="number of fresh seeds")
    parser.add_argument("--seconds", type=float, default=8.0, help="time with faults")
    parser.add_argument("--keep", help="directory for the daemons' logs")
    options = parser.parse_args()
    failed = 0
    for seed in options.seed or [secrets.randbits(32) for _ in range(options.seeds)]:
        with tempfile.TemporaryDirectory() as scratch:
            began = time.monotonic()
            broken, faults, answers = asyncio.run(run_seed(seed, options.seconds, options.keep or scratch))
        failed += bool(broken)
        print(f"seed {seed}: {len(faults)} faults, answers {answers}, {len(broken)} promises broken, "
              f"{time.monotonic() - began:.0f} s", flush=True)
        for line in broken[:10]:
            print(f"  {line}")
    print(f"{failed} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
