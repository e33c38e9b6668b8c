"""Decisions about new flows: which upstream gets one, and which flow is refused.

The package does no input or output, reads no clock and knows no messages. Callers
describe each upstream that accepts new flows as a candidate, as they see it at the
moment of an opening.
"""

from lycheedeal.placement._candidates import (
    HARD_EXCLUSIONS,
    NOT_EXCLUDED,
    Candidate,
    Exclusion,
)
from lycheedeal.placement._connections import FlowCount, taper
from lycheedeal.placement._pace import (
    STEP_SECONDS,
    Observation,
    Pacer,
    Ramp,
    RampCause,
    RampChange,
    apply_paces,
    attraction,
)
from lycheedeal.placement._probes import ProbeSchedule
from lycheedeal.placement._quota import WarmupLimit, WarmupQuota
from lycheedeal.placement._selection import (
    Demand,
    Refused,
    RefusalReason,
    Selected,
    select,
)
from lycheedeal.placement._speed import Answered, SpeedEstimates

__all__ = (
    'HARD_EXCLUSIONS',
    'NOT_EXCLUDED',
    'STEP_SECONDS',
    'Answered',
    'Candidate',
    'Demand',
    'Exclusion',
    'FlowCount',
    'Observation',
    'Pacer',
    'ProbeSchedule',
    'Ramp',
    'RampCause',
    'RampChange',
    'RefusalReason',
    'Refused',
    'Selected',
    'SpeedEstimates',
    'WarmupLimit',
    'WarmupQuota',
    'apply_paces',
    'attraction',
    'select',
    'taper',
)
