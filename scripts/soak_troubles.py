"""Troubles that some seeds of the soak have: answers that come twice, uploads and
slow readers near the memory of an entry, and a request that crashes upstreams."""

import asyncio
import dataclasses
import random
import time

import soak_callers
from soak_actors import POISON

# Memory of an entry, of which bodies get 13 MB.
MEMORY_MB, MEMORY_TICK_SECONDS = 64, 0.02
UPLOAD_BYTES, UPLOADERS = (1_000_000, 6_000_000), 3
POISON_PAUSE_SECONDS = (0.1, 1.5)


@dataclasses.dataclass
class Troubles:
    """Which of them one run has."""

    uploads: bool = False
    poison: bool = False

    def memory(self):
        """@return the line of an entry's settings file."""
        return f"memory_mb = {MEMORY_MB}" if self.uploads else ""


def draw(seed):
    return Troubles(uploads=seed % 2 == 1, poison=seed % 3 == 1)


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


def callers(world):
    """@return the callers that the troubles of a run have."""
    made = []
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
    """An entry above its memory would be killed with all that it handles."""
    told = set()
    while world.troubles.uploads:
        await asyncio.sleep(MEMORY_TICK_SECONDS)
        for entry in world.entries:
            used = own_memory_mb(entry.process) if entry.process else 0.0
            if used > MEMORY_MB and entry.name not in told:
                told.add(entry.name)
                world.broke(f"{entry.name} uses {used:.0f} of {MEMORY_MB} MB")
