#!/usr/bin/env python3
"""Reports how long nodes take from process start until they serve requests.

Reads node logs (one or more files; plain lines, or the output of a day on the users' bench with `--log`)
and prints two Markdown tables:

  steps   seconds from process start to each step of `start_progress`: number of nodes that reached it,
          minimum, median, 95th percentile and maximum
  calls   mean store traffic of a node in its first seconds: calls, response bytes and timeouts by call
          and topic, and the number of rejected calls

usage: start_times.py LOG... [--since SECOND] [--within SECONDS]

Each start of a node counts separately. On a bench day `--since` skips everything logged before a
simulated second, such as the initial start of the fleet.
"""

import argparse
import collections
import json
import re
import sys

# A log line of a node; the users' bench prefixes it with the simulated second and the node name.
LOG_LINE = re.compile(r"(?:\s*(-?[\d.]+) \S+ )?(\{.*\})\s*$")
# `call:topic=calls/bytes sent/bytes received`, followed by `/timeouts` if there are any.
TRAFFIC = re.compile(r"([^=,]+)=(\d+)/(\d+)/(\d+)(?:/(\d+))?")
# Interval between two `store_traffic` lines of a node.
TRAFFIC_SECONDS = 5


def read_events(lines, since):
    """Yields the log events of nodes; lines without a simulated second are always included."""
    for line in lines:
        match = LOG_LINE.match(line)
        if match is None or (match[1] is not None and float(match[1]) < since):
            continue
        try:
            event = json.loads(match[2])
        except json.JSONDecodeError:
            continue
        if "name" in event and "node" in event:
            yield event


class StartStatistics:
    """Accumulates figures over the starts of all nodes."""

    def __init__(self, within):
        self.lines_per_start = max(1, round(within / TRAFFIC_SECONDS))
        self.started = 0
        self.steps = collections.defaultdict(list)
        self.calls = collections.defaultdict(lambda: [0, 0, 0])
        self.refused = 0
        self.traffic_lines = {}

    def add(self, event):
        name, node = event["name"], event["node"]
        if name == "node_started":
            self.started += 1
            self.traffic_lines[node] = 0
        elif name == "start_progress":
            self.steps[event["step"]].append(float(event["seconds"]))
        elif name == "store_traffic":
            # Nodes that started before the first line read are ignored.
            lines = self.traffic_lines.get(node, self.lines_per_start)
            self.traffic_lines[node] = lines + 1
            if lines < self.lines_per_start:
                self.add_traffic(event)

    def add_traffic(self, event):
        self.refused += int(event.get("refused", 0))
        for match in TRAFFIC.finditer(event["by_topic"]):
            row = self.calls[match[1]]
            for i, count in enumerate((match[2], match[4], match[5] or 0)):
                row[i] += int(count)


def quantile(values, part):
    """Returns the value at a quantile (0 to 1) of sorted values."""
    return values[min(len(values) - 1, int(len(values) * part))]


def tables(starts):
    yield "%d starts" % starts.started
    yield ""
    yield "| step | nodes | first s | middle | 95 of 100 | last |"
    yield "|---|---|---|---|---|---|"
    for step, values in sorted(starts.steps.items(), key=lambda row: min(row[1])):
        values = sorted(values)
        cells = [values[0], quantile(values, 0.5), quantile(values, 0.95), values[-1]]
        yield "| %s | %d | %s |" % (step, len(values), " | ".join("%.3f" % cell for cell in cells))
    yield ""
    seconds = starts.lines_per_start * TRAFFIC_SECONDS
    yield "| asked in the first %d s, a start | calls | kB answered | timed out |" % seconds
    yield "|---|---|---|---|"
    count = max(1, starts.started)
    for name, row in sorted(starts.calls.items(), key=lambda row: (-row[1][1], row[0])):
        yield "| %s | %.1f | %.1f | %.1f |" % (name, row[0] / count, row[1] / 1000 / count,
                                               row[2] / count)
    yield ""
    yield "refused by the store: %.1f calls a start" % (starts.refused / count)


def main(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--since", type=float, default=float("-inf"))
    parser.add_argument("--within", type=float, default=TRAFFIC_SECONDS)
    options = parser.parse_args(arguments)
    starts = StartStatistics(options.within)
    for path in options.logs:
        with open(path, errors="replace") as log:
            for event in read_events(log, options.since):
                starts.add(event)
    if starts.started == 0:
        print("no start of a node in these logs")
        return 1
    print("\n".join(tables(starts)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
