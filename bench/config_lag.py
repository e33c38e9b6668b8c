"""Time for which hosts were behind the newest configuration, from their log lines.

Run as ``python -m bench.config_lag LOG [--limit SECONDS]``. LOG holds the lines of all
hosts, each as ``SECONDS HOST JSON``, and optionally the troubles of the run, each as
``FROM s to UNTIL s NAME HOST, HOST and N more``. The first host that has a version
stands for its acknowledgement, so a version that no host has is not seen.

A host is calm while no trouble names it, or may name it, and it reads the store without
failed calls, from ``CALM_SECONDS`` before.
"""

import argparse
import json
import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any, Final, NamedTuple

# A host counts as calm this long after the last trouble of its own.
CALM_SECONDS: Final = 5.0
# Half of the time in which a change must be in force.
DEFAULT_LIMIT_SECONDS: Final = 1.5
_LINE: Final = re.compile(r'\s*(-?\d+\.\d+) (\S+) (\{"time".*\})$')
_TROUBLE: Final = re.compile(r'\s*(-?\d+\.\d+) s to\s+(-?\d+\.\d+) s\s+(\w+)(.*)$')
_MORE: Final = re.compile(r' and \d+ more$')


@dataclass(frozen=True, slots=True)
class Trouble:
    """A trouble of a run; ``has_all_names`` is false if it does not name all hosts."""

    begin: float
    end: float
    names: str
    has_all_names: bool

    def may_hit(self, host: str, begin: float, end: float) -> bool:
        """Return whether it may have hit a host so that it was not calm in a time."""
        if self.begin > end or self.end + CALM_SECONDS < begin:
            return False
        return not self.has_all_names or f' {host},' in f' {self.names},'


class Version(NamedTuple):
    """A version, since when it is in force, and the one that it replaced."""

    at: float
    number: int
    previous: int | None


@dataclass(slots=True)
class HostLog:
    """Versions of a host, its starts, and the times of its failed calls."""

    versions: list[Version] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    failures: list[float] = field(default_factory=list)
    last_at: float = 0

    def add(self, at: float, line: dict[str, Any]) -> None:
        """Add a log line."""
        self.last_at = at
        match line:
            case {'part': 'routes', 'kind': 'version', 'version': int() as version}:
                self.versions.append(Version(at, version, line.get('previous')))
            case {'part': 'lifecycle', 'kind': 'process'}:
                self.starts.append(at)
            case {'part': 'reading', 'kind': 'store', 'fault': str()}:
                self.failures.append(at)

    def periods(self) -> Iterator[tuple[Version, float]]:
        """Yield the versions whose end is known, each with its end.

        A process that starts has none, and lines may be left out of the log.
        """
        last = Version(self.last_at, 0, None)
        for version, following in pairwise((*self.versions, last)):
            is_next = following is last or following.previous == version.number
            if is_next and not any(
                version.at < at <= following.at for at in self.starts
            ):
                yield version, following.at

    def is_disturbed(self, begin: float, end: float) -> bool:
        """Return whether it started, stopped or could not read the store."""
        times = (*self.starts, *self.failures)
        return any(begin - CALM_SECONDS <= at <= end for at in times)


@dataclass(frozen=True, slots=True)
class Lag:
    """A time for which a host was behind the newest version that others had."""

    seconds: float
    host: str
    version: int
    begin: float
    end: float
    is_calm: bool


def read_log(
    lines: Iterable[str],
) -> tuple[dict[str, HostLog], tuple[Trouble, ...]]:
    """Return what the hosts wrote, by name, and the troubles of the run."""
    logs_by_host: dict[str, HostLog] = defaultdict(HostLog)
    troubles: list[Trouble] = []
    for text in lines:
        written = _LINE.match(text)
        if written:
            try:
                line = json.loads(written[3])
            except ValueError:
                continue
            logs_by_host[written[2]].add(float(written[1]), line)
            continue
        listed = _TROUBLE.match(text)
        if listed and not listed[3].startswith('config_'):
            names = re.sub(r'^ \([^)]*\)', '', listed[4]).strip()
            is_whole = bool(names) and not _MORE.search(names)
            trouble = Trouble(float(listed[1]), float(listed[2]), names, is_whole)
            troubles.append(trouble)
    return dict(logs_by_host), tuple(troubles)


def find_lags(
    logs_by_host: dict[str, HostLog], troubles: tuple[Trouble, ...]
) -> Iterator[Lag]:
    """Yield the time for which each host was behind in each of its versions."""
    first_at: dict[int, float] = {}
    for log in logs_by_host.values():
        for one in log.versions:
            first_at[one.number] = min(one.at, first_at.get(one.number, one.at))
    for host, log in logs_by_host.items():
        for version, end in log.periods():
            later = (at for number, at in first_at.items() if number > version.number)
            begin = max(min(later, default=end), version.at)
            if begin >= end:
                continue
            is_calm = not log.is_disturbed(begin, end) and not any(
                one.may_hit(host, begin, end) for one in troubles
            )
            yield Lag(end - begin, host, version.number, begin, end, is_calm)


def main() -> None:
    """Print the longest times, and those of calm hosts above the limit."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('log', type=Path)
    parser.add_argument('--limit', type=float, default=DEFAULT_LIMIT_SECONDS)
    options = parser.parse_args()
    with options.log.open(errors='replace') as lines:
        logs_by_host, troubles = read_log(lines)
    lags = sorted(find_lags(logs_by_host, troubles), key=lambda lag: -lag.seconds)
    calm = [lag for lag in lags if lag.is_calm]
    summary = {
        'hosts': len(logs_by_host),
        'versions': len(
            {one.number for log in logs_by_host.values() for one in log.versions}
        ),
        'longest_s': round(lags[0].seconds, 2) if lags else 0,
        'longest_calm_s': round(calm[0].seconds, 2) if calm else 0,
        'over_limit': sum(lag.seconds > options.limit for lag in lags),
        'calm_over_limit': sum(lag.seconds > options.limit for lag in calm),
    }
    print(json.dumps(summary))
    for lag in calm[:12]:
        if lag.seconds > options.limit:
            print(json.dumps(_row(lag)))


def _row(lag: Lag) -> dict[str, object]:
    return {
        'host': lag.host,
        'behind_s': round(lag.seconds, 2),
        'version': lag.version,
        'from': round(lag.begin, 2),
        'until': round(lag.end, 2),
    }


if __name__ == '__main__':
    main()
