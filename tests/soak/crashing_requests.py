"""Soak test of the retry budget of requests, some of which crash the runners that get them.

Several contents crash each runner that runs them, before or behind the head of its response. Copies
of them, sound streams and plain requests reach all nodes over connections that clients keep; crashed
runners come back under new ids; nodes are killed, stopped, frozen and told to read their settings
again, and the store falls silent. Checked, from what runners and callers see:

- later than the contact time after the third crash by a content few copies of it reach runners;
- no request runs at more runners that did not end than its route allows attempts;
- no runner is given more time for a request than its caller has left;
- an answer of a content that crashes runners is never a success, and sound answers are whole;
- at the end, without faults, sound requests are served.
"""

import argparse
import collections
import dataclasses
import http.client
import pathlib
import random
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "system"))
from platform_fleet import CRASH_EXIT_CODE, HOST, Platform, stream_text  # noqa: E402

from kept_connections import KeptConnections  # noqa: E402
from node_faults import CONTACT_SECONDS, NodeFaults  # noqa: E402

SEEDS_FILE = pathlib.Path(__file__).resolve().parent / "crashing_requests_seeds.txt"
SIZES = [(3, 5), (3, 8), (6, 12)]  # Nodes and runners.
RUNNER_SLOTS = 12
MAX_ATTEMPTS = 2  # Of the route.
SOUND_CLIENTS = 6
CLIENTS_PER_CONTENT = 2
RUNNER_RESTART_SECONDS = 0.8
PLAY_SECONDS = 16.0
CALM_SECONDS = 4.0  # At the end, without faults.
CRASHES_UNTIL_DECISION = 3
LATE_SENDS_ALLOWED = 3
EXCESS_RUNS_ALLOWED = 3  # Requests of a play that run too often.
EXCESS_TIMES_ALLOWED = 20  # Requests of a play that are given too much time.
DEADLINE_MS = 8000
DEADLINE_TOLERANCE_MS = 500
MIN_SERVED_SHARE = 0.5
STEPS = 4
CALL_TIMEOUT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class Run:
    """A run that a runner has begun."""

    time: float  # In wall clock time.
    request: str
    deadline_ms: str
    body: str
    has_runner_ended: bool


