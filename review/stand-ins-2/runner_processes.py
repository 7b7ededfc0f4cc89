"""Runners as processes of their own, for cases that kill them."""

import asyncio
import json
import pathlib
import subprocess
import sys
import time

from deployment import free_ports

FOLDER = pathlib.Path(__file__).resolve().parent


class RunnerProcess:
    """A runner in a process of its own; answers have no length."""

    def __init__(self, identity, directory, events, pause_ms, prefill_ms=0):
        self.identity = identity
        self.address = "127.0.0.1:%d" % free_ports(1)[0]
        self.output = pathlib.Path(directory) / (identity + ".log")
        with open(self.output, "wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(FOLDER / "runner_process.py"), self.address, identity,
                 str(events), str(pause_ms), str(prefill_ms), "no-length"], stdout=output, stderr=output)

    def register(self, store):
        entry = {"service": "chat", "address": self.address, "zone": "z1", "version": "1",
                 "slots": 12, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}
        store.put("keyed.servers", self.identity, json.dumps(entry).encode())

    async def wait_ready(self):
        end = time.monotonic() + 10
        while "ready" not in self.output.read_text():
            if time.monotonic() > end:
                raise RuntimeError(self.identity + " did not start")
            await asyncio.sleep(0.02)

    def states(self):
        """Returns the last state of each run: (id, after event, last event made, end)."""
        states = {}
        for line in self.output.read_text().splitlines():
            words = line.split(" ", 3)
            if len(words) == 4:
                states[words[0], words[1]] = (words[0], int(words[1]), int(words[2]), words[3])
        return list(states.values())

    def runs(self, request_id):
        return [state[1:] for state in self.states() if state[0] == request_id]

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
