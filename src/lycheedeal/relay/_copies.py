"""Copies of the store's content, and the parts in which they are sent to peers.

A change or a snapshot is split into parts that fit into a datagram each; the
receiver joins them again.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final, TypeVar

from lycheedeal.ids import HostId
from lycheedeal.relay._events import ContentChanged
from lycheedeal.relay._messages import ContentPart
from lycheedeal.relay._records import (
    NO_EDITION,
    START_POSITION,
    ConfigurationVersion,
    Edition,
    Entry,
    Evacuation,
    Listing,
    Position,
    Route,
    ServiceTerms,
    Source,
    StoreKind,
)

# Keeps a datagram below 1,400 bytes: an entry takes about 100 bytes.
_ENTRIES_PER_PART: Final = 10
# Limit for each of the entries, the removed and the unusable names of a part, if there
# are several: names of another writer may be long, and a datagram has 8 KiB at most.
_BYTES_PER_PART: Final = 1500
# Encoded length of an entry without its names, and of a character that is not ASCII.
_ENTRY_BYTES: Final = 60
_CHARACTER_BYTES: Final = 12
# Incomplete changes that are kept, beyond which the oldest is dropped. A sender
# has few at a time.
_MAX_PARTIAL: Final = 16
# Routes and terms of services share a configuration, and their names may be the same.
_TERMS_PREFIX: Final = 'service '


_Member = TypeVar('_Member')
_Groups = list[list[_Member]]


def entry_name(entry: Entry) -> str:
    """Return the name under which the store holds an entry."""
    match entry:
        case Route(name=name):
            return name
        case ServiceTerms(service=service):
            return f'{_TERMS_PREFIX}{service}'
        case Listing(upstream_id=upstream_id):
            return upstream_id
        case Evacuation(zone=zone):
            return zone


def edition_of(content: 'ContentChanged | ContentPart | ContentCopy') -> Edition:
    """Return the edition of some content."""
    match content.kind:
        case StoreKind.CONFIGURATION:
            return Edition((0, content.version or 0))
        case StoreKind.UPSTREAMS | StoreKind.EVACUATIONS:
            return Edition(content.position)


@dataclass(slots=True, eq=False, repr=False)
class ContentCopy:
    """Content of one kind of objects, as of the position of its last change."""

    kind: StoreKind
    position: Position = START_POSITION
    version: ConfigurationVersion | None = None
    settled: bool = True
    # Where its last change was read from; None before the first one.
    source: Source | None = None
    entries_by_name: dict[str, Entry] = field(default_factory=dict)
    # Names of objects that exist but could not be decoded.
    unusable: set[str] = field(default_factory=set)

    def apply(self, event: ContentChanged) -> ContentPart | None:
        """Apply a change; return the difference to the content before it.

        The difference to a list holds what differs, as does an exact one that a peer
        passed on; that to other changes holds each object that was written, also one
        that looks the same. None means that the edition stays the same. A list without
        differences has a later edition, too: a host may have listed what came and went
        since the earlier one.
        """
        base = edition_of(self)
        is_later = edition_of(event) > base
        if event.kind is StoreKind.CONFIGURATION and not is_later:
            return None
        changed = {entry_name(entry): entry for entry in event.entries}
        removed, unusable = event.removed, event.unusable
        if event.complete:
            changed = self._differing(changed)
            removed = tuple(self._missing(event))
            unusable = tuple(name for name in unusable if name not in self.unusable)
        if not (changed or removed or unusable or is_later):
            return None
        for name in (*removed, *unusable):
            self.entries_by_name.pop(name, None)
        self.entries_by_name.update(changed)
        self.unusable.difference_update(changed, removed)
        self.unusable.update(unusable)
        self.position = event.position
        self.version = event.version
        self.settled = event.settled
        self.source = event.source
        return ContentPart(
            host_id=HostId(''),
            kind=self.kind,
            base=base,
            position=event.position,
            part=0,
            parts=1,
            complete=False,
            settled=event.settled,
            version=event.version,
            entries=tuple(changed.values()),
            removed=removed,
            unusable=unusable,
            # An object that was changed and changed back is not in it.
            exact=event.complete or event.exact,
        )

    def forget(self) -> None:
        """Return to the state before the first change."""
        self.position = START_POSITION
        self.version = None
        self.settled = True
        self.source = None
        self.entries_by_name.clear()
        self.unusable.clear()

    def _differing(self, entries_by_name: dict[str, Entry]) -> dict[str, Entry]:
        return {
            name: entry
            for name, entry in entries_by_name.items()
            if self.entries_by_name.get(name) != entry
        }

    def _missing(self, event: ContentChanged) -> Iterator[str]:
        present = {entry_name(entry) for entry in event.entries}
        present.update(event.unusable)
        known = (*self.entries_by_name, *self.unusable)
        yield from (name for name in known if name not in present)

    def accepts(self, change: ContentPart) -> bool:
        """Return whether a change leads from this content to its own edition."""
        if change.complete:
            return True
        if change.exact:
            return change.base == edition_of(self)
        return change.base <= edition_of(self)

    def snapshot(self) -> ContentPart:
        """Return the whole content as one part."""
        return ContentPart(
            host_id=HostId(''),
            kind=self.kind,
            base=NO_EDITION,
            position=self.position,
            part=0,
            parts=1,
            complete=True,
            settled=self.settled,
            version=self.version,
            entries=tuple(self.entries_by_name.values()),
            removed=(),
            unusable=tuple(self.unusable),
        )


def split_part(change: ContentPart, host_id: HostId) -> Iterator[ContentPart]:
    """Yield the parts of a change, each of which fits into a datagram.

    They are the same ones when a host sends the change again, also after a restart:
    the receiver may still have some.
    """
    entries = _groups(sorted(change.entries, key=entry_name), _entry_bytes)
    removed = _groups(sorted(change.removed), _text_bytes)
    unusable = _groups(sorted(change.unusable), _text_bytes)
    count = max(len(entries), len(removed), len(unusable), 1)
    for index in range(count):
        yield ContentPart(
            host_id=host_id,
            kind=change.kind,
            base=change.base,
            position=change.position,
            part=index,
            parts=count,
            complete=change.complete,
            settled=change.settled,
            version=change.version,
            entries=_group_at(entries, index),
            removed=_group_at(removed, index),
            unusable=_group_at(unusable, index),
            exact=change.exact,
        )


def _groups(
    members: list[_Member], size_of: Callable[[_Member], int]
) -> _Groups[_Member]:
    """Return the members in groups that fit into a datagram each."""
    groups: _Groups[_Member] = []
    size = 0
    for member in members:
        member_size = size_of(member)
        size += member_size
        is_full = groups and len(groups[-1]) == _ENTRIES_PER_PART
        if not groups or is_full or size > _BYTES_PER_PART:
            groups.append([])
            size = member_size
        groups[-1].append(member)
    return groups


def _group_at(groups: _Groups[_Member], index: int) -> tuple[_Member, ...]:
    return tuple(groups[index]) if index < len(groups) else ()


def _entry_bytes(entry: Entry) -> int:
    """Return about how many bytes an entry takes in a message."""
    match entry:
        case Listing(service=service, zone=zone):
            texts: tuple[str, ...] = (service, zone)
        case Route(services=services):
            texts = tuple(name for name, _ in services)
        case _:
            texts = ()
    return _ENTRY_BYTES + sum(map(_text_bytes, (entry_name(entry), *texts)))


def _text_bytes(text: str) -> int:
    return len(text) if text.isascii() else _CHARACTER_BYTES * len(text)


class Reassembler:
    """Joins the parts of changes; parts may arrive in any order."""

    def __init__(self) -> None:
        """Start without parts."""
        self._parts: dict[tuple[object, ...], dict[int, ContentPart]] = {}

    def lacks(self, part: ContentPart) -> bool:
        """Return whether a part has not been added to its change yet."""
        return part.part not in self._parts.get(_change_key(part), {})

    def add(self, part: ContentPart) -> ContentPart | None:
        """Return the joined change, or None while parts of it are missing."""
        key = _change_key(part)
        parts = self._parts.setdefault(key, {})
        parts[part.part] = part
        if len(parts) < part.parts:
            while len(self._parts) > _MAX_PARTIAL:
                self._parts.pop(next(iter(self._parts)))
            return None
        self._parts.pop(key)
        ordered = [parts[index] for index in sorted(parts)]
        return ContentPart(
            host_id=part.host_id,
            kind=part.kind,
            base=part.base,
            position=part.position,
            part=0,
            parts=1,
            complete=part.complete,
            settled=part.settled,
            version=part.version,
            entries=tuple(one for each in ordered for one in each.entries),
            removed=tuple(one for each in ordered for one in each.removed),
            unusable=tuple(one for each in ordered for one in each.unusable),
            exact=part.exact,
        )


def _change_key(part: ContentPart) -> tuple[object, ...]:
    """Return what the parts of a change have in common."""
    editions = part.base, edition_of(part)
    meaning = part.complete, part.exact, part.settled
    return part.host_id, part.kind, part.parts, editions, meaning


def as_content(change: ContentPart) -> ContentChanged:
    """Return the event for a change that was received from a peer."""
    version = None if change.version is None else ConfigurationVersion(change.version)
    return ContentChanged(
        kind=change.kind,
        position=change.position,
        complete=change.complete,
        entries=change.entries,
        removed=change.removed,
        unusable=change.unusable,
        version=version,
        settled=change.settled,
        source=Source.PEER,
        exact=change.exact,
    )
