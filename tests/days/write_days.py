#!/usr/bin/env python3
"""Generates the fault scenarios (days) in deploy/days that the users' bench runs.

There is one day per kind of fault, and days that combine kinds. Each injects its faults, some of them
twice, into an otherwise fault-free day of the deployment on which it runs. The users' hunts read the
files from deploy/days and skip a day that a deployment does not support. Run this script after each
change and commit the generated files.
"""

import pathlib

DAYS = pathlib.Path(__file__).resolve().parents[2] / "deploy" / "days"

# Defects that days have revealed, as described in docs/FINDINGS.md and docs/incidents.
SHOWN = {
    "roll-term": "Requests were taken until the end of a planned stop and then cut off (LOST).",
    "roll-term-busy": "Requests were taken until the end of a planned stop and then cut off (LOST).",
    "taken-store-down": "Nobody ran a job that a caller's read had loaded before the configuration "
                        "was known (LOST).",
    "herd-kill-taken": "All items began anew after the loss of all nodes, beside the online requests "
                       "that came back: their progress was not kept.",
    "roll-term-store-down": "Late all day: batch filled the runners, and streams that broke late were "
                            "cut off when no place was free at once.",
    "late-power-twice": "Items were open at the end and nothing worked on them: reads of jobs brought "
                        "what other jobs had, and none came in time (LOST).",
    "late-changes": "Starting nodes answered by each version of the history while they read it "
                    "(CONFIG).",
    "core-cut": "A node that starts while it cannot reach the store waits for its configuration.",
}
NOTHING_SHOWN = "It has shown no fault so far."

