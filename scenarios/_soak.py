"""Runs one scenario with many seeds and collects what failed."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from scenarios._language import Scenario
from scenarios._runner import Check, run


@dataclass(frozen=True)
class Completed:
    """A run that reached its end; ``failed`` are the checks it missed."""

    seed: int
    failed: tuple[Check, ...]


@dataclass(frozen=True)
class Raised:
    """A run that an exception ended."""

    seed: int
    error: Exception


Outcome = Completed | Raised


@dataclass
class Summary:
    """Failures of one scenario by measure, with the seeds."""

    scenario: str
    seeds: int = 0
    failures: defaultdict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )

    @property
    def passed(self) -> bool:
        """Return whether every seed met every bound."""
        return not self.failures

    def add(self, outcome: Outcome) -> None:
        """Count a run."""
        self.seeds += 1
        match outcome:
            case Completed(seed=seed, failed=failed):
                for check in failed:
                    self.failures[check.name].append(seed)
            case Raised(seed=seed, error=error):
                self.failures[f'raised {type(error).__name__}'].append(seed)

    def as_row(self) -> dict[str, object]:
        """Return the summary for a line of JSON."""
        return {
            'scenario': self.scenario,
            'seeds': self.seeds,
            'failures': dict(self.failures),
        }


def soak(
    name: str,
    scenario: Callable[[], Scenario],
    seeds: Iterable[int],
    report: Callable[[Outcome], None],
) -> Summary:
    """Run a scenario with each seed; a run that raises does not end the soak."""
    summary = Summary(name)
    for seed in seeds:
        outcome = _run(scenario(), seed)
        report(outcome)
        summary.add(outcome)
    return summary


def _run(scenario: Scenario, seed: int) -> Outcome:
    try:
        _, checks = run(scenario, seed=seed)
    except Exception as error:
        return Raised(seed, error)
    return Completed(seed, tuple(one for one in checks if not one.passed))
