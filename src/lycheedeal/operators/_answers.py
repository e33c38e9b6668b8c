"""Builds the contents of answers from JSON types."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any, Final

from lycheedeal import model
from lycheedeal.errors import ErrorKind, answer_for
from lycheedeal.exceptions import ServiceNotFoundError
from lycheedeal.kernel import StatusKnown
from lycheedeal.operators import _statements as statements
from lycheedeal.operators._host_state import HostState, ReceivedDigest, Refusal
from lycheedeal.operators._work_counts import WorkCounts

# Keeps an answer below a few hundred kilobytes. Operators get fewer rows by
# adding "of NAME" to a query.
_MAX_ROWS: Final = 2000
# Neighbours send a digest at least about every 4 s. An older digest does not show
# whether its host lags behind now.
_MAX_DIGEST_AGE_SECONDS: Final = 60

_Row = dict[str, Any]


def answer_query(
    query: statements.Query,
    host_state: HostState,
    now: float,
) -> _Row:
    """Return the answer to a query as rows or one object.

    ``now`` is Unix time in seconds. Raises ServiceNotFoundError if the query
    names a service that is not configured.
    """
    match query:
        case statements.ShowServices():
            content = _rows_content(
                _service_row(one) for one in _services(host_state, None)
            )
        case statements.ShowService(name):
            service = _services(host_state, name)[0]
            content = {'object': _service_object(service, host_state)}
        case statements.ShowUpstreams(name):
            content = _rows_content(_all_upstream_rows(host_state, name))
        case statements.ShowFlows(name):
            content = _rows_content(_all_flow_rows(host_state, name))
        case statements.ShowHosts():
            content = _rows_content(_host_row(member) for member in host_state.members)
        case statements.ShowConfig():
            content = _config_content(host_state, now)
        case statements.ShowRefusals(max_age):
            content = _refusals_content(host_state, max_age, now)
    return content


def affected_by(change: model.Change, host_state: HostState) -> _Row:
    """Return the objects that a change would affect, as known to this host.

    Empty if the service is not configured or the change affects no existing
    object.
    """
    service = host_state.find_service(change.service)
    affected: _Row
    match change:
        case _ if service is None:
            affected = {}
        case model.DrainUpstream() | model.DeleteUpstream() | model.UndrainUpstream():
            affected = {
                'upstreams': [
                    _upstream_row(service, upstream, host_state)
                    for upstream in service.upstreams
                    if upstream.upstream_id == change.upstream_id
                ],
            }
        case model.DeleteKind():
            affected = {
                'flows': [
                    row
                    for row in _flow_rows(service, host_state)
                    if row['kind'] == change.name
                ],
            }
        case model.DeleteService():
            affected = {
                'kinds': [kind.name for kind in service.kinds],
                'upstreams': [str(one.upstream_id) for one in service.upstreams],
                'flows': list(_flow_rows(service, host_state)),
            }
        case _:
            affected = {}
    return affected


def error_content(kind: ErrorKind, detail: str) -> _Row:
    """Return the content of an answer that reports an error.

    It holds the name and the fixed text of the kind of error; ``detail`` tells
    what caused this one.
    """
    return {'error': kind.name, 'text': answer_for(kind).text, 'detail': detail}


def status_content(status: StatusKnown, own_zone: model.Zone, now: float) -> _Row:
    """Return the status of the own zone and of each other zone.

    ``now`` is Unix time in seconds, from which the age of each status is
    computed. Zones without a status are listed as not reporting.
    """
    objects = {one.zone: _status_object(one, now) for one in status.statuses}
    own_status = objects.pop(own_zone, None)
    return {
        'own_zone': own_status or {'zone': own_zone, 'state': 'not reporting'},
        'other_zones': [
            *objects.values(),
            *(
                {'zone': zone, 'state': 'not reporting'}
                for zone in status.not_reporting
                if zone != own_zone
            ),
        ],
    }


def _status_object(status: model.ZoneStatus, now: float) -> _Row:
    return {
        'zone': status.zone,
        'state': 'reporting',
        'age_seconds': round(max(now - status.at, 0), 3),
        'reporter': status.reporter,
        'hosts': status.hosts,
        'up_to_date': status.up_to_date,
        'silent': status.silent,
        'generations': _by_shard(status.generations),
        'lagging': [
            {'host': one.host_id, 'holds': _by_shard(one.holds)}
            for one in status.lagging
        ],
        'rejecting': [
            {
                'host': one.host_id,
                'shard': shard.index,
                'generation': shard.generation,
                'reason': shard.reason,
            }
            for one in status.rejecting
            for shard in one.rejected
        ],
    }


def _by_shard(
    generations: dict[model.ShardIndex, model.Generation] | None,
) -> dict[str, int] | None:
    if generations is None:
        return None
    return {str(shard): generation for shard, generation in generations.items()}


def _rows_content(rows: Iterable[_Row]) -> _Row:
    iterator = iter(rows)
    shown = list(islice(iterator, _MAX_ROWS))
    content: _Row = {'rows': shown}
    omitted = sum(1 for _ in iterator)
    if omitted:
        content['rows_left_out'] = omitted
    return content


def _services(
    host_state: HostState,
    name: model.ServiceName | None,
) -> list[model.Service]:
    if name is None:
        services = host_state.view.services_by_number.values()
        return sorted(services, key=lambda service: service.name)
    service = host_state.find_service(name)
    if service is None:
        raise ServiceNotFoundError(f'service {name} is not configured')
    return [service]


def _service_row(service: model.Service) -> _Row:
    return {
        'service': service.name,
        'number': service.number,
        'address': str(service.address),
        'spill': service.spill.value,
        'kinds': len(service.kinds),
        'upstreams': len(service.upstreams),
        'drained': sum(upstream.drained for upstream in service.upstreams),
    }


def _service_object(service: model.Service, host_state: HostState) -> _Row:
    shard = model.shard_of(service.name)
    return _service_row(service) | {
        'shard': shard,
        'generation': host_state.view.generations_by_shard.get(shard, 0),
        'kinds': [_kind_row(kind) for kind in service.kinds],
        'upstreams': list(_upstream_rows(service, host_state)),
        'flows': list(_flow_rows(service, host_state)),
    }


def _kind_row(kind: model.WorkKind) -> _Row:
    return {
        'kind': kind.name,
        'priority': kind.priority,
        'floor': kind.floor,
        'idempotent': kind.idempotent,
        'long': kind.long,
    }


def _all_upstream_rows(
    host_state: HostState,
    name: model.ServiceName | None,
) -> Iterator[_Row]:
    for service in _services(host_state, name):
        yield from _upstream_rows(service, host_state)


def _upstream_rows(service: model.Service, host_state: HostState) -> Iterator[_Row]:
    for upstream in service.upstreams:
        yield _upstream_row(service, upstream, host_state)


def _upstream_row(
    service: model.Service,
    upstream: model.Upstream,
    host_state: HostState,
) -> _Row:
    latest_event = host_state.upstreams.get((service.number, upstream.upstream_id))
    counts = host_state.work_counters.upstream_counts(service.number, upstream.endpoint)
    state = model.UpstreamState.UNKNOWN if latest_event is None else latest_event.state
    return {
        'service': service.name,
        'upstream': upstream.upstream_id,
        'address': str(upstream.endpoint),
        'zone': upstream.zone,
        'slots': upstream.slots,
        'connections': upstream.connections,
        'drained': upstream.drained,
        # Unknown on most hosts: only the owner of the service in a zone probes
        # its upstreams.
        'state': state.value,
        'weight': 0 if latest_event is None else latest_event.weight,
        **_count_fields(counts),
    }


def _all_flow_rows(
    host_state: HostState,
    name: model.ServiceName | None,
) -> Iterator[_Row]:
    for service in _services(host_state, name):
        yield from _flow_rows(service, host_state)


def _flow_rows(service: model.Service, host_state: HostState) -> Iterator[_Row]:
    for kind_id, counts in host_state.work_counters.kind_counts(service.number):
        kind = service.kind(kind_id)
        yield {
            'service': service.name,
            'kind': 'unknown' if kind is None else kind.name,
            **_count_fields(counts),
        }


def _count_fields(counts: WorkCounts) -> _Row:
    return {
        'flows_open': counts.open,
        'flows_opened': counts.opened,
        'flows_broken': _by_error_name(counts.broken),
        'requests_answered': counts.answered,
        'requests_failed': _by_error_name(counts.failed),
    }


def _by_error_name(counts: Counter[ErrorKind]) -> dict[str, int]:
    return {kind.name: count for kind, count in sorted(counts.items())}


def _host_row(member: model.Member) -> _Row:
    return {
        'member': member.host_id,
        'zone': member.zone,
        'state': member.state.value,
        'peer': str(member.peer),
        'admin': str(member.admin),
        'incarnation': member.incarnation,
    }


def _config_content(host_state: HostState, now: float) -> _Row:
    recent_digests = {
        host: digest
        for host, digest in host_state.digests_by_host.items()
        if now - digest.received_at <= _MAX_DIGEST_AGE_SECONDS
    }
    generations = host_state.view.generations_by_shard
    content = _rows_content(
        {
            'shard': shard,
            'generation': generation,
            'since': host_state.in_force_since_by_shard.get(shard),
            'lagging': _lagging(shard, generation, recent_digests),
        }
        for shard, generation in sorted(generations.items())
    )
    return content | {'heard_from': sorted(recent_digests)}


def _lagging(
    shard: model.ShardIndex,
    generation: model.Generation,
    recent_digests: dict[model.HostId, ReceivedDigest],
) -> list[str]:
    return sorted(
        host
        for host, digest in recent_digests.items()
        if digest.generations.get(shard, 0) < generation
    )


def _refusals_content(host_state: HostState, max_age: float | None, now: float) -> _Row:
    content = _rows_content(
        _refusal_row(refusal, host_state)
        for refusal in host_state.refusals
        if max_age is None or now - refusal.refused_at <= max_age
    )
    return content | {'counts_since_start': _by_error_name(host_state.refusal_counts)}


def _refusal_row(refusal: Refusal, host_state: HostState) -> _Row:
    service = None
    if refusal.service is not None:
        service = host_state.view.services_by_number.get(refusal.service)
    return {
        'at': refusal.refused_at,
        'error': refusal.error.name,
        'service': None if service is None else service.name,
        'detail': refusal.detail,
    }
