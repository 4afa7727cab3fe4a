#!/usr/bin/env python3
"""Plays the same days and seeds with several checkouts of the project and prints which serves best.

Usage: compare_builds.py BENCH SITE FIRST OTHER... [--days A,B] [--seeds 1,2,3] [--jobs 3] [--why TEXT]

FIRST and OTHER are folders with a checkout each, already built; each OTHER is compared with FIRST.
Plays of one day and seed stand beside each other, so that all see the same load of the machine.
"""
import argparse
import concurrent.futures
import re
import statistics
import subprocess


def play(bench, site, checkout, day, seed, why):
    """@return the worth of one day, or None when its line was not found."""
    command = [bench, "run", site, day, "--vary", "--seed", str(seed), "--jobs", "1", "--why", why]
    printed = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False).stdout
    found = re.search(rf"^{re.escape(day)}\s+\S+\s+\S+\s+(-?[\d.]+)", printed, re.MULTILINE)
    broken = re.findall(r"BROKEN: [A-Z]+ \d+", printed)
    return float(found[1]) if found else None, broken


def print_gain(name, pairs):
    """Prints how much better than the first build the other one of @p pairs serves."""
    gains = [other - first for first, other in pairs]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    print(f"{name}: mean {statistics.mean(first for first, _ in pairs):.3f} "
          f"{statistics.mean(other for _, other in pairs):.3f}, "
          f"gain {statistics.mean(gains):+.3f}, spread {spread:.3f}, "
          f"won {sum(gain > 0 for gain in gains)} of {len(gains)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("bench", "site", "first"):
        parser.add_argument(name)
    parser.add_argument("others", nargs="+")
    parser.add_argument("--days", default="trouble-1,trouble-2,trouble-3")
    parser.add_argument("--seeds", default="11,12,13")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", default="builds compared on the same days and seeds")
    options = parser.parse_args()
    checkouts = [options.first, *options.others]
    days = [(day, seed) for day in options.days.split(",") for seed in options.seeds.split(",")]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = {
            (checkout, day, seed): pool.submit(
                play, options.bench, options.site, checkout, day, seed, options.why)
            for day, seed in days for checkout in checkouts}
    worths = {}
    for day, seed in days:
        results = [plays[checkout, day, seed].result() for checkout in checkouts]
        print(day, seed, *(f"{worth} {' '.join(broken)}" for worth, broken in results))
        worths[day, seed] = [worth for worth, _ in results]
    for position, name in enumerate(options.others, start=1):
        pairs = [(row[0], row[position]) for row in worths.values()
                 if row[0] is not None and row[position] is not None]
        if pairs:
            print_gain(name, pairs)


if __name__ == "__main__":
    main()
