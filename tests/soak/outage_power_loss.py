"""A soak in which all machines lose power twice in a row at the end, while the store fails them.

Everything else is as in the soak of losses of power, but for links of 5 Mbit/s. So nodes begin
while the store refuses, hangs or is slow, and are lost again before they have read anything or in
the midst of it. The same is promised: each accepted item is listed in the end.
"""

import time

from power_loss import PowerLossSoak
from soak import play_seeds

# 5 Mbit/s, of each node to the store.
SLOW_LINK_BYTES_PER_SECOND = 5e6 / 8
# Fewer jobs than with wider links: those are to be given up only if nothing works on them.
MOST_JOBS = 20
OUTAGES = {"busy": {"outage": "busy"}, "silent": {"outage": "silent"}, "slow": {"delay_ms": 200}}


class OutagePowerLossSoak(PowerLossSoak):
    """One run of a seed."""

    link_bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
    most_jobs = MOST_JOBS

    def end_with_a_loss(self):
        """The store fails before the first loss, and serves again some time after the second."""
        self.end_calm()
        kind = self.random.choice(sorted(OUTAGES))
        self.note("to the end the store is %s" % kind)
        self.platform.faults(self.platform.store, **OUTAGES[kind])
        time.sleep(self.random.choice([0.0, 0.5, 2.0]))
        self.lose_power()
        time.sleep(self.random.choice([0.0, 0.3, 1.0, 4.0]))
        self.lose_power()
        time.sleep(self.random.choice([0.0, 1.0, 4.0]))
        self.platform.faults(self.platform.store, outage="", delay_ms=0)


if __name__ == "__main__":
    play_seeds(OutagePowerLossSoak, "outage_power_loss_seeds.txt", __doc__)
