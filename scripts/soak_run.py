"""One run of the soak: hosts, proxies, faults and the verdict."""

import asyncio
import collections
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

import soak_actors
import soak_callers
import soak_judge
import soak_operator
import soak_paths
import soak_scheduling
import soak_troubles

CONTROL_HOSTS = 5
ENTRY_HOSTS = 3
UPSTREAMS = 4
DESKS = 2
# Of the requests after the faults; below it the deployment has not recovered.
SERVED_AFTER = 0.9
SETTLE_SECONDS = 6
RECOVERY_SECONDS = 8
# Blocks of ports, below those that the kernel gives out itself.
FIRST_PORT, PORT_BLOCK, PORT_BLOCKS = 20000, 50, 240
LOCK_ADDRESS = "127.0.4.1"
# The soak's own delays: it looks this often, and one this long is noted.
TICK_SECONDS, HELD_UP_SECONDS = 0.01, 0.02
# A delay of the soak, or of its disk, that a reader of a failed run must know.
NOTED_SECONDS, DISK_TICK_SECONDS = 0.2, 0.5
DISK_STANDS_SECONDS, LONGEST_RECOVERY_SECONDS = 1.0, 60
HOST_FAULTS = ["kill", "pause", "term", "reset", "delay", "refuse", "silent",
               "silent in", "silent out"]
ALLOCATOR_FAULTS = ["kill", "kill", "pause", "pause", "term", "silent in",
                    "silent out"]
EVENTS = {signal.SIGKILL: "kill", signal.SIGTERM: "term",
          signal.SIGSTOP: "stop", signal.SIGCONT: "cont"}


def reserve_ports(first):
    """Takes a block of ports that no other soak beside this one uses.
    @return the first port, and the socket that holds the block while open."""
    for number in range(PORT_BLOCKS):
        base = FIRST_PORT + (first + number) % PORT_BLOCKS * PORT_BLOCK
        lock = socket.socket()
        try:
            lock.bind((LOCK_ADDRESS, base))
            return base, lock
        except OSError:
            lock.close()  # Another soak has it.
    raise SystemExit("no block of ports is free")


class Proxy:
    """Stands before a host's peers address; others know the proxy's only."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.mode = "pass"
        self.delay = 0.0
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    def stop(self):
        if self.server:
            self.server.close()

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
        self.binary = world.binary
        self.process = None
        self.life = soak_judge.Life()
        self.told_to_end = False
        # Faults of it that are not over, and when faults of it began and ended.
        self.disturbed = 0
        self.disturbances = []
        self.moment = asyncio.Event()

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
link_mbits = {self.world.scheduling.link(self.name)}
{'' if control else self.world.troubles.memory()}
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
{self.world.scheduling.sections(first)}
"""

    def was_disturbed(self, begin, end):
        return self.disturbed > 0 or any(
            first <= end and begin <= last for first, last in self.disturbances)

    def start(self, first=False):
        self.folder.mkdir(parents=True, exist_ok=True)
        file = self.folder / "settings.ini"
        file.write_text(self.settings(first))
        self.told_to_end = False
        self.life.add(time.monotonic(), "start")
        log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            [str(self.binary), "gateway", "--settings", str(file)],
            stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.told_to_end |= number in (signal.SIGTERM, signal.SIGKILL)
            # Before the signal: what it does to a caller is seen after it.
            self.life.add(time.monotonic(), EVENTS[number])
            self.process.send_signal(number)

    async def signal_under_callers(self, number):
        """Callers that wait for this moment send around the signal."""
        moment, self.moment = self.moment, asyncio.Event()
        moment.set()
        await asyncio.sleep(self.world.random.choice([0, 0, 0.001, 0.005]))
        self.signal(number)

    def end(self):
        if self.process:
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def has_ended(self):
        """Beside the loop: a process that waits for the disk ends late."""
        await asyncio.get_running_loop().run_in_executor(
            None, self.process.wait)

    def ended_by_itself(self):
        return (self.process is not None and not self.told_to_end
                and self.process.poll() is not None)


