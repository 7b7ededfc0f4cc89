"""MIXED: a node ends while it passes on answers that end with their connection.

The runners' answers, but for those to the first requests, have no length, which the rules allow. A
client must not take an answer that ends early for a complete one. Eight clients have a stream in
progress when their node gets SIGKILL; the platform starts it again. Eight others have a stream in
progress at a node that got SIGTERM, when that node ends. With TROUBLE=0 no node gets a signal.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import Connection, Deployment  # noqa: E402
from runner import encode_event  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 8
SHORT_EVENTS = 12  # Of streams at the node that is killed; they take 1.8 s.
LONG_EVENTS = 26  # Of streams at the node that is stopped; they take 4.9 s.
SHORT_PAUSE_SECONDS = 0.15
LONG_PAUSE_SECONDS = 0.19
KILL_AFTER_SECONDS = 0.9
RESTART_AFTER_SECONDS = 2.0
SEND_AFTER_SIGTERM_SECONDS = 2.7
LIMIT_SECONDS = 100
HEADERS = {"Stoathold-Model": "m", "Stoathold-Token-Usage": "491,84",
           "Stoathold-Prompt-Prefix": "5c1e07a2:93", "Stoathold-Deadline-Ms": "5000"}


def is_long(request_id):
    return request_id.startswith("long")


def plan(request):
    if is_long(request.header("Stoathold-Attempt-Id")):
        return LONG_EVENTS, LONG_PAUSE_SECONDS
    return SHORT_EVENTS, SHORT_PAUSE_SECONDS


def whole_body(request_id):
    events = LONG_EVENTS if is_long(request_id) else SHORT_EVENTS
    return b"".join(encode_event(request_id, number) for number in range(1, events + 1))


def has_length(request):
    return request.header("Stoathold-Attempt-Id").startswith("warm")


async def ask(connection, request_id):
    """Sends one request; returns (status, headers, body, whether the answer ended as HTTP says)."""
    return await connection.call("POST", "/ask/1",
                                 {**HEADERS, "Stoathold-Attempt-Id": request_id}, b"question")


async def connect_all(node):
    """Returns the open connections of all clients, each used once."""
    connections = [await Connection().open(node.front) for _ in range(CLIENTS)]
    answers = await asyncio.gather(*[ask(connection, "warm%d" % index)
                                     for index, connection in enumerate(connections)])
    if any(answer[2] != whole_body("warm%d" % index) for index, answer in enumerate(answers)):
        raise RuntimeError("the deployment does not serve")
    return connections


async def ask_all(deployment, connections, kind, record):
    """Sends a request on each connection; returns how many early ends look complete."""
    ids = ["%s%d" % (kind, index) for index in range(CLIENTS)]
    answers = await asyncio.gather(*[ask(connection, request_id)
                                     for connection, request_id in zip(connections, ids)])
    for connection in connections:
        connection.close()
    return sum(judge(deployment, request_id, answer, record)
               for request_id, answer in zip(ids, answers))


async def play_kill(deployment, node, record):
    connections = await connect_all(node)
    start = time.monotonic()
    asks = asyncio.create_task(ask_all(deployment, connections, "short", record))
    await asyncio.sleep(KILL_AFTER_SECONDS)
    if TROUBLE:
        node.signal(signal.SIGKILL)
        record("+%.2f s: SIGKILL of %s" % (time.monotonic() - start, node.name))
        node.process.wait()
        await asyncio.sleep(RESTART_AFTER_SECONDS)
        node.start()
        await deployment.wait_ready(node)
        record("+%.2f s: %s is ready again" % (time.monotonic() - start, node.name))
    return await asks


async def play_stop(deployment, node, record):
    connections = await connect_all(node)
    if TROUBLE:
        node.signal(signal.SIGTERM)
        record("SIGTERM of %s, %.1f s before its requests" % (
            node.name, SEND_AFTER_SIGTERM_SECONDS))
    await asyncio.sleep(SEND_AFTER_SIGTERM_SECONDS)
    return await ask_all(deployment, connections, "long", record)


async def play(deployment, record):
    await deployment.start()
    killed = await play_kill(deployment, deployment.nodes[0], record)
    record("SIGKILL: %d of %d answers ended early and look complete" % (killed, CLIENTS))
    stopped = await play_stop(deployment, deployment.nodes[1], record)
    record("SIGTERM: %d of %d answers ended early and look complete" % (stopped, CLIENTS))
    return killed + stopped


def judge(deployment, request_id, answer, record):
    """Returns whether an early end looks complete: 2xx, the seal, a clean end, not the whole body."""
    status, headers, body, ended_cleanly = answer
    run = [run for run in deployment.runs() if run["id"] == request_id]
    looks_complete = 200 <= status < 300 and ended_cleanly and (
        headers.get("stoathold-response-seal") == "seal-" + request_id)
    broken = looks_complete and body != whole_body(request_id)
    framing = {name: headers[name] for name in ("content-length", "transfer-encoding", "connection")
               if name in headers}
    record("%s: runner %s; client: status %d, seal %s, framing %s, %d of %d events, end %s -> %s" % (
        request_id, [(entry["runner"], entry["end"]) for entry in run], status,
        headers.get("stoathold-response-seal"), framing, body.count(b"\n\n"), whole_body(request_id).count(b"\n\n"),
        "of the connection (FIN)" if ended_cleanly else "visibly early",
        "BROKEN: looks complete" if broken else "ok"))
    return broken


async def main():
    lines = []

    def record(line):
        lines.append(line)
        print(line, flush=True)

    deployment = Deployment(nodes=3, runners=2, plan=plan, has_length=has_length)
    result = 2
    try:
        broken = await asyncio.wait_for(play(deployment, record), LIMIT_SECONDS)
        record("TROUBLE=%d: %d of %d answers ended early and look complete" % (
            TROUBLE, broken, 2 * CLIENTS))
        result = 1 if broken else 0
    except Exception as failure:  # The case could not run.
        record("not run: %r" % failure)
    finally:
        deployment.stop()
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    return result


sys.exit(asyncio.run(main()))
