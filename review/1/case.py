"""A target's rejection comes twice, the second time late; the entry host takes
the late copy for the answer to the request's second sending, which runs."""

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
import http1  # noqa: E402
import target  # noqa: E402
import world as worlds  # noqa: E402

SEED = 1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOAD_SECONDS = 80
# Largest dose that the site file names: for 5 s, three in five targets, three
# in a hundred of their answers. It comes more than once.
GARBLE_SECONDS, GARBLE_PAUSE = 5.0, 1.0
GARBLE_TARGETS, GARBLE_ANSWERS = 0.6, 0.03
TARGETS, SLOTS, QUEUE, WORK_SECONDS = 10, 4, 8, (0.02, 0.06)
CLIENTS, KEYS, AIM, DEADLINE_MS = 48, 65536, "300ms", 1200
# Busy keys are close to one another, and change.
BUSY_SHARE, BUSY_KEYS, BUSY_SECONDS = 0.5, 400, 5.0
REFUSALS = (408, 421, 429, 503)


class Garble:
    """Which targets give answers twice now, and how many of theirs so far."""

    def __init__(self):
        self.targets, self.given, self.doubled = set(), 0, 0

    async def run(self, world, targets, until):
        rand = random.Random(f"{world.seed}/garble")
        while time.monotonic() < until:
            drawn = rand.sample(targets, int(GARBLE_TARGETS * len(targets)))
            self.targets, self.given, self.doubled = set(drawn), 0, 0
            world.note("garble begins: "
                       + " ".join(sorted(each.id for each in drawn)))
            await asyncio.sleep(GARBLE_SECONDS)
            world.note(f"garble ends: {self.doubled} of {self.given} answers "
                       "twice")
            self.targets = set()
            await asyncio.sleep(GARBLE_PAUSE)

    def doubles(self, target, status):
        """@return whether this answer is given twice. Those are rejections, as
        of a server whose path for errors writes them twice."""
        if target not in self.targets:
            return False
        self.given += 1
        if (status not in REFUSALS
                or self.doubled + 1 > GARBLE_ANSWERS * self.given):
            return False
        self.doubled += 1
        return True


class DoublingTarget(target.Target):
    """Gives some of its answers a second time, when the next request on the
    connection has arrived."""

    def __init__(self, *arguments, garble, **options):
        super().__init__(*arguments, **options)
        self.garble = garble
        self.late = {}

    async def before(self, writer, first, fields):
        copy = self.late.pop(writer, None)
        if copy is not None:
            request, answer = copy
            self.world.note(f"extra answer of {request} from {self.id}, where "
                            f"that of {fields.get('x-attempt-id')} is due")
            self.world.extras += 1
            writer.write(answer)
            await writer.drain()

    def answered(self, writer, first, fields, answer):
        status = int(answer.split(None, 2)[1])
        self.world.target_answers[status] += 1
        if self.garble.doubles(self, status):
            self.late[writer] = fields.get("x-attempt-id"), answer


def draw_key(rand):
    if rand.random() >= BUSY_SHARE:
        return rand.randrange(KEYS)
    first = random.Random(int(time.monotonic() / BUSY_SECONDS)).randrange(KEYS)
    return (first + rand.randrange(BUSY_KEYS)) % KEYS


async def client(world, number, until):
    rand = random.Random(f"{world.seed}/client/{number}")
    own = worlds.Client(world, f"c{number}", rand)
    entry = world.deployment.entries[number % len(world.deployment.entries)]
    while time.monotonic() < until:
        request, status, _, _ = await own.request(
            entry, "PUT", "/upload/x", key=draw_key(rand),
            body=b"b" * 1200, deadline_ms=DEADLINE_MS)
        world.answers[request] = status
        world.statuses[status] += 1
        await asyncio.sleep(rand.uniform(0.0, 0.05))
    own.close()


async def play(world):
    world.answers, world.extras = {}, 0
    world.statuses = collections.Counter()
    world.target_answers = collections.Counter()
    world.deployment.start()
    await world.configure(worlds.first_change(
        {"r-upload": worlds.route("/upload/", "board", "unsafe",
                                  timeout=f"{DEADLINE_MS}ms", aim=AIM)},
        {"board": worlds.service(True)}), random.Random(world.seed))
    garble = Garble()
    targets = [DoublingTarget(world, "board", number, True, slots=SLOTS,
                              queue=QUEUE, work=WORK_SECONDS, garble=garble)
               for number in range(TARGETS)]
    for each in targets:
        await each.start()
    await world.ready()
    await asyncio.sleep(6)
    until = time.monotonic() + LOAD_SECONDS
    tasks = [client(world, number, until) for number in range(CLIENTS)]
    if TROUBLE:
        tasks.append(garble.run(world, targets, until - GARBLE_SECONDS))
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    for each in targets:
        each.stop()


def judge(world):
    for request, status in world.answers.items():
        runs = world.runs.get(request, ())
        if len(runs) > 1:
            world.broke(f"TWICE {request} ran at {runs}")
        if status in REFUSALS and runs:
            world.broke(f"REFUSED {request} was answered {status} and has run "
                        f"at {runs}")


def main():
    folder = pathlib.Path(__file__).resolve().parent
    try:
        world = worlds.World(folder, SEED, entries=8)
    except deployment.CannotRun as error:
        print(f"can't run: {error}")
        return 2
    try:
        asyncio.run(play(world))
        judge(world)
        text = (f"{len(world.answers)} requests, answers "
                f"{dict(world.statuses)}; targets answered "
                f"{dict(world.target_answers)}, {world.extras} answers came "
                f"twice; {len(world.broken)} broken")
        world.note(text)
        print(text)
        for line in world.broken[:10]:
            print(line)
        return 1 if world.broken else 0
    except Exception:  # It shows nothing of the system.
        traceback.print_exc()
        return 2
    finally:
        world.end()


sys.exit(main())
