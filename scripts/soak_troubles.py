"""Troubles that some seeds of the soak have: answers that come twice, uploads and
slow readers near the memory of an entry, a request that crashes upstreams, heartbeats
that arrive late, interim answers, answers that are none, and callers that send bytes
without end or requests that can't be read."""

import asyncio
import dataclasses
import random
import time

import message_corpus
import soak_callers
import soak_http
from soak_actors import POISON, words

# Memory of an entry, of which bodies get 13 MB; and where it is not told.
MEMORY_MB, MEMORY_TICK_SECONDS = 64, 0.02
USUAL_MEMORY_MB = 260
UPLOAD_BYTES, UPLOADERS = (1_000_000, 6_000_000), 3
POISON_PAUSE_SECONDS = (0.1, 1.5)
LATE_SHARE, LATE_SECONDS = 0.4, (0.5, 3.0)
INTERIM_SHARE, LONGEST_INTERIM = 0.2, 3
ENDLESS_UNIT, ENDLESS_SECONDS = 65536, 3.0
MALFORMED_PAUSE_SECONDS, MALFORMED_SECONDS = (0.02, 0.3), 5.0
BROKEN_SHARE = 0.1
# Rows of the corpus whose connection ends before the length that they announce are
# left out: to an entry, the upstream has crashed.
BROKEN_ROWS = [row for row in message_corpus.read_corpus("responses.txt")
               if row[1] == "none/open" or row[0].startswith("neither length")]


@dataclasses.dataclass
class Troubles:
    """Which of them one run has."""

    uploads: bool = False
    poison: bool = False
    late_heartbeats: bool = False
    interim_answers: bool = False
    endless: bool = False
    malformed: bool = False
    broken_answers: bool = False
    # Sources of their own, so that a seed's other faults stay the same.
    source: random.Random = dataclasses.field(default_factory=random.Random)
    broken_source: random.Random = dataclasses.field(
        default_factory=random.Random)

    async def send_heartbeat(self, world, path, body):
        """@return the answer; None if the heartbeat arrives late, when its sender
        waits no longer."""
        async def send():
            return await soak_http.call(
                *world.control_address(), "POST", path, {}, body, timeout=1.0)

        async def send_late():
            await asyncio.sleep(self.source.uniform(*LATE_SECONDS))
            await send()

        late = (self.late_heartbeats and time.monotonic() < world.faults_end
                and self.source.random() < LATE_SHARE)
        if not late:
            return await send()
        asyncio.ensure_future(send_late())
        await asyncio.sleep(1.0)
        return None

    def interim(self, fields):
        """@return interim answers to send before the final one."""
        if not self.interim_answers or self.source.random() > INTERIM_SHARE:
            return b""
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        one = f"HTTP/1.1 103 Early Hints\r\n{head}\r\n".encode()
        return one * self.source.randint(1, LONGEST_INTERIM)

    def broken_answer(self, world, request):
        """@return what is sent in place of an answer, and whether the connection
        ends after it; None if the answer is sent."""
        if (not self.broken_answers or time.monotonic() >= world.faults_end
                or self.broken_source.random() > BROKEN_SHARE):
            return None
        row = self.broken_source.choice(BROKEN_ROWS)
        world.count("broken answers")
        return message_corpus.expand(
            row[2], message_corpus.response_macros(request)), row[1] == "none"

    def memory(self):
        """@return the line of an entry's settings file."""
        return f"memory_mb = {MEMORY_MB}" if self.uploads else ""


def draw(seed):
    return Troubles(uploads=seed % 2 == 1, poison=seed % 3 == 1,
                    late_heartbeats=seed % 4 == 2,
                    interim_answers=seed % 5 in (0, 1), endless=seed % 3 == 2,
                    malformed=seed % 2 == 0, broken_answers=seed % 2 == 0,
                    source=random.Random(f"{seed}/troubles"),
                    broken_source=random.Random(f"{seed}/broken answers"))


async def double_faults(world):
    """Upstreams that give answers twice, one after another. Drawn from a source
    of their own, so that a seed's other faults stay the same."""
    rand = random.Random(f"{world.seed}/doubles")
    while time.monotonic() < world.faults_end:
        upstream, lasts = rand.choice(world.upstreams), rand.uniform(0.5, 4.0)
        world.fault(f"answers twice {upstream.id} {lasts:.1f}")
        copies = upstream.copies
        copies.on = True
        await asyncio.sleep(lasts)
        copies.on = False
        await asyncio.sleep(rand.uniform(0.1, 1.0))


