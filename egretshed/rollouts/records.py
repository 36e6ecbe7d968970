"""Orders, states and phases of rollouts."""

from enum import (
    Enum,
    IntEnum,
)
from typing import NamedTuple


class RolloutState(Enum):
    """State of a rollout as operators read it in the platform's store."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutPhase(IntEnum):
    """What nodes do with new requests during a rollout.

    `HOLD` sends none to the new version, `CANARY` a share of them, `SWITCH` all while
    those at other versions end. `COMPLETED` and `ROLLED_BACK` are final.
    """

    HOLD = 0
    CANARY = 1
    SWITCH = 2
    COMPLETED = 3
    ROLLED_BACK = 4

    @property
    def is_final(self) -> bool:
        return self >= RolloutPhase.COMPLETED


PHASES_BY_STATE = {
    RolloutState.IN_PROGRESS: RolloutPhase.HOLD,
    RolloutState.COMPLETED: RolloutPhase.COMPLETED,
    RolloutState.ROLLED_BACK: RolloutPhase.ROLLED_BACK,
}


class RolloutOrder(NamedTuple):
    """Order to move a service to `to_version` within `duration_s`.

    `row_version` is that of its row, combined with the era of the store.
    """

    service: str
    to_version: str
    duration_s: float
    row_version: int
