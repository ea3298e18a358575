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


def _load_level_policy(
    file: Path, against: Path | None, as_json: bool, invalid_exit_status: int = 2
) -> tuple[LevelPolicy, list[str]]:
    loaded = load_file(file, against, as_json, invalid_exit_status)
    policy = loaded.compiled.level_policy
    if policy is None:
        exit_with_error(f"{file}: the file has no levels")
    return policy, signal_names(loaded.compiler.platform.names.workloads)


@app.command()
def check(file: FileArgument, against: ConfigOption = None, as_json: JsonOption = False) -> None:
    """Check the whole file and print its levels. Status 1 where the file can't be used."""
    policy, _ = _load_level_policy(file, against, as_json, invalid_exit_status=1)
    levels = [
        {
            "level": level.name,
            "enter": str(level.enter),
            "leave": str(level.leave),
            "stay_s": level.stay / 1000.0,
            "ramp_s": level.ramp / 1000.0,
        }
        for level in policy.levels
    ]
    if as_json:
        print(json.dumps({"good": True, "levels": levels}))
        return
    for entry in levels:
        print(f"{entry['level']}: stays {entry['stay_s']:g}s at least, comes back over {entry['ramp_s']:g}s")
        print(f"  in:  {entry['enter']}\n  out: {entry['leave']}")


@app.command(name="replay")
def replay_series(
    file: FileArgument,
    series: Annotated[Path, typer.Argument(help="Text file with rows of t,signal,…")],
    seed: Annotated[int, typer.Option(help="Seed of the random delay after which this front acts.")] = 1,
    plot: Annotated[Path | None, typer.Option(help="Write a plot to this file, PNG or SVG.")] = None,
    against: ConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Replay a series of signal values; print the level changes and the time spent in each level."""
    policy, names = _load_level_policy(file, against, as_json)
    try:
        rows = parse_series(series.read_text(), names)
    except OSError as error:
        exit_with_error(f"{series}: {error.strerror}")
    except (SeriesError, UnicodeDecodeError) as error:
        exit_with_error(f"{series}: {error}")
    result = replay(policy, rows, seed)
    changes: list[dict[str, Any]] = [
        {
            "t": time_ms / 1000.0,
            "before": policy.level_name(change.before),
            "after": policy.level_name(change.after),
            "why": change.reason,
            "values": change.values,
        }
        for time_ms, change in result.changes
    ]
    if plot is not None:
        _plot(plot, series.name, policy, rows, result, seed)
    if as_json:
        print(json.dumps({"changes": changes, "seconds_in": result.seconds_by_level}))
        return
    for entry in changes:
        signals = " ".join(
            f"{name}={value:g}" for name, value in entry["values"].items() if value is not None
        )
        print(f"{entry['t']:9.2f}s  {entry['before']} to {entry['after']}: {entry['why']}; {signals}")
    print("in " + ", ".join(f"{name} {seconds:.1f}s" for name, seconds in result.seconds_by_level.items()))


def _plot(
    path: Path, name: str, policy: LevelPolicy, rows: list[Row], result: ReplayResult, seed: int
) -> None:
    try:
        import matplotlib
    except ModuleNotFoundError:
        exit_with_error("--plot: matplotlib is not installed; requirements-lab.txt names it")
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (signal_axes, level_axes) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 5))
    times = [row.at / 1000.0 for row in rows]
    for signal in rows[0].values:
        signal_axes.plot(times, [row.values[signal] for row in rows], label=signal, linewidth=0.9)
    signal_axes.legend(loc="upper right", fontsize=8)
    signal_axes.set_ylabel("signals")
    level_axes.step(times, result.levels, where="post", color="black")
    level_axes.set_yticks(
        range(len(policy.levels) + 1), [policy.level_name(number) for number in range(len(policy.levels) + 1)]
    )
    share_axes = level_axes.twinx()
    share_axes.fill_between(times, result.shares, alpha=0.25)
    share_axes.set_ylim(0.0, 1.0)
    share_axes.set_ylabel("largest share shed")
    level_axes.set_xlabel(f"s; {name}, seed {seed}")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


@app.command()
def explain(
    file: FileArgument,
    level: Annotated[str, typer.Option(help="Name of the current level.")],
    signal: Annotated[
        list[str], typer.Option(help="A signal's value, such as link=1.3; signals not given are unknown.")
    ],
    stayed: Annotated[float, typer.Option(help="Seconds in the level so far.")] = 10.0,
    against: ConfigOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print what would have to change to leave a level, up or down. Status 1 where it would change now."""
    policy, names = _load_level_policy(file, against, as_json)
    number = policy.level_number(level)
    if number is None:
        levels = ", ".join(policy.level_name(each) for each in range(len(policy.levels) + 1))
        exit_with_error(f"--level: {level!r} is not a level; known are {levels}")
    values: dict[str, float | None] = {}
    for signal_value in signal:
        name, _, value = signal_value.partition("=")
        try:
            values[name] = float(value)
        except ValueError:
            exit_with_error(f"--signal: a value such as link=1.3 was expected, not {signal_value!r}")
        if name not in names:
            exit_with_error(f"--signal: {name!r} is not a signal; known are {', '.join(names)}")
    state_machine = LevelStateMachine(policy, Random(0), number)
    state_machine.since_change_ms = 1000.0 * stayed
    lines = state_machine.explain(values)
    if as_json:
        print(json.dumps(lines))
    else:
        print("\n".join(lines))
    raise typer.Exit(1 if any(line.endswith(": now") for line in lines) else 0)
