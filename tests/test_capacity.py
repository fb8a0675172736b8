"""The capacity page: it agrees with the kept results, and the program behind it finds what is wrong."""

from __future__ import annotations

from pathlib import Path

import msgspec
import numpy as np
import pytest

from benchmarks.capacity.figures import Figure, Figures, Slope, UnknownFigure
from benchmarks.capacity.fits import TooFewSizes, fit
from benchmarks.capacity.imports import import_file
from benchmarks.capacity.page import PAGE, differences
from benchmarks.capacity.results import BadResults, Measured, Result, Run, Size, read_results, write_results
from benchmarks.capacity.shown import filled, with_unit
from benchmarks.capacity.tables import role_table, series_rows
from benchmarks.capacity.target import target_row
from benchmarks.capacity.texts import BadText, Line, Role, Series

RUN = Run("20261202-050000-some", "abc1234", "a machine", "a program")
SIZES = (20, 60, 120, 240)


def line_through(
    a: float, b: float, sizes: tuple[int, ...] = SIZES, run: Run = RUN, note: str = ""
) -> list[Result]:
    return [
        run.result(Measured("thing", "cost", Size(ingresses=size), a + b * size, "us", note=note))
        for size in sizes
    ]


def slope(**changes: object) -> Slope:
    return msgspec.structs.replace(Slope("cost", "thing", "cost", "ingresses", 620), **changes)


# The page.


def test_page_and_kept_results_agree() -> None:
    assert differences() == []


def test_figure_changed_by_hand_is_found() -> None:
    page = PAGE.read_text(encoding="utf-8")
    assert "1,238" in page
    found = differences(page.replace("1,238", "12", 1))
    assert found and "12" in found[0]


def test_table_taken_out_is_found() -> None:
    page = PAGE.read_text(encoding="utf-8").replace("<!-- table faults -->", "")
    assert "the page has no table faults" in differences(page)


def test_run_that_is_not_kept_is_found() -> None:
    page = PAGE.read_text(encoding="utf-8") + "\nMeasured in 20200101-000000-other.\n"
    assert any("20200101-000000-other, which is not kept" in line for line in differences(page))


def test_results_taken_away_are_found(tmp_path: Path) -> None:
    assert differences(folder=tmp_path)


# The rows.


def test_verdict_is_by_what_was_measured_at_the_size() -> None:
    figures = Figures([slope()], line_through(0.0, 1.0, (*SIZES, 620)))
    line = Line("asked", "mechanism", parts=("cost",), most=700.0)
    assert target_row(line, figures)[4] == "holds"
    assert target_row(msgspec.structs.replace(line, most=600.0), figures)[4] == "short by 20 us (1.03 times)"
    partial = target_row(msgspec.structs.replace(line, lacks="sockets"), figures)[4]
    assert partial == "not known: 620 us of 700 us at the most is taken by what is counted here; sockets"


def test_verdict_is_by_the_upper_end_where_nothing_was_measured_at_the_size() -> None:
    results = line_through(0.0, 1.0)
    results += [
        msgspec.structs.replace(each, value=each.value + 2.0 * (-1) ** n) for n, each in enumerate(results)
    ]
    figure = Figures([slope()], results)["cost"]
    prediction = figure.predicted(620)
    assert prediction is not None
    between = (prediction.value + prediction.high) / 2
    row = target_row(Line("asked", "m", parts=("cost",), most=between), Figures([slope()], results))
    assert row[1] == "-" and row[4].startswith("short by")


def test_row_without_figure_or_verdict_is_refused() -> None:
    figures = Figures([slope()], [])
    with pytest.raises(BadText):
        target_row(Line("asked", "m", measured="well enough", verdict="looks good"), figures)
    with pytest.raises(BadText):
        target_row(Line("asked", "m", parts=("cost",), most=1.0), figures)


def test_role_with_an_empty_field_is_refused() -> None:
    fields = dict.fromkeys(Role.__struct_fields__, "not known: a run would tell")
    assert "not known" in role_table(Role(**fields), Figures([], []))
    with pytest.raises(BadText, match="descriptors"):
        role_table(Role(**{**fields, "descriptors": " "}), Figures([], []))


