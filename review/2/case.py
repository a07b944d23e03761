"""Three clients upload bodies within the configured limit at the same time. The
entry host keeps each body twice, exceeds its machine's memory and is killed
with all requests that it has passed on."""

import asyncio
import collections
import os
import pathlib
import random
import signal
import sys
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import deployment  # noqa: E402
import target  # noqa: E402
import world as worlds  # noqa: E402

SEED = 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260
UPLOADERS = 3
UPLOAD_BYTES = 60_000_000 if TROUBLE else 1200
CLIENTS, DEADLINE_MS = 10, 2500
WORK_SECONDS = (0.2, 0.4)
# More than this many requests from kept connections may not be lost.
ALLOWED_LOST = 3


def memory_mb(process):
    """@return the process's own memory; shared pages of files don't count."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def platform(world, host):
    """Kills a process that uses more memory than its machine has."""
    world.peak = 0.0
    while host.process.poll() is None:
        used = memory_mb(host.process)
        world.peak = max(world.peak, used)
        if used > MEMORY_MB:
            world.note(f"{host.name} uses {used:.0f} MB of {MEMORY_MB} MB and "
                       "is killed")
            world.killed_at = time.monotonic()
            host.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.005)


async def client(world, number, entry):
    """Sends bookings on one kept connection until the run is over."""
    rand = random.Random(f"{world.seed}/client/{number}")
    own = worlds.Client(world, f"c{number}", rand)
    while not world.over:
        kept = own.writer is not None
        request, status, _, _ = await own.request(
            entry, "POST", "/book/x", body=b"b" * 300, deadline_ms=DEADLINE_MS)
        world.outcomes[request] = status, kept
        world.statuses[status] += 1
        if status == 0:
            break
        await asyncio.sleep(rand.uniform(0.0, 0.02))
    own.close()


async def upload(world, number, entry):
    own = worlds.Client(world, f"u{number}", random.Random(number))
    request, status, _, _ = await own.request(
        entry, "PUT", "/upload/x", body=b"u" * UPLOAD_BYTES,
        deadline_ms=10000)
    world.note(f"upload {request} of {UPLOAD_BYTES} bytes ended with {status}")
    own.close()


async def play(world):
    world.outcomes, world.over, world.killed_at = {}, False, None
    world.statuses = collections.Counter()
    world.deployment.start()
    await world.configure(worlds.first_change(
        {"r-book": worlds.route("/book/", "desk", "unsafe", timeout="2500ms",
                                aim="600ms"),
         "r-upload": worlds.route("/upload/", "ledger", "unsafe",
                                  timeout="10000ms", aim="5000ms")},
        {"desk": worlds.service(False), "ledger": worlds.service(False)}),
        random.Random(world.seed))
    targets = [target.Target(world, name, number, False, work=WORK_SECONDS)
               for number, name in enumerate(["desk"] * 6 + ["ledger"] * 3)]
    for each in targets:
        await each.start()
    await world.ready()
    await asyncio.sleep(5)
    entry = world.deployment.entries[0]
    watch = asyncio.ensure_future(platform(world, entry))
    clients = [asyncio.ensure_future(client(world, number, entry))
               for number in range(CLIENTS)]
    await asyncio.sleep(4)
    await asyncio.gather(*(upload(world, number, entry)
                           for number in range(UPLOADERS)))
    await asyncio.sleep(2)
    world.over = True
    await asyncio.gather(*clients)
    watch.cancel()
    for each in targets:
        each.stop()


def judge(world):
    lost = [request for request, (status, kept) in world.outcomes.items()
            if status == 0 and kept and request in world.arrivals]
    for request in lost:
        world.note(f"lost {request}: passed on, from a kept connection, no "
                   "answer")
    if len(lost) > ALLOWED_LOST:
        world.broke(f"LOST {len(lost)} requests from kept connections were "
                    f"passed on to sound targets and got no answer; allowed "
                    f"are {ALLOWED_LOST}")
    if world.killed_at is not None:
        ran = sum(request in world.runs for request in lost)
        world.note(f"{ran} of them have run")


def main():
    folder = pathlib.Path(__file__).resolve().parent
    try:
        world = worlds.World(folder, SEED, entries=2)
    except deployment.CannotRun as error:
        print(f"can't run: {error}")
        return 2
    try:
        asyncio.run(play(world))
        judge(world)
        text = (f"answers {dict(world.statuses)}, memory at most "
                f"{world.peak:.0f} MB, "
                f"{'killed' if world.killed_at else 'not killed'}")
        world.note(text)
        print(text)
        for line in world.broken:
            print(line)
        return 1 if world.broken else 0
    except Exception:  # It shows nothing of the system.
        traceback.print_exc()
        return 2
    finally:
        world.end()


sys.exit(main())
