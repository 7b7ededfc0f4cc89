#!/usr/bin/env python3
"""Generates the sweep section of docs/CAPACITY.md from journal entries, or checks that it is current.

docs/measurements/sweeps.json names the journal entry of each deployment's sweep: one day each at 30, 100
and 300 nodes. For each figure the users' bench prints the median and the busiest node at each size, and
the exponent with which the busiest grows with the number of nodes; the page extrapolates it to the
target size.

usage: sweep_page.py [--check]
"""

import argparse
import json
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
ENTRIES = ROOT / "docs" / "measurements" / "sweeps.json"
BEGIN = "<!-- sweeps: begin -->"
END = "<!-- sweeps: end -->"
TARGET_NODES = 420
LARGEST_SWEEP = 300
# `name   median / busiest   median / busiest   median / busiest   exponent  value at zero nodes`
ROW = re.compile(r"^(?P<name>[a-z][^0-9]*?)\s+(?P<sizes>(?:[\d.]+ / [\d.]+\s+){3})(?P<power>-?[\d.]+)\s")
DAY = re.compile(r"^sweep-(\d+)\s+\S+\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)")


def load_entry(identity):
    """Loads the journal entry with this id."""
    (path,) = (ROOT / "journal").glob("*-%s.json" % identity)
    return json.loads(path.read_text())


def day_rows(entry):
    """Yields nodes, worth, served, refused, failed and the broken rules of each day."""
    broken = {day["name"]: day["rules"] for day in entry["days"]}
    for line in entry["digest"].splitlines():
        match = DAY.match(line)
        if match:
            nodes, _, worth, served, refused, failed = match.groups()
            yield nodes, worth, served, refused, failed, broken["sweep-" + nodes] or "none"


def figure_rows(entry):
    """Yields each figure's name, busiest node per size, exponent and value at the target size."""
    for line in entry["digest"].splitlines():
        match = ROW.match(line)
        if not match:
            continue
        busiest = [pair.split("/")[1].strip()
                   for pair in re.findall(r"[\d.]+ / [\d.]+", match["sizes"])]
        power = min(2.0, max(0.0, float(match["power"])))
        at_target = float(busiest[-1]) * (TARGET_NODES / LARGEST_SWEEP) ** power
        yield [match["name"].strip()] + busiest + [match["power"], "%.3g" % at_target]


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    return lines + ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]


def render():
    lines = [BEGIN, ""]
    for site, identity in json.loads(ENTRIES.read_text()).items():
        entry = load_entry(identity)
        lines += ["### %s (entry %s)" % (site, identity), ""]
        lines += table(["nodes", "worth", "served", "refused", "failed", "rules broken"],
                       day_rows(entry))
        lines += [""]
        lines += table(["busiest node", "30", "100", "300", "power", "at 420"], figure_rows(entry))
        lines += [""]
    return "\n".join(lines + [END])


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    page = PAGE.read_text()
    before, rest = page.split(BEGIN)
    after = rest.split(END)[1]
    updated = before + render() + after
    if arguments.check:
        if updated != page:
            sys.exit("docs/CAPACITY.md does not follow from the journal: run scripts/sweep_page.py")
        return
    PAGE.write_text(updated)


if __name__ == "__main__":
    main()
