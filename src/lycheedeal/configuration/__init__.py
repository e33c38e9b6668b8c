"""Plug-in ``configuration``: stores, distributes and applies shards.

The services are divided into shards. Each shard has a generation that grows
with every change; a host never replaces a shard by an older generation.
"""

from lycheedeal.configuration._changes import apply_change, summarize
from lycheedeal.configuration._codec import MAX_BODY_BYTES, decode_shard, encode_shard
from lycheedeal.configuration._plugin import ConfigurationPlugin
from lycheedeal.configuration._topology import watcher_order
from lycheedeal.configuration._validation import validate_shard
from lycheedeal.kernel import (
    ApiReplied,
    ChangeRequested,
    GossipReceived,
    MembersChanged,
    ObjectChanged,
    PluginSpec,
    Resumed,
    Started,
    Tick,
    register,
)

__all__ = (
    'MAX_BODY_BYTES',
    'ConfigurationPlugin',
    'apply_change',
    'decode_shard',
    'encode_shard',
    'summarize',
    'validate_shard',
    'watcher_order',
)

register(
    PluginSpec(
        name='configuration',
        factory=ConfigurationPlugin,
        events=frozenset(
            (
                Started,
                Tick,
                Resumed,
                MembersChanged,
                GossipReceived,
                ObjectChanged,
                ApiReplied,
                ChangeRequested,
            ),
        ),
    ),
)
