"""Clients read slowly: some take the answer in pieces with pauses, others begin to read
late. All would have the whole answer within their deadline. What they sent may run only
once, and has run."""

import asyncio
import pathlib
import re
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import stand_ins_2 as kit  # noqa: E402

# Of the site: cert-submit answers with 9,000 bytes at most and has a deadline of 6 s.
ANSWER_BYTES, DEADLINE_MS = 9000, 6000
# Windows are small, so what isn't read stays with the sender.
RECEIVE_BUFFER = 4096
# Segments as on a common link; loopback's of 64 KB would never fit into the window.
SEGMENT_BYTES = 1400
IN_PIECES, LATE, ALLOWED = 8, 8, 3
PIECE, PIECE_SECONDS, LATE_SECONDS = 3000, 3.6, 4.0


class LongServer(kit.Server):
    """Answers with ANSWER_BYTES."""

    async def answer(self, first, fields, body):
        data = await super().answer(first, fields, body)
        if not data.startswith(b"HTTP/1.1 200") or not first.split()[1].startswith(
                "/cert/"):
            return data
        head, text = data.split(b"\r\n\r\n", 1)
        text = (text * ANSWER_BYTES)[:ANSWER_BYTES]
        head = re.sub(rb"Content-Length: \d+",
                      b"Content-Length: %d" % len(text), head)
        return head + b"\r\n\r\n" + text


class Client:
    """Sends two requests on a connection that it keeps."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.entry = world.entries[number % len(world.entries)]
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.socket.setblocking(False)
        self.received = b""

    async def send(self, attempt):
        self.received, self.sent = b"", time.monotonic()
        self.world.note(f"client: {attempt} to {self.entry.name}, kept connection "
                        f"{self.number}")
        await self.loop.sock_sendall(self.socket, kit.message(
            f"POST /cert/{self.number} HTTP/1.1",
            {"Host": "app.example", "X-Attempt-Id": attempt,
             "X-Deadline-Ms": DEADLINE_MS}, b"a transcript"))

    def is_whole(self):
        head, found, body = self.received.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head.lower())
        return bool(found and length and len(body) >= int(length.group(1)))

    async def read_first_piece(self):
        while len(self.received) < PIECE and not self.is_whole():
            self.received += await self.loop.sock_recv(
                self.socket, PIECE - len(self.received))

    async def read(self):
        """@return what ended the answer, empty if it is whole."""
        while not self.is_whole():
            left = self.sent + DEADLINE_MS / 1000 - time.monotonic()
            if left <= 0:
                return "the deadline"
            try:
                data = await asyncio.wait_for(
                    self.loop.sock_recv(self.socket, 65536), left)
            except asyncio.TimeoutError:
                return "the deadline"
            except OSError as error:
                return repr(error)
            if not data:
                return "a close"
            self.received += data
        return ""

    async def run(self, slowly):
        """@return attempt, how the answer ended, seconds, and bytes of it."""
        try:
            await self.loop.sock_connect(self.socket,
                                         self.world.address_of(self.entry))
            await self.send(self.world.new_attempt("first"))
            end = await self.read()
            if end or not self.received.startswith(b"HTTP/1.1 200"):
                raise kit.CouldNotRun(f"the first request ended with {end}")
            attempt = self.world.new_attempt("second")
            await self.send(attempt)
            if slowly == "late":
                await asyncio.sleep(LATE_SECONDS)
            elif slowly == "in pieces":
                await self.read_first_piece()
                await asyncio.sleep(PIECE_SECONDS)
            end = await self.read()
            took = time.monotonic() - self.sent
            self.world.note(f"client: {attempt} {slowly or 'at once'}: "
                            f"{len(self.received)} bytes after {took:.1f} s, "
                            f"{self.received[:15]!r}, ended by {end or 'its length'}")
            return attempt, end, took, len(self.received)
        finally:
            self.socket.close()


def make():
    world = kit.World(__file__, entries=2, zones=("pl-central-a",), born=True,
                      bounds={"budget_slack": 186})
    world.servers = [LongServer(world, n, "poswiadczenia", "pl-central-a", 3, 0.27)
                     for n in range(8)]
    return world


async def scenario(world):
    await world.begin(
        {"r-cert": kit.route("/cert/", "poswiadczenia", False, 1, "6000ms", "1200ms")},
        {"poswiadczenia": kit.service()})
    kinds = ["in pieces"] * IN_PIECES + ["late"] * LATE
    results = await asyncio.gather(*(
        Client(world, number).run(kind if kit.TROUBLE else "")
        for number, kind in enumerate(kinds)))
    ran = {attempt for _, attempt, _ in world.runs}
    lost = [(kind, *result) for kind, result in zip(kinds, results)
            if result[1] and result[1] != "the deadline" and result[0] in ran]
    others = [result for result in results if result[1] == "the deadline"]
    print(f"{len(lost)} of {len(kinds)} have run and ended without a whole answer, "
          f"in pieces "
          f"{sum(one[0] == 'in pieces' for one in lost)}, late "
          f"{sum(one[0] == 'late' for one in lost)}; {len(others)} at the deadline")
    broken = [f"{name} ended by itself" for name in world.ended_by_themselves()]
    if len(lost) > ALLOWED:
        broken += [f"{attempt} has run; its client, {kind}, got {size} bytes, and "
                   f"{end} after {took:.1f} s"
                   for kind, attempt, end, took, size in lost]
    return broken


kit.play(__file__, make, scenario)
