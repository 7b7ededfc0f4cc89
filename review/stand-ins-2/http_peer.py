"""Minimal HTTP/1.1 server side for stand-ins: requests, plain answers and chunked streams."""

import asyncio


class Request:
    """One request with its headers (names in lower case) and its whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


async def read_request(reader):
    """Returns the next request, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_head(status, headers):
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_answer(status, body=b"", headers=(), content_type="application/json"):
    fields = [("Content-Type", content_type), ("Content-Length", len(body)), *headers]
    return encode_head(status, fields) + body


def encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def serve_connection(reader, writer, handler):
    """Serves requests of one connection; `handler(request, reader, writer)` writes the answer.

    The handler returns False to end the connection.
    """
    try:
        while True:
            request = await read_request(reader)
            if await handler(request, reader, writer) is False:
                break
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
        pass
    except asyncio.CancelledError:  # The case has ended.
        pass
    finally:
        writer.close()


async def start_server(address, handler):
    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(
        lambda reader, writer: serve_connection(reader, writer, handler), host, int(port),
        limit=16 * 1024 * 1024, backlog=512)
