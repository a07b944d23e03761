"""The soak's callers: what they send, and what they make of its end."""

import asyncio
import random
import socket
import time

import soak_http
import soak_judge
from soak_actors import KEYS, POISON, body_for, words

DEADLINE_SECONDS = 2.0
LONGEST_BODY = 60000
# A request in pieces is whole after at most this: within all limits, and with
# the idle time before it beyond the smallest idle limit.
PIECES_SECONDS = 0.8
LONG_IDLE_SECONDS = 3.0
# An arrival is seen by the stand-in upstream, a moment after its caller may
# have seen the end of the connection.
ARRIVALS_SECONDS = 0.2
CHECK_SECONDS = 0.25
NOTED_AFTER_SECONDS = 0.05
# Slow readers leave most of a large answer with the entry for this long.
SLOW_BUFFER_BYTES, SLOW_SECONDS = 8192, 0.15


class Late(Exception):
    """The entry has had the request for longer than it may."""


class Connection:
    """A caller's connection to an entry."""

    def __init__(self, world, entry, slow=False, trusting=False):
        """@param slow     whether answers are read slowly.
        @param trusting whether the idle limit acknowledged last is thought to
                        hold; it does not for a connection that was idle under
                        a smaller one before."""
        self.world, self.entry = world, entry
        self.slow, self.trusting = slow, trusting
        self.carried = 0
        self.asked = self.used = time.monotonic()

    async def open(self):
        self.opened = time.monotonic()
        self.reader, self.writer = await asyncio.wait_for(self.connect(), 1)
        self.used = time.monotonic()

    async def connect(self):
        own = socket.socket()
        own.setblocking(False)
        if self.slow:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                           SLOW_BUFFER_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(
                own, (self.entry.listen, self.world.port(2)))
            return await asyncio.open_connection(sock=own)
        except BaseException:
            own.close()
            raise

    async def read_message(self):
        if self.slow:
            self.writer.transport.pause_reading()
            await asyncio.sleep(SLOW_SECONDS)
            self.writer.transport.resume_reading()
        return await soak_http.read_message(self.reader)

    def idle(self):
        return time.monotonic() - self.used

    def is_usable(self):
        """@return whether it is open, and was idle for no longer than callers
        may."""
        limit = (self.world.last_idle_limit if self.trusting
                 else self.world.idle_limit)
        return (not self.has_ended()
                and self.idle() < soak_judge.IDLE_SHARE * limit)

    def has_ended(self):
        return (self.reader.at_eof() or self.reader.exception() is not None
                or self.writer.transport.is_closing())

    async def send(self, pieces, pause):
        """@return when the last byte was sent; None if the connection ended
        before."""
        for number, piece in enumerate(pieces):
            if number > 0:
                await asyncio.sleep(pause)
                if self.has_ended():
                    return None
            self.writer.write(piece)
        while self.writer.transport.get_write_buffer_size() > 0:
            await asyncio.sleep(0.001)
        self.asked = time.monotonic()
        return self.asked

    def close(self):
        self.writer.close()


def cut(data, rand):
    """@return the bytes in two to four pieces."""
    places = sorted(rand.sample(range(1, len(data)), rand.randint(1, 3)))
    return [data[begin:end] for begin, end in
            zip([0, *places], [*places, len(data)])]


