"""MIXED: two runners crash one after the other, and results of items lack the rest of their text.

A batch job runs at eighteen runners, whose answers have no length, which the rules allow. Two of them
are killed, the second a moment after the first, when items of the first have just been sent to it.
Each item that is listed as completed must have its whole output. With TROUBLE=0 no runner is killed.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import Deployment, job_body, read_results, submit  # noqa: E402
from runner import event_text  # noqa: E402
from runner_processes import RunnerProcess  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_SECONDS = 110

ITEMS = 80
RUNNERS = 18
EVENTS = 30
PAUSE_MS = 100
PROMPT_TOKENS = 18360
PREFILL_MS = 300  # The prompt at the sheet's 61.2 tokens a ms.
FIRST_CRASH_SECONDS = 1.5  # After the job was accepted.
SECOND_CRASH_SECONDS = 0.2  # After the first.
READ_SECONDS = 40


def whole_text(item):
    return "\n".join(event_text(item, number) for number in range(1, EVENTS + 1))


def just_resumed(runner):
    """Returns how many runs that continue an item have made no event yet."""
    return sum(end == "running" and after > 0 and made == after
               for _, after, made, end in runner.states())


async def crash_two(runners, record):
    await asyncio.sleep(FIRST_CRASH_SECONDS)
    start = time.monotonic()
    first = max(runners, key=lambda runner: len(runner.states()))
    first.kill()
    record("+0.00 s: SIGKILL of runner %s with %d runs" % (first.identity, len(first.states())))
    await asyncio.sleep(SECOND_CRASH_SECONDS)
    others = [runner for runner in runners if runner is not first]
    second = max(others, key=just_resumed)
    resumed = just_resumed(second)
    second.kill()
    record("+%.2f s: SIGKILL of runner %s with %d runs that had just been continued" % (
        time.monotonic() - start, second.identity, resumed))


async def read_all(node, job, count):
    results = []
    end = time.monotonic() + READ_SECONDS
    while len(results) < count and time.monotonic() < end:
        status, _, body, is_complete = await read_results(node, job, len(results))
        if status == 200 and is_complete:
            results += json.loads(body)["results"]
        await asyncio.sleep(0.3)
    return results


async def play(deployment, runners, record):
    for runner in runners:
        await runner.wait_ready()
        runner.register(deployment.store)
    await deployment.start()
    await asyncio.sleep(5)  # Nodes begin with few items after their start.
    status = (await submit(deployment.nodes[0], "job", job_body("job", ITEMS, prompt_tokens=PROMPT_TOKENS)))[0]
    record("a job of %d items: %d" % (ITEMS, status))
    if status != 202:
        raise RuntimeError("the job was not accepted")
    if TROUBLE:
        await crash_two(runners, record)
    results = await read_all(deployment.nodes[1], "job", ITEMS)
    record("results: %d of %d" % (len(results), ITEMS))
    if not results:
        raise RuntimeError("no result was listed")
    broken = sum(judge(runners, result, record) for result in results)
    again = await read_all(deployment.nodes[2], "job", len(results))
    record("read again at another node: %s" % ("the same" if again == results else "DIFFERENT"))
    return broken


def judge(runners, result, record):
    """Returns whether a result is completed without the item's whole output."""
    broken = result["state"] == "completed" and result["message"] != whole_text(result["id"])
    if broken:
        runs = [(runner.identity, *run) for runner in runners for run in runner.runs(result["id"])]
        record("%s: completed with %d of %d events; runs (runner, after event, last event made, "
               "end) %s -> BROKEN" % (result["id"], result["message"].count("\n") + 1, EVENTS,
                                      runs))
    return broken


async def main():
    lines = []

    def record(line):
        lines.append(line)
        print(line, flush=True)

    deployment = Deployment(nodes=3, runners=0)
    runners = [RunnerProcess("i-%d" % index, deployment.directory, EVENTS, PAUSE_MS, PREFILL_MS)
               for index in range(RUNNERS)]
    result = 2
    try:
        broken = await asyncio.wait_for(play(deployment, runners, record), LIMIT_SECONDS)
        record("TROUBLE=%d: %d of %d items were completed without their whole output" % (
            TROUBLE, broken, ITEMS))
        result = 1 if broken else 0
    except Exception as failure:  # The case could not run.
        record("not run: %r" % failure)
    finally:
        for runner in runners:
            runner.kill()
        deployment.stop()
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    return result


sys.exit(asyncio.run(main()))
