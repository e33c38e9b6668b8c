"""Finds the owner of a request from its flow id."""

from dataclasses import dataclass
from typing import Final

from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.kernel import Context
from lycheedeal.model import (
    Endpoint,
    FlowClass,
    FlowFields,
    FlowId,
    FlowIdCodec,
    Incarnation,
    Member,
)

_Process = tuple[Endpoint, Incarnation]

# A leaving host is no longer listed but finishes its work for its drain time.
_LOST_AFTER_SECONDS: Final = 15
_FORGOTTEN_AFTER_SECONDS: Final = 600
_MAX_DEPARTED: Final = 4096


@dataclass(frozen=True, slots=True)
class Owned:
    """This process owns the request."""

    fields: FlowFields


@dataclass(frozen=True, slots=True)
class OwnerLost:
    """The process that owned the request is gone."""


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another host owns the request."""

    fields: FlowFields


@dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The flow id was not made by a host of this fleet; no answer is due."""

    error: ErrorKind


@dataclass(frozen=True, slots=True)
class WrongFlowClass:
    """The flow is authentic but carries no requests."""


Ownership = Owned | OwnerLost | OwnedElsewhere | Unauthenticated | WrongFlowClass


class OwnerResolver:
    """Knows this process and which processes of the zone are gone."""

    def __init__(self, context: Context) -> None:
        """Start without members."""
        self._context = context
        self._codec = FlowIdCodec(context.settings.flow_key)
        self._listed_processes: frozenset[_Process] = frozenset()
        self._incarnations_by_peer: dict[Endpoint, Incarnation] = {}
        self._departed_at: dict[_Process, float] = {}

    def resolve(self, flow_id: FlowId) -> Ownership:
        """Return where requests of a flow belong."""
        try:
            fields = self._codec.parse(flow_id)
        except DecodeError as error:
            return Unauthenticated(error.kind)
        if fields.flow_class is not FlowClass.REQUEST:
            return WrongFlowClass()
        if fields.owner == self._context.settings.peer:
            own = fields.owner_incarnation == self._context.incarnation
            return Owned(fields) if own else OwnerLost()
        if self._is_lost((fields.owner, fields.owner_incarnation)):
            return OwnerLost()
        return OwnedElsewhere(fields)

    def set_members(self, members: tuple[Member, ...]) -> None:
        """Note which processes left the list, and when."""
        now = self._context.clock.monotonic()
        listed = frozenset((member.peer, member.incarnation) for member in members)
        for departed in self._listed_processes - listed:
            self._departed_at[departed] = now
        self._listed_processes = listed
        self._incarnations_by_peer = dict(listed)
        self._departed_at = {
            process: since
            for process, since in self._departed_at.items()
            if process not in listed and now - since < _FORGOTTEN_AFTER_SECONDS
        }
        while len(self._departed_at) > _MAX_DEPARTED:
            self._departed_at.pop(next(iter(self._departed_at)))

    def _is_lost(self, process: _Process) -> bool:
        peer, incarnation = process
        if self._incarnations_by_peer.get(peer, incarnation) > incarnation:
            return True
        since = self._departed_at.get(process)
        if since is None:
            return False
        return self._context.clock.monotonic() - since >= _LOST_AFTER_SECONDS
