"""One run of the soak: hosts, proxies, faults and the verdict."""

import asyncio
import collections
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time

import soak_actors

CONTROL_HOSTS = 5
ENTRY_HOSTS = 3
UPSTREAMS = 4
DESKS = 2
CALLERS = 6
# Of the requests after the faults; below it the deployment has not recovered.
SERVED_AFTER = 0.9
SETTLE_SECONDS = 6
RECOVERY_SECONDS = 8


class Proxy:
    """Stands before a host's peers address; others know the proxy's only."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.mode = "pass"
        self.delay = 0.0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.mode == "refuse":
                return
            far = await asyncio.open_connection(*self.target)
            self.writers.add(far[1])
            await asyncio.gather(self.pump(reader, far[1], "in"),
                                 self.pump(far[0], writer, "out"))
        except (OSError, asyncio.CancelledError):
            pass  # A peer is gone, or the run is over.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                # Silence: bytes are taken and lost, the connection stays.
                if self.mode not in ("silent", "silent " + way):
                    writer.write(data)
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # A peer is gone, or the run is over.
        finally:
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Host:
    """A process of the product."""

    def __init__(self, world, role, number):
        self.world, self.role, self.number = world, role, number
        self.name = f"{role}-{number}"
        group = 10 if role == "control" else 30
        self.listen = f"127.0.1.{group + number}"
        self.outside = f"127.0.2.{group + number}"
        self.proxy = Proxy((self.outside, world.port(1)),
                           (self.listen, world.port(1)))
        self.folder = world.folder / self.name
        self.process = None

    def settings(self, first):
        seeds = ",".join(f"127.0.2.{10 + n}:{self.world.port(1)}"
                         for n in range(3))
        control = self.role == "control"
        return f"""