class World:
    """What a run knows, and what it has seen broken."""

    def __init__(self, binary, seed, seconds, scheduling="never",
                 entries=ENTRY_HOSTS):
        """@param scheduling runs with the scheduling settings: see draw.
        @param entries entry hosts."""
        self.binary = pathlib.Path(binary).resolve() / "rattandyke"
        self.seed, self.seconds = seed, seconds
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.base, self.ports = reserve_ports(os.getpid() * 7 + seed)
        self.began = time.monotonic()
        self.over = False
        self.broken = []
        self.counts = collections.Counter()
        # By kind and status.
        self.answers = collections.Counter()
        self.faults = 0
        self.notes = []
        self.runs = collections.Counter()
        self.not_run = set()
        self.bodies = {}
        # The entry that a request was sent to, and when.
        self.senders = {}
        self.arrivals = collections.defaultdict(list)
        self.held_up = []
        # The disk was found to stand still, at last then; it was asked then.
        self.disk_stood, self.disk_asked = 0.0, None
        # The smallest that was ever sent, and the last acknowledged.
        self.idle_limit = soak_operator.FIRST_IDLE_SECONDS
        self.last_idle_limit = soak_operator.FIRST_IDLE_SECONDS
        self.hosts = [Host(self, "control", n) for n in range(CONTROL_HOSTS)]
        self.entries = [Host(self, "entry", n) for n in range(entries)]
        self.scheduling = soak_scheduling.draw(
            seed, scheduling, [host.name for host in self.hosts],
            [entry.name for entry in self.entries])
        self.troubles = soak_troubles.Troubles()
        # Set as the faults begin.
        self.faults_end = 0.0
        self.paths = soak_paths.Paths()
        # Requests that an upstream had at the same time.
        self.most_at_once = 0
        # The key of all requests, while there is one.
        self.hot_key = None
        self.upstreams = [
            soak_actors.Upstream(self, n, "board" if n < UPSTREAMS else "desk",
                                 n < UPSTREAMS)
            for n in range(UPSTREAMS + DESKS)]

    def port(self, offset):
        return self.base + offset

    def control_address(self):
        return self.random.choice(self.hosts).listen, self.port(4)

    def at(self, moment):
        """@return a moment of the clock as a time of this run."""
        return "never" if moment is None else f"{moment - self.began:.3f} s"

    def broke(self, text):
        self.broken.append(f"{self.at(time.monotonic())}: {text}")

    def note(self, text):
        self.notes.append(f"{self.at(time.monotonic())}: {text}")

    def fault(self, text):
        self.faults += 1
        self.note(text)

    def arrived(self, request, upstream, body):
        """@return the Arrival, whose end the upstream notes."""
        arrival = soak_judge.Arrival(time.monotonic(), upstream.id)
        sender, _ = self.senders.get(request, (None, 0.0))
        arrival.relayed = self.paths.may_be_relayed(sender)
        self.arrivals[request].append(arrival)
        if body != self.bodies.get(request, b""):
            self.broke(f"{request} reached {upstream.id} with another body")
        return arrival

    def may_be_lost(self, arrival, ended):
        """@return whether an answer may have been lost, or be late, between two
        entries of which one was disturbed: it passes a proxy of the soak."""
        return arrival.relayed and any(
            entry.was_disturbed(arrival.at, ended) for entry in self.entries)

    def calm_sender(self, request):
        """@return the entry that a request was sent to and when; None for the
        entry if it is not known or there is a fault of it."""
        entry, sent = self.senders.get(request, (None, 0.0))
        return (None if entry is None or entry.disturbed else entry), sent

    def count(self, what):
        self.counts[what] += 1

    def ran(self, request, kind, upstream):
        if kind == "POST":
            self.runs[request] += 1
            if self.runs[request] > 1:
                self.broke(f"{request} ran twice, at last at {upstream.id}")
        if request in self.not_run:
            self.broke(f"{request} ran after it was refused")

    def refused(self, request):
        self.not_run.add(request)
        if any(arrival.ran for arrival in self.arrivals.get(request, ())):
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
        return (f"{self.scheduling.describe()}; {self.faults} faults, at most "
                f"{self.most_at_once} at once at an upstream; {seen}")


