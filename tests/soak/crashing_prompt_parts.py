"""Soak test of prompt parts that crash runners, beside faults of nodes, runners and the store.

Requests with the part, no two alike, reach all nodes over connections that clients keep until the
process behind them ends. Nodes are killed, stopped, frozen and told to read their settings again, one
after the other and at once, runners are replaced, and the store falls silent. Checked: later than the
contact time after the fifth crash few requests with the part are sent by nodes in touch; such a
request never succeeds; sound answers are whole; and at the end sound requests with the same first
part are served.
"""

import argparse
import http.client
import json
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

SEEDS_FILE = pathlib.Path(__file__).resolve().parent / "crashing_prompt_parts_seeds.txt"
CRASH_PART = "deadbeef"
FIRST_PART = "aa01"
NODES = 6
ZONES = 3
RUNNERS = 8
SOUND_CLIENTS = 8
GUILTY_CLIENTS = 3
RUNNER_RESTART_SECONDS = 0.8
CALM_SECONDS = 5.0  # At the end, without faults.
CRASHES_UNTIL_DECISION = 5
LATE_SENDS_ALLOWED = 3
MIN_SERVED_SHARE = 0.5
STEPS = 8
CALL_TIMEOUT_SECONDS = 10.0
PROMPTS = [[FIRST_PART, CRASH_PART], [CRASH_PART, "bb02"], [FIRST_PART, CRASH_PART, "cc03"]]


