"""The corpus of HTTP messages in testsuite/message_corpus, see the heads of its files."""

import pathlib
import re

import soak_actors

words = soak_actors.words

FOLDER = (pathlib.Path(__file__).resolve().parents[1] / "testsuite"
          / "message_corpus")
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


def request_macros(identity, target):
    fields = (f"Host: soak.example\\r\\n{words.REQUEST_ID}: {identity}\\r\\n"
              f"{words.DEADLINE}: 2000\\r\\n{words.KEY}: 7\\r\\n")
    return {"get": f"GET {target} HTTP/1.1\\r\\n{fields}",
            "post": f"POST {target} HTTP/1.1\\r\\n{fields}",
            "fields": fields, "target": target}


def response_macros(identity):
    fields = (f"{words.REQUEST_ID}: {identity}\\r\\n"
              f"{words.SIGNATURE}: s.{identity}\\r\\n")
    return {"ok": f"HTTP/1.1 200 OK\\r\\n{fields}", "fields": fields}
