"""Plug-in ``status``: which hosts of each zone lag behind the configuration.

Each host reports the generations that it holds to one host of its zone, the
reporter, which is the first in the order of the watchers. The reporter writes
``status/<region>/<zone>``, and ``show config`` lists these objects.
"""

# Digests reach only neighbours, so there are separate reports. A host reports when
# its generations change, once more 15 s later, and every 60 s. Reports on differences
# only would cost less, but then a host that cannot report would count as up to date.
#
# The reporter writes at most every 30 s, if the status changed or is 5 minutes old.
# ``show config`` lists at most every 5 s on each host that is asked.
#
# Cost with 343 hosts in a zone, 16 shards and reports of 161 bytes:
#
# - no change: 2.7 bytes a second sent by a host, 0.9 KB a second received by the
#   reporter, 0.12 writes a second for 35 zones;
# - a change every 52 s, as with 15,000 a day in 9 regions: 6.2 bytes, 2.1 KB,
#   0.67 writes;
# - a change every 2 s: 10.8 bytes, 3.7 KB, 0.94 writes. The limits of 15 s and
#   30 s allow no more than 10.8 bytes, 3.7 KB and 1.17 writes.
#
# The first write of a reporter, and each one after a failure, needs another read.
# Each host that is asked for ``show config`` makes at most 0.2 lists a second.
#
# A rejected shard adds up to 153 bytes to a report, and at most 2 are named: if
# all hosts reject 2 shards and nothing else changes, the reporter receives
# 2.7 KB a second. It makes a summary in 0.3 ms, every 5 s. A status object has
# 0.3 KB if no host lags, and 12 KB with 20 hosts that lag and 20 that reject.
#
# A host that lags appears in the status 35 s after its reporter holds the newer
# generation, and at most 30 s later in the object; the first 5 s are allowed to
# every host, the rest to a report and its repetition.

from lycheedeal import kernel
from lycheedeal.status._codec import decode_status, encode_status, status_key
from lycheedeal.status._plugin import StatusPlugin

__all__ = ('StatusPlugin', 'decode_status', 'encode_status', 'status_key')

kernel.register(
    kernel.PluginSpec(
        name='status',
        factory=StatusPlugin,
        events=frozenset(
            (
                kernel.Tick,
                kernel.Resumed,
                kernel.ConfigurationChanged,
                kernel.ShardRejected,
                kernel.MembersChanged,
                kernel.HostsListed,
                kernel.PeerMessage,
                kernel.StatusRequested,
                kernel.ObjectChanged,
                kernel.ApiReplied,
            ),
        ),
    ),
)
