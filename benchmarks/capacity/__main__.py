"""The command line: ``python -m benchmarks.capacity``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from benchmarks.capacity.results import Result, begin_run, write_results


def measure(given: argparse.Namespace) -> int:
    from benchmarks.capacity.measurements import MEASUREMENTS
    from benchmarks.capacity.measurements import measure as measure_one

    for name in given.names or MEASUREMENTS:
        run = begin_run(name, "benchmarks.capacity")
        paths = write_results([run.result(measured) for measured in measure_one(name, given.most)])
        print(f"{paths[0].name}: kept")
    return 0


def bring_in(given: argparse.Namespace) -> int:
    from benchmarks.capacity.imports import import_file

    found: list[Result] = []
    commits = dict(each.split("=", 1) for each in given.tree)
    for file in given.files:
        found += import_file(Path(file), commits)
    for path in write_results(found):
        print(f"{path.name}: kept")
    return 0


def report(given: argparse.Namespace) -> int:
    from benchmarks.capacity.page import PAGE, rewrite

    PAGE.write_text(rewrite(PAGE.read_text(encoding="utf-8")), encoding="utf-8")
    return 0


def check(given: argparse.Namespace) -> int:
    from benchmarks.capacity.page import differences

    found = differences()
    for line in found:
        print(line, file=sys.stderr)
    return 1 if found else 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__)
    parts = parser.add_subparsers(required=True)
    some = parts.add_parser("measure", help="run the cheap measurements, and keep their results")
    some.add_argument("names", nargs="*", metavar="NAME")
    some.add_argument("--most", type=int, default=0, help="leave out sizes beyond this one")
    some.set_defaults(do=measure)
    kept = parts.add_parser("import", help="keep the results of another program's run")
    kept.add_argument("files", nargs="+", metavar="FILE")
    kept.add_argument(
        "--tree",
        action="append",
        default=[],
        metavar="TREE=COMMIT",
        help="which commit a tree is that a file names by its folder, or by a commit that was rebased",
    )
    kept.set_defaults(do=bring_in)
    parts.add_parser("report", help="write the page's tables anew").set_defaults(do=report)
    parts.add_parser("check", help="whether page and kept results agree").set_defaults(do=check)
    given = parser.parse_args()
    done: int = given.do(given)
    return done


if __name__ == "__main__":
    sys.exit(main())