def test_each_figure_names_its_run_and_arithmetic_is_marked() -> None:
    measured = Figures([slope()], line_through(0.0, 1.0, (*SIZES, 620)))
    assert filled("it takes {cost}", measured) == "it takes 620 us [r1]"
    assert filled("{cost@120}", measured) == "120 us [r1]"
    reckoned = Figures([slope()], line_through(0.0, 1.0, (620,), note="arithmetic: a guess"))
    assert filled("{cost}", reckoned) == "620 us [r1, arithmetic]"


def test_figure_without_a_result_is_told() -> None:
    with pytest.raises(UnknownFigure):
        filled("{cost}", Figures([slope()], []))
    with pytest.raises(UnknownFigure):
        filled("{other}", Figures([slope()], line_through(0.0, 1.0)))


def test_units() -> None:
    assert [
        with_unit(value, unit) for value, unit in ((3100, "B"), (44e6, "B/s"), (1500, "us"), (18000, "us/s"))
    ] == [
        "3.1 KB",
        "44 MB/s",
        "1.5 ms",
        "1.8% of a core",
    ]


# The fits.


def test_fit_finds_a_line_and_its_error() -> None:
    found = fit("linear", SIZES, [3.0 + 2.0 * size for size in SIZES])
    assert (found.a, found.b) == pytest.approx((3.0, 2.0)) and found.b_error == pytest.approx(0.0, abs=1e-9)
    power = fit("power", SIZES, [3.0 * size**1.5 for size in SIZES])
    assert power.predict(620).value == pytest.approx(3.0 * 620**1.5)


def test_interval_holds_what_it_says() -> None:
    """95 of 100 further measurements: of 1,000 between 930 and 970."""
    rng = np.random.default_rng(5)
    inside = 0
    for _ in range(1000):
        noise = rng.normal(0.0, 10.0, len(SIZES) + 1)
        found = fit("linear", SIZES, [5.0 + 2.0 * size + n for size, n in zip(SIZES, noise, strict=False)])
        prediction = found.predict(620)
        inside += prediction.low <= 5.0 + 2.0 * 620 + noise[-1] <= prediction.high
    assert 930 <= inside <= 970


@pytest.mark.parametrize("sizes", [(20, 60, 240), (20, 60, 120, 180)])
def test_too_few_sizes_give_no_slope(sizes: tuple[int, ...]) -> None:
    with pytest.raises(TooFewSizes):
        fit("linear", sizes, sizes)
    assert Figure(slope(), line_through(0.0, 1.0, sizes)).fit is None


def test_fit_does_not_see_the_size_that_checks_it() -> None:
    odd = RUN.result(Measured("thing", "cost", Size(ingresses=620), 1e6, "us"))
    figure = Figure(slope(held_out=620.0), [*line_through(0.0, 1.0), odd])
    prediction = figure.predicted(620)
    assert prediction is not None and prediction.value == pytest.approx(620.0)
    assert figure.measured(620) == 1e6


def test_figure_is_of_the_latest_run_of_each_size_on_the_latest_commit() -> None:
    old = line_through(0.0, 1.0, (*SIZES, 480))
    new = msgspec.structs.replace(RUN, run_id="20261203-050000-some", commit="def5678")
    later = msgspec.structs.replace(new, run_id="scale-20261204T050000Z-1")
    results = [*old, *line_through(0.0, 2.0, SIZES, new), *line_through(0.0, 3.0, (240,), later)]
    figure = Figure(slope(), results)
    assert [figure.measured(size) for size in SIZES] == [40.0, 120.0, 240.0, 720.0]
    assert figure.measured(480) is None
    assert figure.runs == [new.run_id, later.run_id]
    figures = Figures([slope()], results)
    assert figures.labels == {RUN.run_id: "r1", new.run_id: "r2", later.run_id: "r3"}
    assert figures["cost"].runs == ["r2", "r3"]


# The kept results.


def test_results_are_kept_whole(tmp_path: Path) -> None:
    results = line_through(1.0, 2.0)
    paths = write_results(results, tmp_path)
    assert [path.name for path in paths] == [f"{RUN.run_id}.parquet"] and read_results(paths) == results


