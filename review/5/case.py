"""LOST: a node that got SIGTERM takes requests that it does not let finish.

Two of three nodes get SIGTERM in turn, 2 s apart; `grace_s` is 8. Fewer than half of the zone's
nodes are then ready, so that the platform goes on giving connections to all of them.

- The first gets streams on connections that were open before, a little over 3 s after its SIGTERM.
  The runner needs 4.6 s, within the deadline, the route's timeout and `grace_s`.
- The second has no stream. It gets batch calls on new connections, less than 3 s after its SIGTERM: two
  jobs of 4.1 MB; and reads of another job that may be held for 1 s, which are recorded and not counted,
  since they carry no id of an attempt.

With TROUBLE=0 there is no SIGTERM.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import (Connection, Deployment, encode_request, job_body,  # noqa: E402
                        read_answer, submit)
from runner import encode_event  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_SECONDS = 8
SECOND_SIGTERM_SECONDS = 2.0
JOB_AFTER_SECONDS = [2.94, 2.97]  # From the SIGTERM of the node, as the next two.
READ_AFTER_SECONDS = [2.65, 2.75, 2.85]
SEND_AFTER_SECONDS = [3.04, 3.07, 3.10, 3.13]  # Later than 3 s.
LOSS_SLACK_SECONDS = 0.2  # `loss_slack_ms`.
EXCUSED_SECONDS = 3.0  # Streams that were sent no later than this after SIGTERM are excused.
EVENTS = 24
EVENT_SECONDS = 0.19
LIMIT_SECONDS = 100
HEADERS = {"Stoathold-Model": "m", "Stoathold-Token-Usage": "491,168",
           "Stoathold-Prompt-Prefix": "5c1e07a2:93", "Stoathold-Deadline-Ms": "5000"}


def plan(request):
    request_id = request.header("Stoathold-Attempt-Id")
    if request_id.startswith("warm"):
        return 2, 0.01
    return (EVENTS, EVENT_SECONDS) if request_id.startswith("a") else (400, 0.02)


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


async def batch_call(node, name, start, after, *request):
    """Makes a call on a new connection; returns (name, seconds from its last byte, answer)."""
    await asyncio.sleep(start + after - time.monotonic())
    connection = await Connection().open(node.front)
    connection.writer.write(encode_request(*request))
    await connection.writer.drain()
    sent = time.monotonic()
    answer = await read_answer(connection.reader)
    connection.close()
    return name, time.monotonic() - sent, answer


async def batch_calls(deployment, bodies, start, record):
    """Returns how many jobs were read whole and got no answer. Reads are recorded only."""
    node = deployment.nodes[1]
    jobs = [batch_call(node, name, start, after, "POST", "/drafts/" + name,
                       {"Stoathold-Attempt-Id": name}, body)
            for (name, body), after in zip(bodies.items(), JOB_AFTER_SECONDS)]
    reads = [batch_call(node, "read sent +%.2f s" % after, start, after, "GET",
                        "/api/lots/job?after_rev=0", {"Stoathold-Max-Wait-Ms": 1000})
             for after in READ_AFTER_SECONDS]
    outcomes = await asyncio.gather(*jobs, *reads)
    for outcome in outcomes[len(jobs):]:
        judge_call(outcome, False, record)
    return sum(judge_call(outcome, is_stored(deployment, outcome[0]), record)
               for outcome in outcomes[:len(jobs)])


def is_stored(deployment, job):
    """Returns whether the store holds a record of the job, so that a node has read it whole."""
    return any(".%s/" % job in key for partition in deployment.store.partitions.values()
               for key, _ in partition.records)


def judge_call(outcome, counts, record):
    """Returns whether the connection ended without a whole answer, too long after the last byte."""
    name, seconds, (status, _, _, is_complete) = outcome
    unanswered = not is_complete and seconds > LOSS_SLACK_SECONDS
    record("%s: status %d, whole answer: %s, ended %.3f s after its last byte%s -> %s" % (
        name, status, is_complete, seconds, ", read whole" if counts else "",
        "LOST" if unanswered and counts else "not counted" if unanswered else "ok"))
    return unanswered and counts


async def streams(deployment, connections, start, stops, record):
    """Returns how many streams were cut off."""
    asks = [ask_at(connection, "a%d" % index, start, after)
            for index, (connection, after) in enumerate(zip(connections, SEND_AFTER_SECONDS))]
    outcomes = await asyncio.gather(*asks)
    await asyncio.sleep(0.3)
    stopped = stops[0] if stops else start
    return sum(judge(deployment, "a%d" % index, outcome, start, stopped, record)
               for index, outcome in enumerate(outcomes))


async def stop_two(deployment, start, stops, record):
    for node, after in zip(deployment.nodes, [0, SECOND_SIGTERM_SECONDS]):
        await asyncio.sleep(start + after - time.monotonic())
        node.signal(signal.SIGTERM)
        stops.append(time.monotonic())
        record("+%.2f s: SIGTERM of %s" % (time.monotonic() - start, node.name))


async def play(deployment, record):
    await deployment.start()
    node = deployment.nodes[0]
    connections = [await Connection().open(node.front) for _ in SEND_AFTER_SECONDS]
    for index, connection in enumerate(connections):
        if (await ask(connection, "warm%d" % index))[0] != 200:
            raise RuntimeError("the deployment does not serve")
    if (await submit(node, "job", job_body("job", 4)))[0] != 202:
        raise RuntimeError("the deployment takes no job")
    await asyncio.sleep(3.2)  # More than `contact_ms` without any disruption.
    bodies = {name: job_body(name, 55, body=lambda index: os.urandom(56000))
              for name in ("job-1", "job-2")}
    start = time.monotonic()
    stops = []
    parts = [batch_calls(deployment, bodies, start + SECOND_SIGTERM_SECONDS, record),
             streams(deployment, connections, start, stops, record)]
    if TROUBLE:
        parts.append(stop_two(deployment, start, stops, record))
    calls_lost, streams_lost = (await asyncio.gather(*parts))[:2]
    for stopped in deployment.nodes[:2]:
        ended = stopped.process.poll()
        record("+%.2f s: the process of %s has %s" % (
            time.monotonic() - start, stopped.name,
            "not ended" if ended is None else "ended with %d" % ended))
    for connection in connections:
        connection.close()
    return calls_lost, streams_lost


def judge(deployment, request_id, outcome, start, stopped, record):
    """Returns whether the request was passed on and its connection ended without a whole answer."""
    sent, ended, (status, _, body, is_complete) = outcome
    runs = [run for run in deployment.runs() if run["id"] == request_id]
    is_whole = is_complete and (status != 200 or body == whole_body(request_id))
    before_limits = ended - sent < 4.9 and ended < GRACE_SECONDS
    after_stop = start + sent - stopped
    lost = bool(runs) and not is_whole and before_limits and after_stop > EXCUSED_SECONDS
    record("%s: sent +%.3f s after SIGTERM, ended +%.2f s, status %d, whole answer: %s; runs: %s -> %s" % (
        request_id, after_stop, ended, status, is_whole,
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
        calls, cut = await asyncio.wait_for(play(deployment, record), LIMIT_SECONDS)
        record("TROUBLE=%d: %d of %d jobs and %d of %d streams lost" % (
            TROUBLE, calls, len(JOB_AFTER_SECONDS), cut, len(SEND_AFTER_SECONDS)))
        result = 1 if calls or cut else 0
    except Exception as failure:  # The case could not run.
        record("not run: %r" % failure)
    finally:
        deployment.stop()
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    return result


sys.exit(asyncio.run(main()))
