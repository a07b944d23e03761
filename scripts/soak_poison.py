"""A request that crashes each upstream that begins to run it, and its judge."""

import asyncio
import time

import soak_actors
import soak_callers
import soak_http

words = soak_actors.words

POISON = b"the same order each time"
BACK_SECONDS = 1.0
CONTACT_SECONDS, ALLOWED_LATER = 3.0, 3
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


def judge_crashes(world):
    if len(world.crashes) < 3:
        world.broke(f"only {len(world.crashes)} crashes")
        return
    later = sum(at > world.crashes[2] + CONTACT_SECONDS for at in world.crashes)
    print(f"  {len(world.crashes)} crashes, {later} of them late")
    if later > ALLOWED_LATER:
        world.broke(f"the request crashed {later} upstreams later than "
                    f"{CONTACT_SECONDS} s after the third crash")
