"""Soak test of streams during replacements of runners by other software versions.

While callers read streams and take broken ones up at other nodes, runners are replaced forward and back
between three versions or crash, nodes are killed in series (one, half of a zone, a zone, half of all), and the
store falls silent. Checked while it runs: no stream holds events of two versions, none loses or repeats an
event, and of the resumptions that a node in touch could serve at least half as many go on as new streams begin.
"""

import argparse
import pathlib
import random
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "system"))
from platform_fleet import Platform  # noqa: E402
from resuming_stream import Stream  # noqa: E402

SEEDS_FILE = pathlib.Path(__file__).resolve().parent / "software_versions_seeds.txt"
VERSIONS = ["v1", "v1.1", "v2"]
NODES = 9
ZONES = 3
RUNNERS = 9
CLIENTS = 24
MAX_TRIES = 3
EVENT_INTERVAL_MS = 200
CONTACT_SECONDS = 3.0
MIN_RESUMPTIONS = 12  # From which on their share counts.
STEPS = 14


class SoftwareVersionsSoak:
    def __init__(self, seed, steps, directory):
        self.random = random.Random(seed)
        self.steps = steps
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.violations = []
        self.counts = {"begun": 0, "not begun": 0, "resumable": 0, "resumed": 0, "refused": 0,
                       "taken up": 0, "completed": 0}
        names = ["r%d" % index for index in range(RUNNERS)]
        versions = {name: VERSIONS[index % 2] for index, name in enumerate(names)}
        self.platform = Platform(
            directory, NODES, RUNNERS,
            runner_options={name: self.runner_options(versions[name]) for name in names},
            node_zones=["z%d" % (index % ZONES + 1) for index in range(NODES)])
        self.platform.versions = versions
        self.ready_runners = set()
        self.changed_at = {}  # By version: when its runners last changed.
        self.up_since = {}  # By node: when it was last started; absent while it is down.

    @staticmethod
    def runner_options(version):
        return ["--gap-ms", EVENT_INTERVAL_MS, "--software-version", version]

    # State that decides which streams count.

    def set_runner(self, name, ready):
        with self.lock:
            self.changed_at[self.platform.versions[name]] = time.monotonic()
            (self.ready_runners.add if ready else self.ready_runners.discard)(name)

    def two_runners_serve(self, version, since):
        with self.lock:
            serving = [name for name in self.ready_runners
                       if self.platform.versions[name] == version]
            return len(serving) >= 2 and self.changed_at.get(version, 0) < since

    def in_touch(self, node, now):
        with self.lock:
            return node in self.up_since and now - self.up_since[node] > CONTACT_SECONDS

    def count(self, what):
        with self.lock:
            self.counts[what] += 1

    # Callers.

    def run_client(self, number):
        plan = random.Random("%d %d" % (self.random.random() * 1e9, number))
        sequence = 0
        while not self.stopped.is_set():
            sequence += 1
            stream = Stream(self.platform, "c%dx%d" % (number, sequence))
            node = plan.randrange(NODES)
            counts = self.in_touch(node, time.monotonic())
            stream.read(node, True)
            if counts:
                self.count("begun" if stream.events else "not begun")
            while stream.events and not stream.complete and stream.tries < MAX_TRIES:
                if not self.take_up(stream, plan.randrange(NODES)):
                    break
            self.check(stream)
            time.sleep(0.02)

    def take_up(self, stream, node):
        """Takes a stream up at a node; returns whether the caller keeps to it."""
        begin = time.monotonic()
        version = next(iter(stream.versions()))
        events = len(stream.events)
        stream.read(node, True)
        went_on = len(stream.events) > events or stream.complete
        self.count("taken up")
        if stream.status == 503:
            self.count("refused")
        if self.in_touch(node, begin) and self.two_runners_serve(version, begin):
            self.count("resumable")
            if went_on:
                self.count("resumed")
        return stream.status != 503

    def check(self, stream):
        if len(stream.versions()) > 1:
            self.add_violation("%s: events of %s" % (stream.name, sorted(stream.versions())))
        if stream.repeated:
            self.add_violation("%s: an event twice" % stream.name)
        if sorted(stream.events) != list(range(1, len(stream.events) + 1)):
            self.add_violation("%s: events %s" % (stream.name, sorted(stream.events)))
        if stream.complete:
            self.count("completed")

    def add_violation(self, text):
        with self.lock:
            self.violations.append(text)

    # Faults.

    def restart_nodes(self, nodes):
        for node in nodes:
            with self.lock:
                self.up_since.pop(node, None)
            self.platform.node_processes[node].kill()
        time.sleep(self.random.uniform(0.1, 1.0))
        for node in nodes:
            self.platform.node_processes[node].start()
            with self.lock:
                self.up_since[node] = time.monotonic()

    def kill_one(self):
        self.restart_nodes([self.random.randrange(NODES)])

    def kill_half_of_zone(self):
        zone = self.random.randrange(ZONES)
        self.restart_nodes([node for node in range(NODES) if node % ZONES == zone][:2])

    def kill_zone(self):
        zone = self.random.randrange(ZONES)
        self.restart_nodes([node for node in range(NODES) if node % ZONES == zone])

    def kill_half(self):
        self.restart_nodes(self.random.sample(range(NODES), NODES // 2))

    def replace_runner(self):
        """Replaces a runner by one of another version, which some announce."""
        name = self.random.choice(sorted(self.platform.runners))
        version = self.random.choice([other for other in VERSIONS
                                      if other != self.platform.versions[name]])
        self.set_runner(name, False)
        if self.random.random() < 0.5:
            self.platform.register_runner(name, "draining", self.platform.runner_process(name).name)
            time.sleep(0.3)
        self.platform.runner_process(name).kill()
        with self.lock:
            self.platform.versions[name] = version
        self.platform.runner_options[name] = self.runner_options(version)
        self.platform.start_runner_again(name)
        self.set_runner(name, True)

    def crash_runner(self):
        name = self.random.choice(sorted(self.platform.runners))
        self.set_runner(name, False)
        self.platform.runner_process(name).kill()
        time.sleep(self.random.uniform(0.1, 0.5))
        self.platform.start_runner_again(name)
        self.set_runner(name, True)

    def silence_store(self):
        """No node is in touch until a while after the store answers again."""
        self.platform.set_faults(self.platform.store, outage="silent")
        time.sleep(self.random.uniform(0.5, 2.0))
        self.platform.set_faults(self.platform.store, outage="")
        with self.lock:
            now = time.monotonic()
            self.up_since = {node: now for node in self.up_since}

    def check_share(self):
        counts = self.counts
        begun = counts["begun"] / max(1, counts["begun"] + counts["not begun"])
        share = counts["resumed"] / max(1, counts["resumable"])
        if counts["resumable"] >= MIN_RESUMPTIONS and share < 0.5 * begun:
            self.add_violation("share of streams that went on %.2f, that began %.2f" % (share, begun))
        return "resumed %.3f of %d, began %.3f" % (share, counts["resumable"], begun)

    def run(self):
        for name in self.platform.runners:
            self.platform.register_runner(name)
            self.set_runner(name, True)
        self.platform.configure(1)
        self.platform.wait_ready()
        self.up_since = {node: time.monotonic() for node in range(NODES)}
        time.sleep(CONTACT_SECONDS)
        clients = [threading.Thread(target=self.run_client, args=(number,))
                   for number in range(CLIENTS)]
        for client in clients:
            client.start()
        faults = [self.kill_one, self.kill_half_of_zone, self.kill_zone, self.kill_half,
                  self.replace_runner, self.replace_runner, self.replace_runner,
                  self.crash_runner, self.silence_store]
        for _ in range(self.steps):
            self.random.choice(faults)()
            time.sleep(self.random.uniform(0.3, 2.5))
        time.sleep(CONTACT_SECONDS)
        self.stopped.set()
        for client in clients:
            client.join()
        return self.check_share()


def play(seed, steps, directory):
    """Plays one seed; returns its violations."""
    soak = SoftwareVersionsSoak(seed, steps, directory)
    try:
        share = soak.run()
    finally:
        soak.platform.stop()
    print("seed %d: %s; %s; %d violations" % (seed, share, soak.counts, len(soak.violations)),
          flush=True)
    for violation in soak.violations[:10]:
        print("  " + violation, flush=True)
    return soak.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; default: those of the seeds file")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS)
    arguments = parser.parse_args()
    seeds = [int(line) for line in SEEDS_FILE.read_text().split()]
    if arguments.seed is not None:
        seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    failed = []
    for seed in seeds:
        directory = tempfile.mkdtemp(prefix="software-versions-%d-" % seed)
        if play(seed, arguments.steps, directory):
            failed.append(seed)
            print("  logs: " + directory, flush=True)
        else:
            for path in pathlib.Path(directory).iterdir():
                path.unlink()
            pathlib.Path(directory).rmdir()
    print("%d seeds, failed: %s" % (len(list(seeds)), failed or "none"))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
