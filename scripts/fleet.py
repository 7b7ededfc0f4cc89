"""Starts and stops a small fleet of real processes on loopback, for the demo and system tests."""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("STOATHOLD_BUILD", ROOT / "build" / "release"))
START_TIMEOUT_SECONDS = 30.0


def free_ports(count):
    """Returns ports that are currently unused.

    They lie below the ephemeral port range, so that no outgoing connection takes the port of a
    process between its stop and its restart.
    """
    first, end = 20000, 32000
    chosen = []
    while len(chosen) < count:
        port = random.SystemRandom().randrange(first, end)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in chosen:
            chosen.append(port)
    return chosen


def call(address, method, target, body=None, headers=None, timeout=20.0):
    """Sends one HTTP request; returns (status, headers, body bytes)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        payload = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
        connection.request(method, target, payload, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def call_json(address, method, target, body=None, headers=None, timeout=20.0):
    """Sends one request; returns (status, parsed body)."""
    status, _, content = call(address, method, target, body, headers, timeout)
    return status, json.loads(content) if content else None


def wait_for(condition, what, timeout_seconds=START_TIMEOUT_SECONDS):
    """Waits until condition() is true; raises TimeoutError naming `what` on timeout."""
    end = time.monotonic() + timeout_seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.05)
    raise TimeoutError("timed out waiting for " + what)


class Process:
    """One process of the fleet with its log file."""

    def __init__(self, name, arguments, log_directory):
        self.name = name
        self.arguments = [str(item) for item in arguments]
        self.log_path = pathlib.Path(log_directory) / (name + ".log")
        self.handle = None
        self.started_at = None  # Monotonic time taken just before the process is created.
        self.start()

    def start(self):
        self.started_at = time.monotonic()
        with open(self.log_path, "ab") as log:
            self.handle = subprocess.Popen(self.arguments, stdout=log, stderr=log)

    def kill(self):
        """Kills the process with SIGKILL and waits for it."""
        if self.handle.poll() is None:
            self.handle.kill()
        self.handle.wait()

    def suspend(self):
        self.handle.send_signal(signal.SIGSTOP)

    def resume(self):
        self.handle.send_signal(signal.SIGCONT)

    def stop(self, timeout_seconds=40.0):
        """Shuts the process down gracefully with SIGTERM; returns the exit code."""
        self.handle.terminate()
        return self.handle.wait(timeout_seconds)


class Fleet:
    """Emulators, nodes and engines; nodes and engines are spread over `zones` round robin."""

    def __init__(self, directory, nodes=3, engines=4, zones=3, engine_parameters=None):
        self.directory = pathlib.Path(directory)
        self.processes = {}
        self.zones = zones
        self.engine_parameters = engine_parameters
        ports = free_ports(3 + 2 * nodes + engines)
        addresses = ["127.0.0.1:%d" % port for port in ports]
        self.log, self.machines, self.weights = addresses[:3]
        self.node_http = addresses[3:3 + nodes]
        self.node_peer = addresses[3 + nodes:3 + 2 * nodes]
        self.engines = addresses[3 + 2 * nodes:]
        self.leaving = set()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def zone_of(self, index):
        return "zone-%d" % (index % self.zones + 1)

    def start_process(self, name, arguments):
        self.processes[name] = Process(name, arguments, self.directory)
        return self.processes[name]

    def start_emulators(self):
        emulator = BUILD / "apps" / "stoathold-emulator"
        self.start_process("log", [emulator, "log", "--listen", self.log])
        self.start_process("machines", [emulator, "machines", "--listen", self.machines])
        self.start_process("weights", [emulator, "weights", "--listen", self.weights])
        for index, address in enumerate(self.engines):
            self.start_engine(index)
        wait_for(lambda: call(self.log, "GET", "/admin/figures")[0] == 200, "the log")
        wait_for(lambda: call(self.machines, "GET", "/v1/machines")[0] == 200, "the machine list")
        for address in self.engines:
            wait_for(lambda a=address: call(a, "GET", "/v1/load")[0] == 200, "engine " + address)
        self.publish_machines()

    def start_engine(self, index):
        arguments = [BUILD / "apps" / "stoathold-emulator", "engine", "--listen",
                     self.engines[index]]
        if self.engine_parameters:
            arguments += ["--parameters", self.engine_parameters]
        return self.start_process("engine-%d" % index, arguments)

    def publish_machines(self):
        """Publishes the machine list of the platform."""
        machines = []
        for index, address in enumerate(self.node_peer):
            machines.append({"role": "node", "name": "node-%d" % index, "region": "region-1",
                             "zone": self.zone_of(index), "address": address, "state": "live"})
        for index, address in enumerate(self.engines):
            state = "leaving" if index in self.leaving else "live"
            machines.append({"role": "runner", "name": "runner-%d" % index, "region": "region-1",
                             "zone": self.zone_of(index), "address": address,
                             "service": "assistant", "state": state})
        status, _, _ = call(self.machines, "PUT", "/admin/machines", {"machines": machines})
        assert status == 200

    def start_node(self, index):
        arguments = [BUILD / "apps" / "stoathold-node", "--name", "node-%d" % index,
                     "--zone", self.zone_of(index), "--listen", self.node_http[index],
                     "--peer-listen", self.node_peer[index], "--log-service", self.log,
                     "--machine-list", self.machines, "--weight-store", self.weights,
                     "--log-format", "json"]
        return self.start_process("node-%d" % index, arguments)

    def start_nodes(self):
        for index in range(len(self.node_http)):
            self.start_node(index)
        for index in range(len(self.node_http)):
            self.wait_ready(index)

    def wait_ready(self, index):
        address = self.node_http[index]
        wait_for(lambda: call(address, "GET", "/readyz")[0] == 200, "node-%d to be ready" % index)

    def start(self):
        self.start_emulators()
        self.start_nodes()

    def control(self, *arguments, node=0):
        """Runs stoatctl; returns the finished process."""
        command = [str(BUILD / "apps" / "stoatctl"), "--server", self.node_http[node]]
        return subprocess.run(command + list(arguments), capture_output=True, text=True,
                              timeout=60, check=False)

    def apply_service(self, node=0):
        manifest = self.directory / "service.yaml"
        manifest.write_text(SERVICE_MANIFEST)
        result = self.control("apply", str(manifest), node=node)
        if result.returncode != 0:
            raise RuntimeError("apply failed: " + result.stderr)
        for address in self.node_http:
            if self.process_of(address).handle.poll() is None:
                wait_for(lambda a=address: "assistant" in str(call_json(a, "GET", "/v1/models")[1]),
                         "the service at " + address)

    def process_of(self, http_address):
        return self.processes["node-%d" % self.node_http.index(http_address)]

    def set_faults(self, address, **faults):
        """Sets faults of an emulator."""
        status, _, _ = call(address, "POST", "/admin/faults", faults)
        assert status == 200

    def stop(self):
        for process in self.processes.values():
            if process.handle.poll() is None:
                process.resume()
                process.kill()


SERVICE_MANIFEST = """\
kind: Model
name: assistant-base
spec:
  version: v1
---
kind: PriorityClass
name: drafts
spec:
  weight: 10
  online: false
---
kind: Service
name: assistant
spec:
  model: assistant-base
  runner_slots: 16
  first_token_timeout_ms: 2000
"""


def chat_body(prompt, stream=False, max_tokens=32):
    return {"model": "assistant", "stream": stream, "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}]}


def read_events(content):
    """Parses a server-sent event response into (texts, finished, error or None)."""
    texts, finished, error = [], False, None
    for event in content.decode().split("\n\n"):
        lines = dict(line.split(": ", 1) for line in event.split("\n") if ": " in line)
        data = lines.get("data")
        if data is None:
            continue
        if data == "[DONE]":
            finished = True
        elif lines.get("event") == "error":
            error = json.loads(data)
        else:
            texts.append((int(lines["id"]), json.loads(data)["choices"][0]["delta"]["content"]))
    return texts, finished, error
