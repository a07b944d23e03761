"""Stand-ins of the soak: upstreams that hold keys, and strangers to them."""

import asyncio
import json
import pathlib
import random
import sys
import time
import zlib

import soak_http
import soak_judge
import soak_pressure

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "platform"))

import soak_words as words  # noqa: E402

KEYS = 65536
# An id in Latin-1.
UNREADABLE_ID = b"d\xe9p\xf4t-1".decode("utf-8", "surrogateescape")
LARGE_ANSWER_EACH = 8
LEAVING_SECONDS = 1.5
# The body of a request that crashes each upstream that begins to run it.
POISON = b"the same order each time"
# Share of the short answers that come twice while an upstream does that.
DOUBLED_SHARE, LONGEST_DOUBLED = 0.3, 2000
BACK_SECONDS = 1.0
# Time that a request runs, and while an upstream is slow.
RUN_SECONDS, SLOW_RUN_SECONDS = (0.002, 0.03), (0.1, 0.3)


def body_for(request_id, kind):
    """The one right answer to a request; one in some is large, so that a slow
    reader's answer lies with the entry for a while."""
    large = zlib.crc32(request_id.encode()) % LARGE_ANSWER_EACH == 0
    return f"{kind}:{request_id}:".encode() * (30000 if large else 20)


