"""A sound target, as the users' pages describe one."""

import asyncio
import itertools
import json
import random
import time

import http1

HEALTH_PATH = "/healthz"
IDLE_SECONDS = 10


class Target:
    """Runs `slots` requests at the same time, queues `queue` more, rejects the
    rest, and holds the keys that its heartbeats' answers name."""

    def __init__(self, world, service, number, sharded, slots=4, queue=4,
                 work=(0.05, 0.12)):
        self.world, self.service, self.number = world, service, number
        self.sharded, self.slots, self.queue = sharded, slots, queue
        self.work = work
        self.address = (f"127.0.7.{10 + number}", world.deployment.port + 8)
        self.random = random.Random(f"{world.seed}/{service}/{number}")
        self.starts = 0
        self.alive = False
        self.server = None

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.service}-{self.number}-{self.starts}"
        self.alive, self.state = True, "ready"
        self.sequence, self.inside = 0, 0
        self.rows, self.released, self.ends = [], [], 0.0
        self.heartbeat_address = None
        self.running = asyncio.Semaphore(self.slots)
        self.connections = set()
        self.server = await asyncio.start_server(
            self.serve, *self.address, reuse_address=True)
        self.beats = asyncio.ensure_future(self.beat())

    def crash(self):
        """The process is gone: all its connections end without an answer."""
        self.alive = False
        self.server.close()
        self.beats.cancel()
        for writer in list(self.connections):
            writer.transport.abort()

    def stop(self):
        if self.alive:
            self.crash()

    async def leave(self, drain_seconds=2.0):
        """Says that it drains, serves on for the drain timeout after the
        acknowledgement, deregisters and ends."""
        self.state, self.drain_acknowledged = "draining", asyncio.Event()
        self.beats.cancel()
        self.beats = asyncio.ensure_future(self.beat(at_once=True))
        try:
            await asyncio.wait_for(self.drain_acknowledged.wait(), 4)
        except asyncio.TimeoutError:
            pass  # It ends anyway.
        await asyncio.sleep(drain_seconds + 0.3)
        await http1.call(self.world.control_addresses(self.random)[0], "POST",
                         f"/instances/{self.id}/deregister")
        self.crash()

    def holds(self, key):
        return time.monotonic() < self.ends and any(
            row[0] <= key <= row[1] for row in self.rows)

    # Heartbeats.

    def heartbeat(self):
        return {"service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.world.zone_of(self.number), "version": "v1",
                "concurrency": self.slots, "state": self.state,
                "warmup_remaining": "0ms", "sequence": self.sequence,
                "holds": [row[:3] for row in self.rows]
                if time.monotonic() < self.ends else [],
                "released": self.released}

    async def beat(self, at_once=False):
        interval = self.world.heartbeat_seconds
        if not at_once:
            await asyncio.sleep(self.random.uniform(0, interval))
        while self.alive:
            again = False
            addresses = self.world.control_addresses(self.random)[:3]
            if self.heartbeat_address:
                addresses.insert(0, self.heartbeat_address)
            for address in addresses:
                self.sequence += 1
                sent = time.monotonic()
                answer = await http1.call(
                    address, "POST", f"/instances/{self.id}/heartbeat",
                    json.dumps(self.heartbeat()).encode(), timeout=1.0)
                if answer and answer[0] == 200 and len(answer[1]) <= 4096:
                    again = self.take(json.loads(answer[1]), sent)
                    break
                self.heartbeat_address = None
            await asyncio.sleep(0.1 if again else interval)

    def take(self, answer, sent):
        """@return whether there is something to report at once."""
        self.released = []
        if "heartbeat_address" in answer:
            ip, port = answer["heartbeat_address"].split(":")
            self.heartbeat_address = ip, int(port)
        if self.state == "draining":
            self.drain_acknowledged.set()
        if "holds" not in answer:
            return False
        now = time.monotonic()
        kept = {(row[0], row[1], row[2]) for row in answer["holds"]}
        if now < self.ends:
            for row in self.rows:
                if (row[0], row[1], row[2]) not in kept:
                    for first, last in subtract(row, answer["holds"]):
                        self.released.append([first, last, f"h{row[2]}"])
        self.rows = answer["holds"]
        self.ends = sent + float(answer["hold_time"].removesuffix("ms")) / 1000
        return bool(self.released)

    # Requests.

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.alive:
                first, fields, body = await asyncio.wait_for(
                    http1.read_message(reader), IDLE_SECONDS)
                await self.before(writer, first, fields)
                answer = await self.answer(first, fields, body)
                if not self.alive:
                    return
                writer.write(answer)
                await writer.drain()
                self.answered(writer, first, fields, answer)
        except (http1.Broken, OSError, asyncio.TimeoutError,
                asyncio.CancelledError):
            pass  # The caller is gone, the connection idle, or the run over.
        finally:
            self.connections.discard(writer)
            writer.close()

    async def before(self, writer, first, fields):
        """Called when a request has been read."""

    def answered(self, writer, first, fields, answer):
        """Called when an answer has been written."""

    def reject(self, status, request):
        return http1.message(f"HTTP/1.1 {status}",
                             {"X-Attempt-Id": request,
                              "X-Instance-Id": self.id,
                              "X-Not-Executed": "1"})

    async def answer(self, first, fields, body):
        method, path = first.split()[:2]
        if path == HEALTH_PATH:
            return http1.message("HTTP/1.1 200 OK",
                                 {"X-Instance-Id": self.id})
        request = fields.get("x-attempt-id", "")
        self.world.arrived(self, request, method, path, body)
        expected = fields.get("x-expected-instance")
        if expected is not None and expected != self.id:
            return self.reject("421 Misdirected Request", request)
        if self.sharded and not self.holds(int(fields["x-shard-key"])):
            return self.reject("421 Misdirected Request", request)
        if self.inside >= self.slots + self.queue:
            return self.reject("503 Service Unavailable", request)
        deadline = time.monotonic() + int(fields["x-deadline-ms"]) / 1000
        self.inside += 1
        try:
            async with self.running:
                if time.monotonic() >= deadline:
                    return self.reject("503 Service Unavailable", request)
                self.world.ran(self, request, method, path)
                if not await self.run(request, path, body):
                    return b""
        finally:
            self.inside -= 1
        return http1.message(
            "HTTP/1.1 200 OK",
            {"X-Attempt-Id": request, "X-Instance-Id": self.id,
             "X-Upstream-Signature": f"s.{request}"},
            f"done {request}\n".encode())

    async def run(self, request, path, body):
        """@return whether the target has lived to the end of the work."""
        start = self.starts
        await asyncio.sleep(self.random.uniform(*self.work))
        return self.alive and self.starts == start


def subtract(row, others):
    """@return the spans of a row that no other row covers."""
    spans = [(row[0], row[1])]
    for other in others:
        rest = []
        for first, last in spans:
            if other[1] < first or last < other[0]:
                rest.append((first, last))
                continue
            if first < other[0]:
                rest.append((first, other[0] - 1))
            if other[1] < last:
                rest.append((other[1] + 1, last))
        spans = rest
    return list(itertools.chain(spans))
