"""Checks of what the relays write to their logs."""

import json
from collections import defaultdict
from collections.abc import Iterator
from typing import Any, Final

from soak._findings import CONFIG_SECONDS, Findings, Stability, now
from soak._relays import Relay

# Relays write their lines every 0.1 s.
_WRITE_SECONDS: Final = 0.3


class LogCheck:
    """Follows the logs of the relays, and the versions that the store accepted."""

    def __init__(self, findings: Findings, store_stability: Stability) -> None:
        """Start before the first version."""
        self._findings = findings
        self._store_stability = store_stability
        self._accepted: list[tuple[float, int]] = []
        self._read_bytes: dict[str, int] = defaultdict(int)
        self._versions: dict[str, int] = {}
        self._reported: set[tuple[str, int]] = set()

    def accept(self, version: int) -> None:
        """Note that the store has accepted a version."""
        self._accepted.append((now(), version))

    def check(self, relay: Relay) -> None:
        """Report exceptions, and a version that is not in force in time."""
        for line in self._new_lines(relay):
            match line:
                case {'kind': 'process', 'text': 'lifecycle: Process started.'}:
                    self._versions.pop(relay.name, None)
                case {'kind': 'version', 'version': int() as version}:
                    self._versions[relay.name] = version
                case {'kind': 'failure'}:
                    self._findings.report_violation('LOG', f'{relay.name}: {line}')
                case {'kind': 'lagging'}:
                    self._findings.count('lagging hosts')
        if relay.stability.is_stable() and self._store_stability.is_stable():
            self._check_version(relay)

    def _new_lines(self, relay: Relay) -> Iterator[dict[str, Any]]:
        with relay.log_path.open('rb') as log:
            log.seek(self._read_bytes[relay.name])
            for raw in log:
                if not raw.endswith(b'\n'):
                    return
                self._read_bytes[relay.name] += len(raw)
                try:
                    yield json.loads(raw)
                except ValueError:
                    self._findings.report_violation('LOG', f'{relay.name}: {raw!r}')

    def _check_version(self, relay: Relay) -> None:
        due_at = now() - CONFIG_SECONDS - _WRITE_SECONDS
        due = max((one for at, one in self._accepted if at <= due_at), default=0)
        version = self._versions.get(relay.name, 0)
        if version < due and (relay.name, due) not in self._reported:
            self._reported.add((relay.name, due))
            detail = f'{relay.name} has version {version}, {due} is due'
            self._findings.report_violation('CONFIG', detail)
