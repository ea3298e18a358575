"""The command `cometseam soak`: runs real fronts under seeded faults and checks the rules of the service."""

import json
from pathlib import Path
from typing import Annotated, Any

import anyio
import anyio.to_process
import typer

from cometseam.soak import Outcome, SoakTerms, run_seed

SAMPLE = Path(__file__).parents[2] / "deploy" / "sample.json"
MAX_SHOWN_VIOLATIONS = 5  # violations of a seed that are printed


def soak(
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    count: Annotated[int, typer.Option(min=1, help="Number of consecutive seeds.")] = 1,
    beside: Annotated[int, typer.Option(min=1, help="Number of seeds that run in parallel.")] = 1,
    seconds: Annotated[float, typer.Option(min=1.0, help="Duration of the faults of each seed.")] = 12.0,
    fronts: Annotated[int, typer.Option(min=1, help="Number of front processes.")] = 3,
    config: Annotated[Path, typer.Option(help="A front's configuration; its settings are used.")] = SAMPLE,
    out: Annotated[Path, typer.Option(help="Folder for timelines and logs.")] = Path("soak-out"),
) -> None:
    """Run real fronts with simulated endpoints under seeded faults; check all rules on the history.

    Uses loopback only. Status 1 where a rule was violated; prints the command that replays each failing seed.
    """
    front_config = json.loads(config.read_text())
    terms = SoakTerms(seconds=seconds, fronts=fronts)
    outcomes: list[Outcome] = []

    async def run_all() -> None:
        seeds = iter(range(seed, seed + count))

        async def worker() -> None:
            for number in seeds:
                arguments = (number, terms, front_config, out / str(number))
                outcome = await anyio.to_process.run_sync(_run, *arguments, cancellable=True)
                outcomes.append(outcome)
                _print(outcome, seconds, fronts)

        async with anyio.create_task_group() as tasks:
            for _ in range(min(beside, count)):
                tasks.start_soon(worker)

    anyio.run(run_all)
    failed = sum(bool(outcome.violations) for outcome in outcomes)
    print(f"{count - failed} seeds passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


def _run(seed: int, terms: SoakTerms, config: dict[str, Any], folder: Path) -> Outcome:
    """Run one seed; in its own process, so that seeds don't delay each other's simulated endpoints."""
    return anyio.run(run_seed, seed, terms, config, folder)


def _print(outcome: Outcome, seconds: float, fronts: int) -> None:
    faults = " ".join(f"{kind}={times}" for kind, times in sorted(outcome.acted.items()))
    code_names = enumerate(("served", "shed", "failed"), 1)
    codes = " ".join(f"{name}={outcome.codes[code]}" for code, name in code_names)
    lag = f"own lag {outcome.lag * 1000.0:.0f} ms"
    verdict = f"{len(outcome.violations)} violations" if outcome.violations else "passed"
    print(f"seed {outcome.seed}: {verdict}; {codes}; {lag}; {faults}", flush=True)
    for violation in outcome.violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"  {violation.rule}: {violation.what}")
    if outcome.violations:
        print(f"  timeline: {outcome.timeline}")
        options = f"--seed {outcome.seed} --seconds {seconds:g} --fronts {fronts}"
        print(f"  replay: cometseam soak {options}", flush=True)
