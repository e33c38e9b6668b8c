"""Runs a scenario with many seeds and collects the failures."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from scenarios._language import Scenario
from scenarios._runner import Check, run


@dataclass(frozen=True)
class Completed:
    """The run reached its end; ``failed`` are the checks that did not pass."""

    seed: int
    failed: tuple[Check, ...]


@dataclass(frozen=True)
class Raised:
    """An exception ended the run."""

    seed: int
    error: Exception


Outcome = Completed | Raised


@dataclass
class Summary:
    """Seeds that failed, by measure or by exception."""

    scenario: str
    seeds: int = 0
    failures: defaultdict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )

    @property
    def passed(self) -> bool:
        """Return whether all seeds passed all checks."""
        return not self.failures

    def add(self, outcome: Outcome) -> None:
        """Add the result of one run."""
        self.seeds += 1
        match outcome:
            case Completed(seed=seed, failed=failed):
                for check in failed:
                    self.failures[check.name].append(seed)
            case Raised(seed=seed, error=error):
                self.failures[f'raised {type(error).__name__}'].append(seed)

    def as_row(self) -> dict[str, object]:
        """Return the summary as an object for JSON."""
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
    """Run a scenario with each seed, passing each result to ``report``.

    ``scenario`` builds a new one for each run. An exception in a run counts as
    a failure of its seed and does not end the soak.
    """
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
