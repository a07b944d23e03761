"""One heartbeat comes from another writer, and its instance can't be read as text.
After it the operator moves a route to another service."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import stand_ins_2 as kit  # noqa: E402

CONFIG_APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# The id of an instance, in Latin-1: these bytes are no UTF-8.
UNREADABLE = "dépôt-1".encode("latin-1")


def make():
    world = kit.World(__file__, entries=3, zones=("cr-central-a",), born=True,
                      bounds={"evacuation": "5000ms", "budget_slack": 176})
    world.servers = [
        kit.Server(world, n, "turnos-claims" if n < 4 else "cuotas-ledger",
                   "cr-central-a") for n in range(8)]
    return world


async def strange_heartbeat(world):
    """A writer that gets no 2xx calls the next node, as a target does."""
    body = json.dumps({
        "service": "turnos-claims", "address": f"127.{world.net}.9.9:9",
        "zone": "cr-central-a", "version": "v1", "concurrency": 2,
        "state": "ready", "warmup_remaining": "0ms", "sequence": 1,
        "born": int(time.time() * 1000), "holds": [], "released": []}).encode()
    for host in world.controls:
        world.note(f"strange heartbeat for {UNREADABLE!r} to {host.name}")
        answer = await kit.exchange(
            (host.ip, world.admin_port),
            b"POST /instances/" + UNREADABLE + b"/heartbeat HTTP/1.1",
            {"Host": "control", "Content-Type": "application/json"}, body)
        world.note(f"strange heartbeat: answer {answer}")
        if answer and 200 <= answer[0] < 300:
            return


async def scenario(world):
    await world.begin({"r-claim": kit.route("/claim/", "turnos-claims", False, 1)},
                      {"turnos-claims": kit.service(),
                       "cuotas-ledger": kit.service()})
    for entry in world.entries:
        status, _, _ = await world.request(entry, "/claim/1", "before", "POST")
        if status != 200:
            raise kit.CouldNotRun(f"before the disruption {status}")
    if kit.TROUBLE:
        await strange_heartbeat(world)
    await asyncio.sleep(CONTACT_SECONDS)
    answer = await world.change(
        {"r-claim": kit.route("/claim/", "cuotas-ledger", False, 2)})
    if not answer or answer[0] != 200:
        raise kit.CouldNotRun(f"the change got {answer}")
    await asyncio.sleep(CONFIG_APPLY_SECONDS + 0.5)
    old, new, other = [], [], []
    for number in range(30):
        entry = world.entries[number % len(world.entries)]
        status, attempt, body = await world.request(
            entry, f"/claim/{number}", "after", "POST")
        (old if body.startswith(b"turnos-claims") else
         new if body.startswith(b"cuotas-ledger") else other).append(
             (attempt, entry.name, status))
    print(f"run by the old service {len(old)}, by the new {len(new)}, "
          f"otherwise {other}")
    ended = world.ended_by_themselves()
    broken = [f"{attempt} at {entry}, sent over {CONFIG_APPLY_SECONDS} s after "
              f"the acknowledgement, was run by the old service"
              for attempt, entry, _ in old]
    broken += [f"{name} ended by itself" for name in ended]
    return broken


kit.play(__file__, make, scenario)
