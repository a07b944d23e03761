"""Just enough HTTP/1.1 for the stand-ins."""

import asyncio


class Broken(Exception):
    """The connection ended, or what came is no message."""


async def read_message(reader):
    """@return first line, fields by lower-case name, body."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            OSError) as error:
        raise Broken(str(error)) from error
    return lines[0], fields, body


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, path, body=b"", timeout=1.0):
    """One exchange on a connection of its own.
    @return status and body; None if there was no whole answer in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1",
                                 {"Host": f"{address[0]}:{address[1]}",
                                  "Content-Type": "application/json"}, body))
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, Broken, asyncio.TimeoutError):
        return None
