"""Emulated store and runners of the users' platform, and real nodes that know only the store."""

import base64
import dataclasses
import json
import pathlib
import signal
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import BUILD, Process, call, call_json, free_ports, wait_for  # noqa: E402

HOST = "a.example"
EVENTS = 5


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Size limits of the store, sizes of items, and the retention of jobs."""

    record_bytes: int = 2000
    call_bytes: int = 8000
    body_bytes: int = 700
    event_bytes: int = 700  # Bytes of the request body that each event echoes.
    status_seconds: int = 120
    queued_tokens: int = 100000

    def item_body(self, index):
        """Returns the request body of the item with this index in its job."""
        return (b"%d" % index * self.body_bytes)[:self.body_bytes]

    def item_text(self, index):
        """Returns the complete output of that item."""
        echo = self.item_body(index)[:self.event_bytes].decode()
        return "\n".join("%s#%d" % (echo, i) for i in range(1, EVENTS + 1))


# Small records: each request spans several of them, and a store call holds only a few.
SMALL_SIZES = Sizes()
# A request of 15 kB fits one record, a response has 12 kB, and jobs outlive any test.
LARGE_SIZES = Sizes(record_bytes=262144, call_bytes=2097152, body_bytes=15000, event_bytes=2400,
                    status_seconds=1200, queued_tokens=100000000)


def encode_record(key, value):
    """Returns one record in the wire format of the store."""
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


# Exit code of a runner that a request crashed.
CRASH_EXIT_CODE = 3


class Platform:
    """Starts and stops the processes; `link` may put a proxy in front of an address.

    `link(kind, name, address)` returns the address to use instead; kinds are `store` (as reached by
    node `name`) and `runner`. A request with the body `crash_body` (or one of these bodies), or with
    the part `crash_part` in its prompt, crashes every runner that starts to execute it.
    """

    def __init__(self, directory, nodes=3, runners=2, link=None, crash_body=None,
                 sizes=SMALL_SIZES, runner_options=None, memory_mb=None, node_zones=None,
                 crash_part=None):
        limits = {} if memory_mb is None else {"limits": {"memory_mb": memory_mb}}
        self.directory = directory
        self.sizes = sizes
        self.crash_body = crash_body
        self.crash_part = crash_part
        self.key = None  # API key of requests that name none.
        self.runner_slots = 4
        self.stream_timeout_ms = 20000
        self.runner_options = runner_options or {}  # By name: additional arguments of that runner.
        self.replacement_count = 0
        self.versions = {}  # By runner name: the software version that its entry lists; default "1".
        self.start_times = {}  # By runner id: the start time (`born`) that it reports.
        link = link or (lambda kind, name, address: address)
        ports = free_ports(1 + runners + 3 * nodes)
        self.store = "127.0.0.1:%d" % ports.pop()
        self.store_process = Process(
            "store", [BUILD / "apps/stoathold-emulator", "metadata-store", "--listen", self.store,
                      "--record-bytes", sizes.record_bytes, "--call-bytes", sizes.call_bytes],
            directory)
        self.runners = {}
        self.runner_addresses = {}
        self.runner_processes = []
        for index in range(runners):
            name, address = "r%d" % index, "127.0.0.1:%d" % ports.pop()
            self.runners[name] = address
            self.runner_addresses[name] = link("runner", name, address)
            self.runner_processes.append(self.start_runner(name, name))
        self.nodes = []
        self.ready = []
        self.settings = []
        self.node_processes = []
        for index in range(nodes):
            front, ready, peer = ports.pop(), ports.pop(), ports.pop()
            self.nodes.append("127.0.0.1:%d" % front)
            self.ready.append("127.0.0.1:%d" % ready)
            settings = pathlib.Path(directory) / ("node%d.yaml" % index)
            self.settings.append(settings)
            settings.write_text(json.dumps({
                **limits, "node_name": "node%d" % index, "ip": "127.0.0.1",
                "zone": "z1" if node_zones is None else node_zones[index],
                "listen": {"front": self.nodes[-1], "ready": self.ready[-1]},
                "internal_ports": [peer, peer],
                "bounds": {"grace_s": 8, "status_s": sizes.status_seconds, "skew_max_ms": 5000},
                "platform": {"address": link("store", "node%d" % index, self.store), "parts": 8,
                             "record_bytes": sizes.record_bytes, "call_bytes": sizes.call_bytes,
                             "ttl_min_ms": 1000}}))
            self.node_processes.append(Process(
                "node%d" % index, [BUILD / "apps/stoathold", "--settings", settings], directory))
        for address in [self.store] + list(self.runners.values()):
            wait_for(lambda a=address: call(a, "GET", "/admin/none")[0] != 0, address)

    def start_runner(self, name, runner_id):
        self.record_start(runner_id)
        bodies = [self.crash_body] if isinstance(self.crash_body, str) else self.crash_body or []
        crash = [argument for body in bodies for argument in ("--crash-body", body)]
        crash += [] if self.crash_part is None else ["--crash-part", self.crash_part]
        return Process(runner_id, [
            BUILD / "apps/stoathold-emulator", "inference-runner", "--listen", self.runners[name],
            "--id", runner_id, "--events", EVENTS,
            "--event-bytes", self.sizes.event_bytes] + crash + self.runner_options.get(name, []),
            self.directory)

    def record_start(self, runner_id):
        """Records a start time in ms that is unique among the starts of a runner id."""
        now = int(time.time() * 1000)
        self.start_times[runner_id] = max(now, self.start_times.get(runner_id, 0) + 1)

    def restart_ended_runners(self, same_id=False):
        """Restarts and registers each runner that has ended; returns how many there were."""
        ended = 0
        for name in self.runners:
            if self.runner_process(name).handle.poll() is None:
                continue
            ended += 1
            self.start_runner_again(name, same_id)
        return ended

    def runner_process(self, name):
        return self.runner_processes[list(self.runners).index(name)]

    def start_runner_again(self, name, same_id=False):
        """Restarts an ended runner at its address, under its id or a new one, and registers it."""
        index = list(self.runners).index(name)
        process = self.runner_processes[index]
        if same_id:
            self.record_start(process.name)
            process.start()
        else:
            self.replacement_count += 1
            self.deregister_runner(name)
            process = self.start_runner(name, "%s.%d" % (name, self.replacement_count))
            self.runner_processes[index] = process
        wait_for(lambda: self.crashed_by_request(process) or
                 call(self.runners[name], "GET", "/admin/runs")[0] == 200, process.name)
        self.register_runner(name, runner_id=process.name)

    def crashed_by_request(self, process):
        """Whether a request crashed a runner; a waiting one does so some 30 ms after the start."""
        return self.crash_body is not None and process.handle.poll() == CRASH_EXIT_CODE

    def deregister_runner(self, name):
        """Removes a runner's entry from the store, as happens when its heartbeats stop."""
        self.append_raw("keyed.servers", self.runner_process(name).name, b"")

    def disconnect_store(self, index):
        """Reloads a node's settings with a store address on which nothing listens."""
        settings = json.loads(self.settings[index].read_text())
        settings["platform"]["address"] = "127.0.0.1:1"
        self.settings[index].write_text(json.dumps(settings))
        self.node_processes[index].handle.send_signal(signal.SIGHUP)

    def append_raw(self, topic, key, value):
        """Appends a record as the operator, whom the store serves during emulated outages too."""
        status, _, _ = call(self.store, "POST", "/api/log-append?topic=%s&part=0" % topic,
                            encode_record(key, value), {"X-Operator": "1"})
        assert status == 200, status

    def append(self, topic, key, value):
        self.append_raw(topic, key, json.dumps(value).encode())

    def register_runner(self, name, state="ready", runner_id=None):
        key = runner_id or name
        self.append("keyed.servers", key, {
            "service": "chat", "address": self.runner_addresses[name], "zone": "z1", "slots": self.runner_slots,
            "state": state, "version": self.versions.get(name, "1"), "cold_remaining_ms": 0,
            "sequence": 1, "born": self.start_times[key]})

    def configure(self, version, extra_routes=(), tenants=None, extra_services=()):
        routes = [
            {"name": "ask", "host": HOST, "path_prefix": "/ask/", "kind": "streaming",
             "timeout_ms": self.stream_timeout_ms, "target_latency_ms": 5000, "service": "chat",
             "max_attempts": 2,
             "session_affinity": True, "resumable": True, "gap_target_ms": 5000},
            {"name": "drafts", "host": HOST, "path_prefix": "/drafts/", "kind": "batch",
             "timeout_ms": 20000, "target_latency_ms": 5000, "service": "chat", "max_attempts": 3,
             "completion_target_ms": 20000, "retention_s": 600,
             "max_queued_tokens": self.sizes.queued_tokens}]
        more = {} if tenants is None else {"tenants": tenants}
        self.append("keyed.op", "config", {
            **more, "version": version, "routes": routes + list(extra_routes),
            "services": [{"name": name, "health_path": "/health"}
                         for name in ["chat", *extra_services]],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def wait_ready(self, indices=None):
        for index in range(len(self.nodes)) if indices is None else indices:
            wait_for(lambda i=index: call(self.ready[i], "GET", "/api/ready")[0] == 200,
                     "node %d to be ready" % index)

    def set_faults(self, address, **values):
        status, _, _ = call(address, "POST", "/admin/faults", values)
        assert status == 200, status

    def key_headers(self, key):
        key = key or self.key
        return {} if key is None else {"Stoathold-Key": key}

    def ask(self, node, request, body=b"q", key=None, prompt=None):
        keys = self.key_headers(key)
        if prompt is not None:
            keys = {**keys, "Stoathold-Prompt-Prefix": prompt}
        return call(self.nodes[node], "POST", "/ask/1", body,
                    {**keys, "Host": HOST, "Stoathold-Attempt-Id": request,
                     "Stoathold-Deadline-Ms": "15000"})

    def submit(self, node, job, count=3, key=None, prefix="/drafts/", prompt=""):
        """Submits a job; items with a shared prompt have a last part of their own behind it."""
        keys = self.key_headers(key)

        def item_headers(index):
            own = {} if not prompt else {"Stoathold-Prompt-Prefix": "%s%x:50" % (prompt, index)}
            return {"Stoathold-Model": "m", **own}

        items = [{"id": "%s-%d" % (job, i), "path": prefix + "1",
                  "headers": item_headers(i),
                  "body": base64.b64encode(self.sizes.item_body(i)).decode(), "token_count": 100}
                 for i in range(count)]
        return call(self.nodes[node], "POST", prefix + "x", {"items": items},
                    {**keys, "Host": HOST, "Stoathold-Attempt-Id": job})[0]

    def results(self, node, job, after=0, key=None):
        keys = self.key_headers(key)
        return call_json(self.nodes[node], "GET", "/api/lots/%s?after_rev=%d" % (job, after), None,
                         {**keys, "Host": HOST, "Stoathold-Max-Wait-Ms": "1000"})

    def item_body(self, node, job, index):
        """Reads the request body of an item; returns (status, body)."""
        target = "/api/items/%s?id=%s-%d" % (job, job, index)
        status, _, body = call(self.nodes[node], "GET", target, None,
                               {**self.key_headers(None), "Host": HOST})
        return status, body

    def wait_results(self, node, job, count, key=None):
        """Reads results until `count` of them are there; returns them in order of position."""
        found = []

        def complete():
            status, page = self.results(node, job, len(found), key)
            if status == 200:
                found.extend(page["results"])
            return len(found) >= count

        wait_for(complete, "results of " + job, 60.0)
        return found

    def runs(self, request):
        return sum(call_json(address, "GET", "/admin/runs")[1].get(request, 0)
                   for address in self.runners.values())

    def stop(self):
        for process in self.node_processes + self.runner_processes + [self.store_process]:
            process.kill()


def stream_text(body, first=1):
    return "".join("id: %d\ndata: %s#%d\n\n" % (i, body, i) for i in range(first, EVENTS + 1))


def item_text(index):
    return SMALL_SIZES.item_text(index)