# Name, planned operations, faults. Times are seconds from the start of traffic.
SINGLE = [
    ("burst", "", '{ at = 4, kind = "burst", x = 1.8, for_s = 4 }'),
    ("srv-crash", "", '{ at = 4, kind = "srv_crash", share = 0.25, for_s = 5 }'),
    ("srv-crash-dark", "", '{ at = 4, kind = "srv_crash", share = 0.25, for_s = 5, how = "dark" }'),
    ("srv-crash-gone", "", '{ at = 4, kind = "srv_crash", share = 0.2, how = "gone" }'),
    ("release", '{ at = 3, kind = "release", share = 0.6, gap_s = 1.0 }', ""),
    ("scale-out", '{ at = 3, kind = "scale_out", share = 0.4, gap_s = 2 }', ""),
    ("scale-in", '{ at = 3, kind = "scale_in", share = 0.25 }', ""),
    ("scale-in-spot", '{ at = 3, kind = "scale_in", share = 0.25, x = 1, how = "spot" }', ""),
    ("answer-lost", "", '{ at = 3, kind = "answer_lost", share = 0.6, x = 0.1, for_s = 10 }'),
    ("answer-lost-reset", "",
     '{ at = 3, kind = "answer_lost", share = 0.6, x = 0.1, for_s = 10, how = "reset" }'),
    ("garble", "", '{ at = 3, kind = "garble", share = 0.6, x = 0.06, for_s = 12 }'),
    ("garble-extra", "",
     '{ at = 3, kind = "garble", share = 0.6, x = 0.06, for_s = 12, how = "extra late" }'),
    ("garble-unframed", "",
     '{ at = 3, kind = "garble", share = 0.6, x = 0.06, for_s = 12, how = "unframed" }'),
    ("garble-early", "",
     '{ at = 3, kind = "garble", share = 0.6, x = 0.06, for_s = 12, how = "early" }'),
    ("node-kill", "", '{ at = 3, kind = "node_kill", share = 0.4, for_s = 3 }'),
    ("node-kill-power", "", '{ at = 3, kind = "node_kill", share = 0.3, for_s = 4, how = "power" }'),
    ("node-kill-leader", "",
     '{ at = 3, kind = "node_kill", on = "core", count = 1, for_s = 3, how = "leader race drain" }'),
    ("node-freeze", "", '{ at = 3, kind = "node_freeze", share = 0.4, for_s = 4 }'),
    ("node-slow", "", '{ at = 3, kind = "node_slow", share = 0.4, x = 8, for_s = 8 }'),
    ("roll-term", '{ at = 2, kind = "roll_term", share = 1.0, gap_s = 2.0 }', ""),
    ("roll-term-busy", '{ at = 2, kind = "roll_term", share = 1.0, gap_s = 1.5, how = "busy" }', ""),
    ("roll-term-remove",
     '{ at = 2, kind = "roll_term", share = 0.4, gap_s = 2.0, how = "remove" }', ""),
    ("add-nodes", '{ at = 3, kind = "add_nodes" }', ""),
    ("after-ack-kill", "", '{ at = 3, kind = "after_ack_kill", for_s = 3 }'),
    ("after-ack-kill-taken", "", '{ at = 3, kind = "after_ack_kill", for_s = 3, how = "taken" }'),
    ("after-ack-kill-gone", "", '{ at = 3, kind = "after_ack_kill", how = "taken gone" }'),
    ("core-cut", "", '{ at = 3, kind = "core_cut", count = 2, for_s = 6 }'),
    ("core-cut-reset", "", '{ at = 3, kind = "core_cut", count = 2, for_s = 6, how = "reset" }'),
    ("core-cut-one-way", "", '{ at = 3, kind = "core_cut", count = 2, for_s = 6, how = "one_way" }'),
    ("core-cut-all", "", '{ at = 3, kind = "core_cut", count = 2, for_s = 6, how = "all" }'),
    ("core-cut-leader", "",
     '{ at = 3, kind = "core_cut", count = 1, for_s = 6, how = "leader race" }'),
    ("lossy", "", '{ at = 3, kind = "lossy", x = 0.05, for_s = 8 }'),
    ("store-silent", "", '{ at = 3, kind = "platform_down", for_s = 5, how = "silent" }'),
    ("store-busy", "", '{ at = 3, kind = "platform_down", for_s = 5, how = "busy lapse" }'),
    ("store-reset", "", '{ at = 3, kind = "platform_down", for_s = 5, how = "reset lapse" }'),
    ("store-part-silent", "",
     '{ at = 3, kind = "platform_down", for_s = 6, how = "silent", share = 0.4 }'),
    ("store-part-busy", "",
     '{ at = 3, kind = "platform_down", for_s = 6, how = "busy", share = 0.4 }'),
    ("store-slow", "", '{ at = 3, kind = "platform_slow", x = 60, for_s = 8 }'),
    ("store-lost", "", '{ at = 3, kind = "platform_lost", x = 0.4, for_s = 10 }'),
    ("store-lost-late", "", '{ at = 3, kind = "platform_lost", x = 0.4, for_s = 10, how = "late" }'),
    ("store-compact", "", '{ at = 6, kind = "platform_compact", x = 3, how = "rebalance" }'),
    ("store-rewind", "", '{ at = 6, kind = "platform_compact", x = 3, how = "rewind" }'),
    ("store-compact-drain", "", '{ at = 6, kind = "platform_compact", x = 3, how = "drain" }'),
    ("config-changes",
     ", ".join('{ at = %d, kind = "config_change", how = "%s" }' % (3 + 3 * i, how)
               for i, how in enumerate(["route", "weights", "timeout", "quota", "topup", "idle"])),
     ""),
    ("big-config", '{ at = 4, kind = "big_config", count = 500 }', ""),
    ("give-up", "", '{ at = 3, kind = "give_up", share = 0.2, for_s = 15 }'),
    ("srv-slow", "", '{ at = 3, kind = "srv_slow", share = 0.25, x = 6, for_s = 10 }'),
] + [
    ("srv-grey-" + how.split()[0], "",
     '{ at = 3, kind = "srv_grey", share = 0.25, x = 0.4, for_s = 10, how = "%s" }' % how)
    for how in ["errors", "shed", "busy", "hang", "reset", "mute"]
] + [
    ("srv-cut", "", '{ at = 3, kind = "srv_cut", share = 0.25, for_s = 8 }'),
    ("srv-cut-some", "", '{ at = 3, kind = "srv_cut", share = 0.25, for_s = 8, how = "some" }'),
    ("reuse", "", '{ at = 3, kind = "replace_with_reuse", share = 0.25 }'),
    ("reuse-drain", "", '{ at = 3, kind = "replace_with_reuse", share = 0.25, how = "drain" }'),
    ("reuse-dark", "", '{ at = 3, kind = "replace_with_reuse", share = 0.25, how = "dark" }'),
    ("herd-kill", "", '{ at = 5, kind = "herd_kill", share = 0.7 }'),
    ("herd-kill-power", "", '{ at = 5, kind = "herd_kill", share = 0.7, how = "power", for_s = 3 }'),
    ("herd-kill-taken", "", '{ at = 5, kind = "herd_kill", how = "taken all", on = "core" }'),
    ("clock-step", "", '{ at = 3, kind = "clock_step", x = 2000, share = 0.5, for_s = 10 }'),
    ("clock-step-back", "",
     '{ at = 3, kind = "clock_step", x = 4000, share = 0.5, for_s = 10, how = "back" }'),
    ("hup", '{ at = 3, kind = "hup", share = 1.0, gap_s = 5 }', ""),
    ("reset-conns", "", '{ at = 3, kind = "reset_conns", share = 0.5, x = 0.5 }'),
    ("node-cut", "", '{ at = 3, kind = "node_cut", share = 0.3, for_s = 5 }'),
    ("node-cut-all", "", '{ at = 3, kind = "node_cut", share = 0.3, for_s = 5, how = "all" }'),
    ("node-cut-servers", "",
     '{ at = 3, kind = "node_cut", share = 0.3, for_s = 5, how = "servers" }'),
]

