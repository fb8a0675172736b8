"""``gorsefork lab``: the laboratory's programs, which measure and never serve."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.group()
def lab() -> None:
    """Measure this program at sizes that it is not run at. Needs requirements-lab.txt."""


@lab.group()
def scale() -> None:
    """The scale run: hundreds of hollow ingresses on this machine."""


@scale.command("run")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), default=None, help="Where the results go (Parquet).")
@click.option("--size", "sizes", type=int, multiple=True, help="Play these sizes instead of the file's.")
def run_(file: Path, out: Path | None, sizes: tuple[int, ...]) -> None:
    """Play the experiment in FILE (TOML), print its figures and keep them."""
    from gorsefork.lab.scale import results as kept
    from gorsefork.lab.scale.experiment import BadExperiment, read
    from gorsefork.lab.scale.report import table
    from gorsefork.lab.scale.run import run

    try:
        experiment = read(file.read_text(encoding="utf-8"))
        if sizes:
            given = experiment.model_dump()
            given["fleet"]["sizes"] = list(sizes)
            experiment = type(experiment).model_validate(given)
        kept.arrow()
        kept.histogram()
    except (BadExperiment, kept.Missing, ValueError) as error:
        raise click.ClickException(str(error)) from None
    results, stopped = run(experiment, show)
    click.echo(table(results.rows))
    path = out or Path("benchmarks/results") / f"{results.run_id}.parquet"
    kept.save(results.rows, path)
    click.echo(f"{len(results.rows)} figures in {path}", err=True)
    if stopped:
        raise click.ClickException(f"stopped {stopped}")


@scale.command("report")
@click.argument(
    "files", type=click.Path(exists=True, dir_okay=False, path_type=Path), nargs=-1, required=True
)
@click.option(
    "--plot", type=click.Path(path_type=Path), default=None, help="Draw charts into this file (PNG)."
)
def report_(files: tuple[Path, ...], plot: Path | None) -> None:
    """Print the figures of kept runs, a column a size, and draw them."""
    from gorsefork.lab.scale import results as kept
    from gorsefork.lab.scale.report import draw, table

    try:
        rows = kept.load(files)
        click.echo(table(rows))
        if plot is not None:
            draw(rows, plot)
    except kept.Missing as error:
        raise click.ClickException(str(error)) from None


def show(text: str) -> None:
    """One line that is written over on a terminal, a line each elsewhere."""
    if sys.stderr.isatty():
        click.echo(f"\r\x1b[K{text}", nl=False, err=True)
    else:
        click.echo(text, err=True)
