"""``gorsefork``, or ``python -m gorsefork``: alone it is the ingress, with a subcommand it is a tool."""

from __future__ import annotations

import sys

import click


@click.group(
    context_settings={"help_option_names": ["-h", "--help"]},
    invoke_without_command=True,
    epilog="With no subcommand this starts the ingress that PROXY_CONFIG describes.",
)
@click.pass_context
def cli(context: click.Context) -> None:
    """An ingress that keeps every customer inside its quota, and its tools."""
    if context.invoked_subcommand is None:
        from gorsefork.life.start import main as serve

        serve()


def load() -> None:
    from gorsefork.cli.config import config
    from gorsefork.cli.configuration import configuration
    from gorsefork.cli.fleet import fleet
    from gorsefork.cli.lab import lab
    from gorsefork.cli.plans import plans
    from gorsefork.cli.usage import usage

    for command in (config, configuration, fleet, lab, plans, usage):
        cli.add_command(command)


def main() -> None:
    if len(sys.argv) > 1:
        load()
    cli(prog_name="gorsefork")
