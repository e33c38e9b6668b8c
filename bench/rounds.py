"""Report of the bench's journal: worth, prices and broken rules by round.

``python -m bench.rounds [JOURNAL] [--site NAME] [--plot FILE]``; the plot needs
the extra ``report``.
"""

import argparse
import importlib
import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Round:
    """Figures of one entry of the journal; worth is the mean over its days."""

    at: str
    entry: str
    command: str
    site: str
    why: str
    score: float | None
    days: int
    worth: float
    lowest: float
    prices: float
    broken: int


def read_rounds(journal: Path) -> Iterator[Round]:
    """Yield the rounds in order of time; an entry that cannot be read is named."""
    for path in sorted(journal.glob('*.json')):
        try:
            entry = _parse(json.loads(path.read_text()))
        except (ValueError, KeyError, TypeError) as error:
            print(f'{path.name}: {error!r}', file=sys.stderr)
            continue
        if entry is not None:
            yield entry


def _parse(entry: dict[str, Any]) -> Round | None:
    days = [day for day in entry['days'] or () if isinstance(day.get('G'), float)]
    if not days:
        return None
    worth = [day['G'] for day in days]
    return Round(
        at=entry['at'][0],
        entry=entry['id'],
        command=entry['cmd'],
        site=entry['site'],
        why=entry['why'],
        score=entry['score'],
        days=len(days),
        worth=sum(worth) / len(worth),
        lowest=min(worth),
        prices=sum(_prices(day) for day in days) / len(days),
        broken=sum(bool(_broken(day)) for day in days),
    )


def _prices(day: dict[str, Any]) -> float:
    """Return the sum of the prices of a day, as a share of what was owed."""
    return float(sum(share for _, _, share in day.get('prices') or ()))


def _broken(day: dict[str, Any]) -> list[str]:
    return [name for name, count in (day.get('rules') or {}).items() if count]


def table(rounds: Iterable[Round]) -> Iterator[str]:
    """Yield the report as text."""
    yield (
        'time                  entry     verb      site               days'
        '  score  worth  lowest  broken  why'
    )
    for one in rounds:
        score = '     -' if one.score is None else f'{one.score:6.3f}'
        yield (
            f'{one.at}  {one.entry}  {one.command:8}  {one.site:18} {one.days:4}'
            f' {score} {one.worth:6.3f}  {one.lowest:6.3f}  {one.broken:6}  {one.why}'
        )


def plot(rounds: Sequence[Round], path: Path) -> None:
    """Draw worth by round, one panel a site; raises ImportError."""
    pyplot = importlib.import_module('matplotlib.pyplot')
    sites = sorted({one.site for one in rounds})
    figure, panels = pyplot.subplots(
        len(sites), squeeze=False, figsize=(9, 3 * len(sites))
    )
    for panel, site in zip(panels[:, 0], sites, strict=True):
        own = [one for one in rounds if one.site == site]
        places = range(len(own))
        panel.plot(places, [one.worth for one in own], 'o-', label='worth, mean')
        panel.plot(places, [one.lowest for one in own], 's:', label='worth, lowest day')
        panel.plot(places, [one.prices for one in own], '^--', label='prices')
        panel.bar(places, [one.broken for one in own], alpha=0.3, label='days broken')
        panel.set_title(site)
        panel.set_xticks(places, [one.entry for one in own], rotation=60, fontsize=6)
        panel.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    """Print the table, and draw the plot if asked to."""
    parser = argparse.ArgumentParser(prog='bench.rounds')
    parser.add_argument('journal', type=Path, nargs='?', default=Path('journal'))
    parser.add_argument('--site', default='')
    parser.add_argument('--plot', type=Path, default=None)
    options = parser.parse_args()
    rounds = [
        one for one in read_rounds(options.journal) if options.site in {'', one.site}
    ]
    print(*table(rounds), sep='\n')
    if options.plot is not None:
        plot(rounds, options.plot)
    return 0


if __name__ == '__main__':
    sys.exit(main())
