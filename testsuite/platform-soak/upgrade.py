"""By hand: entries of an earlier build are replaced one by one under load, and then back.

VERBENALEVER_OLD_BUILD names the build directory of the earlier release. Not a case of the CI, which
has no earlier build. The checks are those of the soak.
"""

import os
import sys
import time

from run import Soak, parse_options


class Upgrade(Soak):
    def __init__(self, options, old, new):
        super().__init__(options, build=old)
        self.old, self.new = old, new
        self.builds = {name: old for name in self.names}
        self.fleet.work_by_job = LongWork()

    def build_of(self, name):
        return self.builds[name]

    def replace_all(self, build):
        """Replace each entry; the coordinator is killed when half of them are replaced."""
        for number, name in enumerate(self.names):
            if number == len(self.names) // 2:
                coordinator = self.entries.coordinator()
                self.log(f"coordinator {coordinator} of {self.builds[coordinator]}")
                self.kill(coordinator, 0.3)
                time.sleep(2)
            self.builds[name] = build
            self.terminate(name, 0.2)
            time.sleep(1.5)

    def play(self):
        time.sleep(3)
        for build in (self.new, self.old):
            self.log(f"replacing all entries by {build}")
            self.replace_all(build)
            time.sleep(3)
            terms = list(self.entries.lines("loaded"))
            self.log(f"{len(terms)} terms, the last {terms[-1]}")
        for event in ("record_unreadable", "placements_unreadable", "progress_unreadable"):
            for line in self.entries.lines(event):
                self.problem(f"{line}")


class LongWork(dict):
    """Work times of jobs: some runs last longer than the replacement of an entry."""

    def __setitem__(self, job, seconds):
        super().__setitem__(job, 6.0 if int(job, 16) % 10 == 0 else seconds)


def main():
    old, new = os.environ["VERBENALEVER_OLD_BUILD"], os.environ["VERBENALEVER_BUILD"]
    upgrade = Upgrade(parse_options(), old, new)
    try:
        upgrade.run()
        upgrade.entries.keep_folder = False
    finally:
        upgrade.entries.close()


if __name__ == "__main__":
    sys.exit(main())