async def host_fault(world, host, kinds=HOST_FAULTS, lasts=(0.3, 3.0)):
    """One fault of a host, over when this returns. What upstreams told the host
    before it is over does not bind it.
    @param kinds of faults.
    @param lasts shortest and longest time of it."""
    host.disturbed += 1
    began = time.monotonic()
    try:
        await one_host_fault(world, host, kinds, lasts)
    finally:
        host.disturbed -= 1
        host.disturbances.append((began, time.monotonic()))
        for upstream in world.upstreams:
            upstream.pressure.disturbed(host)


async def allocator_fault(world, host):
    """A fault of a host that allocates slots. Short ones too: whoever asks it
    for a slot notices its silence after 110 ms."""
    if not host.disturbed:
        await host_fault(world, host, ALLOCATOR_FAULTS, (0.05, 2.0))


async def one_host_fault(world, host, kinds, lasts):
    rand = world.random
    kind = rand.choice(kinds)
    lasts = rand.uniform(*lasts)
    world.fault(f"{kind} {host.name} {lasts:.1f}")
    if kind == "kill":
        host.signal(signal.SIGKILL)
        await host.has_ended()
        await asyncio.sleep(lasts)
        host.start()
    elif kind == "term":
        await host.signal_under_callers(signal.SIGTERM)
        await host.has_ended()
        host.start()
    elif kind == "pause":
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        await host.signal_under_callers(signal.SIGCONT)
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
    kind = world.random.choice(["crash", "drain", "leave", "restart"])
    if not upstream.alive:
        return  # A request has crashed it, and it comes back by itself.
    world.fault(f"{kind} {upstream.id}")
    if kind == "drain":
        upstream.draining = True
        await asyncio.sleep(soak_actors.LEAVING_SECONDS)
    if kind == "leave":
        await upstream.leave()
    else:
        await upstream.crash()
    await asyncio.sleep(world.random.uniform(0.2, 2.0))
    await upstream.start(same_id=kind == "restart")


async def pressure_fault(world, upstream):
    """For a while an upstream names a limit or asks for rests, or it says that
    it leaves while nobody else says so."""
    rand, life = world.random, upstream.life
    kind = rand.choice(["limit", "limit", "rest", "says it leaves"])
    if not upstream.alive:
        return
    if kind == "limit":
        rate = rand.choice([0, 0.5, 1, 2.5, 10])
        world.fault(f"{kind} {upstream.id} {rate}")
        upstream.pressure.limit(time.monotonic(), rate)
        await asyncio.sleep(rand.uniform(4.0, 9.0))
        if upstream.life == life:
            upstream.pressure.limit(time.monotonic(), None)
    elif kind == "rest":
        upstream.rest = rand.choice([0.6, 1, 2.5])
        lasts = rand.uniform(1.0, 4.0)
        world.fault(f"{kind} {upstream.id} {upstream.rest} {lasts:.1f}")
        upstream.sheds_until = time.monotonic() + lasts
        await asyncio.sleep(lasts)
    else:
        world.fault(f"{kind} {upstream.id}")
        upstream.says_leaving = True
        await asyncio.sleep(rand.uniform(2.5, 4.0))
        if upstream.life == life and upstream.alive:
            await upstream.crash()
            await upstream.start()


async def path_fault(world, rand):
    """An entry loses its path to all upstreams, and at times all but one do."""
    kind, lasts = rand.choice(soak_paths.KINDS), rand.uniform(0.3, 4.0)
    lost = [rand.choice(world.entries)]
    if rand.random() < 0.4:
        lost = rand.sample(world.entries, len(world.entries) - 1)
    lost = [one for one in lost if one not in world.paths.cuts
            and one.process and one.process.poll() is None]
    names = " ".join(one.name for one in lost)
    world.fault(f"upstreams lost, {kind}: {names} {lasts:.1f}")
    for one in lost:
        world.paths.cut(one, world.upstreams, kind)
    await asyncio.sleep(lasts)
    for one in lost:
        world.paths.heal(one)


