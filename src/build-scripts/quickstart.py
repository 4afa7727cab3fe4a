"""A site of three availability zones: one request and one batch job, with their answers."""

from harness import Cluster


def show(title, result):
    print(f"\n== {title}\n{result.stdout}{result.stderr}", end="", flush=True)
    if result.returncode != 0:
        raise SystemExit(result.returncode)


with Cluster(zones=3, entries=1, targets=2) as cluster:
    entry = ["--entry", cluster.entry("entry-a1")]
    red = [*entry, "--key", "red-key"]
    show("entries", cluster.tool(*entry, "--key", "operator-key-of-the-tests", "entries"))
    show("a price check", cluster.tool(*red, "request", "urgent", "--body",
                                       '{"work_ms": 5, "price": "seal 19 mm"}'))
    show("a dispatch batch", cluster.tool(*red, "job", "submit", "batch", "--tasks", "6",
                                          "--command", '{"run_ms": 200}', "then", "job", "wait"))
