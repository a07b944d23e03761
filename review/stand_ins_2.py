"""Stand-ins for cases 4 to 8: a small deployment of the project's program, and the
servers, clients and operator around it, as the users' pages describe them.

The program is started as the deploy file says, with settings made from its template.
Everything runs on loopback addresses, with free ports and a temporary folder.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SCENARIO_SECONDS, LIMIT_SECONDS = 100, 115
CALL_SECONDS = 1.0  # Callers of control move on after a second without an answer.


class CouldNotRun(Exception):
    """The case could not run: it says nothing about the rule."""


class Broken(Exception):
    """A connection ended before a whole message had come."""


# ---------------------------------------------------------------- HTTP/1.1


async def read_message(reader, is_answer=False):
    """@return first line, fields with names in lower case, body."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).strip() or b"0", 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = await reader.read() if is_answer else b""
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError) as error:
        raise Broken(repr(error)) from error
    return lines[0], fields, body


def message(first, fields, body=b""):
    """@param first line, as text or bytes. @return the bytes of a message."""
    first = first if isinstance(first, bytes) else first.encode("latin-1")
    lines = [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return (first + b"\r\n" + "\r\n".join(lines).encode("latin-1") +
            b"\r\n\r\n" + body)


async def exchange(address, first, fields, body=b"", timeout=CALL_SECONDS):
    """One request on a new connection.
    @return (status, fields, body); None without a whole answer in time."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(message(first, fields, body))
            line, got, answer = await read_message(reader, True)
            return int(line.split()[1]), got, answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, Broken, ValueError, asyncio.TimeoutError):
        return None


# ---------------------------------------------------------------- settings


def fill_in(template, values):
    """Fills the placeholders that deploy/settings.ini uses."""
    def section(match):
        names, inner = values[match.group(1)], match.group(2)
        comma = "{{,}}"
        return "".join(
            inner.replace("{{@}}", name).replace(
                comma, "," if at + 1 < len(names) else "")
            for at, name in enumerate(names))
    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, template, flags=re.S)
    def value(match):
        at = values
        for part in match.group(1).split("."):
            at = at[int(part)] if isinstance(at, list) else at.get(part, "")
        if isinstance(at, list):
            return ",".join(str(one) for one in at)
        return str(at).lower() if isinstance(at, bool) else str(at)
    return re.sub(r"{{([\w.]+)}}", value, text)


def free_port(addresses):
    """@return a port that is free at all addresses."""
    for _ in range(1000):
        port = random.randrange(10000, 30000)
        taken = []
        try:
            for address in addresses:
                one = socket.socket()
                taken.append(one)
                one.bind((address, port))
            return port
        except OSError:
            continue
        finally:
            for one in taken:
                one.close()
    raise CouldNotRun("no port is free")


class Host:
    """A process of the system."""

    def __init__(self, world, role, number, zone):
        self.world, self.role, self.number, self.zone = world, role, number, zone
        self.name = f"{role}-{number}"
        self.ip = f"127.{world.net}.{1 if role == 'control' else 2}.{number + 1}"
        self.folder = world.folder / self.name
        self.process = None
        self.ended_by_us = False

    def settings(self, first):
        world, control = self.world, self.role == "control"
        listen = {"http": "", "ready": "", "admin": ""}
        if control:
            listen["admin"] = f"{self.ip}:{world.admin_port}"
        else:
            listen["http"] = f"{self.ip}:{world.http_port}"
            listen["ready"] = f"{self.ip}:{world.ready_port}"
        return {
            "node_name": self.name, "role": self.role, "zone": self.zone,
            "ip": self.ip, "zones": world.zones, "bootstrap": first,
            "internal_ports": [world.peer_port, world.metrics_port],
            "data_dir": str(self.folder / "data") if control else "",
            "seed_nodes": [f"{host.ip}:{world.admin_port}"
                           for host in world.controls[:3]],
            "listen": listen, "heartbeat_interval": f"{world.beat_ms}ms",
            "limits": {"bandwidth_mbps": 1000.0, "fd_limit": 4100,
                       "memory_mb": 256 if control else 260},
            "fault_tolerance": {"nodes": 2},
            "bounds": world.bounds,
        }

    def start(self, first=False):
        self.folder.mkdir(parents=True, exist_ok=True)
        file = self.folder / "settings.ini"
        template = (ROOT / "deploy" / "settings.ini").read_text()
        file.write_text(fill_in(template, self.settings(first)))
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["RATTANDYKE_CONFIG"] = str(file)
        self.ended_by_us = False
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [str(ROOT / "target" / "bin" / "rattandyke"), "gateway"],
                cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.world.note(f"{self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.ended_by_us |= number in (signal.SIGKILL, signal.SIGTERM)
        self.world.note(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self):
        return (self.folder / "log").read_text(errors="replace")


# ---------------------------------------------------------------- servers


class Server:
    """A server of a service without keys, in one incarnation after another."""

    def __init__(self, world, number, service, zone, slots=4, work=0.1):
        self.world, self.number, self.service = world, number, service
        self.zone, self.slots, self.work = zone, slots, work
        self.ip = f"127.{world.net}.3.{number + 1}"
        self.port = world.server_port
        self.lives, self.alive, self.task = 0, False, None
        self.connections = set()

    async def start(self):
        self.lives += 1
        self.id = f"i-{self.world.net}-{self.number}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.sequence, self.alive = 0, True
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.listener = await asyncio.start_server(
            self.serve, self.ip, self.port, reuse_address=True)
        self.task = asyncio.ensure_future(self.beat(self.lives))
        self.world.note(f"server {self.id} of {self.service} in {self.zone} "
                        f"starts at {self.ip}:{self.port}")

    def crash(self):
        self.alive = False
        self.listener.close()
        self.task.cancel()
        for writer in list(self.connections):
            writer.transport.abort()

    async def beat(self, life):
        """Sends heartbeats, to the address named last while that answers."""
        named = None
        while self.alive and self.lives == life:
            began = time.monotonic()
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.ip}:{self.port}",
                    "zone": self.zone, "version": "v1",
                    "concurrency": self.slots, "state": "ready",
                    "warmup_remaining": "0ms", "sequence": self.sequence,
                    "holds": [], "released": []}
            if self.world.born:
                body["born"] = self.born
            address = named or self.world.any_control()
            answer = await self.send_heartbeat(
                address, f"POST /instances/{self.id}/heartbeat HTTP/1.1",
                {"Host": "control", "Content-Type": "application/json"},
                json.dumps(body).encode())
            named = None
            if answer and 200 <= answer[0] < 300:
                text = json.loads(answer[2] or b"{}").get("heartbeat_address")
                if text:
                    ip, port = text.rsplit(":", 1)
                    named = ip, int(port)
                await asyncio.sleep(max(
                    0, self.world.beat_ms / 1000 - (time.monotonic() - began)))
            else:
                await asyncio.sleep(0.05)  # The next node is called.

    async def send_heartbeat(self, address, first, fields, body):
        """@return the answer; None if none came within a second."""
        return await exchange(address, first, fields, body)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.alive:
                first, fields, body = await read_message(reader)
                writer.write(await self.answer(first, fields, body))
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            pass  # The caller is gone, or this process ends.
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, first, fields, body):
        life, path = self.lives, first.split()[1]
        if path == "/healthz":
            return message("HTTP/1.1 200 OK", {"X-Instance-Id": self.id})
        attempt = fields.get("x-attempt-id", "")
        base = {"X-Attempt-Id": attempt}
        if fields.get("x-expected-instance", self.id) != self.id:
            return message("HTTP/1.1 421 Misdirected Request", base)
        if not attempt or self.waiting >= 16:
            return message("HTTP/1.1 503 Service Unavailable",
                           {**base, "X-Not-Executed": "1"})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.world.ran(attempt, self, path, body)
            await asyncio.sleep(self.work)
        finally:
            self.free.release()
        if not self.alive or self.lives != life:
            raise Broken("the process has ended")
        text = f"{self.service} {attempt}".encode()
        return message("HTTP/1.1 200 OK",
                       {**base, "X-Upstream-Signature": f"s.{attempt}",
                        "Keep-Alive": "timeout=10"}, text)


# ---------------------------------------------------------------- deployment


class World:
    """A deployment, and what was seen of it."""

    def __init__(self, case, entries=3, zones=("zone-a",), beat_ms=870,
                 born=False, bounds=None):
        self.case = pathlib.Path(case).resolve().parent
        self.record = open(self.case / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.zones, self.beat_ms, self.born = list(zones), beat_ms, born
        self.bounds = {"hold_max": "10000ms", "retry_budget_ratio": 0.2,
                       "budget_slack": 62, "drain_timeout": "2000ms",
                       "grace_period": "6s", **(bounds or {})}
        self.net = random.randrange(20, 250)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        zone = lambda n: self.zones[n % len(self.zones)]
        self.controls = [Host(self, "control", n, zone(n)) for n in range(5)]
        self.entries = [Host(self, "entry", n, zone(n)) for n in range(entries)]
        all_ips = [host.ip for host in self.controls + self.entries]
        self.admin_port, self.http_port, self.ready_port = (
            free_port(all_ips) for _ in range(3))
        self.peer_port, self.metrics_port = (free_port(all_ips) for _ in range(2))
        self.server_port = free_port([f"127.{self.net}.3.1"])
        self.servers, self.runs, self.attempts = [], [], 0
        self.on_run = None
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def any_control(self):
        return random.choice(self.controls).ip, self.admin_port

    def address_of(self, entry):
        return entry.ip, self.http_port

    def new_attempt(self, kind):
        self.attempts += 1
        return f"{kind}-{self.attempts:06d}"

    def ran(self, attempt, server, path, body):
        self.runs.append((time.monotonic(), attempt, server))
        self.note(f"run {attempt} at {server.id} ({server.service}, "
                  f"{server.zone})")
        if self.on_run:
            self.on_run(attempt, server, path, body)

    async def order(self, method, path, body=b"", nodes=None, seconds=20):
        """An order of the operator: sent again, unchanged and to any node, until
        it is acknowledged. @param nodes to begin with, in this order.
        @return (status, fields, body) of a 2xx or of a refusal for good."""
        nodes, end, pause = list(nodes or []), time.monotonic() + seconds, 0.1
        while time.monotonic() < end:
            node = nodes.pop(0) if nodes else random.choice(self.controls)
            self.note(f"operator: {method} {path} to {node.name} "
                      f"{body.decode()[:300]}")
            answer = await exchange((node.ip, self.admin_port),
                                    f"{method} {path} HTTP/1.1",
                                    {"Host": "control",
                                     "Content-Type": "application/json"}, body)
            self.note(f"operator: answer "
                      f"{(answer[0], answer[2][:200]) if answer else None}")
            if answer and (200 <= answer[0] < 300 or
                           answer[0] in (400, 409, 412, 413, 422)):
                return answer
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return None

    async def change(self, routes=None, services=None, limits=None, **how):
        upsert = {}
        for name, value in (("routes", routes), ("services", services),
                            ("limits", limits)):
            if value:
                upsert[name] = value
        return await self.order("POST", "/config/patch",
                                json.dumps({"upsert": upsert}).encode(), **how)

    async def request(self, entry, path, kind, method="GET", body=b"",
                      deadline_ms=2000):
        """One attempt of a client on a new connection.
        @return status, 0 without a whole answer; and the attempt's id."""
        attempt = self.new_attempt(kind)
        self.note(f"client: {attempt} {method} {path} to {entry.name}")
        answer = await exchange(
            self.address_of(entry), f"{method} {path} HTTP/1.1",
            {"Host": "app.example", "X-Attempt-Id": attempt,
             "X-Deadline-Ms": deadline_ms}, body, deadline_ms / 1000 + 0.5)
        status = answer[0] if answer else 0
        self.note(f"client: {attempt} answered {status} "
                  f"{answer[2][:80] if answer else b''}")
        return status, attempt, (answer[2] if answer else b"")

    async def is_ready(self, entry):
        answer = await exchange((entry.ip, self.ready_port),
                                "GET /readyz HTTP/1.1", {"Host": "ready"})
        return bool(answer) and answer[0] == 200

    async def begin(self, routes, services):
        for host in self.controls + self.entries:
            host.start(first=True)
        limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                  "header_timeout": "3000ms", "idle_timeout": "15000ms",
                  "version": "00000001"}
        answer = await self.change(routes, services, limits)
        if not answer or answer[0] != 200:
            raise CouldNotRun(f"the first configuration got {answer}")
        for server in self.servers:
            await server.start()
        for _ in range(100):
            ready = [await self.is_ready(entry) for entry in self.entries]
            if all(ready):
                await asyncio.sleep(2 * self.beat_ms / 1000 + 1)
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun("not all entries are ready")

    def ended_by_themselves(self):
        return [host.name for host in self.controls + self.entries
                if not host.ended_by_us and host.process.poll() is not None]

    def end(self):
        for host in self.controls + self.entries:
            host.end()
        for server in self.servers:
            if server.alive:
                server.crash()


