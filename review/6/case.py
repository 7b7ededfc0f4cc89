"""MIXED: an answer to HEAD has a body, and the next answer on the connection is not readable.

Clients keep a connection and send HEAD and GET by turns to a route of `safe` requests, and GET to
another one, whose route stays. The operator takes the first route away, as a change of the
configuration may; more than `config_apply_ms` later each client sends HEAD to it and then GET to
the other. With TROUBLE=0 the operator writes the same routes again.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import (Connection, Deployment, batch_route, encode_request,  # noqa: E402
                        stream_route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_SECONDS = 2.0  # `config_apply_ms`.
CLIENTS_PER_NODE = 4
LIMIT_SECONDS = 100
INFO = stream_route(name="info", path_prefix="/info/", kind="safe", resumable=False)
PAGES = stream_route(name="pages", path_prefix="/pages/", kind="safe", resumable=False)


def body_of(request_id):
    return ("page for %s\n" % request_id).encode()


async def exchange(connection, method, path, request_id):
    """Sends one request; returns (first line of the answer, status, body).

    An answer to HEAD ends with its head. The status is 0 if what comes is no answer of HTTP.
    """
    connection.writer.write(encode_request(
        method, path, {"Stoathold-Attempt-Id": request_id, "Stoathold-Deadline-Ms": "4000"}))
    head = (await connection.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    if not head[0].startswith("HTTP/1.1 "):
        return head[0], 0, b""
    fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    length = 0 if method == "HEAD" else int(fields["content-length"])
    return head[0], int(head[0].split(" ")[1]), await connection.reader.readexactly(length)


async def use(node, index, changed, record):
    """Plays one client; returns whether it got something else than the answer to its request."""
    connection = await Connection().open(node.front)
    broken = False
    for step in ("before", "after"):
        if step == "after":
            await changed.wait()
        for method, path in (("HEAD", "/info/1"), ("GET", "/pages/1")):
            request_id = "%s-%d-%s-%s" % (node.name, index, step, method.lower())
            line, status, body = await exchange(connection, method, path, request_id)
            is_page = status == 200 and body == body_of(request_id)
            wrong = not is_page if method == "GET" else status not in (200, 404)
            broken = broken or wrong
            record("%s %s %s: %r, body %r%s" % (
                request_id, method, path, line, body, " -> BROKEN" if wrong else ""))
    connection.close()
    return broken


async def play(deployment, record):
    await deployment.start()
    deployment.configure([stream_route(), batch_route(), INFO, PAGES])
    await asyncio.sleep(APPLY_SECONDS + 0.5)
    changed = asyncio.Event()
    clients = [asyncio.create_task(use(node, index, changed, record))
               for node in deployment.nodes for index in range(CLIENTS_PER_NODE)]
    await asyncio.sleep(1.0)
    kept = [stream_route(), batch_route(), PAGES]
    deployment.configure(kept if TROUBLE else [*kept, INFO])
    record("version %d is acknowledged, %s the route /info/" % (
        deployment.version, "without" if TROUBLE else "with"))
    await asyncio.sleep(APPLY_SECONDS + 0.5)
    changed.set()
    results = await asyncio.gather(*clients)
    return sum(results), len(results)


async def main():
    lines = []

    def record(line):
        lines.append(line)
        print(line, flush=True)

    deployment = Deployment(nodes=3, runners=2, plan=lambda request: body_of(
        request.header("Stoathold-Attempt-Id")))
    result = 2
    try:
        broken, clients = await asyncio.wait_for(play(deployment, record), LIMIT_SECONDS)
        record("TROUBLE=%d: %d of %d clients got bytes that are no answer" % (
            TROUBLE, broken, clients))
        result = 1 if broken else 0
    except Exception as failure:  # The case could not run.
        record("not run: %r" % failure)
    finally:
        deployment.stop()
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    return result


sys.exit(asyncio.run(main()))
