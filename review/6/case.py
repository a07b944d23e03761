"""A control host that doesn't lead freezes. The operator takes a zone back, gets no
answer there, and sends the order again to another host, which acknowledges it. Then
the operator has the zone emptied again. The frozen host wakes and still has the first
sending of the older order in its socket."""

import asyncio
import pathlib
import re
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import stand_ins_2 as kit  # noqa: E402

EVACUATION_SECONDS, CONTACT_SECONDS, FREEZE_SECONDS = 5.0, 3.0, 4.0
KEPT, EMPTIED = "cr-central-a", "cr-central-b"


def make():
    world = kit.World(__file__, entries=2, zones=(KEPT, EMPTIED), born=True,
                      bounds={"evacuation": "5000ms", "budget_slack": 176})
    world.servers = [kit.Server(world, n, "turnos-claims", world.zones[n % 2])
                     for n in range(6)]
    return world


def follower(world):
    """@return a control host that has not said last that it leads."""
    leads = {}
    for host in world.controls:
        for term in re.findall(r"this host leads term (\d+)", host.log()):
            leads[int(term)] = host
    leader = leads[max(leads)]
    return next(host for host in world.controls if host is not leader), leader


async def order(world, what, nodes):
    answer = await world.order("POST", f"/evacuate/{EMPTIED}/{what}", nodes=nodes)
    if not answer or answer[0] // 100 != 2:
        raise kit.CouldNotRun(f"{what} got {answer}")
    return time.monotonic()


async def send_requests(world, kind, count, pause=0.05):
    """@return attempts that reached servers of the emptied zone."""
    before = len(world.runs)
    for number in range(count):
        entry = world.entries[number % len(world.entries)]
        await world.request(entry, f"/claim/{number}", kind, "POST")
        await asyncio.sleep(pause)
    return [(attempt, server.id) for _, attempt, server in world.runs[before:]
            if server.zone == EMPTIED]


async def scenario(world):
    await world.begin({"r-claim": kit.route("/claim/", "turnos-claims", False, 1)},
                      {"turnos-claims": kit.service()})
    if not await send_requests(world, "before", 24):
        raise kit.CouldNotRun("the zone gets no requests before the evacuation")
    frozen, other = follower(world)
    await order(world, "start", [other])
    await asyncio.sleep(EVACUATION_SECONDS + 0.5)
    if await send_requests(world, "emptied", 12):
        raise kit.CouldNotRun("the first evacuation doesn't hold")
    begin = time.monotonic()
    if kit.TROUBLE:
        frozen.signal(signal.SIGSTOP)
    await order(world, "finish", [frozen, other])
    await asyncio.sleep(0.5)
    acknowledged = await order(world, "start", [other])
    await asyncio.sleep(max(0, begin + FREEZE_SECONDS - time.monotonic()))
    if kit.TROUBLE:
        frozen.signal(signal.SIGCONT)
    thawed = time.monotonic()
    due = max(acknowledged + EVACUATION_SECONDS, thawed + CONTACT_SECONDS) + 0.5
    await asyncio.sleep(due - time.monotonic())
    reached = await send_requests(world, "after", 40)
    print(f"{len(reached)} of 40 requests reached the emptied zone")
    return [f"{attempt} reached {server} in {EMPTIED}, whose evacuation was "
            f"acknowledged and not taken back since"
            for attempt, server in reached] + [
                f"{name} ended by itself" for name in world.ended_by_themselves()]


kit.play(__file__, make, scenario)