class CrashingPromptPartsSoak(NodeFaults):
    def __init__(self, seed, steps, directory, nodes, runners):
        self.random = random.Random(seed)
        self.steps = steps
        self.node_count = nodes
        self.guilty_prompt = self.random.choice(PROMPTS)
        options = ["--ends-with-connection"] if self.random.random() < 0.5 else []
        self.platform = Platform(
            directory, nodes, runners, crash_part=CRASH_PART,
            runner_options={"r%d" % index: options for index in range(runners)},
            node_zones=["z%d" % (index % ZONES + 1) for index in range(nodes)])
        super().__init__(self.platform)
        self.stopped = threading.Event()
        self.runners_lock = threading.Lock()
        self.crash_times = []
        self.sound_answers = []  # (time, served whole).

    # Clients.

    def run_client(self, number, prefix, parts):
        plan = random.Random("%s%d" % (prefix, number))
        connections = KeptConnections(CALL_TIMEOUT_SECONDS)
        sequence = 0
        while not self.stopped.wait(0.03):
            sequence += 1
            request = "%s%dx%d" % (prefix, number, sequence)
            prompt = "".join("%s:60," % part for part in parts) + "e%d%06d:200" % (number, sequence)
            sent = time.time()
            headers = {"Host": HOST, "Stoathold-Attempt-Id": request,
                       "Stoathold-Deadline-Ms": "8000", "Stoathold-Prompt-Prefix": prompt}
            try:
                status, _, body = connections.call(
                    self.platform.nodes[plan.randrange(self.node_count)], "POST", "/ask/1",
                    request.encode(), headers)
            except (OSError, http.client.HTTPException):
                status, body = None, b""
            self.check_answer(request, prefix, sent, status, body)

    def check_answer(self, request, prefix, sent, status, body):
        if prefix == "g":
            if status == 200:
                self.add_violation("%s: a request with the part succeeded: %r" % (request, body))
            return
        if status == 200 and not body:
            self.add_violation("%s: an empty answer" % request)
        self.sound_answers.append((sent, status == 200 and body.decode() == stream_text(request)))

    # Faults. Each returns when it has healed.

    def fault_some_nodes(self, plan):
        self.fault_nodes(plan, [1, 1, 2, self.node_count // 2, self.node_count])

    def silence_store(self, plan):
        begin = time.time()
        self.platform.set_faults(self.platform.store, outage="silent")
        time.sleep(plan.uniform(0.5, 2.0))
        self.platform.set_faults(self.platform.store, outage="")
        self.disrupt(None, begin)

    def replace_runner(self, plan):
        with self.runners_lock:
            name = plan.choice(sorted(self.platform.runners))
            if self.platform.runner_process(name).handle.poll() is None:
                self.platform.runner_process(name).kill()
                self.platform.start_runner_again(name, same_id=plan.random() < 0.5)

    def restart_crashed_runners(self):
        due = {}
        while not self.stopped.wait(0.02):
            with self.runners_lock:
                for name in self.platform.runners:
                    crashed = self.platform.runner_process(name).handle.poll() == CRASH_EXIT_CODE
                    if crashed and name not in due:
                        self.crash_times.append(time.time())
                        due[name] = time.time() + RUNNER_RESTART_SECONDS
                    if name in due and time.time() >= due[name]:
                        del due[name]
                        self.platform.start_runner_again(name)

    def inject_faults(self, number):
        plan = random.Random("faults %d %d" % (number, self.random.randrange(1 << 30)))
        for _ in range(self.steps):
            plan.choice([self.fault_some_nodes, self.fault_some_nodes, self.silence_store,
                         self.replace_runner])(plan)
            time.sleep(plan.uniform(0.1, 1.5))

    # Checks.

    def late_sends(self, after):
        """Returns the nodes and times of sends of requests with the part by nodes in touch."""
        sends = []
        for node, process in enumerate(self.platform.node_processes):
            for line in process.log_path.read_text().splitlines():
                if '"request_sent' not in line or '"request":"g' not in line:
                    continue
                text = json.loads(line)["time"]
                seconds = time.mktime(time.strptime(text[:19], "%Y-%m-%dT%H:%M:%S")) - time.timezone
                moment = seconds + float(text[19:].rstrip("Z"))
                if moment > after and self.in_touch(node, moment):
                    sends.append((node, moment))
        return sends

    def check(self, calm_since):
        if len(self.crash_times) >= CRASHES_UNTIL_DECISION:
            fifth = sorted(self.crash_times)[CRASHES_UNTIL_DECISION - 1]
            sends = self.late_sends(fifth + CONTACT_SECONDS)
            if len(sends) > LATE_SENDS_ALLOWED:
                self.add_violation("%d late sends: %s" % (
                    len(sends), [(node, round(moment - fifth, 2)) for node, moment in sends[:12]]))
        served = [whole for sent, whole in self.sound_answers if sent >= calm_since]
        share = sum(served) / max(1, len(served))
        if share < MIN_SERVED_SHARE:
            self.add_violation("sound requests served at the end: %.2f of %d" % (
                share, len(served)))
        return "%d crashes, sound requests served at the end: %.2f" % (len(self.crash_times), share)

    def run(self):
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()
        time.sleep(1.0)
        sound_prompt = [part for part in self.guilty_prompt if part != CRASH_PART]
        threads = [threading.Thread(target=self.restart_crashed_runners)]
        threads += [threading.Thread(target=self.run_client, args=(number, "s", sound_prompt))
                    for number in range(SOUND_CLIENTS)]
        threads += [threading.Thread(target=self.run_client, args=(number, "g", self.guilty_prompt))
                    for number in range(GUILTY_CLIENTS)]
        for thread in threads:
            thread.start()
        try:
            time.sleep(self.random.uniform(0.0, 1.0))
            self.inject_faults(0)
            time.sleep(2 * CONTACT_SECONDS)
            calm_since = time.time()
            time.sleep(CALM_SECONDS)
        finally:
            self.stopped.set()
        for thread in threads:
            thread.join()
        return self.check(calm_since)


def play(seed, arguments):
    """Plays one seed; returns whether all checks held. Logs of a failed run are kept."""
    directory = tempfile.mkdtemp(prefix="prompt-parts-%d-" % seed)
    soak = CrashingPromptPartsSoak(seed, arguments.steps, directory, arguments.nodes,
                                   arguments.runners)
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
    parser.add_argument("--steps", type=int, default=STEPS)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--runners", type=int, default=RUNNERS)
    arguments = parser.parse_args()
    seeds = [int(line) for line in SEEDS_FILE.read_text().split()]
    if arguments.seed is not None:
        seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    failed = [seed for seed in seeds if not play(seed, arguments)]
    print("%d passed, %d failed" % (len(seeds) - len(failed), len(failed)))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
