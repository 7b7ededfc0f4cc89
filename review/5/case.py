"""LOST: a node that got SIGTERM takes requests that it does not let finish.

Clients keep connections to a node and rest. The node gets SIGTERM; `grace_s` is 8. A little over 3 s
later each client sends one more request on its open connection. The runner answers at the pace that
the route asks for and needs 4.6 s, within the deadline, the route's timeout and `grace_s`. With
TROUBLE=0 there is no SIGTERM.
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
GRACE_SECONDS = 8
SEND_AFTER_SECONDS = [3.04, 3.07, 3.10, 3.13]  # From SIGTERM: later than 3 s.
EVENTS = 24
EVENT_SECONDS = 0.19
LIMIT_SECONDS = 100
HEADERS = {"Stoathold-Model": "m", "Stoathold-Token-Usage": "491,168",
           "Stoathold-Prompt-Prefix": "5c1e07a2:93", "Stoathold-Deadline-Ms": "5000"}


def plan(request):
    is_warm_up = request.header("Stoathold-Attempt-Id").startswith("warm")
    return (2, 0.01) if is_warm_up else (EVENTS, EVENT_SECONDS)


def whole_body(request_id):
    return b"".join(encode_event(request_id, number) for number in range(1, EVENTS + 1))


async def ask(connection, request_id):
    return await connection.call("POST", "/ask/1",
                                 {**HEADERS, "Stoathold-Attempt-Id": request_id}, b"question")


async def ask_at(connection, request_id, start, after):
    """Sends one request at its time; returns (sent, ended, answer), the times from `start`."""
    await asyncio.sleep(start + after - time.monotonic())
    sent = time.monotonic() - start
    answer = await ask(connection, request_id)
    return sent, time.monotonic() - start, answer


async def play(deployment, record):
    await deployment.start()
    node = deployment.nodes[0]
    connections = [await Connection().open(node.front) for _ in SEND_AFTER_SECONDS]
    for index, connection in enumerate(connections):
        if (await ask(connection, "warm%d" % index))[0] != 200:
            raise RuntimeError("the deployment does not serve")
    await asyncio.sleep(3.2)  # More than `contact_ms` without any disruption.
    start = time.monotonic()
    if TROUBLE:
        node.signal(signal.SIGTERM)
        record("+0.00 s: SIGTERM of " + node.name)
    asks = [ask_at(connection, "a%d" % index, start, after)
            for index, (connection, after) in enumerate(zip(connections, SEND_AFTER_SECONDS))]
    outcomes = await asyncio.gather(*asks)
    await asyncio.sleep(0.5)
    ended = node.process.poll()
    record("+%.2f s: the node's process has %s" % (
        time.monotonic() - start, "not ended" if ended is None else "ended with %d" % ended))
    lost = sum(judge(deployment, "a%d" % index, outcome, start, record)
               for index, outcome in enumerate(outcomes))
    for connection in connections:
        connection.close()
    return lost


def judge(deployment, request_id, outcome, start, record):
    """Returns whether the request was passed on and its connection ended without a whole answer."""
    sent, ended, (status, _, body, is_complete) = outcome
    runs = [run for run in deployment.runs() if run["id"] == request_id]
    is_whole = is_complete and (status != 200 or body == whole_body(request_id))
    before_limits = ended - sent < 4.9 and ended < GRACE_SECONDS
    lost = bool(runs) and not is_whole and before_limits
    record("%s: sent +%.2f s, ended +%.2f s, status %d, whole answer: %s; runs: %s -> %s" % (
        request_id, sent, ended, status, is_whole,
        [("+%.2f s" % (run["at"] - start), run["runner"], run["end"]) for run in runs],
        "LOST" if lost else "ok"))
    return lost


async def main():
    lines = []

    def record(line):
        lines.append(line)
        print(line, flush=True)

    deployment = Deployment(nodes=3, runners=2, grace_s=GRACE_SECONDS, plan=plan)
    result = 2
    try:
        lost = await asyncio.wait_for(play(deployment, record), LIMIT_SECONDS)
        record("TROUBLE=%d: %d of %d requests lost" % (TROUBLE, lost, len(SEND_AFTER_SECONDS)))
        result = 1 if lost else 0
    except Exception as failure:  # The case could not run.
        record("not run: %r" % failure)
    finally:
        deployment.stop()
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    return result


sys.exit(asyncio.run(main()))
