"""Report of the journal of scored runs: value, prices and violated rules.

Run as ``python -m bench.rounds [JOURNAL] [--site NAME] [--plot FILE]``. JOURNAL is
a directory of JSON files, one per entry. The plot needs the extra ``report``.
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
    """Summary of one journal entry.

    Values and prices are means over the days that have a value; ``score`` is None if
    the entry has none, and ``failed_days`` counts the days with a violated rule.
    """

    started_at: str
    entry_id: str
    command: str
    site: str
    reason: str
    score: float | None
    day_count: int
    mean_value: float
    lowest_value: float
    price_share: float
    failed_days: int


def read_rounds(journal: Path) -> Iterator[Round]:
    """Yield the rounds in order of time, which is the order of their file names.

    An entry that cannot be parsed is skipped and named on stderr, and one without a
    day that has a value is skipped silently.
    """
    for path in sorted(journal.glob('*.json')):
        try:
            entry = _parse(json.loads(path.read_text()))
        except (ValueError, KeyError, TypeError) as error:
            print(
                f'skipped unreadable journal entry {path.name}: {error!r}',
                file=sys.stderr,
            )
            continue
        if entry is not None:
            yield entry


def _parse(entry: dict[str, Any]) -> Round | None:
    days = [day for day in entry['days'] or () if isinstance(day.get('G'), float)]
    if not days:
        return None
    values = [day['G'] for day in days]
    return Round(
        started_at=entry['at'][0],
        entry_id=entry['id'],
        command=entry['cmd'],
        site=entry['site'],
        reason=entry['why'],
        score=entry['score'],
        day_count=len(days),
        mean_value=sum(values) / len(values),
        lowest_value=min(values),
        price_share=sum(_price_share(day) for day in days) / len(days),
        failed_days=sum(bool(_violated_rules(day)) for day in days),
    )


def _price_share(day: dict[str, Any]) -> float:
    """Return the sum of the prices of a day, as a share of the amount owed."""
    return float(sum(share for _, _, share in day.get('prices') or ()))


def _violated_rules(day: dict[str, Any]) -> list[str]:
    return [name for name, count in (day.get('rules') or {}).items() if count]


def format_table(rounds: Iterable[Round]) -> Iterator[str]:
    """Yield the lines of the report as text, the heading first.

    ``verb`` is the command, ``worth`` the mean value, ``broken`` the number of failed
    days and ``why`` the reason.
    """
    yield (
        'time                  entry     verb      site               days'
        '  score  worth  lowest  broken  why'
    )
    for one in rounds:
        score = '     -' if one.score is None else f'{one.score:6.3f}'
        yield (
            f'{one.started_at}  {one.entry_id}  {one.command:8}  {one.site:18}'
            f' {one.day_count:4} {score} {one.mean_value:6.3f}  {one.lowest_value:6.3f}'
            f'  {one.failed_days:6}  {one.reason}'
        )


def draw_plot(rounds: Sequence[Round], path: Path) -> None:
    """Draw the values by round into a file, one panel per site.

    Raises ImportError if matplotlib is not installed.
    """
    pyplot = importlib.import_module('matplotlib.pyplot')
    sites = sorted({one.site for one in rounds})
    figure, panels = pyplot.subplots(
        len(sites), squeeze=False, figsize=(9, 3 * len(sites))
    )
    for panel, site in zip(panels[:, 0], sites, strict=True):
        site_rounds = [one for one in rounds if one.site == site]
        positions = range(len(site_rounds))
        panel.plot(
            positions,
            [one.mean_value for one in site_rounds],
            'o-',
            label='worth, mean',
        )
        panel.plot(
            positions,
            [one.lowest_value for one in site_rounds],
            's:',
            label='worth, lowest day',
        )
        panel.plot(
            positions, [one.price_share for one in site_rounds], '^--', label='prices'
        )
        panel.bar(
            positions,
            [one.failed_days for one in site_rounds],
            alpha=0.3,
            label='days broken',
        )
        panel.set_title(site)
        panel.set_xticks(
            positions, [one.entry_id for one in site_rounds], rotation=60, fontsize=6
        )
        panel.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    """Print the table, and draw the plot if ``--plot`` is given."""
    parser = argparse.ArgumentParser(prog='bench.rounds')
    parser.add_argument('journal', type=Path, nargs='?', default=Path('journal'))
    parser.add_argument('--site', default='')
    parser.add_argument('--plot', type=Path, default=None)
    options = parser.parse_args()
    rounds = [
        one for one in read_rounds(options.journal) if options.site in {'', one.site}
    ]
    print(*format_table(rounds), sep='\n')
    if options.plot is not None:
        draw_plot(rounds, options.plot)
    return 0


if __name__ == '__main__':
    sys.exit(main())
