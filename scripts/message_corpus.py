"""The corpus of HTTP messages in testsuite/message_corpus, see the heads of its files,
and the play of its requests."""

import asyncio
import dataclasses
import pathlib
import re

import soak_actors
import soak_http

words = soak_actors.words

FOLDER = (pathlib.Path(__file__).resolve().parents[1] / "testsuite"
          / "message_corpus")
ANSWER_SECONDS, AT_ONCE = 4.0, 12
# The deadline of the requests, and the time in which a caller is told of an answer
# that is none, whether its connection ends or not.
DEADLINE_SECONDS, TOLD_SECONDS = 2.0, 1.0
WAYS = ("at once", "byte by byte", "line by line")
# Longer messages are sent in so many pieces, and not cut at each byte.
LONG, PIECES = 1000, 64
MOST_LINES, LINE_SECONDS = 400, 0.001
REPEAT = re.compile(r"\{([^{}]+)\*(\d+)\}", re.S)
ESCAPE = re.compile(rb"\\(r|n|t|x[0-9a-f]{2})")
ESCAPED = {b"r": b"\r", b"n": b"\n", b"t": b"\t"}


def read_corpus(name):
    """@return rows [name, end, text]."""
    lines = (FOLDER / name).read_text(encoding="ascii").splitlines()
    rows = [line.split(" ; ", 2) for line in lines
            if line and not line.startswith("#")]
    assert all(len(row) == 3 for row in rows)
    return rows


def unescape(match):
    code = match.group(1)
    return ESCAPED.get(code) or bytes([int(code[1:], 16)])


def expand(text, macros):
    """@return the bytes that a row's text stands for."""
    for name, value in macros.items():
        text = text.replace("{" + name + "}", value)
    text = REPEAT.sub(lambda match: match[1] * int(match[2]), text)
    return ESCAPE.sub(unescape, text.encode("ascii"))


def request_macros(identity, target, identity_field=words.REQUEST_ID):
    fields = (f"Host: soak.example\\r\\n{identity_field}: {identity}\\r\\n"
              f"{words.DEADLINE}: {int(DEADLINE_SECONDS * 1000)}\\r\\n"
              f"{words.KEY}: 7\\r\\n")
    return {"get": f"GET {target} HTTP/1.1\\r\\n{fields}",
            "post": f"POST {target} HTTP/1.1\\r\\n{fields}",
            "fields": fields, "target": target}


def response_macros(identity):
    fields = (f"{words.REQUEST_ID}: {identity}\\r\\n"
              f"{words.SIGNATURE}: s.{identity}\\r\\n")
    return {"ok": f"HTTP/1.1 200 OK\\r\\n{fields}", "fields": fields,
            "refused": f"{words.NOT_RUN}: 1\\r\\n"}


def is_expected(row, got):
    """@param row of responses.txt.
    @param got status and length of the body that the caller of an unsafe request
    got."""
    if row[1] == "none":
        return got[0] in (502, 504)
    if row[1] == "none/open":
        return got[0] == 502
    return got == (200, int(row[1].removeprefix("200+")))


class Exchange:
    """One connection to a listener, and what came back on it."""

    def __init__(self, address):
        self.address = address

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self

    async def __aexit__(self, *_):
        self.writer.transport.abort()

    async def answer(self):
        """@return status and length of the body of the final answer; 0 for the
        status if the connection ends without a whole one, -1 if nothing comes."""
        try:
            status = 100
            while 100 <= status < 200:
                first, _, body = await asyncio.wait_for(
                    soak_http.read_message(self.reader), ANSWER_SECONDS)
                status = int(first.split()[1])
            return status, len(body)
        except (soak_http.Broken, OSError):
            return 0, 0
        except asyncio.TimeoutError:
            return -1, 0

    async def rest(self):
        """@return the bytes up to the end of the connection, None if it stays
        open."""
        try:
            return await asyncio.wait_for(self.reader.read(), ANSWER_SECONDS)
        except asyncio.TimeoutError:
            return None
        except OSError:
            return b""