def test_file_that_is_no_result_is_named(tmp_path: Path) -> None:
    (tmp_path / "torn.parquet").write_bytes(b"PAR1")
    with pytest.raises(BadResults, match=r"torn\.parquet"):
        read_results([tmp_path / "torn.parquet"])


def test_lines_of_json_are_brought_in(tmp_path: Path) -> None:
    file = tmp_path / "spread.jsonl"
    file.write_text(
        '{"run_id": "20261202-060000-spread", "commit": "abc1234", "machine": "m", "program": "spread"}\n'
        '{"subject": "spread", "metric": "in force", "size_ingresses": 620, "value": 3.5, "unit": "s"}\n'
    )
    [found] = import_file(file)
    assert (found.run_id, found.size_ingresses, found.size_tenants, found.value) == (
        "20261202-060000-spread",
        620,
        0,
        3.5,
    )
    file.write_text(file.read_text() + '{"subject": "spread", "metric": "x", "value": "much", "unit": "s"}\n')
    with pytest.raises(BadResults, match="line 3"):
        import_file(file)


def test_lines_of_added_latency_are_brought_in(tmp_path: Path) -> None:
    line = {"tree": "/somewhere/new", "backends": 5300, "ingresses": 620, "way": "ingress", "list_changes": 6}
    line |= {
        "requests": 2580,
        "failed": "3 x 503, 1 x 0",
        "p50_ms": 9.0,
        "p99_ms": 20.0,
        "worst_ms": 30.0,
        "added_p50_ms": 1.0,
    }
    line |= {"added_p99_ms": 2.5, "stall_ms": 12.0, "cpu_us": 900.0, "rss_mb": 41.0}
    file = tmp_path / "added.jsonl"
    file.write_bytes(msgspec.json.encode(line) + b"\n")
    with pytest.raises(BadResults, match="TREE=COMMIT"):
        import_file(file)
    found = {each.metric: each for each in import_file(file, {"new": "abc1234"})}
    p99 = found["added_p99_ms"]
    assert (p99.subject, p99.size_backends, p99.value, p99.unit) == (
        "added latency: ingress",
        5300,
        2.5,
        "ms",
    )
    assert p99.commit == "abc1234" and found["failed"].value == 4.0


def test_runs_of_one_experiment_are_shown_by_size() -> None:
    runs = [
        Run("all-to-all-20261202T050000Z-32", "abc1234", "m", "scale"),
        Run("all-to-all-20261202T060000Z-32", "abc1234", "m", "scale"),
    ]
    results = [
        each
        for run, size in zip(runs, (40, 80), strict=True)
        for each in (
            run.result(Measured("hollow", "cpu rest", Size(ingresses=size), size / 10, "% of a core")),
            run.result(Measured("hollow", "left out", Size(ingresses=size), 1.0, "")),
        )
    ]
    series = Series("scale", "ingresses", ("cpu *",))
    assert series_rows(series, Figures([], results), results) == [
        ("hollow: cpu rest", "all-to-all", "40: 4% of a core [r1]; 80: 8% of a core [r2]")
    ]


def test_lines_of_configuration_spread_are_brought_in(tmp_path: Path) -> None:
    file = tmp_path / "spread.jsonl"
    lines = [
        {"what": "at rest, a second", "bytes": 279.3, "messages": 0.8, "cpu_ms": 0.015},
        {"what": "one change", "bytes": 3110, "messages": 7.9, "cpu_ms": 0.24, "last": 0.19},
    ]
    common = {"commit": "abc1234", "seed": 1, "members": 620}
    file.write_bytes(b"".join(msgspec.json.encode({**common, **line}) + b"\n" for line in lines))
    found = {each.metric: with_unit(each.value, each.unit) for each in import_file(file)}
    assert found == {
        "at rest: bytes": "279 B/s",
        "at rest: messages": "0.8 a second",
        "at rest: cpu": "0.0015% of a core",
        "one change: bytes": "3.11 KB",
        "one change: messages": "7.9",
        "one change: cpu": "240 us",
        "one change: last": "190 ms",
    }
    assert {each.size_ingresses for each in import_file(file)} == {620}
