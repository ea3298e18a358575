"""`cometseam levels`: check, replay and explain the levels of an operator's file."""

import json
from pathlib import Path
from random import Random
from typing import Annotated, Any

import typer

from cometseam.cli.loading import ConfigOption, FileArgument, JsonOption, exit_with_error, load_file
from cometseam.levels import LevelPolicy, LevelStateMachine
from cometseam.levels.replay import ReplayResult, Row, SeriesError, parse_series, replay
from cometseam.levels.signals import signal_names

app = typer.Typer(help="Levels of reduced service.", no_args_is_help=True)


def _scheme(
    file: Path, against: Path | None, as_json: bool, refused_is: int = 2
) -> tuple[LevelPolicy, list[str]]:
    loaded = load_file(file, against, as_json, refused_is)
    scheme = loaded.compiled.level_policy
    if scheme is None:
        exit_with_error(f"{file}: it sets no levels")
    return scheme, signal_names(loaded.compiler.platform.names.workloads)


@app.command()
def check(file: FileArgument, against: ConfigOption = None, as_json: JsonOption = False) -> None:
    """Check the levels with all of the file, and print them. Status 1 where the file may not be loaded."""
    scheme, _ = _scheme(file, against, as_json, refused_is=1)
    told = [
        {
            "level": level.name,
            "enter": str(level.enter),
            "leave": str(level.leave),
            "stay_s": level.stay / 1000.0,
            "ramp_s": level.ramp / 1000.0,
        }
        for level in scheme.levels
    ]
    if as_json:
        print(json.dumps({"good": True, "levels": told}))
        return
    for each in told:
        print(f"{each['level']}: stays {each['stay_s']:g}s at least, comes back over {each['ramp_s']:g}s")
        print(f"  in:  {each['enter']}\n  out: {each['leave']}")


@app.command(name="replay")
def replay_series(
    file: FileArgument,
    series: Annotated[Path, typer.Argument(help="Rows of t,signal,… as text.")],
    seed: Annotated[int, typer.Option(help="Draws how much later than others this front acts.")] = 1,
    plot: Annotated[Path | None, typer.Option(help="Write a plot there, as PNG or SVG.")] = None,
    against: ConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Tell which changes of level a recorded or written series of signals makes, and the time in each."""
    scheme, names = _scheme(file, against, as_json)
    try:
        rows = parse_series(series.read_text(), names)
    except OSError as error:
        exit_with_error(f"{series}: {error.strerror}")
    except (SeriesError, UnicodeDecodeError) as error:
        exit_with_error(f"{series}: {error}")
    done = replay(scheme, rows, seed)
    changes: list[dict[str, Any]] = [
        {
            "t": at / 1000.0,
            "before": scheme.level_name(change.before),
            "after": scheme.level_name(change.after),
            "why": change.reason,
            "values": change.values,
        }
        for at, change in done.changes
    ]
    if plot is not None:
        _plot(plot, series.name, scheme, rows, done, seed)
    if as_json:
        print(json.dumps({"changes": changes, "seconds_in": done.seconds_by_level}))
        return
    for each in changes:
        told = " ".join(f"{name}={value:g}" for name, value in each["values"].items() if value is not None)
        print(f"{each['t']:9.2f}s  {each['before']} to {each['after']}: {each['why']}; {told}")
    print("in " + ", ".join(f"{name} {time:.1f}s" for name, time in done.seconds_by_level.items()))


def _plot(path: Path, name: str, scheme: LevelPolicy, rows: list[Row], done: ReplayResult, seed: int) -> None:
    try:
        import matplotlib
    except ModuleNotFoundError:
        exit_with_error("--plot: matplotlib is not installed; requirements-lab.txt names it")
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (above, below) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 5))
    times = [row.at / 1000.0 for row in rows]
    for signal in rows[0].values:
        above.plot(times, [row.values[signal] for row in rows], label=signal, linewidth=0.9)
    above.legend(loc="upper right", fontsize=8)
    above.set_ylabel("signals")
    below.step(times, done.levels, where="post", color="black")
    below.set_yticks(
        range(len(scheme.levels) + 1), [scheme.level_name(n) for n in range(len(scheme.levels) + 1)]
    )
    shares = below.twinx()
    shares.fill_between(times, done.shares, alpha=0.25)
    shares.set_ylim(0.0, 1.0)
    shares.set_ylabel("largest share shed")
    below.set_xlabel(f"s; {name}, seed {seed}")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


@app.command()
def explain(
    file: FileArgument,
    level: Annotated[str, typer.Option(help="The present level, by name.")],
    signal: Annotated[list[str], typer.Option(help="A signal's value, as link=1.3; else not known.")],
    stayed: Annotated[float, typer.Option(help="Seconds in the level so far.")] = 10.0,
    against: ConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Tell what would have to change to leave a level, up or down. Status 1 where nothing keeps it there."""
    scheme, names = _scheme(file, against, as_json)
    number = scheme.level_number(level)
    if number is None:
        levels = ", ".join(scheme.level_name(each) for each in range(len(scheme.levels) + 1))
        exit_with_error(f"--level: {level!r} is no level; they are {levels}")
    values: dict[str, float | None] = {}
    for each in signal:
        name, _, value = each.partition("=")
        try:
            values[name] = float(value)
        except ValueError:
            exit_with_error(f"--signal: a value was expected, as link=1.3, not {each!r}")
        if name not in names:
            exit_with_error(f"--signal: {name!r} is no signal; known are {', '.join(names)}")
    machine = LevelStateMachine(scheme, Random(0), number)
    machine.since_change_ms = 1000.0 * stayed
    told = machine.explain(values)
    if as_json:
        print(json.dumps(told))
    else:
        print("\n".join(told))
    raise typer.Exit(1 if any(line.endswith(": now") for line in told) else 0)