def pieces(data, how):
    """@return the parts of a message that are sent one after the other."""
    if how == "at once":
        return [data]
    if how == "line by line":
        lines = data.splitlines(keepends=True)
        size = len(lines) // MOST_LINES + 1
        return [b"".join(lines[at:at + size])
                for at in range(0, len(lines), size)]
    size = 1 if len(data) <= LONG else len(data) // PIECES
    return [data[at:at + size] for at in range(0, len(data), size)]


async def send(writer, data, how):
    for piece in pieces(data, how):
        if writer.transport.is_closing():
            return
        writer.write(piece)
        # The other side reads a line by itself only if it arrives alone.
        await asyncio.sleep(LINE_SECONDS if how == "line by line" else 0)


@dataclasses.dataclass
class Listener:
    """Where requests are sent, and what becomes of them there."""

    name: str
    address: tuple
    target: str
    # Of requests that can be read.
    statuses: frozenset = frozenset({200})
    # Whether requests are passed on to an upstream that the test sees.
    passes: bool = False
    # Ends other than in the corpus, by row.
    ends: dict = dataclasses.field(default_factory=dict)
    # The field that has a request's id.
    identity_field: str = words.REQUEST_ID

    def macros(self, identity):
        return request_macros(identity, self.target, self.identity_field)

    def end(self, row):
        """@return the statuses that are right, the length of the body that is
        passed on, None for a request that is refused, and whether the
        connection stays open."""
        end, _, stays = self.ends.get(row[0], row[1]).partition("/")
        if end.startswith("200+"):
            return self.statuses, int(end[4:]), stays != "close"
        return {int(status) for status in end.split(",")}, None, stays == "open"


class Requests:
    """Plays requests.txt."""

    def __init__(self, broke):
        """@param broke called with a text for each check that fails."""
        self.broke = broke
        self.number = 0
        self.played = 0
        self.limit = asyncio.Semaphore(AT_ONCE)
        # By request id: lengths of the bodies that an upstream got.
        self.passed = {}
        # Requests of which nothing may be passed on.
        self.refused = set()

    def identity(self):
        self.number += 1
        return f"corpus-{self.number}"

    async def play_one(self, listener, row, how):
        identity = self.identity()
        data = expand(row[2], listener.macros(identity))
        statuses, length, open_after = listener.end(row)
        where = f"{listener.name}, {how}, {row[0]!r}"
        async with self.limit, Exchange(listener.address) as exchange:
            await send(exchange.writer, data, how)
            status, _ = await exchange.answer()
            if status not in statuses:
                self.broke(f"{where}: got {status}, expected {statuses}")
            if length is None:
                self.refused.add(identity)
            passed = self.passed.get(identity)
            expected = None if length is None or not listener.passes else [length]
            if passed != expected:
                self.broke(f"{where}: passed on {passed}, expected {expected}")
            if open_after:
                exchange.writer.write(expand(
                    "{get}\\r\\n", listener.macros(self.identity())))
                status, _ = await exchange.answer()
                if status not in listener.statuses:
                    self.broke(f"{where}: the next request got {status}")
            elif await exchange.rest() != b"":
                self.broke(f"{where}: the connection does not end")
        self.played += 1

    async def play_cut(self, listener, row, data, identity):
        where = f"{listener.name}, {row[0]!r} up to {data[-20:]!r}"
        async with self.limit, Exchange(listener.address) as exchange:
            exchange.writer.write(data)
            exchange.writer.write_eof()
            if await exchange.rest() is None:
                self.broke(f"{where}: the connection does not end")
        self.refused.add(identity)
        if identity in self.passed:
            self.broke(f"{where}: passed on")
        self.played += 1

    async def play_cuts(self, listener, row, whole):
        """@param whole whether the fields that all requests have are cut too."""
        identity = self.identity()
        macros = listener.macros(identity)
        data = expand(row[2], macros)
        if len(data) > LONG:
            return
        common = 0 if whole else len(expand("{get}", macros))
        await asyncio.gather(*(
            self.play_cut(listener, row, data[:end], identity)
            for end in range(common + 1, len(data))))

    async def play(self, listener):
        rows = read_corpus("requests.txt")
        for how in WAYS:
            await asyncio.gather(*(self.play_one(listener, row, how)
                                   for row in rows))
        for number, row in enumerate(rows):
            await self.play_cuts(listener, row, number == 0)
