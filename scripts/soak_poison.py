"""A request that crashes each upstream that begins to run it, and its judge."""

import asyncio
import time

import soak_actors
import soak_callers
import soak_http
import soak_operator
import soak_run

words = soak_actors.words

POISON = b"the same order each time"
BACK_SECONDS = 1.0
CONTACT_SECONDS, ALLOWED_LATER = 3.0, 3
CALLERS, WARM_UP_SECONDS = 12, 2
MOST_PRINTED = 10
run_request = soak_actors.Upstream.run


async def run_or_crash(self, request, kind, arrival):
    """In place of Upstream.run."""
    if self.world.bodies.get(request) != POISON:
        return await run_request(self, request, kind, arrival)
    self.world.crashes.append(time.monotonic())
    await self.crash()
    asyncio.ensure_future(come_back(self))
    return False


async def come_back(upstream):
    await asyncio.sleep(BACK_SECONDS)
    if not upstream.world.over:
        await upstream.start()


class Innocent(soak_callers.Caller):
    """Sends the same request as all others of its kind."""

    def judge(self, request, kind, status, fields, body):
        super().judge(request, kind, status, fields, body)
        if status == 503 and b"crash" in body:
            self.world.broke(f"{request} is innocent and was refused: {body}")


async def send(world, number, method="POST", path="/desk/x"):
    """@return status of the answer, 0 if there is none."""
    request = f"poison-{number}"
    world.bodies[request] = POISON
    entry = world.entries[number % len(world.entries)]
    world.senders[request] = entry, time.monotonic()
    answer = await soak_http.call(
        entry.listen, world.port(2), method, path,
        {"Host": "soak.example", words.REQUEST_ID: request,
         words.DEADLINE: "2000"}, POISON)
    status = answer[0] if answer else 0
    world.count(f"poison {status}")
    if status == 503:
        world.refused(request)
    elif 400 <= status < 500:
        world.broke(f"{request} got {status}")
    return status


def judge_crashes(world, allowed=ALLOWED_LATER):
    if len(world.crashes) < 3:
        world.broke(f"only {len(world.crashes)} crashes")
        return
    later = sum(at > world.crashes[2] + CONTACT_SECONDS for at in world.crashes)
    print(f"  {len(world.crashes)} crashes, {later} of them late")
    if later > allowed:
        world.broke(f"the request crashed {later} upstreams later than "
                    f"{CONTACT_SECONDS} s after the third crash")


async def play_beside_innocents(world, routes, sendings, allowed=ALLOWED_LATER):
    """@param routes of the first configuration, besides those of the soak.
    @param sendings coroutine function that sends the request.
    @param allowed crashes later than CONTACT_SECONDS after the third."""
    soak_actors.Upstream.run = run_or_crash
    world.crashes = []
    delays = asyncio.ensure_future(soak_run.note_delays(world))
    for host in world.hosts + world.entries:
        await host.proxy.start()
        host.start(first=True)
    operator = soak_operator.Operator(world)
    change = words.first_change({**operator.served_routes(), **routes})
    if not await operator.send(change):
        world.broke("the first configuration was never acknowledged")
        return
    for upstream in world.upstreams:
        await upstream.start()
    await asyncio.sleep(soak_run.SETTLE_SECONDS)
    callers = [Innocent(world, number, soak_callers.PLAIN, 0.1)
               for number in range(CALLERS)]
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    await asyncio.sleep(WARM_UP_SECONDS)
    await sendings(world)
    judge_crashes(world, allowed)
    world.over = True
    await asyncio.gather(*tasks)
    delays.cancel()


def main(folder, play, desks):
    """Runs a case of the testsuite.
    @param play coroutine function, gets the world.
    @param desks upstreams of the service that the request is for.
    @return the exit code."""
    soak_run.play = play
    soak_run.DESKS = desks
    world = soak_run.run(folder, 1, 0, "never")
    print(f"  {world.summary()}")
    for text in world.broken[:MOST_PRINTED]:
        print(f"  broken: {text}")
    if world.broken:
        print(f"  kept: {world.folder}")
    return 1 if world.broken else 0