# Further variants.
MORE = [
    ("srv-crash-" + how.split()[0], "",
     '{ at = 4, kind = "srv_crash", share = 0.25, for_s = 5, how = "%s" }' % how)
    for how in ["domain", "joined", "rack", "across dark", "all"]
] + [
    ("core-cut-" + how, "", '{ at = 3, kind = "core_cut", count = 1, for_s = 6, how = "%s" }' % how)
    for how in ["behind", "split", "near", "oldest", "seeds", "both", "lure", "relieve", "refuse"]
] + [
    ("srv-cut-" + how, "", '{ at = 3, kind = "srv_cut", share = 0.25, for_s = 8, how = "%s" }' % how)
    for how in ["fronts", "one_way", "reset"]
] + [
    ("after-ack-kill-" + how, "", '{ at = 3, kind = "after_ack_kill", for_s = 3, how = "%s" }' % how)
    for how in ["kill", "timed"]
] + [
    ("scale-in-reclaim", "",
     '{ at = 3, kind = "scale_in", share = 0.25, x = 2.5, for_s = 6, how = "reclaim" }'),
    ("garble-rot", "", '{ at = 3, kind = "garble", share = 0.6, x = 0.06, for_s = 12, how = "rot" }'),
    ("srv-grey-slow", "",
     '{ at = 3, kind = "srv_grey", share = 0.25, x = 8, for_s = 10, how = "slow" }'),
    ("store-part-reset", "",
     '{ at = 3, kind = "platform_down", for_s = 6, how = "reset lapse", share = 0.4 }'),
    ("clock-step-ahead", "",
     '{ at = 3, kind = "clock_step", x = 4000, share = 0.5, for_s = 10, how = "ahead" }'),
    ("node-kill-meet", "",
     '{ at = 3, kind = "node_kill", on = "core", count = 1, for_s = 3, how = "meet drain" }'),
    ("node-kill-reader", "",
     '{ at = 3, kind = "node_kill", on = "core", count = 1, for_s = 3, how = "reader hard" }'),
]

