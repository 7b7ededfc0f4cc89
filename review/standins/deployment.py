"""Starts a small deployment of real nodes with stand-ins for the platform, and records what
happens. All processes are children of this one and are ended by `stop`."""

import dataclasses
import http.client
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

STANDINS = pathlib.Path(__file__).resolve().parent
ROOT = STANDINS.parent.parent
HOST = "nony24.example"
SERVICE = "family-assist"
ZONES = ["burnaby-hall", "surrey-hall", "abbotsford-hall"]
METRICS_PORT = 9100  # As in the command of the deploy file.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


def free_port(ip="127.0.0.1"):
    """Returns a port that nobody uses now, below the range of outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        return port


def wait_for(condition, what, seconds=30.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.05)
    raise CouldNotRun("timed out waiting for " + what)


def call(address, method, target, body=None, headers=None, timeout=5.0):
    """Sends one request on a new connection; returns (status, headers, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


@dataclasses.dataclass
class RunnerOptions:
    """What all runners of a deployment do."""

    slots: int = 17
    events: int = 12
    event_ms: int = 80
    event_bytes: int = 60
    unframed: bool = False
    tokens_per_ms: float = 0  # How fast prompts are read; 0: at once.


def free_network(count):
    """Returns addresses on which the metrics port of the deploy file is free."""
    while True:
        prefix = "127.%d.%d." % (random.SystemRandom().randrange(16, 250),
                                 random.SystemRandom().randrange(1, 250))
        addresses = [prefix + str(10 + index) for index in range(count)]
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, METRICS_PORT))
        except OSError:
            continue
        return addresses


class Node:
    """One machine of the system: its settings, its process and its addresses."""

    def __init__(self, index, ip, directory, store, memory_mb):
        self.name = "front-%s-%d" % (ZONES[index % 3], index // 3 + 1)
        self.ip = ip
        self.front = "%s:%d" % (self.ip, free_port(self.ip))
        self.ready = "%s:%d" % (self.ip, free_port(self.ip))
        peer = free_port(self.ip)
        self.settings = directory / (self.name + ".yaml")
        self.log = directory / (self.name + ".log")
        self.process = None
        zone = ZONES[index % 3]
        # JSON is valid YAML.
        self.settings.write_text(json.dumps({
            "node_name": self.name, "role": "node", "machine_class": "front", "serves": ["front"],
            "ip": self.ip, "zone": zone, "region": "bc-lower-mainland",
            "zones": {name: "bc-lower-mainland" for name in ZONES},
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": [peer, peer], "seeds": [], "bootstrap": True,
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": memory_mb, "max_fds": 8200,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "bounds": {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8,
                       "loss_slack_ms": 200, "config_apply_ms": 2000, "skew_max_ms": 5000,
                       "finish_s": 18, "status_s": 120, "cancel_ms": 3000, "settle_ms": 1000},
            "platform": {"address": store, "form": "log", "writes_per_s": 800, "reads_per_s": 2000,
                         "parts": 8, "append_ms": 4.0, "part_mb_per_s": 20.0,
                         "read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
                         "retention_s": 300, "part_mb": 200, "ttl_min_ms": 1000}}))

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        environment = {"STOATHOLD_NODE_FILE": str(self.settings),
                       "PATH": os.environ.get("PATH", "")}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        return call(self.ready, "GET", "/api/ready", timeout=1.0)[0] == 200


class Deployment:
    """Nodes, runners and the store, in a temporary folder."""

    def __init__(self, record_path, nodes=6, runners=6, memory_mb=290, runner=RunnerOptions()):
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self.temporary.name)
        self.record_file = open(record_path, "w", buffering=1)
        self.started = time.monotonic()
        self.children = []
        self.store = "127.0.0.1:%d" % free_port()
        self.runner = runner
        self.run_log = self.directory / "runs.log"
        self.runners = {}
        self.runner_addresses = [None] * runners
        self.nodes = [Node(index, ip, self.directory, self.store, memory_mb)
                      for index, ip in enumerate(free_network(nodes))]
        self.runner_count = runners

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))

    def start_child(self, arguments):
        process = subprocess.Popen([sys.executable] + [str(item) for item in arguments],
                                   cwd=STANDINS, stdout=subprocess.DEVNULL)
        self.children.append(process)
        return process

    def start_runner(self, index, version="1", first_heartbeat_ms=0, start=0):
        """Starts a runner, or starts it again at its address, under its id if `start` is 0."""
        options = self.runner
        runner_id = "i-%08x" % (0x7f3a0000 + 0x100 * start + index)
        address = self.runner_addresses[index] or "127.0.0.1:%d" % free_port()
        self.runner_addresses[index] = address
        arguments = ["runner.py", "--listen", address, "--store", self.store,
                     "--id", runner_id, "--zone", ZONES[index % 3], "--service", SERVICE,
                     "--run-log", self.run_log, "--slots", options.slots,
                     "--events", options.events, "--event-ms", options.event_ms,
                     "--event-bytes", options.event_bytes]
        arguments += ["--version", version, "--first-heartbeat-ms", first_heartbeat_ms]
        arguments += ["--tokens-per-ms", options.tokens_per_ms]
        arguments += ["--unframed"] if options.unframed else []
        self.runners[runner_id] = self.start_child(arguments)
        return runner_id

    def append(self, topic, key, value):
        """Writes one record as the operator does."""
        content = bytes([len(key)]) + key.encode() + json.dumps(value).encode()
        status, _, _ = call(self.store, "POST", "/api/log-append?topic=%s&part=0" % topic,
                            struct.pack(">I", len(content)) + content)
        if status != 200:
            raise CouldNotRun("the store answers %d" % status)

    def configure(self):
        streaming = {"name": "parent-query", "host": HOST, "path_prefix": "/lohu930/",
                     "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 200,
                     "gap_target_ms": 250, "service": SERVICE, "max_attempts": 2, "priority": 0,
                     "session_affinity": True, "resumable": True}
        batch = {"name": "enrolment-batch", "host": HOST, "path_prefix": "/pule252/",
                 "kind": "batch", "timeout_ms": 30000, "target_latency_ms": 400,
                 "completion_target_ms": 20000, "retention_s": 60, "service": SERVICE,
                 "max_attempts": 3, "priority": 2, "max_queued_tokens": 1600000}
        self.append("keyed.op", "config", {
            "version": 1, "routes": [streaming, batch],
            "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 370}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def start(self):
        self.start_child(["store.py", self.store])
        wait_for(lambda: call(self.store, "GET", "/")[0] == 404, "the store")
        self.configure()
        for index in range(self.runner_count):
            self.start_runner(index)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            wait_for(node.is_ready, node.name)
        time.sleep(3.0)  # Machines are in touch `contact_ms` after their start.

    def runs(self):
        """Returns the lines of the run logs of all runners."""
        if not self.run_log.exists():
            return []
        return [json.loads(line) for line in self.run_log.read_text().splitlines()]

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.kill()
        for process in self.children:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.record_file.close()
        self.temporary.cleanup()


def play(deployment, case):
    """Plays a case and exits with the result of its rule."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    result = COULD_NOT_RUN
    try:
        deployment.start()
        result = case(deployment)
    except Exception as failure:  # Whatever fails here says nothing about the rule.
        deployment.record("could not run: %r" % failure)
        print("could not run: %r" % failure, file=sys.stderr)
    finally:
        deployment.stop()
    sys.exit(result)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"
