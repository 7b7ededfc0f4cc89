"""BUDGET: requests with a prompt part that crashes runners are sent to runners without end.

One part of a prompt, never the last, crashes each runner that begins to write an answer on it. The
runner's connections close, its entry goes after three heartbeats, and it is back after 4 s under a
new id. Requests with the part, no two alike, come at any of three nodes; one in 34 of all is such.
Played twice; the first play decides, the second is recorded beside it:

- `long`: prompts have 40 parts, of which the 20th crashes runners; they end behind the head.
- `silent`: prompts have 3 parts; runners end before a byte of their answer has left them.

With TROUBLE=0 only the sound requests come. CONTROL=1 plays `short` instead, prompts of 3 parts and
runners that end behind the head.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))
from deployment import Deployment, call, free_ports  # noqa: E402
from http_peer import encode_head  # noqa: E402
from runner import Runner  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLAYS = ["short"] if os.environ.get("CONTROL", "0") != "0" else ["long", "silent"]
PLAY_SECONDS = 20
LONG_PARTS = 40
SOUND_PER_SECOND = 60
SOUND_PER_CRASHING = 33  # One of 34 requests, a share of 0.029.
RUNNERS = 12
PART = "dead01"
READ_PROMPT_SECONDS = 0.1
ENTRY_SECONDS = 3.6  # Three times `heartbeat_ms`, 1,200.
DOWN_SECONDS = 4.0
CONTACT_SECONDS = 3.0  # `contact_ms`.
CRASHES = 5  # The rule counts from the fifth crash on.
ALLOWED = 3
LIMIT_SECONDS = 100


class CrashingRunner(Runner):
    """Ends when it begins to write an answer on the part, and starts again later."""

    def __init__(self, events, sends_head, *arguments, **options):
        super().__init__(*arguments, **options)
        self.events = events
        self.sends_head = sends_head
        self.first_identity = self.identity
        self.starts = 1
        self.is_down = False
        self.writers = set()

    async def handle(self, request, reader, writer):
        if self.is_down:
            return False
        self.writers.add(writer)
        is_named = request.header("Stoathold-Expect-Instance") == self.identity
        if not is_named or PART not in request.header("Stoathold-Prompt-Prefix"):
            return await super().handle(request, reader, writer)
        request_id = request.header("Stoathold-Attempt-Id")
        self.events.append((time.monotonic(), "sent", request_id, self.identity))
        start = self.starts
        await asyncio.sleep(READ_PROMPT_SECONDS)
        if self.sends_head and not self.is_down:
            writer.write(encode_head(200, [
                ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
                ("Stoathold-Response-Seal", "seal-" + request_id), *self.headers(request)]))
            await writer.drain()
            await asyncio.sleep(0.02)
        if not self.is_down and self.starts == start:
            self.crash(request_id)
        return False

    def crash(self, request_id):
        self.is_down = True
        self.events.append((time.monotonic(), "crash", request_id, self.identity))
        self.server.close()
        for writer in self.writers:
            writer.close()
        self.writers.clear()
        asyncio.create_task(self.start_again())

    async def start_again(self):
        await asyncio.sleep(ENTRY_SECONDS)
        self.store.put("keyed.servers", self.identity, b"")
        await asyncio.sleep(DOWN_SECONDS - ENTRY_SECONDS)
        self.starts += 1
        self.identity = "%s.%d" % (self.first_identity, self.starts)
        self.is_down = False
        await self.start()


async def ask(deployment, request_id, prompt):
    """Returns whether the request was served."""
    node = random.choice(deployment.nodes)
    headers = {"Stoathold-Attempt-Id": request_id, "Stoathold-Deadline-Ms": "5000",
               "Stoathold-Token-Usage": "183,60", "Stoathold-Prompt-Prefix": prompt}
    try:
        status, _, _, is_complete = await call(node.front, "POST", "/ask/1", headers,
                                               request_id.encode())
        return status == 200 and is_complete
    except (OSError, asyncio.TimeoutError):
        return False


def prompt_of(name, number, is_long, part):
    """Returns the parts of a prompt: the last is its own, all but `part` are shared with the others."""
    if not is_long:
        return "aaaa:93,%s:60,%s%04x:30" % (part, name, number)
    parts = ["aaaa:93", *["ee%02x:20" % index for index in range(LONG_PARTS - 2)]]
    parts[LONG_PARTS // 2 - 1] = "%s:60" % part
    return ",".join([*parts, "%s%04x:30" % (name, number)])


async def play(deployment, is_long, events, record):
    await deployment.start()
    await asyncio.sleep(1)
    start = time.monotonic()
    sound, crashing = [], []
    for number in range(PLAY_SECONDS * SOUND_PER_SECOND):
        prompt = prompt_of("5", number, is_long, "bb%02d01" % (number % 5))
        sound.append(asyncio.create_task(ask(deployment, "s%d" % number, prompt)))
        if TROUBLE and number % SOUND_PER_CRASHING == 0:
            prompt = prompt_of("c", number, is_long, PART)
            crashing.append(asyncio.create_task(ask(deployment, "c%d" % number, prompt)))
        await asyncio.sleep(max(0.0, start + (number + 1) / SOUND_PER_SECOND - time.monotonic()))
    served = sum(await asyncio.gather(*sound))
    await asyncio.gather(*crashing)
    for at, kind, request_id, runner in sorted(events):
        record("+%.2f s: %s %s at %s" % (at - start, kind, request_id, runner))
    return judge(events, start, served, len(sound), record)


def judge(events, start, served, sound, record):
    """Returns how many requests with the part reached runners too late."""
    crashes = [at for at, kind, _, _ in events if kind == "crash"]
    late = 0
    if len(crashes) >= CRASHES:
        bound = crashes[CRASHES - 1] + CONTACT_SECONDS
        late = sum(kind == "sent" and at > bound for at, kind, _, _ in events)
        record("crash %d at +%.2f s" % (CRASHES, crashes[CRASHES - 1] - start))
    record("TROUBLE=%d: %d crashes, %d requests with the part reached runners later than %.0f s "
           "after crash %d, %d allowed; %d of %d sound requests served" % (
               TROUBLE, len(crashes), late, CONTACT_SECONDS, CRASHES, ALLOWED, served, sound))
    return late


async def play_once(name, record):
    record("play %s" % name)
    events = []
    deployment = Deployment(nodes=3, runners=0)
    deployment.runners = [
        CrashingRunner(events, name != "silent", deployment.store, "i-%d" % index, "chat", "z1",
                       "127.0.0.1:%d" % free_ports(1)[0], plan=lambda request: (6, 0.03))
        for index in range(RUNNERS)]
    try:
        return await play(deployment, name == "long", events, record)
    finally:
        deployment.stop()


async def play_all(record):
    return [await play_once(name, record) for name in PLAYS]


async def main():
    lines = []

    def record(line):
        lines.append(line)
        print(line, flush=True)

    result = 2
    try:
        late = await asyncio.wait_for(play_all(record), LIMIT_SECONDS)
        result = 1 if late[0] > ALLOWED else 0
    except Exception as failure:  # The case could not run.
        record("not run: %r" % failure)
    finally:
        (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    return result


sys.exit(asyncio.run(main()))