class Caller:
    """Sends requests in many shapes and judges the answers, or their lack."""

    def __init__(self, world, number, shapes, new_share):
        """@param new_share of requests that are sent on a new connection."""
        self.world, self.number = world, number
        self.shapes, self.new_share = shapes, new_share
        self.random = random.Random(f"{world.seed}/{number}")
        self.sent = 0

    async def run(self):
        while not self.world.over:
            connection = Connection(
                self.world, self.random.choice(self.world.entries),
                self.shapes is not PLAIN and self.random.random() < 0.3,
                self.random.random() < 0.5)
            try:
                await connection.open()
            except (OSError, asyncio.TimeoutError):
                self.world.count("no connection")
                await asyncio.sleep(0.02)
                continue
            try:
                await self.session(connection)
            finally:
                connection.close()
            await asyncio.sleep(0.02)

    async def session(self, connection):
        while await self.one(connection) and not self.world.over:
            if self.random.random() < self.new_share:
                return
            await self.pause(connection)
            if not connection.is_usable():
                return

    async def pause(self, connection):
        if self.random.random() < 0.03:
            longest = LONG_IDLE_SECONDS
            if not connection.trusting:
                longest = min(longest, soak_judge.IDLE_SHARE
                              * self.world.idle_limit)
            await asyncio.sleep(self.random.uniform(0.5, 1.0) * longest)
        else:
            await asyncio.sleep(self.random.uniform(0.01, 0.06))

    async def one(self, connection):
        """@return whether the connection may be used again."""
        shape = self.random.choice(self.shapes)
        if shape == "pipelined":
            return await self.pipelined(connection)
        sent, kind, data = self.make(connection, shape)
        pieces = [data]
        if shape in ("pieces", "chunked pieces"):
            pieces = cut(data, self.random)
        sent.whole = await connection.send(
            pieces, self.random.uniform(0, PIECES_SECONDS) / len(pieces))
        return await self.take_answer(connection, sent, kind)

    async def pipelined(self, connection):
        """The second request is sent behind the first, before its answer."""
        first, first_kind, data = self.make(connection, "first of two")
        second, second_kind, more = self.make(connection, "second of two")
        pieces, pause = [data + more], 0
        if self.random.random() < 0.7:
            pieces, pause = [data, more], self.random.uniform(0, 0.03)
        second.whole = await connection.send(pieces, pause)
        first.whole = first.whole or second.whole or time.monotonic()
        kept = await self.take_answer(connection, first, first_kind)
        second.behind, second.told_close = time.monotonic(), not kept
        second.kept = True
        if connection.carried == 0 or second.whole is None:
            return False  # The first is judged; the second has no turn.
        return await self.take_answer(connection, second, second_kind) and kept

    def make(self, connection, shape):
        """@return the request, its method and its bytes."""
        self.sent += 1
        request = f"{self.number}-{self.sent}"
        body = self.body(request, shape)
        read = not body and self.random.random() < 0.5
        kind = "GET" if read else "POST"
        hot = self.world.hot_key
        fields = {"Host": "soak.example", words.REQUEST_ID: request,
                  words.DEADLINE: str(int(DEADLINE_SECONDS * 1000)),
                  words.KEY: str(self.random.randrange(KEYS)
                                   if hot is None else hot)}
        if self.new_share == 1.0 and self.random.random() < 0.5:
            fields["Connection"] = "close"
        first = f"{kind} {'/board/x' if read else '/desk/x'} HTTP/1.1"
        data = (soak_http.chunked(first, fields, body, self.random)
                if shape.startswith("chunked")
                else soak_http.message(first, fields, body))
        self.world.bodies[request] = body
        self.world.senders[request] = connection.entry, time.monotonic()
        return soak_judge.Sent(
            request, shape, connection.opened, connection.carried > 0,
            connection.asked, connection.idle(), time.monotonic(),
            deadline=DEADLINE_SECONDS), kind, data

    def body(self, request, shape):
        if shape == "long":
            size = self.random.randint(10000, LONGEST_BODY)
        elif shape in ("pieces", "chunked", "chunked pieces"):
            size = self.random.choice([0, 10, 1000, LONGEST_BODY])
        else:
            size = 0
        return (f"{request};".encode() * (size // len(request) + 1))[:size]

    async def take_answer(self, connection, sent, kind):
        """@return whether the connection may be used again."""
        try:
            first, fields, body = await self.wait(connection, sent)
        except Late:
            self.broke(connection, sent, "is late")
            return False
        except (OSError, soak_http.Broken):
            await self.judge_end(connection, sent, time.monotonic())
            return False
        connection.carried += 1
        connection.used = time.monotonic()
        if await self.is_late(connection, sent, connection.used):
            self.broke(connection, sent, f"is late with {first}")
        status = int(first.split()[1])
        arrivals = [arrival for arrival in
                    self.world.arrivals.get(sent.request, ())
                    if not self.world.may_be_lost(arrival, connection.used)]
        if soak_judge.is_lost(status, connection.used, arrivals,
                              connection.entry.life, self.world.held_up):
            self.broke(connection, sent, f"got {status} for a ready answer")
        self.judge(sent.request, kind, status, fields, body)
        return fields.get("connection", "").lower() != "close"

    async def wait(self, connection, sent):
        reading = asyncio.ensure_future(connection.read_message())
        try:
            while not (await asyncio.wait([reading],
                                          timeout=CHECK_SECONDS))[0]:
                if await self.is_late(connection, sent, time.monotonic()):
                    raise Late()
            return reading.result()
        finally:
            reading.cancel()

    async def is_late(self, connection, sent, now):
        """A delay of the soak itself is noted once its loop goes on, which may
        be after the answer was read."""
        for _ in range(2):
            if not soak_judge.is_late(sent, now, connection.entry.life,
                                      self.world.held_up):
                return False
            await asyncio.sleep(NOTED_AFTER_SECONDS)
        return True

    async def judge_end(self, connection, sent, ended):
        await asyncio.sleep(ARRIVALS_SECONDS)
        sent.idle_limit = self.world.idle_limit
        broken, word = soak_judge.unanswered(
            sent, ended, connection.entry.life,
            self.world.arrivals[sent.request], self.world.held_up)
        if broken:
            self.broke(connection, sent, "got no answer: " + word)
            return
        self.world.count("no answer, " + word)
        if word != "killed":
            self.world.note(f"{self.describe(connection, sent)}, ended "
                            f"{self.world.at(ended)}: {word}")

    def broke(self, connection, sent, word):
        self.world.count("unanswered")
        self.world.broke(f"{self.describe(connection, sent)} {word}")

    def describe(self, connection, sent):
        kept = "kept" if sent.kept else "new"
        return (f"{sent.request} ({sent.shape}, {connection.entry.name}, "
                f"{kept}, idle {sent.idle:.3f} s, "
                f"sent {self.world.at(sent.whole)})")

    def judge(self, request, kind, status, fields, body):
        world = self.world
        world.count(str(status))
        soak_judge.judge_refusal(world, request, status, body, POISON)
        world.answers[kind, status] += 1
        if status == 200:
            if body != body_for(request, kind):
                world.broke(f"{request} got another answer: {body[:40]!r}")
            answered = fields.get(words.REQUEST_ID.lower())
            if answered != request:
                world.broke(f"{request} got the answer of {answered}")
        elif status == 503:
            world.refused(request)
        elif 400 <= status < 500:
            world.broke(f"{request} got {status}")


class MomentCaller(Caller):
    """Waits with an open connection until something is done to its entry, and
    sends at that very moment."""

    async def session(self, connection):
        if self.random.random() < 0.5 and not await self.one(connection):
            return
        while not self.world.over:
            try:
                await asyncio.wait_for(connection.entry.moment.wait(),
                                       self.world.idle_limit / 2)
            except asyncio.TimeoutError:
                if not (connection.is_usable() and await self.one(connection)):
                    return
                continue
            await asyncio.sleep(self.random.choice([0, 0, 0.002, 0.02]))
            if not (connection.is_usable() and await self.one(connection)):
                return


PLAIN = ["plain"]
SINGLE_SHAPES = ["plain", "pieces", "long", "chunked", "chunked pieces"]
ALL_SHAPES = [*SINGLE_SHAPES, "pipelined"]


def callers(world):
    """@return all callers of a run."""
    makes = ([(Caller, PLAIN, 0.0)] * 3 + [(Caller, PLAIN, 1.0)] * 2
             + [(Caller, ALL_SHAPES, 0.1)] * 3 + [(Caller, SINGLE_SHAPES, 1.0)]
             + [(MomentCaller, PLAIN, 0.0)] * 3
             + [(MomentCaller, ALL_SHAPES, 0.0)] * 3)
    return [make(world, number, shapes, new_share)
            for number, (make, shapes, new_share) in enumerate(makes)]
