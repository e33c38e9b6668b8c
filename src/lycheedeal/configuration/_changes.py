"""Applies configuration changes to shards, without side effects."""

from dataclasses import replace
from typing import NoReturn

from lycheedeal.configuration._validation import MAX_CHANGE_RECORDS, validate_shard
from lycheedeal.exceptions import InvalidConfigurationError
from lycheedeal.model import (
    SHARD_COUNT,
    Change,
    ChangeId,
    ChangeRecord,
    CreateKind,
    CreateService,
    CreateUpstream,
    DeleteKind,
    DeleteService,
    DeleteUpstream,
    DrainUpstream,
    Generation,
    KindId,
    RestoreConfiguration,
    Service,
    ServiceName,
    ServiceNumber,
    Shard,
    UndrainUpstream,
    Upstream,
    UpstreamId,
    WorkKind,
)


def apply_change(
    shard: Shard,
    change: Change,
    change_id: ChangeId,
    wall_time: float,
) -> Shard:
    """Return the next generation of the shard, with the change applied.

    ``wall_time`` is the time of acceptance in Unix seconds. Raises
    InvalidConfigurationError if the change does not fit the shard or the
    result breaks a rule.
    """
    changed = _edit(shard, change)
    generation = Generation(shard.generation + 1)
    record = ChangeRecord(change_id, generation, summarize(change), wall_time)
    changed = replace(
        changed,
        generation=generation,
        changes=(*shard.changes, record)[-MAX_CHANGE_RECORDS:],
    )
    validate_shard(changed)
    return changed


def restore_shard(
    stored: Shard,
    in_force: Shard,
    change: RestoreConfiguration,
    change_id: ChangeId,
    wall_time: float,
) -> Shard:
    """Return the shard in force with a generation above both shards.

    ``wall_time`` is the time of acceptance in Unix seconds. Raises
    InvalidConfigurationError if the service is not in force.
    """
    base = replace(
        in_force,
        generation=max(stored.generation, in_force.generation),
        # Service numbers that the stored shard allocated are not used again.
        next_counter=max(stored.next_counter, in_force.next_counter),
    )
    return apply_change(base, change, change_id, wall_time)


def find_record(shard: Shard, change_id: ChangeId) -> ChangeRecord | None:
    """Return the record of an accepted change, or None if the shard lacks it.

    A shard keeps only its latest records.
    """
    return next((one for one in shard.changes if one.change_id == change_id), None)


def find_service(shard: Shard, name: ServiceName) -> Service | None:
    """Return the service of this name, or None if the shard lacks it."""
    return next((one for one in shard.services if one.name == name), None)


def summarize(change: Change) -> str:
    """Return the change in the wording of operator statements.

    The text is stored in the change record of the shard.
    """
    match change:
        case CreateService(service, address):
            text = f'create service {service} at {address}'
        case DeleteService(service):
            text = f'delete service {service}'
        case CreateKind(service, name):
            text = f'create kind {name} of {service}'
        case DeleteKind(service, name):
            text = f'delete kind {name} of {service}'
        case CreateUpstream(service, upstream_id):
            text = f'create upstream {upstream_id} of {service}'
        case DrainUpstream(service, upstream_id):
            text = f'drain upstream {upstream_id} of {service}'
        case UndrainUpstream(service, upstream_id):
            text = f'undrain upstream {upstream_id} of {service}'
        case DeleteUpstream(service, upstream_id):
            text = f'delete upstream {upstream_id} of {service}'
        case RestoreConfiguration(service):
            text = f'restore configuration of {service}'
    return text


def _edit(shard: Shard, change: Change) -> Shard:
    match change:
        case CreateService():
            return _create_service(shard, change)
        case DeleteService(name):
            return _delete_service(shard, name)
        case _:
            service = _require_service(shard, change.service)
            return _replace_service(shard, _edit_service(service, change))


