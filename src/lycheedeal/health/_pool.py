"""Upstreams of one owned service and the limit on how many may be excluded."""

from collections.abc import Iterable, Iterator
from typing import Final

from lycheedeal.errors import ErrorKind
from lycheedeal.health._record import UpstreamRecord
from lycheedeal.health._results import Result
from lycheedeal.kernel import (
    Effect,
    Log,
    LogLevel,
    Observe,
    Publish,
    Refused,
    UpstreamChanged,
)
from lycheedeal.messages import FlowAccepted, RunAnswer, Welcome
from lycheedeal.model import (
    Endpoint,
    Service,
    Upstream,
    UpstreamId,
    UpstreamState,
)

# A new owner does not know how long the upstreams have been ready, so those that
# report to be ready within this time are not ramped.
_OWNERSHIP_GRACE_SECONDS: Final = 3.0


class Pool:
    """Upstream records of one service.

    At most half of the upstreams that serve it are ejected or declared gone by
    observation, so that a fault of the requests or of this host does not stop
    the service.
    """

    def __init__(self, service: Service, now: float) -> None:
        """Start to observe a service that this host owns since ``now``."""
        self.service = service
        self._owned_since = now
        self._records_by_id: dict[UpstreamId, UpstreamRecord] = {}
        self._records_by_endpoint: dict[Endpoint, UpstreamRecord] = {}

    @property
    def endpoints(self) -> Iterable[Endpoint]:
        """Endpoints of all upstreams in the pool."""
        return self._records_by_endpoint.keys()

    def find(self, endpoint: Endpoint) -> UpstreamRecord | None:
        """Return the record of the upstream at an endpoint, None if there is none."""
        return self._records_by_endpoint.get(endpoint)

    def configure(
        self,
        service: Service,
        upstreams: Iterable[Upstream],
        now: float,
    ) -> Iterator[Effect]:
        """Apply the upstreams to observe; removed ones get no new work.

        A removed upstream still finishes what it is running, so it is published
        as draining and not as gone.
        """
        self.service = service
        wanted_by_id = {upstream.upstream_id: upstream for upstream in upstreams}
        for upstream_id, old in tuple(self._records_by_id.items()):
            upstream = wanted_by_id.get(upstream_id)
            if upstream is None or upstream.endpoint != old.upstream.endpoint:
                self._records_by_id.pop(upstream_id)
                yield self._publish(old, UpstreamState.DRAINING, 0)
        for upstream_id, upstream in wanted_by_id.items():
            known = self._records_by_id.get(upstream_id)
            if known is None:
                self._records_by_id[upstream_id] = UpstreamRecord(upstream, now)
            else:
                known.upstream = upstream
        self._records_by_endpoint = {
            record.upstream.endpoint: record for record in self._records_by_id.values()
        }
        yield from self.evaluate(now)

    def handle_message(
        self,
        record: UpstreamRecord,
        message: object,
        now: float,
    ) -> Iterator[Effect]:
        """Handle a message of an upstream; a Welcome must answer a Hello."""
        match message:
            case Welcome():
                yield from self._handle_welcome(record, message, now)
            case FlowAccepted() | RunAnswer():
                record.note_success(now)
            case _:
                record.note_message(now)

    def handle_result(
        self,
        record: UpstreamRecord,
        result: Result,
        now: float,
    ) -> Iterator[Effect]:
        """Record the result of a request, and eject the upstream if it is failing."""
        record.note_result(result, now)
        if result is Result.FAILURE and self._must_eject(record, now):
            record.eject(now)
            yield Observe('upstream_ejections')
            text = (
                f'upstream {record.upstream.upstream_id} ejected: more than half of '
                'its recent requests failed; no new work until the ejection ends'
            )
            yield Log('health', LogLevel.WARNING, text)
            yield from self.evaluate(now)

    def evaluate(self, now: float) -> Iterator[Effect]:
        """Publish the upstreams whose state or weight changed."""
        for record in self._records_by_id.values():
            record.update_timing(now)
        excluded = self._excluded(now)
        for upstream_id, observed in self._records_by_id.items():
            published = observed.decide(now, may_exclude=upstream_id in excluded)
            if (
                published != observed.published
                and published.state != UpstreamState.UNKNOWN
            ):
                yield from _log_change(observed, published.state)
                observed.published = published
                yield self._publish(observed, published.state, published.weight)

    def _handle_welcome(
        self,
        record: UpstreamRecord,
        message: Welcome,
        now: float,
    ) -> Iterator[Effect]:
        is_first = not record.is_known
        was_foreign = record.is_foreign
        before = record.observed_state
        if record.handle_welcome(message, self.service.name, now):
            is_ready = record.reported is UpstreamState.READY
            if is_first and is_ready and not self._is_cold(record, now):
                record.ramp_started = None
        elif not was_foreign:
            endpoint = record.upstream.endpoint
            detail = f'upstream at {endpoint} now serves {message.service}'
            yield Publish(
                Refused(ErrorKind.UPSTREAM_REPLACED, self.service.number, detail),
            )
        if record.observed_state != before:
            yield from self.evaluate(now)

    def _is_cold(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether an upstream that answers its first Hello is to be ramped.

        It is not if this host has just become the owner, or if no other upstream
        of the service has answered yet.
        """
        if now - self._owned_since < _OWNERSHIP_GRACE_SECONDS:
            return False
        records = self._records_by_id.values()
        return any(other.is_known for other in records if other is not record)

    def _must_eject(self, record: UpstreamRecord, now: float) -> bool:
        if record.ejection.is_active(now) or not record.results.is_failing(now):
            return False
        return len(self._excluded(now)) < self._max_excluded() and _is_serving(record)

    def _max_excluded(self) -> int:
        return sum(_is_serving(other) for other in self._records_by_id.values()) // 2

    def _excluded(self, now: float) -> set[UpstreamId]:
        """Return the upstreams to exclude, up to the limit.

        Silent ones come before ejected ones, and those that have been so for the
        longest come first.
        """
        candidates = [
            (record.silent_since is None, _exclusion_since(record), upstream_id)
            for upstream_id, record in self._records_by_id.items()
            if _is_serving(record) and _should_exclude(record, now)
        ]
        return {
            upstream_id
            for _, _, upstream_id in sorted(candidates)[: self._max_excluded()]
        }

    def _publish(
        self,
        record: UpstreamRecord,
        state: UpstreamState,
        weight: float,
    ) -> Publish:
        return Publish(
            UpstreamChanged(
                service=self.service.number,
                upstream_id=record.upstream.upstream_id,
                endpoint=record.upstream.endpoint,
                state=state,
                incarnation=record.incarnation,
                weight=weight,
            ),
        )


def _is_serving(record: UpstreamRecord) -> bool:
    return record.is_known and not record.is_foreign and not record.is_draining


def _should_exclude(record: UpstreamRecord, now: float) -> bool:
    return record.silent_since is not None or record.ejection.is_active(now)


def _exclusion_since(record: UpstreamRecord) -> float:
    if record.silent_since is None:
        return record.ejection.since
    return record.silent_since


def _log_change(record: UpstreamRecord, state: UpstreamState) -> Iterator[Effect]:
    before = None if record.published is None else record.published.state
    if state is not before:
        is_excluded = state in {UpstreamState.GONE, UpstreamState.EJECTED}
        level = LogLevel.WARNING if is_excluded else LogLevel.INFO
        text = f'upstream {record.upstream.upstream_id} is {state.value}'
        yield Log('health', level, text)