class Uploader(soak_callers.Caller):
    """Uploads large bodies, one after another."""

    def body(self, request, shape):
        size = self.random.randint(*UPLOAD_BYTES)
        return (f"{request};".encode() * (size // len(request) + 1))[:size]


class PoisonCaller(soak_callers.Caller):
    """Sends a request again and again that crashes each upstream that runs it."""

    def body(self, request, shape):
        return POISON

    async def pause(self, connection):
        await asyncio.sleep(self.random.uniform(*POISON_PAUSE_SECONDS))

    async def session(self, connection):
        if time.monotonic() < self.world.faults_end:
            await super().session(connection)
        else:
            await asyncio.sleep(MEMORY_TICK_SECONDS)


class EndlessCaller:
    """Sends requests that never end, to entries and to control hosts."""

    def __init__(self, world):
        self.world = world
        self.random = random.Random(f"{world.seed}/endless")

    async def run(self):
        while not self.world.over:
            if self.random.random() < 0.5:
                address = (self.random.choice(self.world.entries).listen,
                           self.world.port(2))
            else:
                address = self.world.control_address()
            chunked = b"Transfer-Encoding: chunked\r\n\r\n"
            begin, unit = self.random.choice(
                [(b"X: ", b"a"), (b"", b"X: a\r\n"), (chunked + b"4;x=", b"a"),
                 (chunked + b"0\r\n", b"X: a\r\n")])
            try:
                await asyncio.wait_for(
                    self.send(address, begin, unit), ENDLESS_SECONDS)
                self.world.count("endless ended")
            except asyncio.TimeoutError:
                self.world.count("endless given up")
            except OSError:
                self.world.count("endless ended")
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def send(self, address, begin, unit):
        _, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"PUT /desk/x HTTP/1.1\r\nHost: soak.example\r\n"
                         f"{words.REQUEST_ID}: endless\r\n".encode() + begin)
            while not self.world.over:
                writer.write(unit * (ENDLESS_UNIT // len(unit)))
                await writer.drain()
        finally:
            writer.transport.abort()


class MalformedCaller:
    """Sends requests that must be refused, some with another one in their bodies.
    No part of them may reach an upstream."""

    def __init__(self, world):
        self.world = world
        self.random = random.Random(f"{world.seed}/malformed")
        self.rows = [row for row in message_corpus.read_corpus("requests.txt")
                     if not row[1].startswith("200")]
        self.number = 0

    async def run(self):
        while not self.world.over:
            row = self.random.choice(self.rows)
            try:
                await asyncio.wait_for(self.send(row), MALFORMED_SECONDS)
            except (OSError, asyncio.TimeoutError):
                self.world.count("malformed without an end")
            await asyncio.sleep(self.random.uniform(*MALFORMED_PAUSE_SECONDS))

    async def send(self, row):
        self.number += 1
        identity = f"malformed-{self.number}"
        entry = self.random.choice(self.world.entries)
        reader, writer = await asyncio.open_connection(
            entry.listen, self.world.port(2))
        try:
            writer.write(message_corpus.expand(
                row[2], message_corpus.request_macros(identity, "/desk/x")))
            answer = await reader.read()
        finally:
            writer.transport.abort()
        status = answer[9:12].decode("latin-1")
        self.world.count("malformed")
        # The entry may end meanwhile.
        if status and status not in row[1].split(","):
            self.world.broke(f"{row[0]!r} got {status}, expected {row[1]}")
        if answer.count(b"HTTP/1.1 ") > 1:
            self.world.broke(f"{row[0]!r} got two answers")
        if self.world.arrivals.get(identity):
            self.world.broke(f"{row[0]!r} reached an upstream")


def callers(world):
    """@return the callers that the troubles of a run have."""
    made = []
    if world.troubles.malformed:
        made.append(MalformedCaller(world))
    if world.troubles.endless:
        made.append(EndlessCaller(world))
    if world.troubles.uploads:
        made += [Uploader(world, f"up{number}", ["chunked", "plain"], 0.3)
                 for number in range(UPLOADERS)]
    if world.troubles.poison:
        made.append(PoisonCaller(world, "poison", ["plain"], 1.0))
    return made


def own_memory_mb(process):
    """@return the memory of a process; pages of files don't count."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass  # It has ended.
    return 0.0


async def watch_memory(world):
    """A host above its memory would be killed with all that it handles."""
    told = set()
    small = world.entries if world.troubles.uploads else []
    while world.troubles.uploads or world.troubles.endless:
        await asyncio.sleep(MEMORY_TICK_SECONDS)
        for host in world.hosts + world.entries:
            most = MEMORY_MB if host in small else USUAL_MEMORY_MB
            used = own_memory_mb(host.process) if host.process else 0.0
            if used > most and host.name not in told:
                told.add(host.name)
                world.broke(f"{host.name} uses {used:.0f} of {most} MB")
