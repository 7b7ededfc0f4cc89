"""Clients of batch jobs: they submit jobs and wait for the results."""

import base64
import json
import random
import time

from deployment import HOST, CouldNotRun, call

# `Stoathold-Max-Wait-Ms` of a read.
MAX_WAIT_MS = 1000
OWN_TOKENS = 250
ANSWER_TOKENS = 400


def submit(node, job, items, body_bytes, prompt=None):
    """Submits a batch job; returns the status.

    `prompt` is the list of the parts that the items' prompts share, as ID:TOKENS."""
    parts = prompt or []
    tokens = sum(int(part.split(":")[1]) for part in parts) + OWN_TOKENS
    listed = [{"id": "%s-%03d" % (job, index), "path": "/pule252/3/91c4",
               "headers": {"Stoathold-Model": "m", "Stoathold-Token-Usage": "%d,%d" % (tokens, ANSWER_TOKENS),
                           "Stoathold-Prompt-Prefix":
                               ",".join(parts + ["%08x:%d" % (index, OWN_TOKENS)])},
               "body": base64.b64encode(random.Random(index).randbytes(body_bytes)).decode(),
               "token_count": tokens + ANSWER_TOKENS} for index in range(items)]
    return call(node.front, "POST", "/pule252/7c41e0", json.dumps({"items": listed}).encode(),
                {"Host": HOST, "Stoathold-Attempt-Id": job,
                 "Content-Type": "application/json"})[0]


def read(node, job, position):
    status, _, body = call(node.front, "GET", "/api/lots/%s?after_rev=%d" % (job, position), None,
                           {"Host": HOST, "Stoathold-Max-Wait-Ms": str(MAX_WAIT_MS)})
    return status, json.loads(body) if status == 200 else None


def wait_for_results(node, job, seconds):
    """Reads a job to its end; returns its results."""
    found = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        status, page = read(node, job, len(found))
        if status == 200:
            found += page["results"]
            if len(found) == page["total"]:
                return found
        time.sleep(0.2)
    raise CouldNotRun("job %s has %d results" % (job, len(found)))
