#!/usr/bin/env python3
"""Tells how long the nodes of a fleet take from their start until they serve.

Reads the logs of nodes (one or more files; plain lines, or those of a day on the users' bench with
`--log`) and prints two Markdown tables:

  steps   seconds from the start of the process to each step of `start_progress`: how many nodes reached
          it, the first, the middle, 95 of 100 and the last
  calls   what a node asked of the store in its first seconds, in the mean: calls, bytes answered, calls
          refused and calls that timed out, by call and topic

usage: start_times.py LOG... [--since SECOND] [--within SECONDS]

A node that was started several times counts once for each start. On a bench day `--since` leaves out
what was printed before a simulated second, such as the day's own start.
"""

import argparse
import collections
import json
import re
import sys

# A line of a node's log, with the simulated second and the node before it on the users' bench.
LOG_LINE = re.compile(r"(?:\s*(-?[\d.]+) \S+ )?(\{.*\})\s*$")
# `call:topic=calls/bytes sent/bytes answered`, and `/time outs` if there were any.
TRAFFIC = re.compile(r"([^=,]+)=(\d+)/(\d+)/(\d+)(?:/(\d+))?")
# Between two lines `store_traffic` of a node.
TRAFFIC_SECONDS = 5


def read_events(lines, since):
    """Yields the events of nodes; those without a second are always taken."""
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


class Starts:
    """Adds up the starts of all nodes."""

    def __init__(self, within):
        self.lines_wanted = max(1, round(within / TRAFFIC_SECONDS))
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
            # A node whose start lies before the lines that were read is none that starts.
            lines = self.traffic_lines.get(node, self.lines_wanted)
            self.traffic_lines[node] = lines + 1
            if lines < self.lines_wanted:
                self.add_traffic(event)

    def add_traffic(self, event):
        self.refused += int(event.get("refused", 0))
        for match in TRAFFIC.finditer(event["by_topic"]):
            row = self.calls[match[1]]
            for i, count in enumerate((match[2], match[4], match[5] or 0)):
                row[i] += int(count)


def part_of(values, part):
    """The value below which this part of the sorted values lies, the last one for all."""
    return values[min(len(values) - 1, int(len(values) * part))]


def tables(starts):
    yield "%d starts" % starts.started
    yield ""
    yield "| step | nodes | first s | middle | 95 of 100 | last |"
    yield "|---|---|---|---|---|---|"
    for step, values in sorted(starts.steps.items(), key=lambda row: min(row[1])):
        values = sorted(values)
        cells = [values[0], part_of(values, 0.5), part_of(values, 0.95), values[-1]]
        yield "| %s | %d | %s |" % (step, len(values), " | ".join("%.3f" % cell for cell in cells))
    yield ""
    seconds = starts.lines_wanted * TRAFFIC_SECONDS
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
    starts = Starts(options.within)
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
