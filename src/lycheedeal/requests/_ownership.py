"""Determines the owner of a request from its flow id."""

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

# A host that is leaving is no longer listed, but finishes its work during its
# drain time. It counts as gone only after this long.
_LOST_AFTER_SECONDS: Final = 15
# Departed processes are tracked for this long, and at most so many of them.
_DEPARTED_KEPT_SECONDS: Final = 600
_MAX_DEPARTED: Final = 4096


@dataclass(frozen=True, slots=True)
class Owned:
    """This process incarnation owns the request."""

    fields: FlowFields


@dataclass(frozen=True, slots=True)
class OwnerLost:
    """The process that owned the request is gone; its outcome is unknown."""


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another process owns the request; ``fields`` name its peer endpoint."""

    fields: FlowFields


@dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The flow id is not authentic, so the sender gets no reply.

    ``error`` says why it was rejected.
    """

    error: ErrorKind


@dataclass(frozen=True, slots=True)
class WrongFlowClass:
    """The flow is authentic, but not a request flow."""


Ownership = Owned | OwnerLost | OwnedElsewhere | Unauthenticated | WrongFlowClass


class OwnerResolver:
    """Finds owners by flow id and tracks which processes of the zone are gone."""

    def __init__(self, context: Context) -> None:
        """Create a resolver without members."""
        self._context = context
        self._codec = FlowIdCodec(context.settings.flow_key)
        self._listed_processes: frozenset[_Process] = frozenset()
        self._incarnations_by_peer: dict[Endpoint, Incarnation] = {}
        self._departed_at: dict[_Process, float] = {}

    def resolve(self, flow_id: FlowId) -> Ownership:
        """Return who owns the requests of a flow."""
        try:
            fields = self._codec.decode(flow_id)
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
        """Replace the members and record when missing processes departed."""
        now = self._context.clock.monotonic()
        listed = frozenset((member.peer, member.incarnation) for member in members)
        for departed in self._listed_processes - listed:
            self._departed_at[departed] = now
        self._listed_processes = listed
        self._incarnations_by_peer = dict(listed)
        self._departed_at = {
            process: since
            for process, since in self._departed_at.items()
            if process not in listed and now - since < _DEPARTED_KEPT_SECONDS
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
