"""A small deployment: the stand-ins of this folder, and nodes as processes of the deploy file."""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from runner import Runner
from store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "review.example"


handed_out = set()  # Ports that may not be in use yet.


def free_ports(count):
    """Returns unused ports below the ephemeral range, each once."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(20000, 31000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in handed_out:
            handed_out.add(port)
            ports.append(port)
    return ports


def node_command():
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        command = tomllib.load(file)["roles"]["node"]["run"].split()
    return [str(ROOT / command[0]), *command[1:]]


class Node:
    def __init__(self, name, zone, store_address, directory, bounds, platform, memory_mb):
        front, ready, peer, metrics = free_ports(4)
        self.name = name
        self.front, self.ready = "127.0.0.1:%d" % front, "127.0.0.1:%d" % ready
        self.settings = pathlib.Path(directory) / (name + ".yaml")
        self.settings.write_text(json.dumps({
            "node_name": name, "role": "node", "machine_class": "front", "serves": ["front"],
            "ip": "127.0.0.1", "zone": zone, "region": "r", "zones": {zone: "r"},
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": [peer, peer], "bootstrap": True,
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": memory_mb, "max_fds": 8200,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": 1200, "bounds": bounds,
            "platform": {"address": store_address, **platform}}))
        self.log = pathlib.Path(directory) / (name + ".log")
        self.command = node_command()
        # Metrics ports must differ here, since all nodes share one address.
        port = self.command.index("--metrics-port") + 1
        self.command[port] = str(metrics)
        self.process = None

    def start(self):
        environment = {name: value for name, value in os.environ.items()
                       if name in ("PATH", "HOME", "LANG")}
        environment["STOATHOLD_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=log, cwd=ROOT,
                                            env=environment)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def peak_memory_mb(self):
        """Returns the largest resident size so far, as the kernel counts it."""
        for line in pathlib.Path("/proc/%d/status" % self.process.pid).read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Deployment:
    """Stores, runners and nodes of one case; ends all processes that it started."""

    def __init__(self, nodes=3, runners=2, slots=12, grace_s=8, memory_mb=280,
                 plan=lambda request: (5, 0.02), has_length=lambda request: True, **store_options):
        self.directory = tempfile.mkdtemp(prefix="stoathold-review-")
        self.store = Store(**store_options)
        self.store_address = "127.0.0.1:%d" % free_ports(1)[0]
        self.bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
                       "catch_up_s": 4.8, "drain_ms": 2000, "grace_s": grace_s,
                       "loss_slack_ms": 200, "config_apply_ms": 2000, "revert_slack_ms": 250,
                       "skew_max_ms": 5000, "recover_s": 12, "iteration_ms": 120,
                       "finish_s": 18, "status_s": 120, "cancel_ms": 3000, "settle_ms": 1000,
                       "quota_overage": 0.1}
        platform = {"form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 8,
                    "append_ms": 4.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0,
                    "record_bytes": 262144, "call_bytes": 2097152, "retention_s": 300,
                    "part_mb": 200, "ttl_min_ms": 1000}
        self.runners = [Runner(self.store, "i-%d" % index, "chat", "z1",
                               "127.0.0.1:%d" % free_ports(1)[0], slots=slots, plan=plan,
                               has_length=has_length)
                        for index in range(runners)]
        self.nodes = [Node("front-z1-%d" % index, "z1", self.store_address, self.directory,
                           self.bounds, platform, memory_mb) for index in range(nodes)]
        self.version = 0

    def configure(self, routes=None, limits=None):
        self.version += 1
        self.store.put("keyed.op", "config", json.dumps({
            "version": self.version, "routes": routes or [stream_route(), batch_route()],
            "services": [{"name": "chat", "health_path": "/health", "max_connections": 370,
                          "engine": {"slots": 17}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       **(limits or {})}}).encode())

    async def start(self):
        await self.store.start(self.store_address)
        for runner in self.runners:
            await runner.start()
        self.configure()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_ready(node)

    async def wait_ready(self, node, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if (await call(node.ready, "GET", "/api/ready"))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(node.name + " did not become ready")

    def runs(self):
        return [run for runner in self.runners for run in runner.runs]

    def stop(self):
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP_LOGS") is None:
            shutil.rmtree(self.directory, ignore_errors=True)
        else:
            print("logs:", self.directory)


def stream_route(**fields):
    return {"name": "ask", "host": HOST, "path_prefix": "/ask/", "kind": "streaming",
            "timeout_ms": 5000, "target_latency_ms": 200, "service": "chat", "max_attempts": 2,
            "priority": 0, "session_affinity": True, "resumable": True, "gap_target_ms": 250,
            **fields}


def batch_route(**fields):
    return {"name": "drafts", "host": HOST, "path_prefix": "/drafts/", "kind": "batch",
            "timeout_ms": 30000, "target_latency_ms": 400, "service": "chat", "max_attempts": 3,
            "priority": 2, "session_affinity": True, "resumable": True, "gap_target_ms": 250,
            "completion_target_ms": 20000, "retention_s": 60, "max_queued_tokens": 1600000,
            **fields}


async def read_answer(reader):
    """Returns (status, headers, body, complete) of the next answer of a connection."""
    status, headers, body = 0, {}, b""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        for line in head[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return status, headers, body, True
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return status, headers, body, True
        body = await reader.read()
        return status, headers, body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, headers, body, False


def encode_request(method, target, headers, body=b""):
    fields = {"Host": HOST, **headers, "Content-Length": len(body)}
    lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % pair for pair in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Connection:
    """A client's connection, kept open between its requests."""

    async def open(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port),
                                                                 limit=64 * 1024 * 1024)
        return self

    async def call(self, method, target, headers=None, body=b""):
        self.writer.write(encode_request(method, target, headers or {}, body))
        try:
            await self.writer.drain()
        except ConnectionError:
            pass
        return await read_answer(self.reader)

    def close(self):
        self.writer.close()


async def call(address, method, target, headers=None, body=b"", timeout=20):
    """Sends one request on a new connection; returns (status, headers, body, complete)."""
    connection = await Connection().open(address)
    try:
        return await asyncio.wait_for(connection.call(method, target, headers, body), timeout)
    finally:
        connection.close()


def job_body(job, count, prefix="/drafts/", body=lambda index: b"x" * 700, prompt_tokens=540,
             answer_tokens=360):
    items = [{"id": "%s-%d" % (job, index), "path": prefix + "1/%d" % index,
              "headers": {"Stoathold-Model": "m",
                          "Stoathold-Token-Usage": "%d,%d" % (prompt_tokens, answer_tokens),
                          "Stoathold-Prompt-Prefix": "%04x:%d" % (index, prompt_tokens)},
              "body": base64.b64encode(body(index)).decode(),
              "token_count": prompt_tokens + answer_tokens}
             for index in range(count)]
    return json.dumps({"items": items}).encode()


async def submit(node, job, body):
    return await call(node.front, "POST", "/drafts/" + job, {"Stoathold-Attempt-Id": job}, body)


async def read_results(node, job, after=0, wait_ms=1000):
    headers = {"Stoathold-Max-Wait-Ms": wait_ms} if wait_ms else {}
    return await call(node.front, "GET", "/api/lots/%s?after_rev=%d" % (job, after), headers)
