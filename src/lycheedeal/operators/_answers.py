"""Answers to queries, made of JSON types."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any, Final

from lycheedeal import model
from lycheedeal.errors import ErrorKind, answer_for
from lycheedeal.exceptions import ServiceNotFoundError
from lycheedeal.kernel import StatusKnown
from lycheedeal.operators import _statements as statements
from lycheedeal.operators._knowledge import HeardDigest, Knowledge, Refusal
from lycheedeal.operators._work import WorkCounts

# Keeps an answer below a few hundred kilobytes; "of NAME" narrows it.
_MAX_ROWS: Final = 2000
# Neighbours send a digest every second; older ones say nothing about lag.
_DIGEST_SECONDS: Final = 60

_Row = dict[str, Any]


def answer_query(
    query: statements.Query,
    knowledge: Knowledge,
    now: float,
) -> _Row:
    """Return rows or one object for a query; ``now`` is Unix time.

    Raises ServiceNotFoundError.
    """
    match query:
        case statements.ShowServices():
            content = _rows(_service_row(one) for one in _services(knowledge, None))
        case statements.ShowService(name):
            service = _services(knowledge, name)[0]
            content = {'object': _service_object(service, knowledge)}
        case statements.ShowUpstreams(name):
            content = _rows(_all_upstream_rows(knowledge, name))
        case statements.ShowFlows(name):
            content = _rows(_all_flow_rows(knowledge, name))
        case statements.ShowHosts():
            content = _rows(_host_row(member) for member in knowledge.members)
        case statements.ShowConfig():
            content = _config(knowledge, now)
        case statements.ShowRefusals(since):
            content = _refusals(knowledge, since, now)
    return content


def affected_by(change: model.Change, knowledge: Knowledge) -> _Row:
    """Return what a change would affect, as far as this host knows."""
    service = knowledge.service(change.service)
    affected: _Row
    match change:
        case _ if service is None:
            affected = {}
        case model.DrainUpstream() | model.DeleteUpstream() | model.UndrainUpstream():
            affected = {
                'upstreams': [
                    _upstream_row(service, upstream, knowledge)
                    for upstream in service.upstreams
                    if upstream.upstream_id == change.upstream_id
                ],
            }
        case model.DeleteKind():
            affected = {
                'flows': [
                    row
                    for row in _flow_rows(service, knowledge)
                    if row['kind'] == change.name
                ],
            }
        case model.DeleteService():
            affected = {
                'kinds': [kind.name for kind in service.kinds],
                'upstreams': [str(one.upstream_id) for one in service.upstreams],
                'flows': list(_flow_rows(service, knowledge)),
            }
        case _:
            affected = {}
    return affected


def error_content(kind: ErrorKind, detail: str) -> _Row:
    """Return the content of an answer that reports an error."""
    return {'error': kind.name, 'text': answer_for(kind).text, 'detail': detail}


def status_content(status: StatusKnown, own: model.Zone, now: float) -> _Row:
    """Return the status of the own zone, and of each other zone with its age."""
    objects = {one.zone: _status_object(one, now) for one in status.statuses}
    own_status = objects.pop(own, None)
    return {
        'own_zone': own_status or {'zone': own, 'state': 'not reporting'},
        'other_zones': [
            *objects.values(),
            *(
                {'zone': zone, 'state': 'not reporting'}
                for zone in status.not_reporting
                if zone != own
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


def _rows(rows: Iterable[_Row]) -> _Row:
    iterator = iter(rows)
    shown = list(islice(iterator, _MAX_ROWS))
    content: _Row = {'rows': shown}
    left_out = sum(1 for _ in iterator)
    if left_out:
        content['rows_left_out'] = left_out
    return content


def _services(
    knowledge: Knowledge,
    name: model.ServiceName | None,
) -> list[model.Service]:
    if name is None:
        services = knowledge.view.services_by_number.values()
        return sorted(services, key=lambda service: service.name)
    service = knowledge.service(name)
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


def _service_object(service: model.Service, knowledge: Knowledge) -> _Row:
    shard = model.shard_of(service.name)
    return _service_row(service) | {
        'shard': shard,
        'generation': knowledge.view.generations_by_shard.get(shard, 0),
        'kinds': [_kind_row(kind) for kind in service.kinds],
        'upstreams': list(_upstream_rows(service, knowledge)),
        'flows': list(_flow_rows(service, knowledge)),
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
    knowledge: Knowledge,
    name: model.ServiceName | None,
) -> Iterator[_Row]:
    for service in _services(knowledge, name):
        yield from _upstream_rows(service, knowledge)


def _upstream_rows(service: model.Service, knowledge: Knowledge) -> Iterator[_Row]:
    for upstream in service.upstreams:
        yield _upstream_row(service, upstream, knowledge)


def _upstream_row(
    service: model.Service,
    upstream: model.Upstream,
    knowledge: Knowledge,
) -> _Row:
    seen = knowledge.upstreams.get((service.number, upstream.upstream_id))
    counts = knowledge.work.of_upstream(service.number, upstream.endpoint)
    state = model.UpstreamState.UNKNOWN if seen is None else seen.state
    return {
        'service': service.name,
        'upstream': upstream.upstream_id,
        'address': str(upstream.endpoint),
        'zone': upstream.zone,
        'slots': upstream.slots,
        'connections': upstream.connections,
        'drained': upstream.drained,
        # Only the owner of the service in a zone probes its upstreams.
        'state': state.value,
        'weight': 0 if seen is None else seen.weight,
        **_count_fields(counts),
    }


def _all_flow_rows(
    knowledge: Knowledge,
    name: model.ServiceName | None,
) -> Iterator[_Row]:
    for service in _services(knowledge, name):
        yield from _flow_rows(service, knowledge)


def _flow_rows(service: model.Service, knowledge: Knowledge) -> Iterator[_Row]:
    for kind_id, counts in knowledge.work.kinds_of(service.number):
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
        'flows_broken': _by_name(counts.broken),
        'requests_answered': counts.answered,
        'requests_failed': _by_name(counts.failed),
    }


def _by_name(counts: Counter[ErrorKind]) -> dict[str, int]:
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


def _config(knowledge: Knowledge, now: float) -> _Row:
    heard = {
        host: digest
        for host, digest in knowledge.digests_by_host.items()
        if now - digest.at <= _DIGEST_SECONDS
    }
    generations = knowledge.view.generations_by_shard
    content = _rows(
        {
            'shard': shard,
            'generation': generation,
            'since': knowledge.in_force_since.get(shard),
            'lagging': _lagging(shard, generation, heard),
        }
        for shard, generation in sorted(generations.items())
    )
    return content | {'heard_from': sorted(heard)}


def _lagging(
    shard: model.ShardIndex,
    generation: model.Generation,
    heard: dict[model.HostId, HeardDigest],
) -> list[str]:
    return sorted(
        host
        for host, digest in heard.items()
        if digest.generations.get(shard, 0) < generation
    )


def _refusals(knowledge: Knowledge, since: float | None, now: float) -> _Row:
    content = _rows(
        _refusal_row(refusal, knowledge)
        for refusal in knowledge.refusals
        if since is None or now - refusal.at <= since
    )
    return content | {'counts_since_start': _by_name(knowledge.refusal_counts)}


def _refusal_row(refusal: Refusal, knowledge: Knowledge) -> _Row:
    service = None
    if refusal.service is not None:
        service = knowledge.view.services_by_number.get(refusal.service)
    return {
        'at': refusal.at,
        'error': refusal.error.name,
        'service': None if service is None else service.name,
        'detail': refusal.detail,
    }
