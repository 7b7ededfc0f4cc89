"""ORDER: runners crash between two events of answers that end with their connection.

Part one: the route's streams are resumable and may run at two runners. Sixteen clients have a stream
in progress at seven runners. The runner with most of them is killed, and its connections close. The
streams have to go on at another runner behind the last event that was passed on, or end visibly
early. Part two is in items.py. The runners' answers have no length, which the rules allow. With
TROUBLE=0 no runner is killed.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import Connection, Deployment  # noqa: E402
from items import ITEMS, play_items  # noqa: E402
from runner import encode_event  # noqa: E402
from runner_processes import RunnerProcess  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 16
RUNNERS = 7
EVENTS = 12
PAUSE_MS = 150
KILL_AFTER_SECONDS = 0.98  # In the pause behind event 6, or a little before or after it.
LIMIT_SECONDS = 110
HEADERS = {"Stoathold-Model": "m", "Stoathold-Token-Usage": "491,84",
           "Stoathold-Prompt-Prefix": "5c1e07a2:93", "Stoathold-Deadline-Ms": "5000"}


def whole_body(request_id):
    return b"".join(encode_event(request_id, number) for number in range(1, EVENTS + 1))


async def ask(node, request_id):
    """Sends one request; returns (status, headers, body, whether the answer ended as HTTP says)."""
    connection = await Connection().open(node.front)
    try:
        return await connection.call(
            "POST", "/ask/1", {**HEADERS, "Stoathold-Attempt-Id": request_id}, b"question")
    finally:
        connection.close()


async def play(deployment, runners, record):
    for runner in runners:
        await runner.wait_ready()
        runner.register(deployment.store)
    await deployment.start()
    warm = await ask(deployment.nodes[0], "warm")
    if warm[2] != whole_body("warm"):
        raise RuntimeError("the deployment does not serve")
    ids = ["a%d" % index for index in range(CLIENTS)]
    start = time.monotonic()
    asks = [asyncio.create_task(ask(deployment.nodes[0], request_id)) for request_id in ids]
    await asyncio.sleep(KILL_AFTER_SECONDS)
    if TROUBLE:
        victim = max(runners, key=lambda runner: sum(bool(runner.runs(name)) for name in ids))
        victim.kill()
        record("+%.2f s: SIGKILL of runner %s" % (time.monotonic() - start, victim.identity))
    answers = await asyncio.gather(*asks)
    await asyncio.sleep(0.1)
    return sum(judge(runners, request_id, answer, record)
               for request_id, answer in zip(ids, answers))


def judge(runners, request_id, answer, record):
    """Returns whether the stream ended as complete before its last piece."""
    status, headers, body, ended_cleanly = answer
    looks_complete = status == 200 and ended_cleanly and (
        headers.get("stoathold-response-seal") == "seal-" + request_id)
    broken = looks_complete and body != whole_body(request_id)
    runs = [(runner.identity, *run) for runner in runners for run in runner.runs(request_id)]
    record("%s: runs (runner, after event, last event made, end) %s; client: status %d, "
           "%d of %d events, end %s -> %s" % (
               request_id, runs, status, body.count(b"\n\n"), EVENTS,
               "of the connection (FIN)" if ended_cleanly else "visibly early",
               "BROKEN: ends as complete" if broken else "ok"))
    return broken


async def play_streams(record):
    """Returns how many streams ended as complete before their last piece."""
    deployment = Deployment(nodes=3, runners=0)
    runners = [RunnerProcess("i-%d" % index, deployment.directory, EVENTS, PAUSE_MS)
               for index in range(RUNNERS)]
    try:
        return await play(deployment, runners, record)
    finally:
        for runner in runners:
            runner.kill()
        deployment.stop()


async def play_both(record):
    streams = await play_streams(record)
    items = await play_items(TROUBLE, record)
    record("TROUBLE=%d: %d of %d streams ended as complete before their last piece; %d of %d items "
           "were completed without their whole output" % (TROUBLE, streams, CLIENTS, items, ITEMS))
    return streams + items


async def main():
    lines = []

    def record(line):
        lines.append(line)
        print(line, flush=True)

    result = 2
    try:
        broken = await asyncio.wait_for(play_both(record), LIMIT_SECONDS)
        result = 1 if broken else 0
    except Exception as failure:  # The case could not run.
        record("not run: %r" % failure)
    finally:
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    return result


sys.exit(asyncio.run(main()))