async def path_faults(world, number, pause):
    """Path faults one after another, drawn from a source of their own, so that
    a seed's other faults stay the same."""
    rand = random.Random(f"{world.seed}/paths/{number}")
    end = time.monotonic() + world.seconds
    while time.monotonic() < end:
        await path_fault(world, rand)
        await asyncio.sleep(rand.uniform(*pause))


async def demand_fault(world, upstream):
    """For a while an upstream is slow, or all callers want one key."""
    rand, life = world.random, upstream.life
    lasts = rand.uniform(0.5, 3.0)
    if rand.random() < 0.5:
        world.fault(f"slow {upstream.id} {lasts:.1f}")
        upstream.slow = True
        await asyncio.sleep(lasts)
        if upstream.life == life:
            upstream.slow = False
    else:
        world.hot_key = rand.randrange(soak_actors.KEYS)
        world.fault(f"hot key {world.hot_key} {lasts:.1f}")
        await asyncio.sleep(lasts)
        world.hot_key = None


async def faults(world, hosts, make, pause):
    """Faults one after another; several of these run beside each other."""
    end = time.monotonic() + world.seconds
    while time.monotonic() < end:
        await make(world, world.random.choice(hosts))
        await asyncio.sleep(world.random.uniform(*pause))


async def note_delays(world):
    """What the soak itself was too late to see, and hosts that ended."""
    while True:
        due = time.monotonic() + TICK_SECONDS
        await asyncio.sleep(TICK_SECONDS)
        now = time.monotonic()
        if now - due > HELD_UP_SECONDS:
            world.held_up.append((due, now))
        if now - due > NOTED_SECONDS:
            world.note(f"the soak was held up for {now - due:.2f} s")
        for host in world.hosts + world.entries:
            if host.ended_by_itself():
                host.told_to_end = True
                world.broke(f"{host.name} ended by itself with "
                            f"{host.process.returncode}")


def sync_file(path):
    """@return how long the disk took to make a line durable."""
    begin = time.monotonic()
    with open(path, "a", encoding="ascii") as file:
        file.write("x\n")
        file.flush()
        os.fsync(file.fileno())
    return time.monotonic() - begin


async def note_disk(world):
    """Control hosts wait for the disk: without it nothing is acknowledged and
    nobody is elected."""
    while True:
        await asyncio.sleep(DISK_TICK_SECONDS)
        world.disk_asked = time.monotonic()
        took = await asyncio.get_running_loop().run_in_executor(
            None, sync_file, world.folder / "synced")
        world.disk_asked = None
        if took > NOTED_SECONDS:
            world.note(f"the disk took {took:.2f} s")
        if took > DISK_STANDS_SECONDS:
            world.disk_stood = time.monotonic()


async def recovery(world):
    """Waits until hosts have had the time to recover, on a disk that works: no
    host can elect, grant or acknowledge anything without it."""
    began = time.monotonic()
    while (now := time.monotonic()) < began + LONGEST_RECOVERY_SECONDS:
        asked = world.disk_asked
        if asked is not None and now - asked > DISK_STANDS_SECONDS:
            world.disk_stood = now
        if now - max(world.disk_stood, began) >= RECOVERY_SECONDS:
            return
        await asyncio.sleep(DISK_TICK_SECONDS)
    world.note("the disk never worked for long enough")