class CrashingRequestsSoak(NodeFaults):
    def __init__(self, seed, arguments, directory):
        self.random = random.Random(seed)
        self.steps = arguments.steps
        nodes, runners = self.random.choice(SIZES)
        self.node_count = arguments.nodes or nodes
        runner_count = arguments.runners or runners
        content_count = arguments.contents or self.random.choice([1, 2, 4, 8])
        self.contents = ["deadly%d" % index for index in range(content_count)]
        is_silent = self.random.random() < 0.7 if arguments.silent is None else arguments.silent
        options = ["--log-runs", *(["--silent-crash-ms", "20"] if is_silent else [])]
        self.platform = Platform(
            directory, self.node_count, runner_count, crash_body=self.contents,
            runner_options={"r%d" % index: options for index in range(runner_count)},
            node_zones=["z%d" % (index % 3 + 1) for index in range(self.node_count)])
        self.shape = "%d nodes, %d runners, %d contents%s" % (
            self.node_count, runner_count, content_count, ", silent" if is_silent else "")
        self.platform.runner_slots = RUNNER_SLOTS
        super().__init__(self.platform)
        self.stopped = threading.Event()
        self.crash_times = collections.defaultdict(list)  # By content.
        self.runner_logs = []  # Processes of all starts of runners.
        self.sent_at = {}  # By request id, in wall clock time.
        self.nodes_of = {}  # By request id.
        self.sound_answers = []  # (time, served whole).

    # Clients.

    def run_client(self, number, content):
        """Sends one content again and again, or sound requests, no two alike, if it is None."""
        plan = random.Random("%s%d" % (content, number))
        connections = KeptConnections(CALL_TIMEOUT_SECONDS)
        sequence = 0
        while not self.stopped.wait(plan.uniform(0.05, 0.4) if content else 0.03):
            sequence += 1
            request = "%sc%dx%d" % (content or "s", number, sequence)
            body = content or request
            node = plan.randrange(self.node_count)
            self.nodes_of[request] = node
            self.sent_at[request] = sent = time.time()
            headers = {"Host": HOST, "Stoathold-Attempt-Id": request,
                       "Stoathold-Deadline-Ms": str(DEADLINE_MS)}
            try:
                status, _, text = connections.call(
                    self.platform.nodes[node], "POST", "/ask/1", body.encode(), headers)
            except (OSError, http.client.HTTPException):
                status, text = None, b""
            self.check_answer(request, content, sent, status, text)

    def check_answer(self, request, content, sent, status, body):
        if content:
            if status == 200:
                self.add_violation("%s: a content that crashes runners succeeded: %r" % (
                    request, body))
            return
        if status == 200 and not body:
            self.add_violation("%s: an empty answer" % request)
        self.sound_answers.append((sent, status == 200 and body.decode() == stream_text(request)))

    # Faults.

    def inject_faults(self):
        plan = random.Random("faults %d" % self.random.randrange(1 << 30))
        for _ in range(self.steps):
            self.fault_nodes(plan, [1, 1, 2, self.node_count // 2])
            time.sleep(plan.uniform(0.1, 1.5))

    def restart_crashed_runners(self):
        due = {}
        while not self.stopped.wait(0.02):
            for name in self.platform.runners:
                process = self.platform.runner_process(name)
                if process.handle.poll() == CRASH_EXIT_CODE and name not in due:
                    due[name] = time.time() + RUNNER_RESTART_SECONDS
                if name in due and time.time() >= due[name]:
                    del due[name]
                    self.platform.start_runner_again(name)
                    self.runner_logs.append(self.platform.runner_process(name))

    # Checks.

    def runs(self):
        """Returns the runs that all starts of the runners have begun."""
        runs = []
        for process in self.runner_logs:
            lines = process.log_path.read_text(errors="replace").splitlines()
            has_ended = any(line.startswith("crash ") for line in lines)
            if has_ended:
                self.add_crash(lines)
            for line in lines:
                if not line.startswith("run "):
                    continue
                _, time_ms, request, deadline_ms, body = line.split(" ", 4)
                runs.append(Run(int(time_ms) / 1000, request, deadline_ms, body, has_ended))
        return runs

    def add_crash(self, lines):
        """Adds the crash of a runner to all contents that ran there: each would have caused it."""
        moment = int(lines[-1].split()[1]) / 1000
        bodies = {line.split(" ", 4)[4] for line in lines if line.startswith("run ")}
        for content in bodies.intersection(self.contents):
            self.crash_times[content].append(moment)

    def check_late_sends(self, runs):
        """Checks the runs of each content, from nodes in touch; returns how many came too late."""
        late_by_content = []
        for content in self.contents:
            crashes = sorted(self.crash_times[content])
            if len(crashes) < CRASHES_UNTIL_DECISION:
                late_by_content.append(0)
                continue
            third = crashes[CRASHES_UNTIL_DECISION - 1]
            late = [(self.nodes_of[run.request], round(run.time - third, 2)) for run in runs
                    if run.body == content and run.time > third + CONTACT_SECONDS
                    and self.in_touch(self.nodes_of[run.request], run.time)]
            late_by_content.append(len(late))
            if len(late) > LATE_SENDS_ALLOWED:
                self.add_violation("%s: %d crashes, %d late sends: %s" % (
                    content, len(crashes), len(late), sorted(late, key=lambda run: run[1])[:12]))
        return late_by_content

    def check_budgets(self, runs):
        """Checks the number of runs of each request and the time that runners are given for it."""
        counts = collections.Counter(run.request for run in runs if not run.has_runner_ended)
        excess = [request for request, count in counts.items() if count > MAX_ATTEMPTS]
        if len(excess) > EXCESS_RUNS_ALLOWED:
            self.add_violation("%d requests ran too often: %s" % (len(excess), excess[:5]))
        excess_times = {run.request for run in runs if not run.deadline_ms or
                        int(run.deadline_ms) > DEADLINE_MS + DEADLINE_TOLERANCE_MS or
                        run.time + int(run.deadline_ms) / 1000 >
                        self.sent_at[run.request] + (DEADLINE_MS + DEADLINE_TOLERANCE_MS) / 1000}
        if len(excess_times) > EXCESS_TIMES_ALLOWED:
            self.add_violation("%d requests with too much time" % len(excess_times))

    def check(self, calm_since):
        runs = self.runs()
        late = self.check_late_sends(runs)
        self.check_budgets(runs)
        served = [whole for sent, whole in self.sound_answers if sent >= calm_since]
        share = sum(served) / max(1, len(served))
        if share < MIN_SERVED_SHARE:
            self.add_violation("sound requests served at the end: %.2f of %d" % (
                share, len(served)))
        crashes = [len(self.crash_times[content]) for content in self.contents]
        return "%s: crashes %s, late %s, served at the end: %.2f" % (
            self.shape, crashes, late, share)

    def run(self):
        self.runner_logs = list(self.platform.runner_processes)
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()
        time.sleep(1.0)
        threads = [threading.Thread(target=self.restart_crashed_runners)]
        threads += [threading.Thread(target=self.run_client, args=(number, None))
                    for number in range(SOUND_CLIENTS)]
        threads += [threading.Thread(target=self.run_client, args=(number, content))
                    for content in self.contents for number in range(CLIENTS_PER_CONTENT)]
        for thread in threads:
            thread.start()
        start = time.time()
        try:
            time.sleep(self.random.uniform(0.0, 1.0))
            self.inject_faults()
            time.sleep(max(0.0, start + PLAY_SECONDS - time.time()))
            calm_since = time.time()
            time.sleep(CALM_SECONDS)
        finally:
            self.stopped.set()
        for thread in threads:
            thread.join()
        return self.check(calm_since)


def play(seed, arguments):
    """Plays one seed; returns whether all checks held. Logs of a failed run are kept."""
    directory = tempfile.mkdtemp(prefix="crashing-requests-%d-" % seed)
    soak = CrashingRequestsSoak(seed, arguments, directory)
    try:
        result = soak.run()
    finally:
        soak.platform.stop()
    print("seed %d: %s; %d violations%s" % (
        seed, result, len(soak.violations), ", kept " + directory if soak.violations else ""),
        flush=True)
    for violation in soak.violations[:10]:
        print("  " + violation, flush=True)
    if not soak.violations:
        for path in pathlib.Path(directory).iterdir():
            path.unlink()
        pathlib.Path(directory).rmdir()
    return not soak.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; default: those of the seeds file")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS, help="number of faults of nodes")
    parser.add_argument("--nodes", type=int)
    parser.add_argument("--runners", type=int)
    parser.add_argument("--contents", type=int, help="number of contents that crash runners")
    parser.add_argument("--silent", action=argparse.BooleanOptionalAction,
                        help="whether runners crash before any byte of a response")
    arguments = parser.parse_args()
    seeds = [int(line) for line in SEEDS_FILE.read_text().split()]
    if arguments.seed is not None:
        seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    failed = [seed for seed in seeds if not play(seed, arguments)]
    print("%d passed, %d failed" % (len(seeds) - len(failed), len(failed)))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
