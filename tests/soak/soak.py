"""A randomized soak: real processes on loopback, faults from outside them, promises checked.

A seed fixes the plan of faults and of the callers' requests; how they meet is up to the machine. So
a run that breaks a promise keeps its logs, and its seed goes into seeds.txt as a regression case.
"""

import argparse
import http.client
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "system"))
from platform_fleet import CRASH_EXIT_CODE, HOST, SMALL_SIZES, Platform  # noqa: E402
from fleet import call, call_json, wait_for  # noqa: E402

from configuration_watch import ConfigurationWatch  # noqa: E402
from link_proxy import LinkLoop  # noqa: E402
from promises import Promises  # noqa: E402

# Of each seed unless told otherwise; CI plays these.
NODES = 3
RUNNERS = 3
# Runners of uneven speed: time of their work in 100ths, and how their machines change.
RUNNER_TIMES = [60, 100, 160]
SLOWNESS_SECONDS = 0.6
SLOW_PART = 0.15
CALLERS = 4
# Callers that ask for routes which come and go.
WATCHERS = 2
SETTLE_SECONDS = 60.0
CALL_TIMEOUT_SECONDS = 20.0
UNSAFE_ROUTE = {"name": "once", "host": HOST, "path_prefix": "/once/", "kind": "unsafe",
                "timeout_ms": 20000, "target_latency_ms": 5000, "service": "chat",
                "max_attempts": 3}
# Ends each runner that begins to run it.
DEADLY = "deadly"


def heeds_signals(process):
    """Whether a process has come so far that it holds or handles SIGTERM."""
    status = pathlib.Path("/proc/%d/status" % process.handle.pid).read_text()
    masks = [line.split()[1] for line in status.splitlines() if line[:7] in ("SigBlk:", "SigCgt:")]
    return any(int(mask, 16) & (1 << (signal.SIGTERM - 1)) for mask in masks)