def host_series(world):
    """@return series of faults of hosts, of which at most two control hosts
    and two entries are disturbed at the same time."""
    if world.scheduling.is_on():
        return [
            faults(world, world.hosts, allocator_fault, (0.05, 0.8)),
            faults(world, world.hosts, allocator_fault, (0.5, 2.0)),
            faults(world, world.entries[:1], allocator_fault, (0.3, 2.0)),
            faults(world, world.entries[1:], host_fault, (0.5, 3.0)),
            faults(world, world.upstreams, demand_fault, (0.5, 2.0))]
    half = CONTROL_HOSTS // 2
    return [faults(world, world.hosts[:half], host_fault, (0.1, 1.5)),
            faults(world, world.hosts[half:half + 1], host_fault, (0.5, 4.0)),
            faults(world, world.entries[:1], host_fault, (0.3, 3.0)),
            faults(world, world.entries[1:], host_fault, (0.5, 3.0))]


async def play(world):
    world.began = time.monotonic()
    world.troubles = soak_troubles.draw(world.seed)
    watches = [asyncio.ensure_future(note_delays(world)),
               asyncio.ensure_future(note_disk(world)),
               asyncio.ensure_future(soak_troubles.watch_memory(world))]
    for host in world.hosts + world.entries:
        await host.proxy.start()
        host.start(first=True)
    operator = soak_operator.Operator(world)
    if not await operator.send(operator.first()):
        world.broke("the first configuration was never acknowledged")
        return
    for upstream in world.upstreams:
        await upstream.start()
    await asyncio.sleep(SETTLE_SECONDS)
    world.faults_end = time.monotonic() + world.seconds
    tasks = [asyncio.ensure_future(caller.run())
             for caller in (soak_callers.callers(world)
                            + soak_troubles.callers(world))]
    tasks.append(asyncio.ensure_future(operator.run()))
    tasks.append(asyncio.ensure_future(soak_actors.Stranger(world).run()))
    await asyncio.gather(
        *host_series(world),
        path_faults(world, 1, (0.2, 3.0)),
        path_faults(world, 2, (2.0, 6.0)),
        faults(world, world.upstreams, upstream_fault, (0.5, 3.0)),
        soak_troubles.double_faults(world),
        faults(world, world.upstreams[:UPSTREAMS], pressure_fault, (0.1, 1.0)),
        faults(world, world.upstreams[UPSTREAMS:], pressure_fault, (0.1, 1.0)))
    if world.random.random() < 0.5:
        await kill_all(world)
    await recovery(world)
    await judge_recovery(world)
    world.over = True
    await asyncio.gather(*tasks)
    await operator.read_back()
    starts = sum(event == "start" for entry in world.entries
                 for _, event in entry.life.events)
    for text in soak_judge.retries_broken(world.arrivals, starts):
        world.broke(text)
    for watch in watches:
        watch.cancel()


async def judge_recovery(world):
    before = collections.Counter(world.counts)
    answers = collections.Counter(world.answers)
    await asyncio.sleep(3)
    after = world.counts - before
    served = soak_judge.served_share(after)
    if served < SERVED_AFTER:
        world.broke(f"only {served:.2f} are served after the faults: {after}")
    for kind in soak_judge.starved(world.answers - answers):
        world.broke(f"{kind} is starved after the faults")


async def end_tasks():
    """Ends what the proxies and upstreams still do. A task may miss one cancel:
    wait_for drops it if what it waits for is done in the same moment."""
    while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=1)


async def play_whole(world):
    try:
        await play(world)
    finally:
        for host in world.hosts + world.entries:
            host.end()
            host.proxy.stop()
        for upstream in world.upstreams:
            upstream.stop()
        await end_tasks()


async def kill_all(world):
    """A final fault: all hosts die in the same moment and start again."""
    world.fault("kill all")
    for host in world.hosts + world.entries:
        host.signal(signal.SIGKILL)
    for host in world.hosts + world.entries:
        await host.has_ended()
    for host in world.hosts + world.entries:
        host.start()


def run(binary, seed, seconds, scheduling, entries=ENTRY_HOSTS):
    """@return the World of the run, with what was broken."""
    world = World(binary, seed, seconds, scheduling, entries)
    asyncio.run(play_whole(world))
    world.ports.close()
    (world.folder / "faults").write_text("\n".join(world.notes) + "\n")
    if not world.broken:
        shutil.rmtree(world.folder, ignore_errors=True)
    return world
