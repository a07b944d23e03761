"""A request that crashes each target that begins to run it comes again and
again; the system passes it on each time."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import deployment  # noqa: E402
import target  # noqa: E402
import world as worlds  # noqa: E402

SEED = 3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TARGETS, CLIENTS = 8, 6
BACK_SECONDS, AGAIN_SECONDS, LOAD_SECONDS = 3.0, 1.5, 36
CONTACT_WINDOW, ALLOWED_RETRIES = 3.0, 3
POISON = b"the same notification each time"


class CrashingTarget(target.Target):
    """Crashes when it begins to run the poison, and is back after some
    seconds."""

    async def run(self, request, path, body):
        if TROUBLE and body == POISON:
            self.world.crashes.append(time.monotonic())
            self.world.note(f"crash of {self.id} by {request}")
            self.world.cut_off += self.inside - 1
            self.crash()
            asyncio.ensure_future(self.come_back())
            return False
        return await super().run(request, path, body)

    async def come_back(self):
        await asyncio.sleep(BACK_SECONDS)
        if not self.world.over:
            await self.start()


async def client(world, number, until):
    rand = random.Random(f"{world.seed}/client/{number}")
    own = worlds.Client(world, f"c{number}", rand)
    entries = world.deployment.entries
    while time.monotonic() < until:
        _, status, _, _ = await own.request(
            entries[number % len(entries)], "POST", "/notice/x",
            body=f"notice of {number}".encode(), deadline_ms=1000)
        world.statuses[status] += 1
        await asyncio.sleep(rand.uniform(0.0, 0.05))
    own.close()


async def poison_client(world, until):
    """Its request fails, and it sends the same one again to any entry host."""
    number = 0
    while time.monotonic() < until:
        entries = world.deployment.entries
        own = worlds.Client(world, f"p{number}", random.Random(number))
        _, status, _, _ = await own.request(
            entries[number % len(entries)], "POST", "/notice/poison",
            body=POISON, deadline_ms=1000)
        world.poison_statuses[status] += 1
        own.close()
        number += 1
        await asyncio.sleep(AGAIN_SECONDS)


async def play(world):
    world.over, world.crashes, world.cut_off = False, [], 0
    world.statuses = collections.Counter()
    world.poison_statuses = collections.Counter()
    world.deployment.start()
    await world.configure(worlds.first_change(
        {"r-notice": worlds.route("/notice/", "notices", "unsafe")},
        {"notices": worlds.service(False)}), random.Random(world.seed))
    targets = [CrashingTarget(world, "notices", number, False)
               for number in range(TARGETS)]
    for each in targets:
        await each.start()
    await world.ready()
    await asyncio.sleep(5)
    until = time.monotonic() + LOAD_SECONDS
    await asyncio.gather(poison_client(world, until),
                         *(client(world, number, until)
                           for number in range(CLIENTS)))
    world.over = True
    for each in targets:
        each.stop()


def judge(world):
    if len(world.crashes) < 3:
        return
    counted_from = world.crashes[2] + CONTACT_WINDOW
    retries = [request for request, arrivals in world.arrivals.items()
               if request.startswith("p")
               and any(at > counted_from for at, _ in arrivals)]
    if len(retries) > ALLOWED_RETRIES:
        world.broke(f"BUDGET the request reached targets in {len(retries)} "
                    f"retries sent later than {CONTACT_WINDOW} s after its "
                    f"third crash; allowed are {ALLOWED_RETRIES}")


def main():
    folder = pathlib.Path(__file__).resolve().parent
    try:
        world = worlds.World(folder, SEED, entries=3)
    except deployment.CannotRun as error:
        print(f"can't run: {error}")
        return 2
    try:
        asyncio.run(play(world))
        judge(world)
        text = (f"the request's answers {dict(world.poison_statuses)}, "
                f"{len(world.crashes)} crashes of targets, {world.cut_off} "
                f"other requests were at the targets then; answers of others "
                f"{dict(world.statuses)}")
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