# Kinds and variants from later versions of the bench documentation.
NEWER = [
    ("store-nodes-" + how.split()[0], "",
     '{ at = 3, kind = "platform_down", for_s = 7, how = "nodes %s", share = 0.35 }' % how)
    for how in ["busy", "many revoke", "reset", "silent meet"]
] + [
    ("store-nodes-leader", "",
     '{ at = 3, kind = "platform_down", for_s = 7, how = "nodes leader silent", count = 1 }, '
     '{ at = 12, kind = "platform_down", for_s = 5, how = "nodes leader busy revoke", count = 1 }'),
    ("store-compact-keyed-drain", "",
     '{ at = 2, kind = "platform_compact", x = 6, for_s = 10, how = "drain keyed" }'),
    ("replace-core", "",
     '{ at = 3, kind = "replace_core", how = "leader" }, { at = 12, kind = "replace_core", how = "oldest" }'),
    ("replace-core-planned", '{ at = 3, kind = "replace_core", how = "planned" }', ""),
    ("node-kill-race", "",
     '{ at = 3, kind = "node_kill", on = "core", count = 1, for_s = 3, how = "leader race meet" }'),
    ("core-cut-oldest-meet", "",
     '{ at = 3, kind = "core_cut", count = 1, for_s = 6, how = "oldest meet" }'),
    ("herd-kill-taken-thrice", "",
     ", ".join('{ at = %d, kind = "herd_kill", how = "taken all", on = "core" }' % at
               for at in (4, 11, 18))),
    ("srv-flap", "", '{ at = 3, kind = "srv_flap", share = 0.2, for_s = 12 }'),
    ("srv-lying-health", "", '{ at = 3, kind = "srv_lying_health", share = 0.2, for_s = 10 }'),
]

# Overload from all tenants, from a few, or in one zone, and requests that crash their runners.
# `@c0`, `@c2` and `@z0` are replaced by a deployment's first and third request class and its first zone.
TENANTS = ('{ at = 3, kind = "hot_tenant", x = 6.0, count = 1, for_s = 8 }, '
           '{ at = 4, kind = "hot_tenant", x = 5.0, count = 2, for_s = 8 }, '
           '{ at = 5, kind = "hot_tenant", x = 8.0, count = 3, for_s = 8 }')
ZONE = '{ at = 4, kind = "burst", zone = "@z0", x = 4.0, for_s = 8 }'
SLOW = '{ at = 3, kind = "srv_slow", share = 0.25, x = 3, for_s = 12 }'
HARD_LOAD = [
    ("deadly", "", '{ at = 5, kind = "poison", how = "deadly", class = "@c0", share = 0.03, for_s = 20 }'),
    ("tenants-flood", "", TENANTS),
    ("tenants-flood-kill", "", TENANTS + ', { at = 7, kind = "herd_kill", share = 0.5 }'),
    ("zone-burst", "", ZONE),
    ("zone-burst-slow", "", ZONE + ", " + SLOW),
    ("zone-burst-cut", "", ZONE + ', { at = 6, kind = "node_cut", share = 0.3, for_s = 4 }'),
    ("bursts-jobs", "",
     '{ at = 3, kind = "burst", x = 2.0, for_s = 3 }, '
     '{ at = 9, kind = "burst", x = 3.0, for_s = 3 }, '
     '{ at = 14, kind = "burst", x = 2.5, for_s = 3 }, '
     '{ at = 8, kind = "burst", class = "@c2", x = 6.0, for_s = 2 }'),
    ("bursts-store-down", "",
     '{ at = 4, kind = "burst", x = 2.5, for_s = 5 }, '
     '{ at = 5, kind = "platform_down", for_s = 5, how = "silent lapse" }'),
]

STORE_DOWN = '{ at = 8, kind = "platform_down", for_s = 5, how = "silent lapse" }'
HERD = '{ at = 9, kind = "herd_kill", share = 0.7 }'
ROLL = '{ at = 6, kind = "roll_term", share = 0.6, gap_s = 1.2, how = "busy" }'
RELEASE = '{ at = 6, kind = "release", share = 0.6, gap_s = 1.0 }'
CHANGE = '{ at = 7, kind = "config_change", how = "route" }'
PAIRS = [
    ("herd-kill-store-down", "", STORE_DOWN + ", " + HERD),
    ("taken-store-down", "",
     '{ at = 7, kind = "herd_kill", how = "taken all", on = "core" }, ' + STORE_DOWN),
    ("roll-term-store-down", ROLL, STORE_DOWN),
    ("roll-term-release", ROLL + ", " + RELEASE, ""),
    ("release-store-down", RELEASE + ", " + CHANGE, STORE_DOWN),
    ("herd-kill-release", RELEASE, HERD),
    ("freeze-compact", CHANGE,
     '{ at = 6, kind = "node_freeze", share = 0.4, for_s = 5 }, '
     '{ at = 8, kind = "platform_compact", x = 3, how = "rebalance" }'),
    ("cut-lost-late", CHANGE,
     '{ at = 6, kind = "core_cut", count = 2, for_s = 6 }, '
     '{ at = 6, kind = "platform_lost", x = 0.4, for_s = 8, how = "late" }'),
    ("grey-burst", "",
     '{ at = 6, kind = "srv_grey", share = 0.3, x = 0.5, for_s = 8, how = "hang" }, '
     '{ at = 7, kind = "burst", x = 1.6, for_s = 4 }'),
]

