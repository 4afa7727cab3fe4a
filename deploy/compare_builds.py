#!/usr/bin/env python3
"""Plays the same days and seeds with two checkouts of the project and prints which serves better.

Usage: compare_builds.py BENCH SITE FIRST SECOND [--days A,B] [--seeds 1,2,3] [--jobs 3] [--why TEXT]

FIRST and SECOND are folders with a checkout each, already built. Plays of a pair stand beside each
other, so that both see the same load of the machine.
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


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("bench", "site", "first", "second"):
        parser.add_argument(name)
    parser.add_argument("--days", default="trouble-1,trouble-2,trouble-3")
    parser.add_argument("--seeds", default="11,12,13")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", default="pair of two builds")
    options = parser.parse_args()
    pairs = [(day, seed) for day in options.days.split(",") for seed in options.seeds.split(",")]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = {
            (checkout, day, seed): pool.submit(
                play, options.bench, options.site, checkout, day, seed, options.why)
            for day, seed in pairs for checkout in (options.first, options.second)}
    differences = []
    for day, seed in pairs:
        (first, first_broken), (second, second_broken) = (
            plays[checkout, day, seed].result() for checkout in (options.first, options.second))
        print(day, seed, first, second, *first_broken, "|", *second_broken)
        if first is not None and second is not None:
            differences.append((first, second))
    gains = [second - first for first, second in differences]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    print(f"mean {statistics.mean(first for first, _ in differences):.3f} "
          f"{statistics.mean(second for _, second in differences):.3f}, "
          f"gain {statistics.mean(gains):+.3f}, spread {spread:.3f}, "
          f"won {sum(gain > 0 for gain in gains)} of {len(gains)}")


if __name__ == "__main__":
    main()