def route(prefix, services, safe, version, timeout="2000ms", aim="600ms"):
    """@param services name of the service, or list of (name, weight)."""
    item = {"host": "app.example", "path_prefix": prefix,
            "route_type": "safe" if safe else "unsafe", "timeout": timeout,
            "aim": aim, "priority": 1, "max_attempts": 2,
            "version": f"{version:08x}"}
    if isinstance(services, str):
        item["service"] = services
    else:
        item["traffic_split"] = [{"service": name, "weight": weight}
                                 for name, weight in services]
    return item


def service(version=1):
    return {"health_check_path": "/healthz", "max_connections": 130,
            "protocol": "h1", "tls": False, "version": f"{version:08x}"}


async def end_tasks():
    """Cancels until nothing is left: wait_for may drop a cancel that comes as the call
    that it waits for is done."""
    for _ in range(10):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if not tasks:
            return
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=0.5)


async def play_whole(world, scenario):
    """Runs a scenario, and ends all processes, servers and tasks after it."""
    try:
        return await asyncio.wait_for(scenario(world), SCENARIO_SECONDS)
    finally:
        world.end()
        await end_tasks()


def limit_time(world):
    """Ends everything if the case is still running at its limit."""
    def on_limit(*_):
        world.end()
        world.note(f"could not run: not over after {LIMIT_SECONDS} s")
        print(f"could not run: not over after {LIMIT_SECONDS} s", flush=True)
        os._exit(COULD_NOT_RUN)
    signal.signal(signal.SIGALRM, on_limit)
    signal.alarm(LIMIT_SECONDS)


def play(case, make, scenario):
    """Runs a case and exits as the issue asks. @param make(): World.
    @param scenario(world): list of texts, one for each breach of the rule."""
    if not (ROOT / "target" / "bin" / "rattandyke").exists():
        print("target/bin/rattandyke is missing: build it first")
        sys.exit(COULD_NOT_RUN)
    world = None
    try:
        world = make()
        limit_time(world)
        broken = asyncio.run(play_whole(world, scenario))
        code = BROKEN if broken else HELD
        for text in broken:
            world.note(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        if not broken:
            print("the rule held")
    except Exception as error:  # pylint: disable=broad-except
        # A fault of the stand-ins says nothing about the rule either.
        print(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    finally:
        if world:
            world.end()
    if world:
        world.note(f"exit {code}")
        if os.environ.get("KEEP"):
            print(f"kept: {world.folder}")
        else:
            shutil.rmtree(world.folder, ignore_errors=True)
    sys.exit(code)
