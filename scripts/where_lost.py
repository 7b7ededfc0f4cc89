#!/usr/bin/env python3
"""Breaks down where a bench day lost score (its `worth`), and why.

Reads the report of one day played on the users' bench (its `--report` file) and, if given, the nodes'
logs of that day (its output with `--log all`). Prints Markdown tables:

  parts    weight x missing share of each part, and each price; they add up to 1 - worth
  windows  late, refused and failed requests by second of arrival
  reasons  the cause of each request that missed its deadline and of each interrupted batch run, from
           the nodes' logs; by zone and window, with ids for `stoatctl explain-logs`

Only REPORT_FIELDS and LOG_LINE depend on the output format of the bench.
"""

import argparse
import collections
import json
import re
import sys

# Field names of the bench's report.
REPORT_FIELDS = {
    "worth": "G", "parts": "parts", "prices": "prices", "kinds": "classes", "windows": "windows",
    "zones": "zones", "name": "name", "asked": "n", "in_time": "in_aim", "late": "late",
    "refused": "refused", "failed": "failed", "credit": "worth",
}
# A log line of a node as printed by the bench: simulated second, node name, log entry.
LOG_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")

WINDOW_SECONDS = 2
# Share of a request's delay from which the wait for a slot counts as the cause of its lateness.
WAIT_SHARE = 0.5
IDS_SHOWN = 3
UNEXPLAINED = "not explained by the logs"


def field(record, name):
    return record[REPORT_FIELDS[name]]


def loss_by_part(report):
    """Returns rows of (name, loss), which add up to 1 - worth except for rounding."""
    rows = [("part: " + name, weight * (1 - served)) for name, weight, served in field(report, "parts")]
    rows += [("price: " + price[0], price[2]) for price in field(report, "prices")]
    rest = 1 - field(report, "worth") - sum(loss for _, loss in rows)
    rows.append((UNEXPLAINED, rest))
    return sorted((row for row in rows if abs(row[1]) >= 0.0001), key=lambda row: -row[1])


def read_log(lines):
    """Yields (second, node, event) for each log line of a node."""
    for line in lines:
        match = LOG_LINE.match(line)
        if match is None:
            continue
        try:
            yield float(match[1]), match[2], json.loads(match[3])
        except json.JSONDecodeError:
            continue


class Request:
    """Collects the log events of one online request."""

    def __init__(self):
        self.results = []
        self.first_sent_ms = None
        self.end = None
        self.refusal = None

    def reason(self):
        """Returns the first cause that explains the late or missing response."""
        if self.refusal is not None:
            return "refused: " + self.refusal
        if self.end["outcome"] == "caller_gone":
            return "given up by its caller"
        if "unreachable" in self.results:
            return "runner unreachable"
        if "broken" in self.results:
            return "runner lost, silent or cut off"
        if "not_run" in self.results:
            return "runner full"
        delay = self.end.get("answer_ms", "none")
        if delay != "none" and self.first_sent_ms is not None:
            if self.first_sent_ms >= WAIT_SHARE * float(delay):
                return "no slot free"
            return "late at the runner (its queue, prompt or step time)"
        return UNEXPLAINED

    def is_late(self):
        return self.end is not None and self.end.get("in_time") == "no"


class DayLog:
    """Collects all requests and batch runs from the log of a day."""

    def __init__(self, events):
        self.requests = collections.defaultdict(Request)
        self.zones = {}
        self.batch = collections.defaultdict(list)
        for second, node, event in events:
            self.add_event(second, node, event)

    def add_event(self, second, node, event):
        name = event.get("name")
        if name == "node_started":
            self.zones[node] = event.get("zone", "?")
        if name == "item_attempt_failed" and event["result"] != "completed":
            self.batch[("batch run " + event["result"], self.zone(node), window(second))].append(event["item"])
        if "request" not in event:
            return
        request = self.requests[event["request"]]
        if name in ("request_sent", "request_sent_again") and request.first_sent_ms is None:
            request.first_sent_ms = float(event["age_ms"])
        elif name == "attempt_failed":
            request.results.append(event["result"])
        elif name == "request_unanswered":
            request.refusal = event["reason"]
        elif name in ("request_served", "request_ended"):
            request.end = event
            request.second = second - float(event["duration_ms"]) / 1000
            request.node = node

    def zone(self, node):
        return self.zones.get(node, "?")

    def late_by_reason(self):
        """Returns the ids of late requests by (reason, zone, window)."""
        rows = collections.defaultdict(list)
        for identity, request in self.requests.items():
            if request.is_late():
                rows[(request.reason(), self.zone(request.node), window(request.second))].append(identity)
        return rows


def window(second):
    return int(second // WINDOW_SECONDS) * WINDOW_SECONDS


def table(head, rows):
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |")
    print()


def print_report(report):
    print("## Loss by part: worth %.3f\n" % field(report, "worth"))
    table(("part or price", "loss"), [(name, "%.4f" % loss) for name, loss in loss_by_part(report)])
    for title in ("kinds", "zones", "windows"):
        print("## By %s\n" % title)
        table((title, "asked", "late", "refused", "failed", "credit"),
              [[field(row, name) for name in ("name", "asked", "late", "refused", "failed", "credit")]
               for row in field(report, title)])


def print_reasons(rows, most):
    totals = collections.Counter()
    for (reason, _, _), ids in rows.items():
        totals[reason] += len(ids)
    total = sum(totals.values())
    print("### Together: %d\n" % total)
    table(("reason", "count", "part"),
          [(reason, count, "%.3f" % (count / total)) for reason, count in totals.most_common()])
    print("### The largest by zone and window\n")
    largest = sorted(rows.items(), key=lambda row: -len(row[1]))[:most]
    table(("reason", "zone", "from second", "count", "ids"),
          [(*key, len(ids), " ".join(ids[:IDS_SHOWN])) for key, ids in largest])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--report", required=True, help="the day's report, JSON")
    parser.add_argument("--log", help="the bench's output with the logs of all nodes")
    parser.add_argument("--most", type=int, default=20, help="rows in the table of the largest losses (20)")
    options = parser.parse_args()
    with open(options.report, encoding="utf-8") as file:
        print_report(json.load(file))
    if options.log is None:
        return 0
    with open(options.log, encoding="utf-8", errors="replace") as file:
        day = DayLog(read_log(file))
    late = day.late_by_reason()
    if late:
        print("## Online requests that were not in time, as the nodes saw them\n")
        print_reasons(late, options.most)
    if day.batch:
        print("## Batch runs that were cut short\n")
        print_reasons(day.batch, options.most)
    return 0


if __name__ == "__main__":
    sys.exit(main())
