"""The fault soak with urgent jobs that preempt others, targets that crash soon after a stop, and
targets that crash behind a cut. Guards against jobs that are shown as failed though their runs
were stopped or lapsed, and were not on targets that crashed."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform-soak"))
from run import main  # noqa: E402

# No change of the coordinator, after which a job whose runs were stopped is shown as queued again.
OPTIONS = ["--seed", "60", "--seconds", "20", "--reborn", "--preempting", "--spare-tasks",
           "--faults", "crash,cut_off,reborn,orders,reconfigure,hang_up", "--pace", "1.5"]


if __name__ == "__main__":
    sys.argv[1:] = OPTIONS + sys.argv[1:]
    sys.exit(main())