class LateCopies:
    """Answers that an upstream gives a second time, once the next request has
    arrived on the connection."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.on = False
        self.waiting = {}

    def answered(self, writer, data):
        if (self.on and len(data) <= LONGEST_DOUBLED
                and self.random.random() < DOUBLED_SHARE):
            self.waiting[writer] = data

    def take(self, writer):
        return self.waiting.pop(writer, b"")


class Upstream:
    """Serves requests for the keys that it holds, by a clock of its own."""

    def __init__(self, world, number, service, sharded):
        self.world = world
        self.number = number
        self.service = service
        self.sharded = sharded
        self.port = world.port(40 + number)
        self.host = f"127.0.3.{number + 1}"
        self.drift = world.random.uniform(0.98, 1.0)
        self.alive = False
        self.draining = False
        self.life = 0
        self.server = None

    async def start(self, same_id=False):
        """@param same_id as a process that starts again under its id."""
        self.life += 1
        if not same_id:
            self.id = f"i-{self.number}-{self.life}"
        self.alive, self.draining = True, False
        # Requests that it refuses with a rest until then; seconds of the rest.
        self.sheds_until, self.rest = 0.0, 0.0
        self.says_leaving, self.slow = False, False
        self.pressure = soak_pressure.Pressure()
        self.sequence = 0
        self.rows, self.released, self.ends = [], [], 0.0
        slots = self.world.scheduling.slots
        self.free_slots = asyncio.Semaphore(slots)
        self.watch = soak_judge.SlotWatch(slots)
        self.connections = set()
        self.copies = LateCopies(f"{self.world.seed}/{self.id}")
        # Connections on which nothing passes any more, and their entries.
        self.cut_off = {}
        self.arrivals = []
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, reuse_address=True)
        self.task = asyncio.ensure_future(self.beat(self.life))

    async def leave(self):
        """As one that says so in time: it serves on for a while."""
        self.draining = self.says_leaving = True
        await asyncio.sleep(LEAVING_SECONDS)
        if not self.alive:
            return  # It has crashed.
        self.task.cancel()
        answer = await soak_http.call(
            *self.world.control_address(), "POST",
            words.deregister_path(self.id), {},
            json.dumps({"born": self.life}).encode(), timeout=1.0)
        if answer and 400 <= answer[0] < 500:
            self.world.broke(f"{self.id} left and got {answer}")
        await asyncio.sleep(LEAVING_SECONDS / 5)
        await self.crash()

    async def crash(self):
        self.alive = False
        self.server.close()
        now = time.monotonic()
        for arrival in self.arrivals:
            arrival.crash(now)
        for writer in list(self.connections):
            writer.transport.abort()
        self.task.cancel()

    async def come_back(self):
        """Starts again some time after a crash."""
        life = self.life
        await asyncio.sleep(BACK_SECONDS)
        if not self.world.over and self.life == life:
            await self.start()

    def stop(self):
        """Frees its port: the block of ports is another soak's afterwards."""
        if self.server:
            self.server.close()

    def holds(self, key):
        now = time.monotonic()
        return self.alive and now < self.ends and any(
            row[0] <= key <= row[1] for row in self.rows)

    async def beat(self, life):
        while self.alive and self.life == life:
            self.sequence += 1
            sent = time.monotonic()
            sequence, released = self.sequence, list(self.released)
            answer = await self.world.troubles.send_heartbeat(
                self.world, words.heartbeat_path(self.id),
                json.dumps(words.heartbeat(
                    self.service, f"{self.host}:{self.port}", self.draining,
                    life, sequence, self.rows, released,
                    self.watch.slots)).encode())
            again = False
            if answer and answer[0] == 200 and sequence == self.sequence:
                self.released = []
                again = self.take(json.loads(answer[1]), sent)
            await asyncio.sleep(0.1 if again else 0.4)

    def take(self, answer, sent):
        """@return whether there is something to report at once."""
        granted = words.grants(answer)
        if granted is None:
            return False
        rows, hold = granted
        if time.monotonic() < self.ends:
            kept = [tuple(row[:3]) for row in rows]
            for row in self.rows:
                if tuple(row[:3]) not in kept and not any(
                        new[0] <= row[1] and row[0] <= new[1] for new in rows):
                    self.released.append([row[0], row[1], f"h{row[2]}"])
        self.rows = rows
        self.ends = sent + hold / self.drift
        self.world.check_owners(self)
        return bool(self.released)

    async def serve(self, reader, writer):
        paths = self.world.paths
        passes, entry = paths.passes(writer)
        if not passes:
            writer.transport.abort()
            return
        self.connections.add(writer)
        if entry:
            self.cut_off[writer] = entry
        try:
            while self.alive:
                first, fields, body = await soak_http.read_message(reader)
                if writer in self.cut_off:
                    await paths.swallow(self.cut_off[writer])
                    writer.transport.abort()
                    return
                writer.write(self.copies.take(writer))
                await self.answer(first, fields, body, writer)
        except (soak_http.Broken, OSError, asyncio.CancelledError):
            pass  # The caller is gone, or the run is over.
        finally:
            self.connections.discard(writer)
            self.cut_off.pop(writer, None)
            writer.close()

    async def answer(self, first, fields, body, writer):
        if first.split()[1] == words.HEALTH_PATH:
            writer.write(soak_http.message("HTTP/1.1 200 OK",
                                           {words.INSTANCE: self.id}))
            return
        request = fields.get(words.REQUEST_ID.lower(), "")
        arrival = self.world.arrived(request, self, body)
        arrival.connection = writer
        self.arrivals.append(arrival)
        pressure = self.pressure
        entry, sent = self.world.calm_sender(request)
        if entry:
            for text in pressure.arrives(entry, arrival.at, sent):
                self.world.broke(f"{self.id} {text}, at last {request} from "
                                 f"{entry.name}")
        await self.reply(first, fields, request, writer, arrival)
        arrival.answered = time.monotonic()
        if writer in self.cut_off or writer.transport.is_closing():
            arrival.broke_off = True

    def send(self, writer, data):
        """Writes an answer, unless nothing passes on its connection."""
        if writer not in self.cut_off:
            writer.write(data)
            self.copies.answered(writer, data)

    def say(self, request):
        """@return the fields by which it tells what it accepts."""
        entry, _ = self.world.calm_sender(request)
        if entry:
            self.pressure.answers(entry, time.monotonic(), self.says_leaving)
        said = {}
        if self.pressure.rate is not None:
            said[words.RATE_LIMIT] = str(self.pressure.rate)
        if self.says_leaving:
            said[words.LEAVING] = "1"
        return said

    def shed(self, request, writer, base):
        entry, _ = self.world.calm_sender(request)
        if entry:
            self.pressure.asks_for_rest(entry, time.monotonic(), self.rest)
        self.send(writer, soak_http.message(
            "HTTP/1.1 503 Service Unavailable",
            {**base, words.NOT_RUN: "1", "Retry-After": str(self.rest)}))

    async def reply(self, first, fields, request, writer, arrival):
        base = {words.REQUEST_ID: request, words.INSTANCE: self.id,
                **self.say(request)}
        if fields.get(words.EXPECTED.lower()) != self.id:
            self.send(writer, soak_http.message(
                "HTTP/1.1 421 Misdirected Request", base))
            return
        if self.sharded and not self.holds(int(fields[words.KEY.lower()])):
            self.send(writer, soak_http.message(
                "HTTP/1.1 421 Misdirected Request",
                {**base, words.NOT_RUN: "1"}))
            return
        if time.monotonic() < self.sheds_until:
            self.shed(request, writer, base)
            return
        kind = first.split()[0]
        if not await self.run(request, kind, arrival):
            return
        broken = self.world.troubles.broken_answer(self.world, request)
        if broken:
            self.send_broken(writer, arrival, *broken)
            return
        self.send(writer, self.world.troubles.interim(base) + soak_http.message(
            "HTTP/1.1 200 OK", {**base, words.SIGNATURE: "s." + request},
            body_for(request, kind)))
        await writer.drain()

    def send_broken(self, writer, arrival, data, ends):
        """Writes what is no answer."""
        arrival.broke_off = True
        if writer not in self.cut_off:
            writer.write(data)
        if ends:
            writer.close()

    async def run(self, request, kind, arrival):
        """Runs a request once a slot is free.
        @return whether it has run, and the process has not crashed since."""
        life, watch, free_slots = self.life, self.watch, self.free_slots
        if watch.enter():
            self.world.broke(f"{self.id} has {watch.inside} requests at once "
                             f"with {watch.slots} slots, at last {request}")
        self.world.most_at_once = max(self.world.most_at_once, watch.inside)
        try:
            async with free_slots:
                if not self.alive or self.life != life:
                    return False
                self.world.ran(request, kind, self)
                arrival.ran = True
                if self.world.bodies.get(request) == POISON:
                    self.world.count("crash")
                    await self.crash()
                    if not self.draining:
                        asyncio.ensure_future(self.come_back())
                    return False
                await asyncio.sleep(self.world.random.uniform(
                    *(SLOW_RUN_SECONDS if self.slow else RUN_SECONDS)))
            return self.alive and self.life == life
        finally:
            watch.leave()


class Stranger:
    """Sends heartbeats that are no upstream's, some under ids that are. None
    may be acknowledged, and none may cost an upstream its keys."""

    def __init__(self, world):
        self.world = world
        self.random = random.Random(f"{world.seed}/stranger")

    async def run(self):
        while not self.world.over:
            await asyncio.sleep(self.random.uniform(0.02, 0.2))
            upstream = self.random.choice(self.world.upstreams)
            instance = self.random.choice(
                [upstream.id, "i-stranger", UNREADABLE_ID])
            address = f"{upstream.host}:{upstream.port}"
            body = words.rubbish(self.random, upstream.service, address,
                                 upstream.life)
            if instance == UNREADABLE_ID and self.random.random() < 0.5:
                body = json.dumps(words.heartbeat(
                    upstream.service, address, False, 1, 1, [], [])).encode()
            answer = await soak_http.call(
                *self.world.control_address(), "POST",
                words.heartbeat_path(instance), {}, body, timeout=1.0)
            if answer and answer[0] == 200:
                self.world.broke(f"a stranger's heartbeat was taken: {body}")
