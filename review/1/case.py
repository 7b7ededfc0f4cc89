"""Three runners crash one after the other and start again under their ids with other software.

Rule: ORDER. At most two streams may hold events of two software versions. The entry of a runner in
the store follows its start by a heartbeat."""

import json
import pathlib
import re
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import (BROKEN, HELD, ZONES, Deployment, RunnerOptions,  # noqa: E402
                        call, has_trouble, play, wait_for)
from streaming_client import ask  # noqa: E402

NODES = 4
RUNNERS = 7  # One of them is less than the share of 0.17 that srv_crash may strike.
STREAMS_AT_NODE = 6
# The shared parts of a review, of 6,300 tokens as in the sheet: its runner keeps them.
PROMPT = ["5c1e07a2:2520", "91bd3f06:3780"]
DOWN_SECONDS = 0.1
# A release strikes 0.45 of the runners, `x` = 1 at a time, with `gap_s` = 1.0 between them.
GAP_SECONDS = 1.0
# `heartbeat_ms` of the settings.
ENTRY_DELAY_MS = 1200
MAX_MIXED_STREAMS = 2
VERSION = re.compile(rb"^data: \S+#\d+ v(\S+)", re.MULTILINE)


def running(deployment, index):
    report = call(deployment.runner_addresses[index], "GET", "/api/report")[2]
    return json.loads(report)["running_count"]


def replace_software(deployment, index):
    """Crashes a runner and starts it again with the next software version."""
    runner_id = "i-%08x" % (0x7f3a0000 + index)
    deployment.record("SIGKILL of runner %s, which runs %d requests"
                      % (runner_id, running(deployment, index)))
    process = deployment.runners[runner_id]
    process.kill()
    process.wait()
    time.sleep(DOWN_SECONDS)
    deployment.start_runner(index, "2", ENTRY_DELAY_MS)
    wait_for(lambda: running(deployment, index) >= 0, runner_id, 5.0)
    deployment.record("%s runs software version 2" % runner_id)


def start_streams(nodes):
    """Starts the clients; returns their threads and the list of their answers."""
    answers = []
    clients = [threading.Thread(target=lambda node=node, name="%02x%02x0001" % (index, number):
                                answers.append(ask(node, name, PROMPT)))
               for index, node in enumerate(nodes) for number in range(STREAMS_AT_NODE)]
    for client in clients:
        client.start()
    return clients, answers


def play_case(deployment):
    zone = [index for index in range(RUNNERS) if index % len(ZONES) == 0]
    nodes = [node for index, node in enumerate(deployment.nodes) if index % len(ZONES) == 0]
    clients, answers = start_streams(nodes)
    time.sleep(0.5)
    loads = {index: running(deployment, index) for index in zone}
    deployment.record("requests by runner of the zone: %s" % loads)
    if has_trouble():
        begin = time.monotonic()
        for number, index in enumerate(sorted(zone, key=loads.get)):
            time.sleep(max(0.0, begin + number * GAP_SECONDS - time.monotonic()))
            replace_software(deployment, index)
    for client in clients:
        client.join()
    return judge(deployment, answers)


def judge(deployment, answers):
    mixed = []
    for answer in answers:
        versions = sorted({version.decode() for version in VERSION.findall(answer.body)})
        deployment.record("%s, of versions %s" % (answer.describe(), versions))
        if len(versions) > 1:
            mixed.append(answer)
    for line in deployment.runs():
        deployment.record("runner: %s" % line)
    summary = "%d answers, %d whole, %d with events of two software versions" % (
        len(answers), sum(answer.end == "whole" for answer in answers), len(mixed))
    deployment.record(summary)
    print(summary)
    return BROKEN if len(mixed) > MAX_MIXED_STREAMS else HELD


if __name__ == "__main__":
    play(Deployment(FOLDER / "record.txt", nodes=NODES, runners=RUNNERS,
                    runner=RunnerOptions(events=34, event_ms=130)), play_case)
