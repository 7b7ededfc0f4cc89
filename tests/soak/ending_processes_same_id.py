"""The soak of ending_processes, with runners that also start again under their id within milliseconds.

Guards against an answer that counts as whole because the next start of its runner, which has the same
id, answers the probe after its end.
"""

from ending_processes import EndingProcessesSoak
from soak import Soak, run_seeds


class SameIdSoak(EndingProcessesSoak):
    """One soak run for one seed."""

    def start_runner_again(self, name):
        Soak.start_runner_again(self, name)


if __name__ == "__main__":
    run_seeds(SameIdSoak, "ending_processes_same_id_seeds.txt", __doc__)
