"""Stand-in for the platform's metadata store: a log with keyed topics and one kind of group.

Follows "The platform's metadata store" of PROTOCOL.md. Each partition takes its appends in turn,
each in `append_ms` and at `part_mb_per_s`.
"""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

from http_peer import encode_answer, start_server

PAGE_RECORDS = 500
PAGE_BYTES = 1024 * 1024


class Partition:
    def __init__(self):
        self.records = []  # (key, value) by offset.
        self.first = 0  # The first offset that is kept.
        self.newest = {}  # By key: (value, offset).
        self.turn = asyncio.Lock()
        self.changed = asyncio.Event()

    def forget(self):
        """Drops the history, as when `retention_s` has passed; the newest of each key stay."""
        self.first = len(self.records)

    def append(self, records):
        for key, value in records:
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()


class Group:
    """Deals slots evenly; a slot moves when its old member has heard of the change or is silent."""

    def __init__(self, slots):
        self.slots = slots
        self.generation = 0
        self.members = {}  # By name: (last join, ttl, generation heard).
        self.target = {}
        self.owner = {}

    def deal(self, first=0):
        self.generation += 1
        names = sorted(self.members)
        names = names[first:] + names[:first]
        self.target = {slot: names[index % len(names)] if names else None
                       for index, slot in enumerate(self.slots)}

    def expire(self, now):
        silent = [name for name, (seen, ttl, _) in self.members.items() if now - seen > ttl]
        for name in silent:
            self.remove(name)

    def remove(self, name):
        if self.members.pop(name, None) is None:
            return
        self.owner = {slot: owner for slot, owner in self.owner.items() if owner != name}
        self.deal()

    def join(self, name, ttl, generation, now):
        self.expire(now)
        is_new = name not in self.members
        self.members[name] = (now, ttl, generation)
        if is_new:
            self.deal()
        if generation >= self.generation:
            self.owner = {slot: owner for slot, owner in self.owner.items()
                          if owner != name or self.target[slot] == name}
        for slot, target in self.target.items():
            if target == name and slot not in self.owner:
                self.owner[slot] = name
        return [slot for slot, owner in self.owner.items() if owner == name]


def parse_records(body, keyed):
    records, position = [], 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        content = body[position + 4:position + 4 + size]
        position += 4 + size
        if not keyed:
            records.append(("", content))
            continue
        length = content[0]
        records.append((content[1:1 + length].decode(), content[1 + length:]))
    return records


def frame_record(key, value, keyed):
    content = (bytes([len(key.encode())]) + key.encode() if keyed else b"") + value
    return struct.pack(">I", len(content)) + content


class Store:
    """The store. `rules` are functions (name of the call, query, request) that may return a
    coroutine; its result, if not None, is written instead of the answer (False: no answer)."""

    def __init__(self, append_ms=4.0, part_mb_per_s=20.0, record_bytes=262144,
                 call_bytes=2097152, parts=8):
        self.append_seconds = append_ms / 1000
        self.bytes_per_second = part_mb_per_s * 1024 * 1024
        self.record_bytes = record_bytes
        self.call_bytes = call_bytes
        self.parts = parts
        self.partitions = {}
        self.groups = {}
        self.rules = []

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """Appends a record as the operator or a runner does."""
        self.partition(topic).append([(key, value)])

    async def start(self, address):
        self.server = await start_server(address, self.handle)

    async def handle(self, request, reader, writer):
        parsed = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        name = parsed.path.rsplit("/", 1)[-1]
        for rule in self.rules:
            answer = await rule(name, query, request)
            if answer is False:
                return False
            if answer is not None:
                writer.write(answer)
                return None
        writer.write(await self.answer(name, query, request))
        return None

    async def answer(self, name, query, request):
        if name == "log-append":
            return await self.append(query, request.body)
        if name == "log-read":
            return await self.read(query)
        if name == "log-newest":
            return self.read_newest(query)
        if name == "log-join":
            return self.join(json.loads(request.body))
        if name == "log-leave":
            return self.leave(json.loads(request.body))
        if name == "log-owners":
            return self.owners(query)
        if name == "log-commit":
            return encode_answer(200, b"{}")
        return encode_answer(404, b"{}")

    async def append(self, query, body):
        topic = query["topic"]
        if topic == "keyed.servers":
            return encode_answer(403, b"{}")
        records = parse_records(body, topic.startswith("keyed."))
        too_long = any(1 + len(key) + len(value) > self.record_bytes for key, value in records)
        if too_long or len(body) > self.call_bytes:
            return encode_answer(413, b"{}")
        partition = self.partition(topic, query.get("part", 0))
        async with partition.turn:
            await asyncio.sleep(self.append_seconds + len(body) / self.bytes_per_second)
            end = len(partition.records)
            if "at" in query and int(query["at"]) != end:
                return encode_answer(412, json.dumps({"end": end}).encode())
            partition.append(records)
        answer = {"offset": end, "end": len(partition.records)}
        return encode_answer(200, json.dumps(answer).encode())

    async def read(self, query):
        topic, start = query["topic"], int(query.get("from", 0))
        partition = self.partition(topic, query.get("part", 0))
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(partition.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if start < partition.first:
            return encode_answer(410, json.dumps({"first": partition.first}).encode())
        limit, body = int(query.get("max_kb", 1024)) * 1024, b""
        for key, value in partition.records[start:]:
            record = frame_record(key, value, topic.startswith("keyed."))
            if body and len(body) + len(record) > limit:
                break
            body += record
        head = struct.pack(">QQ", len(partition.records), partition.first)
        return encode_answer(200, head + body, content_type="application/octet-stream")

    def read_newest(self, query):
        partition = self.partition(query["topic"], query.get("part", 0))
        keys = sorted(key for key in partition.newest if key > query.get("after_rev", ""))
        items, size = [], 0
        for key in keys:
            value, offset = partition.newest[key]
            if items and (len(items) >= PAGE_RECORDS or size + len(value) > PAGE_BYTES):
                break
            size += len(value)
            items.append({"tls_key": key, "value": base64.b64encode(value).decode(),
                          "offset": offset})
        answer = {"items": items, "more": len(items) < len(keys), "end": len(partition.records)}
        return encode_answer(200, json.dumps(answer).encode())

    def join(self, body):
        slots = [(topic, part) for topic in body["topics"] for part in range(self.parts)]
        group = self.groups.setdefault(body["group"], Group(slots))
        held = group.join(body["member"], body["ttl_ms"] / 1000, body["generation"],
                          time.monotonic())
        rows = [[topic, part, 0] for topic, part in held]
        return encode_answer(200, json.dumps({"generation": group.generation,
                                              "parts": rows}).encode())

    def leave(self, body):
        if body["group"] in self.groups:
            self.groups[body["group"]].remove(body["member"])
        return encode_answer(200, b"{}")

    def owners(self, query):
        group = self.groups.get(query["group"])
        rows = [] if group is None else [[topic, part, owner, 0]
                                         for (topic, part), owner in group.owner.items()]
        return encode_answer(200, json.dumps({"parts": rows}).encode())
