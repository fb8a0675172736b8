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


@lab.group()
def faults() -> None:
    """Fault tests: real ingresses on loopback, whose system calls, clocks and peers fail by a seed."""


@faults.command("run")
@click.option("--seeds", default="1-5", help="One seed, or a range such as 1-50.")
@click.option("--kinds", default="", help="Only these kinds of fault, with commas between; else by the seed.")
@click.option("--seconds", default=20.0, help="How long each play lasts.")
@click.option(
    "--out", type=click.Path(path_type=Path), default=None, help="Where the results go (JSON lines)."
)
def faults_run(seeds: str, kinds: str, seconds: float, out: Path | None) -> None:
    """Play seeds one after another. Exit code 1 if a rule was broken."""
    from gorsefork.lab.faults import report

    results = []
    for seed in report.seed_range(seeds):
        show(f"seed {seed}")
        results.append(report.play_seed(seed, report.kinds_named(kinds), seconds))
        if out is not None:
            report.append(results[-1], out)
    click.echo("\n" + report.summary(results))
    broken = [each for each in results if each.broken]
    for each in broken:
        click.echo("\n".join(each.lines))
    if broken:
        raise click.ClickException(f"rules broken at seeds {', '.join(str(each.seed) for each in broken)}")


@faults.command("replay")
@click.argument("seed", type=int)
@click.option("--kinds", default="", help="Only these kinds of fault.")
@click.option("--seconds", default=20.0, help="How long the play lasts.")
@click.option("--shrink", is_flag=True, help="Leave out kinds for as long as a rule is still broken.")
def faults_replay(seed: int, kinds: str, seconds: float, shrink: bool) -> None:
    """Play one seed again and print the timelines of what it broke."""
    from gorsefork.lab.faults import report

    result = report.play_seed(seed, report.kinds_named(kinds), seconds)
    if shrink and result.broken:
        result = report.shrunk(result, seconds, show)
    click.echo("\n".join((report.summary([result]), *result.lines)))


@faults.command("report")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def faults_report(file: Path) -> None:
    """Print the results that ``run --out`` kept."""
    from gorsefork.lab.faults import report

    results = report.load(file)
    click.echo(report.summary(results))
    click.echo("\n".join(line for each in results for line in each.lines))


def show(text: str) -> None:
    """One line that is written over on a terminal, a line each elsewhere."""
    if sys.stderr.isatty():
        click.echo(f"\r\x1b[K{text}", nl=False, err=True)
    else:
        click.echo(text, err=True)
