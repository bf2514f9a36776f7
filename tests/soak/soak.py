"""Randomized fault soak: injects faults into real `endive_sidecar` processes and checks their guarantees.

    python3 -m soak.soak --seeds 50             runs 50 new seeds
    python3 -m soak.soak --seed 7 --seconds 8   repeats one seed

The seed determines the order and kind of faults and requests; how they interleave depends on real time.
Violations are printed with their seed. Seeds that failed stay in `REGRESSIONS` of integration/test_soak.py.
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
        self.silence_random = random.Random(f"silent links {seed}")
        self.stopping = False
        self.faults = []

    async def run(self):
        world = self.world
        await world.wait_recovered()
        callers = [asyncio.create_task(self.run_caller(self.random.getrandbits(64))) for _ in range(CALLERS)]
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        running = [asyncio.create_task(self.stop_beside_silent_links())]
        while loop.time() < end:
            fault = self.random.choice(FAULTS)
            self.faults.append(fault.__name__)
            running.append(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
        await asyncio.gather(*running)
        self.stopping = True
        await asyncio.gather(*callers)
        self.check_exits()
        await world.wait_recovered()
        return world.ledger.violations

    def check_exits(self):
        """Reports daemons that exited without being stopped by a fault."""
        for daemon in self.world.daemons:
            code = daemon.process.returncode
            if code is not None:
                self.world.ledger.violations.append(f"{daemon.name} exited unexpectedly with code {code}")

    async def run_caller(self, seed):
        """Runs a caller that reuses its connection until it is closed, and sometimes pipelines requests."""
        rng = random.Random(seed)
        world = self.world
        while not self.stopping:
            daemon = rng.choice(world.daemons)
            try:
                reader, writer = await asyncio.open_connection(HOST, daemon.callers_port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while not self.stopping and await self.exchange(rng, daemon, reader, writer):
                    await asyncio.sleep(rng.uniform(0, 0.05))
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.01)
            finally:
                writer.close()

    async def exchange(self, rng, daemon, reader, writer):
        """Sends one to three requests and reads the responses in order. False: close the connection."""
        world = self.world
        service = rng.choice(world.services)
        kind = rng.choice(["safe", "safe", "unsafe", "upload"])
        sent = []
        for _ in range(rng.randint(1, 3) if kind == "safe" else 1):
            probe = kind == "safe" and rng.random() < 0.2
            body = b"" if kind == "safe" else bytes(rng.randint(10, 60_000 if kind == "upload" else 300))
            version = world.version
            path = f"/v{version}/1" if probe else None
            request_id, data = world.make_request(kind, service, path, body, rng.choice([800, 1500, 2500]))
            writer.write(data)
            known = probe and world.ledger.served_versions.get((daemon.name, daemon.process.pid), 0) >= version
            sent.append((request_id, len(body), version if probe else None, known))
        if rng.random() < 0.05:
            return False  # the caller disconnects
        process = daemon.process
        for request_id, size, version, known in sent:
            try:
                start_line, headers, body = await asyncio.wait_for(read_message(reader), 30)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                world.ledger.check_unanswered(request_id, daemon.name, process.pid)
                raise
            world.ledger.check_given_up(request_id, int(start_line.split(" ")[1]), daemon.name)
            status = world.check_answer(request_id, service, size, start_line, headers, body)
            self.check_version(daemon, process, version, known, status)
            if headers.get("connection", "").lower() == "close":
                return False
        return True

    def check_version(self, daemon, process, version, known, status):
        """Checks that a process never returns to a configuration older than one it has served.

        `known` is whether the process had served this version when the request was sent. The time of the
        response does not count, because a response waits for those to earlier requests on its connection.
        """
        if version is None:
            return
        seen = self.world.ledger.served_versions
        key = (daemon.name, process.pid)
        if status == 404 and known and version == self.world.version:
            self.world.ledger.violations.append(f"{daemon.name} returned to a configuration older than version {version}")
        if status == 200:
            seen[key] = max(seen.get(key, 0), version)

    # ---- faults: each one removes its effect before it returns ----

    def random_daemons(self):
        return self.random.sample(self.world.daemons, self.random.randint(1, len(self.world.daemons)))

    async def pause(self, least, most):
        await asyncio.sleep(self.random.uniform(least, most))

    async def restart(self, daemon, signum):
        if getattr(daemon, "busy", False):
            return  # another fault is restarting it
        daemon.busy = True
        try:
            await daemon.stop(signum)
        except asyncio.TimeoutError:
            self.world.ledger.violations.append(f"{daemon.name} did not exit within its stop grace period")
            await daemon.stop(signal.SIGKILL)
        await asyncio.sleep(self.DOWN_S)
        await daemon.start()
        daemon.busy = False

    DOWN_S = 0.2

    async def stop_one(self):
        await self.restart(self.random.choice(self.world.daemons), signal.SIGTERM)

    async def kill_one(self):
        await self.restart(self.random.choice(self.world.daemons), signal.SIGKILL)

    async def kill_many(self):
        await asyncio.gather(*(self.restart(daemon, signal.SIGKILL) for daemon in self.random_daemons()))

    async def stop_in_series(self):
        for daemon in self.random_daemons():
            await self.restart(daemon, signal.SIGTERM)

    async def freeze(self):
        daemon = self.random.choice(self.world.daemons)
        daemon.signal(signal.SIGSTOP)
        await self.pause(0.1, 2.5)
        daemon.signal(signal.SIGCONT)

    async def reload(self):
        for daemon in self.random_daemons():
            daemon.signal(signal.SIGHUP)

    async def store_fault(self):
        affected, mode = self.random_daemons(), self.random.choice(STORE_MODES)
        for daemon in affected:
            self.world.store.modes[daemon.name] = mode
        await self.pause(0.3, 3.0)
        for daemon in affected:
            self.world.store.modes[daemon.name] = "ok"

    async def discard_history(self):
        self.world.store.discard_history()

    async def change_configuration(self):
        for _ in range(self.random.choice([1, 1, 5])):
            self.world.change_configuration()
            await asyncio.sleep(0.05)

    async def link_fault(self):
        """Makes the links to a daemon slow, silent, or silent in one direction."""
        name = self.random.choice(self.world.daemons).name
        to_target, to_client = self.random.choice([({"delay_ms": 100}, {"delay_ms": 100}), ({"hold": True}, {"hold": True}),
                                                   ({"hold": True}, {})])
        self.world.proxy.change(name, to_target=to_target, to_client=to_client)
        await self.pause(0.2, 2.5)
        clear = {"delay_ms": 0, "hold": False}
        self.world.proxy.change(name, to_target=clear, to_client=clear)

    async def link_reset(self):
        for daemon in self.random_daemons():
            self.world.proxy.cut(daemon.name)
            self.world.ledger.on_disturbed(daemon.name)

    async def stop_beside_silent_links(self):
        """Silences the links to a daemon one way while its backend server is at work, lets the other backend servers
        of its service refuse, and stops daemons in series meanwhile. Runs once, with its own random numbers."""
        rng = self.silence_random
        await asyncio.sleep(rng.uniform(0, self.seconds / 2))
        silent = rng.choice(self.world.daemons)
        others = [daemon for daemon in self.world.daemons if daemon is not silent]
        refusing = [daemon.backend for daemon in others if daemon.service == silent.service]
        silent.backend.slow_factor = rng.choice([40, 70])
        distant = [daemon for daemon in others if daemon.service != silent.service]
        calls = [asyncio.create_task(self.world.call(rng.choice(distant), kind, silent.service, allowed_ms=2900))
                 for kind in ["safe", "unsafe"] * 10]
        await asyncio.sleep(0.05)
        for backend in refusing:
            backend.refusing = True
        to_target, to_client = rng.choice([({"hold": True}, {}), ({}, {"hold": True})])
        self.world.proxy.change(silent.name, to_target=to_target, to_client=to_client)
        stops = asyncio.create_task(self.stop_in_turn(rng.sample(others, 2)))
        await asyncio.sleep(rng.uniform(0.8, 2.2))
        clear = {"delay_ms": 0, "hold": False}
        self.world.proxy.change(silent.name, to_target=clear, to_client=clear)
        await asyncio.sleep(0.3)
        silent.backend.slow_factor = 1.0
        for backend in refusing:
            backend.refusing = False
        await asyncio.gather(stops, *calls)

    async def stop_in_turn(self, daemons):
        for daemon in daemons:
            await self.restart(daemon, signal.SIGTERM)

    async def backend_crash(self):
        backend = self.random.choice(self.world.daemons).backend
        if backend.server is None or backend.departed_at is not None or backend.state != "ready":
            return  # another fault acts on it
        backend.state = "gone"
        backend.crash()
        await self.pause(0.1, 1.0)
        await backend.start()

    async def backend_departs(self):
        backend = self.random.choice(self.world.daemons).backend
        if backend.server is None or backend.state != "ready":
            return
        await backend.deregister()
        await self.pause(0.3, 3.0)
        backend.crash()
        await backend.start()

    async def backend_slow(self):
        backend = self.random.choice(self.world.daemons).backend
        backend.slow_factor = self.random.choice([3, 10, 40])
        await self.pause(0.3, 2.0)
        backend.slow_factor = 1.0


FAULTS = [Soak.stop_one, Soak.kill_one, Soak.kill_many, Soak.stop_in_series, Soak.freeze, Soak.reload, Soak.store_fault,
          Soak.discard_history, Soak.change_configuration, Soak.link_fault, Soak.link_reset, Soak.backend_crash,
          Soak.backend_departs, Soak.backend_slow]


async def run_seed(seed, seconds, directory):
    """Returns the violations of one run, its faults and the number of responses by status."""
    async with World(directory) as world:
        soak = Soak(world, seed, seconds)
        violations = await soak.run()
        return violations, soak.faults, world.ledger.answers


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--seeds", type=int, default=1, help="number of new random seeds")
    parser.add_argument("--seconds", type=float, default=8.0, help="duration of fault injection")
    parser.add_argument("--keep", help="directory that keeps the daemons' logs")
    options = parser.parse_args()
    failed = 0
    for seed in options.seed or [secrets.randbits(32) for _ in range(options.seeds)]:
        with tempfile.TemporaryDirectory() as scratch:
            started = time.monotonic()
            violations, faults, answers = asyncio.run(run_seed(seed, options.seconds, options.keep or scratch))
        failed += bool(violations)
        print(f"seed {seed}: {len(faults)} faults, answers {answers}, {len(violations)} violations, "
              f"{time.monotonic() - started:.0f} s", flush=True)
        for line in violations[:10]:
            print(f"  {line}")
    print(f"{failed} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