class Soak:
    """One run of a seed."""

    sizes = SMALL_SIZES
    memory_mb = None  # Limit of each node.

    def __init__(self, seed, steps, directory, nodes=NODES, runners=RUNNERS):
        self.node_count = nodes
        self.seed = seed
        self.steps = steps
        self.random = random.Random(seed)
        self.start_random = random.Random("starts %d" % seed)  # Leaves the plan of a seed as it is.
        self.speed_random = random.Random("speeds %d" % seed)  # The same.
        self.links = LinkLoop()
        self.store_links = []
        self.runner_links = {}
        self.promises = Promises(self.sizes)
        self.platform = Platform(
            directory, nodes, runners, self.make_link, DEADLY, self.sizes,
            self.runner_speeds(runners), self.memory_mb)
        self.configuration_watch = ConfigurationWatch(seed, self.platform, self.promises)
        self.directory = directory
        self.known_runs = {}
        self.items_may_fail = False
        self.version = 1
        self.stopped = threading.Event()
        self.judged = threading.Event()
        self.runners_lock = threading.Lock()
        self.local = threading.local()
        self.ends_excused = 0

    def runner_speeds(self, runners):
        """In half of the seeds runners differ in speed and say how slow their machines are."""
        if self.speed_random.random() < 0.5:
            return {}
        self.note("runners of uneven speed")
        return {"r%d" % index: ["--reports-slowness", "--time-percent", RUNNER_TIMES[index % 3]]
                for index in range(runners)}

    def vary_slowness(self):
        """Machines of runners turn slow and back; now and then one of them says what is false."""
        while not self.stopped.wait(SLOWNESS_SECONDS):
            for address in self.platform.runners.values():
                slow = self.speed_random.random() < SLOW_PART
                lie = self.speed_random.choice(["0", "slow"]) if self.speed_random.random() < 0.1 else ""
                self.set_runner_faults(address, slowness_percent=250 if slow else 100,
                                       false_slowness=lie)

    def make_link(self, kind, name, address):
        link = self.links.open(address)
        if kind == "store":
            self.store_links.append(link)
        else:
            self.runner_links[name] = link
        return link.address

    # Callers.

    def call(self, node, method, target, body, headers):
        """Returns (status, body, whole); status None if no answer began."""
        try:
            status, _, content = self.exchange(self.platform.nodes[node], method, target, body,
                                               dict(headers, Host=HOST))
            return status, content, True
        except http.client.IncompleteRead as cut:
            return 200, cut.partial, False
        except (OSError, http.client.HTTPException):
            return None, b"", False

    def exchange(self, address, method, target, body, headers):
        """One call on a connection of its own."""
        return call(address, method, target, body, headers, CALL_TIMEOUT_SECONDS)

    def stream(self, node, request):
        headers = {"Stoathold-Attempt-Id": request, "Stoathold-Deadline-Ms": "15000"}
        self.promises.stream_answered(
            request, *self.call(node, "POST", "/ask/1", b"q", headers))

    def deadly(self, node, request):
        """The one request that ends its runners, under another id each time."""
        headers = {"Stoathold-Attempt-Id": request, "Stoathold-Deadline-Ms": "15000"}
        self.promises.deadly_answered(
            *self.call(node, "POST", "/ask/1", DEADLY.encode(), headers))

    def unsafe(self, node, request):
        headers = {"Stoathold-Attempt-Id": request, "Stoathold-Deadline-Ms": "15000"}
        status, body, whole = self.call(node, "POST", "/once/1", b"q", headers)
        self.promises.unsafe_answered(request, status if whole else None, body)

    @staticmethod
    def item_count(job):
        return 1 + len(job) % 4

    def submit(self, nodes, job):
        """Sends a job again, to other nodes, until it is taken or the nodes are used up."""
        count = self.item_count(job)
        for node in nodes:
            try:
                status = self.platform.submit(node, job, count)
            except (OSError, http.client.HTTPException):
                status = None
            self.promises.count("submission %s" % status)
            if status == 202:
                self.promises.job_accepted(job, count)
                return
            if status not in (None, 429, 500, 502, 503, 504):
                self.promises.break_one("job %s: answered %s" % (job, status))
                return

    def read(self, node, job, after):
        try:
            status, page = self.platform.results(node, job, after)
        except (OSError, http.client.HTTPException, ValueError):
            return
        self.promises.results_read(job, after, status, page)

    def caller(self, number):
        plan = random.Random(self.seed * 1000 + number)
        turn = 0
        while not self.stopped.is_set():
            turn += 1
            name = "c%dx%d" % (number, turn)
            node = plan.randrange(self.node_count)
            kind = plan.random()
            if kind < 0.03:
                self.deadly(node, name)
            elif kind < 0.4:
                self.stream(node, name)
            elif kind < 0.7:
                self.unsafe(node, name)
            elif kind < 0.8:
                order = list(range(self.node_count)) * 2
                plan.shuffle(order)
                self.submit(order, name)
            else:
                jobs = sorted(self.promises.accepted)
                if jobs:
                    job = plan.choice(jobs)
                    after = plan.randrange(self.promises.accepted[job])
                    self.read(node, job, after)
            time.sleep(0.01)

    # Faults.

    def note(self, text):
        print("seed %d: %s" % (self.seed, text), flush=True)

    def some_link(self):
        links = [("store of node %d" % i, link) for i, link in enumerate(self.store_links)]
        links += [("runner %s" % name, link) for name, link in self.runner_links.items()]
        return self.random.choice(links)

    def fault_link(self):
        name, link = self.some_link()
        kind = self.random.choice(["delay", "reset", "cut forward", "cut back", "silence"])
        self.note("link to %s: %s" % (name, kind))
        if kind == "delay":
            link.delay_seconds = self.random.choice([0.05, 0.3, 1.5])
        elif kind == "reset":
            self.links.reset(link)
        elif kind == "cut forward":
            link.forward.cut = True
        elif kind == "cut back":
            link.back.cut = True
        else:
            link.silence()
        return link.heal

    def is_up(self, index):
        """Whether a node's process answers, and so heeds signals."""
        try:
            return call(self.platform.ready[index], "GET", "/api/ready")[0] > 0
        except (OSError, http.client.HTTPException):
            return False

    def fault_node(self):
        index = self.random.randrange(self.node_count)
        process = self.platform.node_processes[index]
        kind = self.random.choice(["kill", "freeze", "stop", "kill all"])
        self.note("node %d: %s" % (index, kind))
        # All killed, nodes may forget two ends that no record holds yet; one that wakes may go on with
        # a request that it had read.
        self.ends_excused += {"kill all": 2, "freeze": 1}.get(kind, 0)
        if kind == "freeze":
            process.freeze()
            return process.wake
        if kind == "kill all":
            for each in self.platform.node_processes:
                each.kill()
            return lambda: [each.start() for each in self.platform.node_processes]
        if kind == "stop":
            # Before `main` no process can hold a signal.
            wait_for(lambda: heeds_signals(process), "node %d to hold signals" % index)
            code = process.stop(60.0)
            if code != 0:
                self.promises.break_one("node %d: a planned stop ended with %s" % (index, code))
        else:
            process.kill()
        return process.start

    def fault_runner(self):
        name = self.random.choice(sorted(self.platform.runners))
        address = self.platform.runners[name]
        kind = self.random.choice(["restart", "break", "spoil", "foreign", "turn away", "fail"])
        self.note("runner %s: %s" % (name, kind))
        if kind == "restart":
            with self.runners_lock:
                self.restart_runner(name)
            return lambda: None
        values = {"break": {"break_after": 2}, "spoil": {"spoiled_answers": 5},
                  "foreign": {"foreign_answers": 5}, "turn away": {"not_run": True},
                  "fail": {"error_status": 500}}[kind]
        if kind == "fail":
            self.items_may_fail = True
        self.set_runner_faults(address, **values)
        return lambda: self.set_runner_faults(
            address, break_after=0, spoiled_answers=0, foreign_answers=0, not_run=False,
            error_status=0)

    def set_runner_faults(self, address, **values):
        """A runner that has just ended has no faults, and begins without any."""
        try:
            self.platform.faults(address, **values)
        except (OSError, http.client.HTTPException):
            self.note("runner at %s is away" % address)

    def restart_runner(self, name):
        """Ends a runner, which starts again at its address."""
        self.revive_runner(name)
        self.collect_runs(name)
        self.platform.runner_process(name).kill()
        self.start_again(name)

    def start_again(self, name):
        """Under another id or as another start of the same one; at once or when its entry is gone."""
        same_id = self.start_random.choice([False, True])
        gone_meanwhile = same_id and self.start_random.choice([False, True])
        self.note("runner %s starts again%s%s" % (name, " under its id" if same_id else "",
                                                  ", after a while" if gone_meanwhile else ""))
        if gone_meanwhile:
            self.platform.drop_runner(name)
            time.sleep(self.start_random.choice([0.1, 1.0]))
        self.platform.start_runner_again(name, same_id)

    def revive_runners(self):
        """Runners that a request has ended come back after a while, as another start."""
        while not self.judged.wait(0.2):
            with self.runners_lock:
                for name in self.platform.runners:
                    self.revive_runner(name)

    def revive_runner(self, name):
        if self.platform.runner_process(name).handle.poll() == CRASH_EXIT_CODE:
            self.promises.runner_ended()
            self.start_again(name)

    def collect_runs(self, name):
        """Adds up what ran at a runner; a runner that has just ended tells nothing."""
        try:
            told = call_json(self.platform.runners[name], "GET", "/admin/runs")[1]
        except (OSError, http.client.HTTPException):
            return
        for request, runs in told.items():
            self.known_runs[request] = self.known_runs.get(request, 0) + runs

    def fault_store(self):
        kind = self.random.choice(["busy", "reset", "silent", "lose", "late", "slow", "forget"])
        self.note("store: %s" % kind)
        values = {"busy": {"outage": "busy"}, "reset": {"outage": "reset"},
                  "silent": {"outage": "silent"}, "lose": {"lose_answers": 10},
                  "late": {"late_appends": 5, "late_ms": 700}, "slow": {"delay_ms": 200},
                  "forget": {"drop_history": True}}[kind]
        self.platform.faults(self.platform.store, **values)
        return lambda: self.platform.faults(
            self.platform.store, outage="", lose_answers=0, late_appends=0, delay_ms=0)

    def change_configuration(self):
        self.version += self.random.randrange(1, 4)
        self.note("configuration %d" % self.version)
        self.configure()
        return lambda: None

    def configure(self):
        self.configuration_watch.publish(
            self.version,
            lambda routes: self.platform.configure(self.version, [UNSAFE_ROUTE] + routes))

    def play(self):
        for name in self.platform.runners:
            self.platform.list_runner(name)
        self.configure()
        self.platform.wait_ready()
        callers = [threading.Thread(target=self.caller, args=(number,), daemon=True)
                   for number in range(CALLERS)]
        reviver = threading.Thread(target=self.revive_runners, daemon=True)
        others = [reviver]
        if self.platform.runner_options:
            others.append(threading.Thread(target=self.vary_slowness, daemon=True))
        callers += [threading.Thread(target=self.configuration_watch.watch, daemon=True,
                                     args=("%d-%d" % (self.seed, number), self.call, self.stopped))
                    for number in range(WATCHERS)]
        for thread in callers + others:
            thread.start()
        self.disturb()
        self.stopped.set()
        for thread in callers:
            thread.join(120)
        self.settle()
        self.judged.set()
        reviver.join(60)

    def disturb(self):
        """Groups of faults, one after another; each heals before the next."""
        for _ in range(self.steps):
            faults = [self.fault_link, self.fault_node, self.fault_runner, self.fault_store,
                      self.change_configuration]
            heals = [fault() for fault in
                     self.random.sample(faults, self.random.choice([1, 1, 2, 3]))]
            time.sleep(self.random.choice([0.3, 1.0, 3.0]))
            for heal in heals:
                heal()
            time.sleep(self.random.choice([0.0, 0.5, 2.0]))

    def settle(self):
        """Without faults every accepted job ends, and what was seen can be judged."""
        self.platform.wait_ready()
        self.wait_jobs()
        for name in self.platform.runners:
            self.collect_runs(name)
        self.promises.check_unsafe(self.known_runs)
        self.promises.check_runner_ends(self.ends_excused)
        self.promises.check_results(self.items_may_fail)

    def wait_jobs(self):
        for job, count in self.promises.accepted.items():
            node = len(job) % self.node_count

            def whole():
                # A client reads on behind what it has; what stands before is read again below.
                self.read(node, job, self.promises.next_position(job))
                return self.promises.next_position(job) >= count

            try:
                wait_for(whole, job, SETTLE_SECONDS)
                self.read(node, job, 0)
            except TimeoutError:
                self.promises.break_one("job %s: not whole after the faults" % job)


