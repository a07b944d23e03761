"""Just enough HTTP/1.1 for the soak's callers and upstreams."""

import asyncio
import re

# RFC 9110, section 5.6.2: what a field's name consists of.
FIELD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+:")
STATUS = re.compile(r"HTTP/1\.[01] ([1-5][0-9]{2}) ")


class Broken(Exception):
    """The connection ended or what came is no message."""


async def read_message(reader):
    """@return first line, fields in lower case, body.
    @throws Broken if a strict recipient would take it for no message."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError) as error:
        raise Broken(str(error)) from error
    first, *lines = head.split("\r\n")[:-2]
    fields = {}
    for line in lines:
        if not FIELD.match(line):
            raise Broken(f"no field: {line!r}")
        name, value = line.split(":", 1)
        fields[name.lower()] = value.strip()
    check_status(first, fields)
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(
                int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Broken(str(error)) from error
    return first, fields, body


def check_status(first, fields):
    """@throws Broken if the status of an answer is none, or only the end of the
    connection would end the answer."""
    if not first.startswith("HTTP/"):
        return  # A request.
    match = STATUS.match(first)
    if not match:
        raise Broken(f"no status: {first!r}")
    status = int(match[1])
    has_body = status >= 200 and status not in (204, 304)
    if has_body and not fields.keys() & {"content-length", "transfer-encoding"}:
        raise Broken(f"no length: {first!r}")


async def read_chunks(reader):
    body = b""
    while size := int((await reader.readline()).strip() or b"0", 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


def message(first, fields, body=b""):
    """@param first, fields bytes that are no UTF-8 are written as surrogates.
    @return the bytes of a message."""
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines).encode("utf-8", "surrogateescape")
    return head + b"\r\n\r\n" + body


def chunked(first, fields, body, random):
    """@return the bytes of a message whose body comes in chunks."""
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append("Transfer-Encoding: chunked")
    data = "\r\n".join(lines).encode() + b"\r\n\r\n"
    while body:
        size = random.randint(1, len(body))
        data += f"{size:x}\r\n".encode() + body[:size] + b"\r\n"
        body = body[size:]
    return data + b"0\r\n\r\n"


async def call(host, port, method, path, fields, body=b"", timeout=2.0):
    """One request on a connection of its own.
    @return status and body; None if there was no whole answer in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1",
                                 {"Host": host, **fields}, body))
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, Broken, asyncio.TimeoutError):
        return None