[host]
name = {self.name}
data_centre = here
role = {self.role}
data_folder = {self.folder / 'data' if control else ''}
first_start = {'true' if first else 'false'}
[listen]
callers = {'' if control else f'{self.listen}:{self.world.port(2)}'}
readiness = {'' if control else f'{self.listen}:{self.world.port(3)}'}
calls = {f'{self.listen}:{self.world.port(4)}' if control else ''}
peers = {self.listen}:{self.world.port(1)}
advertised = {self.outside}:{self.world.port(1)}
[control]
seeds = {seeds}
tolerated = {CONTROL_HOSTS // 2}
[leases]
heartbeat_interval = 400ms
longest_hold = 10s
hold = 2000ms
"""

    def start(self, first=False):
        self.folder.mkdir(parents=True, exist_ok=True)
        file = self.folder / "settings.ini"
        file.write_text(self.settings(first))
        log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            [str(self.world.binary), "gateway", "--settings", str(file)],
            stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


class World:
    """What a run knows, and what it has seen broken."""

    def __init__(self, binary, seed, seconds):
        self.binary = pathlib.Path(binary).resolve() / "rattandyke"
        self.seed, self.seconds = seed, seconds
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.base = 20000 + (os.getpid() * 7 + seed * 61) % 20000
        self.over = False
        self.broken = []
        self.counts = collections.Counter()
        self.faults = []
        self.runs = collections.Counter()
        self.not_run = set()
        self.hosts = [Host(self, "control", n) for n in range(CONTROL_HOSTS)]
        self.entries = [Host(self, "entry", n) for n in range(ENTRY_HOSTS)]
        self.upstreams = [
            soak_actors.Upstream(self, n, "board" if n < UPSTREAMS else "desk",
                                 n < UPSTREAMS)
            for n in range(UPSTREAMS + DESKS)]

    def port(self, offset):
        return self.base + offset

    def control_address(self):
        return self.random.choice(self.hosts).listen, self.port(4)

    def entry_address(self):
        return self.random.choice(self.entries).listen, self.port(2)

    def broke(self, text):
        self.broken.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    def count(self, what):
        self.counts[what] += 1

    def ran(self, request, kind, upstream):
        if kind == "POST":
            self.runs[request] += 1
            if self.runs[request] > 1:
                self.broke(f"{request} ran twice, at last at {upstream.id}")
            if request in self.not_run:
                self.broke(f"{request} ran after it was refused")

    def refused(self, request, kind):
        if kind == "POST":
            self.not_run.add(request)
            if self.runs[request]:
                self.broke(f"{request} was refused and has run")

    def check_owners(self, upstream):
        for other in self.upstreams:
            if other is upstream or not other.sharded or not upstream.sharded:
                continue
            for row in upstream.rows:
                for key in (row[0], row[1]):
                    if upstream.holds(key) and other.holds(key):
                        self.broke(f"key {key} is held by {upstream.id} and "
                                   f"{other.id}")

    def summary(self):
        seen = ", ".join(f"{name}: {count}"
                         for name, count in sorted(self.counts.items()))
        return f"{len(self.faults)} faults; {seen}"


async def host_fault(world, host):
    """One fault of a host, over when this returns."""
    rand = world.random
    kind = rand.choice(["kill", "pause", "term", "reset", "delay", "refuse",
                        "silent", "silent in", "silent out"])
    lasts = rand.uniform(0.3, 3.0)
    world.faults.append(f"{kind} {host.name} {lasts:.1f}")
    if kind == "kill":
        host.end()
        await asyncio.sleep(lasts)
        host.start()
    elif kind == "term":
        host.signal(signal.SIGTERM)
        await asyncio.get_running_loop().run_in_executor(
            None, host.process.wait)
        host.start()
    elif kind == "pause":
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        host.signal(signal.SIGCONT)
    elif kind == "reset":
        host.proxy.reset()
    elif kind == "delay":
        host.proxy.delay = rand.uniform(0.02, 0.4)
        await asyncio.sleep(lasts)
        host.proxy.delay = 0.0
    else:
        host.proxy.mode = kind
        if kind == "refuse":
            host.proxy.reset()
        await asyncio.sleep(lasts)
        host.proxy.mode = "pass"
        host.proxy.reset()


async def upstream_fault(world, upstream):
    kind = world.random.choice(["crash", "drain", "restart"])
    world.faults.append(f"{kind} {upstream.id}")
    if kind == "drain":
        upstream.draining = True
        await asyncio.sleep(1.5)
    await upstream.crash()
    await asyncio.sleep(world.random.uniform(0.2, 2.0))
    await upstream.start(same_id=kind == "restart")


async def faults(world, hosts, make, pause):
    """Faults one after another; several of these run beside each other."""
    end = time.monotonic() + world.seconds
    while time.monotonic() < end:
        await make(world, world.random.choice(hosts))
        await asyncio.sleep(world.random.uniform(*pause))


async def play(world):
    world.began = time.monotonic()
    for host in world.hosts + world.entries:
        await host.proxy.start()
        host.start(first=True)
    operator = soak_actors.Operator(world)
    if not await operator.send(operator.first()):
        world.broke("the first configuration was never acknowledged")
        return
    for upstream in world.upstreams:
        await upstream.start()
    await asyncio.sleep(SETTLE_SECONDS)
    callers = [soak_actors.Caller(world, n) for n in range(CALLERS)]
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    tasks.append(asyncio.ensure_future(operator.run()))
    tasks.append(asyncio.ensure_future(soak_actors.Stranger(world).run()))
    half = CONTROL_HOSTS // 2
    await asyncio.gather(
        faults(world, world.hosts[:half], host_fault, (0.1, 1.5)),
        faults(world, world.hosts[half:half + 1], host_fault, (0.5, 4.0)),
        faults(world, world.entries[:1], host_fault, (0.3, 3.0)),
        faults(world, world.entries[1:], host_fault, (0.5, 3.0)),
        faults(world, world.upstreams, upstream_fault, (0.5, 3.0)))
    world.random.choice([lambda: None, lambda: kill_all(world)])()
    await asyncio.sleep(RECOVERY_SECONDS)
    before = collections.Counter(world.counts)
    await asyncio.sleep(3)
    after = world.counts - before
    served = after["200"] / max(sum(after.values()), 1)
    if served < SERVED_AFTER:
        world.broke(f"only {served:.2f} are served after the faults: {after}")
    world.over = True
    await asyncio.gather(*tasks)
    await operator.read_back()


async def end_tasks():
    """Ends what the proxies and upstreams still do."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def play_whole(world):
    try:
        await play(world)
    finally:
        for host in world.hosts + world.entries:
            host.end()
        await end_tasks()


def kill_all(world):
    """A final fault: all hosts die in the same moment and start again."""
    world.faults.append("kill all")
    for host in world.hosts + world.entries:
        host.end()
    for host in world.hosts + world.entries:
        host.start()


def run(binary, seed, seconds):
    """@return the World of the run, with what was broken."""
    world = World(binary, seed, seconds)
    asyncio.run(play_whole(world))
    (world.folder / "faults").write_text("\n".join(world.faults) + "\n")
    if not world.broken:
        shutil.rmtree(world.folder, ignore_errors=True)
    return world