def run_seed(kind, seed, steps, nodes=NODES, runners=RUNNERS):
    """Plays one kind of soak; returns whether all promises held. A failed run's logs are kept."""
    directory = tempfile.mkdtemp(prefix="soak-%d-" % seed)
    soak = kind(seed, steps, directory, nodes, runners)
    try:
        soak.play()
    finally:
        soak.platform.stop()
    for line in soak.promises.broken:
        soak.note("BROKEN " + line)
    soak.note("%s; %s" % (sorted(soak.promises.counts.items()),
                          "kept " + directory if soak.promises.broken else "held"))
    if not soak.promises.broken:
        for path in pathlib.Path(directory).iterdir():
            path.unlink()
        pathlib.Path(directory).rmdir()
    return not soak.promises.broken


def seeds_of(path):
    """Reads the first word of each line that is not a comment."""
    lines = [line.split() for line in path.read_text().splitlines()]
    return [int(words[0]) for words in lines if words and not words[0].startswith("#")]


def play_seeds(kind, seeds_file, description):
    """The command line of a kind of soak: plays the seeds asked for, or those of its file."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, help="play this seed; default: those of the file")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, from --seed on")
    parser.add_argument("--steps", type=int, default=6, help="groups of faults")
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--runners", type=int, default=RUNNERS)
    options = parser.parse_args()
    if options.seed is None:
        seeds = seeds_of(pathlib.Path(__file__).with_name(seeds_file))
    else:
        seeds = range(options.seed, options.seed + options.seeds)
    failed = [seed for seed in seeds if not run_seed(
        kind, seed, options.steps, options.nodes, options.runners)]
    print("%d passed, %d failed" % (len(seeds) - len(failed), len(failed)))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    play_seeds(Soak, "seeds.txt", __doc__)
