"""``python -m gorsefork``: one real ingress; with a subcommand, one of its tools."""

import sys


def main() -> None:
    """What the ``gorsefork`` command runs. The ingress itself loads nothing of the command line."""
    if len(sys.argv) > 1:
        from gorsefork.cli.main import main as run
    else:
        from gorsefork.life.first_imports import load_trio

        load_trio()
        from gorsefork.life.start import main as run
    run()


if __name__ == "__main__":
    main()
