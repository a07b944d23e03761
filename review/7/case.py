"""A request that may be repeated crashes each server that begins to run it. Its caller
sends it again once after a failure, as clients do, and comes again every five
seconds. Other callers' registrations run on the same servers."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import stand_ins_2 as kit  # noqa: E402

CONTACT_SECONDS, ALLOWED_LATER = 3.0, 3
BACK_SECONDS, AGAIN_SECONDS, TIMES, CALLERS = 2.0, 5.0, 4, 24
CRASHING_PATH = "/avail/the-same"


class Crashes:
    """Crashes servers that begin to run the request, and brings them back."""

    def __init__(self, world):
        self.world, self.at = world, []
        world.on_run = self.on_run

    def on_run(self, attempt, server, path, body):
        if path != CRASHING_PATH:
            return
        self.at.append((time.monotonic(), attempt, server.id))
        if kit.TROUBLE:
            self.world.note(f"{server.id} crashes by {attempt}")
            server.crash()
            asyncio.ensure_future(self.bring_back(server))
            raise kit.Broken("crashed")

    async def bring_back(self, server):
        await asyncio.sleep(BACK_SECONDS)
        await server.start()


def make():
    world = kit.World(__file__, entries=3, zones=("poa-a",), born=False)
    world.servers = [kit.Server(world, n, "avail-svc", "poa-a", work=0.15)
                     for n in range(11)]
    return world


async def others(world, answers, over):
    """Another caller, whose requests may run only once."""
    number = 0
    while not over.is_set():
        number += 1
        entry = world.entries[number % len(world.entries)]
        status, attempt, _ = await world.request(
            entry, f"/xfer/{number}", "xfer", "POST")
        answers[attempt] = status
        await asyncio.sleep(0.02)


async def scenario(world):
    await world.begin(
        {"r-avail": kit.route("/avail/", "avail-svc", True, 1, "1500ms"),
         "r-xfer": kit.route("/xfer/", "avail-svc", False, 1, "1500ms")},
        {"avail-svc": kit.service()})
    crashes, answers, over = Crashes(world), {}, asyncio.Event()
    callers = [asyncio.ensure_future(others(world, answers, over))
               for _ in range(CALLERS)]
    await asyncio.sleep(1)
    sent = {}
    for turn in range(TIMES):
        for again in range(2):  # "client's retries" of the sheet: 1.
            entry = world.entries[(2 * turn + again) % len(world.entries)]
            began = time.monotonic()
            status, attempt, _ = await world.request(
                entry, CRASHING_PATH, "avail", deadline_ms=1500)
            sent[attempt] = began
            if status == 200 or status in (400, 401, 404, 413, 431):
                break
        await asyncio.sleep(AGAIN_SECONDS)
    over.set()
    await asyncio.gather(*callers)
    lost = collections.Counter(answers.values())
    print(f"{len(crashes.at)} runs of the request, in {len(sent)} attempts of the "
          f"client; answers to others: {dict(lost)}")
    broken = [f"{name} ended by itself" for name in world.ended_by_themselves()]
    if not kit.TROUBLE:
        if len(crashes.at) != TIMES or any(s != 200 for s in answers.values()):
            raise kit.CouldNotRun("without the disruption not all is answered")
        return broken
    if len(crashes.at) >= 3:
        third = crashes.at[2][0]
        later = [one for one in crashes.at
                 if sent[one[1]] > third + CONTACT_SECONDS]
        attempts = {attempt for _, attempt, _ in later}
        if len(later) > ALLOWED_LATER:
            broken.append(
                f"the request reached servers {len(later)} times, in "
                f"{len(attempts)} attempts of the client, that were sent later than "
                f"{CONTACT_SECONDS} s after the third crash; {lost[502] + lost[0]} "
                f"requests of others that may run once only were lost")
    return broken


kit.play(__file__, make, scenario)
