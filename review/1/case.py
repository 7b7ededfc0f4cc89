"""Runners crash while they read the prompts of a batch job's items, none by a fault of an item.

Rule: LOST. When `finish_s` is over, each item of an open batch job must be listed if the last
seconds were calm and no runner had it."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from batch_client import read, submit  # noqa: E402
from deployment import (BROKEN, HELD, CouldNotRun, Deployment, RunnerOptions,  # noqa: E402
                        call, has_trouble, play)

NODES = 4
RUNNERS = 18
SLOTS = 12
ITEMS = 8
ITEM_BODY_BYTES = 1200
JOB = "7c41e09b52d6a3f8"
# The longest shared parts that the site file has (for history-review): read in 0.34 s.
PROMPT = ["5c1e07a2:6290", "91bd3f06:11300"]
TOKENS_PER_MS = 51.2
# Three of 18 runners are less than the share of 0.17 that srv_crash may strike.
MAX_DOWN = 3
DOWN_SECONDS = 4.5
CRASHES = 5
WORK_BEFORE_CRASH_SECONDS = 0.15
TRAFFIC_SECONDS = 24.0
FINISH_SECONDS = 18.0
CALM_SECONDS = 5.0
ITEM_SECONDS = 2.5  # An item takes less at a runner.
# Items that failed at a runner in this time before the end don't count.
FAILURE_SECONDS = 20.0


def requests_at(deployment, index):
    try:
        report = call(deployment.runner_addresses[index], "GET", "/api/report", timeout=1.0)[2]
        return json.loads(report)["running_count"]
    except (OSError, ValueError):
        return 0  # It is down.


class Crashes:
    """Kills runners that have worked on the job for a moment, and starts them again later."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ids = list(deployment.runners)
        self.starts = [0] * RUNNERS
        self.restarts = []
        self.last = 0.0

    def play(self, until):
        for _ in range(CRASHES):
            index = self.wait_for_work(until)
            if index is None:
                break
            self.crash(index)
        for restart in self.restarts:
            restart.join()

    def wait_for_work(self, until):
        """Returns a runner that has worked for a while, or None when the time is over."""
        since = {}
        while time.monotonic() < until:
            down = sum(restart.is_alive() for restart in self.restarts)
            for index in range(RUNNERS):
                now = time.monotonic()
                if requests_at(self.deployment, index) == 0:
                    since.pop(index, None)
                elif (now - since.setdefault(index, now) >= WORK_BEFORE_CRASH_SECONDS
                      and down < MAX_DOWN):
                    return index
            time.sleep(0.01)
        return None

    def crash(self, index):
        count = requests_at(self.deployment, index)
        process = self.deployment.runners[self.ids[index]]
        process.kill()
        process.wait()
        self.last = time.monotonic()
        self.deployment.record("SIGKILL of runner %s, which has %d items"
                               % (self.ids[index], count))
        restart = threading.Timer(DOWN_SECONDS, self.start_again, (index,))
        restart.start()
        self.restarts.append(restart)

    def start_again(self, index):
        self.starts[index] += 1
        self.ids[index] = self.deployment.start_runner(index, start=self.starts[index])
        self.deployment.record("runner %s is started" % self.ids[index])


def read_results(deployment, until):
    """Reads the job until all items are listed or the time is over."""
    results = []
    while time.monotonic() < until and len(results) < ITEMS:
        status, page = read(deployment.nodes[0], JOB, len(results))
        results += page["results"] if status == 200 else []
        time.sleep(0.5)
    return results


def idle_seconds(deployment):
    """Returns for how long no item has begun or ended at a runner."""
    return time.time() - max(line["at"] for line in deployment.runs())


def play_case(deployment):
    begin = time.monotonic()
    status = submit(deployment.nodes[1], JOB, ITEMS, ITEM_BODY_BYTES, PROMPT)
    deployment.record("job %s of %d items is sent: %d" % (JOB, ITEMS, status))
    if status != 202:
        raise CouldNotRun("the job gets %d" % status)
    crashes = Crashes(deployment)
    if has_trouble():
        crashes.play(begin + TRAFFIC_SECONDS)
    end = begin + TRAFFIC_SECONDS + FINISH_SECONDS
    results = read_results(deployment, end)
    return judge(deployment, results, time.monotonic() - crashes.last)


def judge(deployment, results, since_crash):
    idle = idle_seconds(deployment)
    for line in deployment.runs():
        deployment.record("runner: %s" % line)
    for result in results:
        deployment.record("item %s is %s" % (result["id"], result["state"]))
    missing = ITEMS - len(results)
    summary = "%d of %d items are listed" % (len(results), ITEMS)
    if missing:
        summary += "; no item has begun or ended at a runner for %.1f s, none crashed for %.1f s" % (
            idle, since_crash)
    deployment.record(summary)
    print(summary)
    is_excused = idle < CALM_SECONDS + ITEM_SECONDS or since_crash < FAILURE_SECONDS
    return BROKEN if missing and not is_excused else HELD


if __name__ == "__main__":
    play(Deployment(FOLDER / "record.txt", nodes=NODES, runners=RUNNERS,
                    runner=RunnerOptions(slots=SLOTS, events=100, event_ms=20,
                                         tokens_per_ms=TOKENS_PER_MS)), play_case)
