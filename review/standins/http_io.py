"""A small HTTP/1.1 server on asyncio, for the stand-ins."""

import asyncio
import urllib.parse


class Request:
    """One request that was read completely."""

    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.target = target
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_request(reader):
    """Reads one request; returns nothing if the connection ended before it."""
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def response(status, body=b"", headers=None, content_type="application/json"):
    """Returns the bytes of a whole response."""
    lines = ["HTTP/1.1 %d Status" % status, "Content-Type: " + content_type,
             "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % pair for pair in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(address, handler):
    """Serves until cancelled. The handler returns bytes to send, or None after it has answered by
    itself and the connection is to be closed."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await handler(request, reader, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(connection, host, int(port), limit=1 << 24)
    async with server:
        await server.serve_forever()