# Days that end with another power loss of all machines: name, closing fault, planned operations, faults.
FIRST_SEED = 4100
CLOSING_SEED = 4801  # late-power-twice has broken a rule with this seed.
POWER_OFF = 'closing = { kind = "power_off_all", down_s = 1.4, how = "all taken" }'
KILL_ALL = 'closing = { kind = "kill_all", down_s = 1.4 }'
CLOSING = [
    ("late-power", POWER_OFF, "", ""),
    ("late-power-twice", POWER_OFF, "",
     '{ at = 29, kind = "herd_kill", how = "taken all", for_s = 1.4 }'),
    ("late-power-slots", POWER_OFF, '{ at = 29, kind = "roll_term", share = 0.3, gap_s = 0.4 }',
     '{ at = 27, kind = "node_kill", share = 0.1 }'),
    ("late-power-store", POWER_OFF, "",
     '{ at = 33, kind = "platform_slow", x = 20.0, for_s = 8.0 }, '
     '{ at = 33, kind = "platform_down", how = "nodes busy", share = 0.35, for_s = 9.0 }'),
    ("late-changes", KILL_ALL,
     '{ at = 2, kind = "config_storm", for_s = 28, gap_s = 0.3 }, '
     '{ at = 8, kind = "big_config", count = 700 }', ""),
    ("changes-herd-kill", KILL_ALL,
     '{ at = 2, kind = "big_config", count = 1400 }, '
     '{ at = 3, kind = "config_storm", for_s = 13, gap_s = 0.4 }',
     '{ at = 16.5, kind = "after_ack_kill", for_s = 3 }, '
     '{ at = 17, kind = "herd_kill", share = 1.0, how = "power", for_s = 1.5 }'),
    ("changes-cuts", POWER_OFF,
     '{ at = 2, kind = "big_config", count = 700 }, '
     '{ at = 3, kind = "config_storm", for_s = 16, gap_s = 0.4 }',
     '{ at = 5, kind = "node_kill", on = "core", count = 1, for_s = 3, how = "meet race" }, '
     '{ at = 9, kind = "core_cut", count = 2, for_s = 5, how = "race" }, '
     '{ at = 14, kind = "platform_down", how = "nodes silent meet", share = 0.4, for_s = 6 }'),
    ("late-kill-twice", KILL_ALL, "",
     '{ at = 30, kind = "herd_kill", share = 1.0 }'),
]

TEMPLATE = """# {shown}
# Written by tests/days/write_days.py.
[[day]]
name = "own-{name}"
slot = "trouble"
seed = {seed}
{closing}plan = [
{plan}]
faults = [
{faults}]
"""


def write(name, plan, faults, seed, closing=""):
    def lines(text):
        return "  " + text + ",\n" if text else ""

    text = TEMPLATE.format(shown=SHOWN.get(name, NOTHING_SHOWN), name=name, seed=seed,
                           closing=closing + "\n" if closing else "",
                           plan=lines(plan), faults=lines(faults))
    (DAYS / (name + ".toml")).write_text(text)


def main():
    for index, (name, plan, faults) in enumerate(SINGLE + PAIRS + MORE + NEWER + HARD_LOAD):
        write(name, plan, faults, FIRST_SEED + index)
    for name, closing, plan, faults in CLOSING:
        write(name, plan, faults, CLOSING_SEED, closing)


if __name__ == "__main__":
    main()
