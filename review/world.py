"""What a case knows and has seen: the record of all that was sent, answered
and run."""

import asyncio
import collections
import json
import pathlib
import time

import deployment as hosts
import http1


class World:
    def __init__(self, folder, seed, **options):
        self.seed = seed
        self.deployment = hosts.Deployment(**options)
        self.heartbeat_seconds = float(
            self.deployment.heartbeat_interval.removesuffix("ms")) / 1000
        self.began = time.monotonic()
        self.record = open(pathlib.Path(folder) / "record.txt", "w",
                           encoding="utf-8")
        # Times at which each request arrived at targets and ran, by its id.
        self.arrivals = collections.defaultdict(list)
        self.runs = collections.defaultdict(list)
        self.broken = []

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def broke(self, text):
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    @staticmethod
    def zone_of(number):
        return hosts.ZONES[number % len(hosts.ZONES)]

    def control_addresses(self, random):
        addresses = [host.calls for host in self.deployment.controls]
        random.shuffle(addresses)
        return addresses

    def arrived(self, target, request, method, path, body):
        self.arrivals[request].append((time.monotonic(), target.id))
        self.note(f"arrive {request} {method} {path} at {target.id}")

    def ran(self, target, request, method, path):
        self.runs[request].append((time.monotonic(), target.id))
        self.note(f"run {request} at {target.id}")

    async def configure(self, change, random, tries=60):
        """Sends an order until it is acknowledged, as the operator does."""
        body = json.dumps(change).encode()
        for _ in range(tries):
            answer = await http1.call(self.control_addresses(random)[0],
                                      "POST", "/config/patch", body)
            if answer and answer[0] == 200:
                self.note("configuration acknowledged")
                return
            await asyncio.sleep(0.3)
        raise hosts.CannotRun("the configuration was not acknowledged")

    async def ready(self, tries=100):
        """Waits until all entries say that they are ready."""
        for entry in self.deployment.entries:
            address = entry.ip, self.deployment.port + 4
            for _ in range(tries):
                answer = await http1.call(address, "GET", "/readyz")
                if answer and answer[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise hosts.CannotRun(f"{entry.name} is not ready")

    def end(self, keep=False):
        self.deployment.end(keep)
        self.record.close()


def route(prefix, service, kind, version=1, attempts=2, timeout="1000ms",
          aim="400ms"):
    return {"host": "review.example", "path_prefix": prefix,
            "route_type": kind, "timeout": timeout, "aim": aim, "priority": 1,
            "service": service, "max_attempts": attempts,
            "version": f"{version:08x}"}


def service(sharded, version=1):
    item = {"health_check_path": "/healthz", "max_connections": 130,
            "protocol": "h1", "tls": False, "version": f"{version:08x}"}
    if sharded:
        item |= {"sharded": True, "warm": "2s", "grants": "heartbeat"}
    return item


def first_change(routes, services):
    return {"upsert": {"routes": routes, "services": services, "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 67108864,
        "header_timeout": "3000ms", "idle_timeout": "15000ms",
        "version": "00000001"}}, "delete": {"routes": []}}


class Client:
    """A client: keeps a connection to one entry, sends one request at a time."""

    def __init__(self, world, name, random):
        self.world, self.name, self.random = world, name, random
        self.sent = 0
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, entry, method, path, key=None, body=b"",
                      deadline_ms=1000):
        """@return id, status, fields and body; status 0 without an answer."""
        self.sent += 1
        request = f"{self.name}-{self.sent}"
        fields = {"Host": "review.example", "X-Attempt-Id": request,
                  "X-Deadline-Ms": str(deadline_ms)}
        if key is not None:
            fields["X-Shard-Key"] = str(key)
        world = self.world
        world.note(f"send {request} {method} {path} key={key} "
                   f"to {entry.name}")
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(*entry.callers), 1)
            self.writer.write(http1.message(f"{method} {path} HTTP/1.1",
                                            fields, body))
            first, fields, answer = await asyncio.wait_for(
                http1.read_message(self.reader), deadline_ms / 1000 + 1)
        except (OSError, http1.Broken, asyncio.TimeoutError) as error:
            world.note(f"answer {request} none {type(error).__name__}")
            self.close()
            return request, 0, {}, b""
        status = int(first.split()[1])
        world.note(f"answer {request} {status}")
        if fields.get("connection", "").lower() == "close":
            self.close()
        return request, status, fields, answer
