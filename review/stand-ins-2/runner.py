"""Stand-in for a model runner: event streams with rising ids, slots, a queue, and 421 checks.

Follows "Runners" of PROTOCOL.md. Its entry in the store is written by `Runner.register`.
"""

import asyncio
import json
import time

from http_peer import encode_answer, encode_chunk, encode_head, start_server


def event_text(request_id, number):
    return "%s.%d" % (request_id, number)


def encode_event(request_id, number):
    return ("id: %d\ndata: %s\n\n" % (number, event_text(request_id, number))).encode()


class Runner:
    """`plan(request)` returns (events, seconds between events) of a request, or raises Refusal.

    `runs` lists what began to run, with the last event that was asked from and the last one made.
    """

    def __init__(self, store, identity, service, zone, address, slots=12, queue=48,
                 plan=lambda request: (5, 0.02), has_length=lambda request: True, prefill_seconds=0.0):
        self.store, self.identity, self.service = store, identity, service
        self.zone, self.address, self.slots, self.queue = zone, address, slots, queue
        self.plan = plan
        self.has_length = has_length  # Where it is false, the answer ends with its connection.
        self.prefill_seconds = prefill_seconds  # From the head of an answer to its first event.
        self.places = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.runs = []
        self.sequence = 0
        self.state = "ready"

    async def start(self):
        self.server = await start_server(self.address, self.handle)
        self.register()

    def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "1", "slots": self.slots, "state": self.state,
                 "cold_remaining_ms": 0, "sequence": self.sequence}
        self.store.put("keyed.servers", self.identity, json.dumps(entry).encode())

    def headers(self, request):
        load = "%d,%d,%d" % (self.running, self.waiting, self.slots)
        return [("Stoathold-Attempt-Id", request.header("Stoathold-Attempt-Id")),
                ("Stoathold-Server-Load", load), ("Keep-Alive", "timeout=5")]

    async def handle(self, request, reader, writer):
        if request.method == "GET" and request.target == "/health":
            writer.write(encode_answer(200, b"ok", [("Stoathold-Instance", self.identity),
                                                    *self.headers(request)]))
            return None
        expected = request.header("Stoathold-Expect-Instance")
        if expected and expected != self.identity:
            writer.write(encode_answer(421, b"other", [*self.headers(request),
                                                       ("Stoathold-Not-Run", "1")]))
            return None
        if self.waiting >= self.queue:
            writer.write(encode_answer(503, b"full", [*self.headers(request),
                                                      ("Stoathold-Not-Run", "1")]))
            return None
        self.waiting += 1
        async with self.places:
            self.waiting -= 1
            self.running += 1
            try:
                return await self.run(request, reader, writer)
            finally:
                self.running -= 1

    def answer_plainly(self, request, writer, run, body, seal):
        """Answers with a whole body, or to HEAD with its head alone."""
        answer = encode_answer(200, body, self.headers(request) + seal, "text/plain")
        is_head = request.method == "HEAD"
        writer.write(answer[:len(answer) - len(body)] if is_head else answer)
        run["end"] = "complete"
        run["ended_at"] = time.monotonic()

    async def run(self, request, reader, writer):
        request_id = request.header("Stoathold-Attempt-Id")
        first = int(request.header("Last-Event-Id", "0") or 0)
        run = {"at": time.monotonic(), "id": request_id, "path": request.target,
               "runner": self.identity, "after": first, "made": first, "end": "running"}
        self.runs.append(run)
        seal = [("Stoathold-Response-Seal", "seal-" + request_id)]
        plan = self.plan(request)
        if isinstance(plan, int):
            writer.write(encode_answer(plan, b"no", self.headers(request) + seal))
            run["end"] = str(plan)
            return None
        if isinstance(plan, bytes):
            return self.answer_plainly(request, writer, run, plan, seal)
        events, pause = plan
        has_length = self.has_length(request)
        framing = ("Transfer-Encoding", "chunked") if has_length else ("Connection", "close")
        fields = [("Content-Type", "text/event-stream"), framing]
        writer.write(encode_head(200, fields + self.headers(request) + seal))
        await writer.drain()
        for number in range(first + 1, events + 1):
            is_first = number == first + 1
            await asyncio.sleep(self.prefill_seconds if is_first and self.prefill_seconds else pause)
            if reader.at_eof() or writer.is_closing():
                run["end"] = "dropped after event %d" % (number - 1)
                run["ended_at"] = time.monotonic()
                return False
            event = encode_event(request_id, number)
            writer.write(encode_chunk(event) if has_length else event)
            run["made"] = number
            await writer.drain()
        if has_length:
            writer.write(b"0\r\n\r\n")
        run["end"] = "complete"
        run["ended_at"] = time.monotonic()
        return None if has_length else False