def _edit_service(service: Service, change: Change) -> Service:
    match change:
        case CreateKind():
            return _create_kind(service, change)
        case DeleteKind(_, name):
            return _delete_kind(service, name)
        case CreateUpstream():
            return _create_upstream(service, change)
        case DrainUpstream(_, upstream_id):
            return _set_drained(service, upstream_id, drained=True)
        case UndrainUpstream(_, upstream_id):
            return _set_drained(service, upstream_id, drained=False)
        case DeleteUpstream(_, upstream_id):
            return _delete_upstream(service, upstream_id)
        case CreateService() | DeleteService() | RestoreConfiguration():
            return service


def _create_service(shard: Shard, change: CreateService) -> Shard:
    if find_service(shard, change.service) is not None:
        _reject(f'service {change.service}', 'exists already')
    service = Service(
        number=ServiceNumber(shard.next_counter * SHARD_COUNT + shard.index),
        name=change.service,
        address=change.address,
        spill=change.spill,
    )
    return replace(
        shard,
        next_counter=shard.next_counter + 1,
        services=(*shard.services, service),
    )


def _delete_service(shard: Shard, name: ServiceName) -> Shard:
    service = _require_service(shard, name)
    if service.upstreams:
        _reject(
            f'service {name}',
            f'still has {len(service.upstreams)} upstreams, delete them first',
        )
    remaining = tuple(one for one in shard.services if one.name != name)
    return replace(shard, services=remaining)


def _replace_service(shard: Shard, service: Service) -> Shard:
    return replace(
        shard,
        services=tuple(
            service if one.name == service.name else one for one in shard.services
        ),
    )


def _create_kind(service: Service, change: CreateKind) -> Service:
    if any(one.name == change.name for one in service.kinds):
        _reject(f'kind {change.name} of {service.name}', 'exists already')
    kind = WorkKind(
        kind_id=KindId(service.next_kind),
        name=change.name,
        priority=change.priority,
        floor=change.floor,
        idempotent=change.idempotent,
        long=change.long,
    )
    return replace(
        service,
        kinds=(*service.kinds, kind),
        next_kind=service.next_kind + 1,
    )


def _delete_kind(service: Service, name: str) -> Service:
    remaining = tuple(one for one in service.kinds if one.name != name)
    if len(remaining) == len(service.kinds):
        _reject(f'kind {name} of {service.name}', 'does not exist')
    return replace(service, kinds=remaining)


def _create_upstream(service: Service, change: CreateUpstream) -> Service:
    location = f'upstream {change.upstream_id} of {service.name}'
    for one in service.upstreams:
        if one.upstream_id == change.upstream_id:
            _reject(location, 'exists already')
        if one.endpoint == change.endpoint:
            _reject(
                location,
                f'{one.endpoint} is the endpoint of upstream {one.upstream_id}',
            )
    upstream = Upstream(
        upstream_id=change.upstream_id,
        endpoint=change.endpoint,
        zone=change.zone,
        slots=change.slots,
        connections=change.connections,
    )
    return replace(service, upstreams=(*service.upstreams, upstream))


def _set_drained(
    service: Service,
    upstream_id: UpstreamId,
    *,
    drained: bool,
) -> Service:
    target = _require_upstream(service, upstream_id)
    return replace(
        service,
        upstreams=tuple(
            replace(one, drained=drained) if one is target else one
            for one in service.upstreams
        ),
    )


def _delete_upstream(service: Service, upstream_id: UpstreamId) -> Service:
    target = _require_upstream(service, upstream_id)
    if not target.drained:
        _reject(
            f'upstream {upstream_id} of {service.name}',
            'is not drained, drain it before deleting it',
        )
    return replace(
        service,
        upstreams=tuple(one for one in service.upstreams if one is not target),
    )


def _require_service(shard: Shard, name: ServiceName) -> Service:
    service = find_service(shard, name)
    if service is None:
        _reject(f'service {name}', 'does not exist')
    return service


def _require_upstream(service: Service, upstream_id: UpstreamId) -> Upstream:
    for one in service.upstreams:
        if one.upstream_id == upstream_id:
            return one
    _reject(f'upstream {upstream_id} of {service.name}', 'does not exist')


def _reject(location: str, detail: str) -> NoReturn:
    raise InvalidConfigurationError(location, detail)
