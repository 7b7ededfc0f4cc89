"""A client of a streaming route, which reads its answer from the socket and reports how it ended."""

import dataclasses
import socket
import time

from deployment import HOST
from runner import event_text

DEADLINE_MS = 5000


@dataclasses.dataclass
class Answer:
    """What a client got on one connection."""

    request: str
    node: str
    sent_at: float = 0.0
    status: int = 0
    seal: str = ""
    framing: str = ""
    events: int = 0
    body: bytes = b""
    end: str = ""  # `whole`: the end that the framing calls complete; else why it is not.

    def describe(self):
        return "%s at %s: status %d, seal %s, framing %s, %d events, ends %s" % (
            self.request, self.node, self.status, self.seal or "none", self.framing or "none",
            self.events, self.end)


def whole_body(request_id, options):
    """Returns the whole body of the runner for a request."""
    return "".join("id: %d\ndata: %s\n\n" % (n, event_text(request_id, n, options.event_bytes))
                   for n in range(1, options.events + 1)).encode()


def read_to_end(connection):
    """Returns all bytes, and whether the connection ended without a reset."""
    data = b""
    while True:
        try:
            part = connection.recv(65536)
        except (ConnectionError, socket.timeout) as failure:
            return data, type(failure).__name__
        if not part:
            return data, ""
        data += part


def decode_chunks(data):
    """Returns the body, and whether its last chunk is there."""
    body = b""
    while True:
        line, separator, rest = data.partition(b"\r\n")
        if not separator:
            return body, False
        size = int(line.split(b";")[0], 16)
        if size == 0:
            return body, True
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False
        data = rest[size + 2:]


def interpret(answer, data, failure):
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        answer.end = failure or "closed without an answer"
        return
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    headers = {name.lower(): value.strip() for name, _, value in
               (line.partition(":") for line in lines[1:])}
    answer.seal = headers.get("stoathold-response-seal", "")
    if "chunked" in headers.get("transfer-encoding", "").lower():
        answer.framing = "chunked"
        answer.body, is_whole = decode_chunks(rest)
    elif "content-length" in headers:
        answer.framing = "length"
        answer.body, is_whole = rest, len(rest) >= int(headers["content-length"])
    else:
        # RFC 9112, 6.3: without a length the body ends with the connection.
        answer.framing = "until close"
        answer.body, is_whole = rest, not failure
    answer.events = answer.body.count(b"id: ")
    answer.end = "whole" if is_whole else (failure or "early")


def ask(node, request_id, prompt=None):
    """Sends one request on a new connection and reads the answer.

    `prompt` is the list of the shared parts of its prompt, as ID:TOKENS."""
    answer = Answer(request_id, node.name, time.monotonic())
    host, port = node.front.rsplit(":", 1)
    parts = ",".join((prompt or []) + [request_id.rjust(8, "0") + ":250"])
    text = ("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nStoathold-Attempt-Id: %s\r\n"
            "Stoathold-Model: m\r\nStoathold-Token-Usage: 491,80\r\n"
            "Stoathold-Prompt-Prefix: %s\r\n"
            "Stoathold-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"
            % (HOST, request_id, parts, DEADLINE_MS))
    try:
        with socket.create_connection((host, int(port)), timeout=DEADLINE_MS / 1000) as connection:
            connection.sendall(text.encode())
            data, failure = read_to_end(connection)
        interpret(answer, data, failure)
    except OSError as failure:
        answer.end = "no connection (%s)" % type(failure).__name__
    return answer
