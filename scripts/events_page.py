#!/usr/bin/env python3
"""Regenerates the table of docs/EVENTS.md from the catalogue in src/base/event_catalogue.cc."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "EVENTS.md"
HEADER = "src/base/event_log.h"
SOURCE = "src/base/event_catalogue.cc"
ENTRY = re.compile(
    r'EventEntry\{\s*Event::(k\w+),\s*"(\w+)",\s*EventLevel::k(\w+),\s*((?:"[^"]*"\s*)+)\}'
)


def main():
    numbers = dict(re.findall(r"(k\w+) = (\d+),", (ROOT / HEADER).read_text()))
    rows = []
    for name, label, level, texts in ENTRY.findall((ROOT / SOURCE).read_text()):
        meaning = "".join(re.findall(r'"([^"]*)"', texts))
        rows.append((int(numbers[name]), label, level.lower(), meaning))
    lines = [line for line in PAGE.read_text().splitlines() if not line.startswith("| 1")]
    lines += [f"| {number} | {label} | {level} | {meaning} |" for number, label, level, meaning in sorted(rows)]
    PAGE.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
