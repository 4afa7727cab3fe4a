"""The fault soak with routes that go and come back, queues that move between pools, targets that
leave, and orders that targets carry out seconds late, also in their next life, beside its other
faults. Guards against jobs that go on without the definition of their queue, and against tasks that
run twice."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform-soak"))
from run import main  # noqa: E402

OPTIONS = ["--seed", "57", "--seconds", "45", "--routes", "--kept-orders", "--crash-then-cut",
           "--late-after-restart", "--pace", "1.5"]

if __name__ == "__main__":
    sys.argv[1:] = OPTIONS + sys.argv[1:]
    sys.exit(main())
