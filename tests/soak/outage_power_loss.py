"""Soak test that ends with two power losses in a row during an outage of the store.

It equals the power-loss soak but for links of 5 Mbit/s. Nodes start while the store rejects calls,
hangs or is slow, and are killed again before or while they read their state. The invariant is the
same: each accepted item is listed in the end.
"""

import time

from power_loss import PowerLossSoak
from soak import run_seeds

# 5 Mbit/s from each node to the store.
SLOW_LINK_BYTES_PER_SECOND = 5e6 / 8
# Fewer jobs than with faster links, so that a job times out only if it makes no progress.
MAX_JOBS = 20
OUTAGES = {"busy": {"outage": "busy"}, "silent": {"outage": "silent"}, "slow": {"delay_ms": 200}}


class OutagePowerLossSoak(PowerLossSoak):
    """One soak run for one seed."""

    link_bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
    max_jobs = MAX_JOBS

    def inject_final_power_loss(self):
        """Loses power twice during a store outage that ends some time after the second loss."""
        self.heal_all_faults()
        kind = self.random.choice(sorted(OUTAGES))
        self.log("store outage over the final power losses: %s" % kind)
        self.platform.set_faults(self.platform.store, **OUTAGES[kind])
        time.sleep(self.random.choice([0.0, 0.5, 2.0]))
        self.lose_power()
        time.sleep(self.random.choice([0.0, 0.3, 1.0, 4.0]))
        self.lose_power()
        time.sleep(self.random.choice([0.0, 1.0, 4.0]))
        self.platform.set_faults(self.platform.store, outage="", delay_ms=0)


if __name__ == "__main__":
    run_seeds(OutagePowerLossSoak, "outage_power_loss_seeds.txt", __doc__)
