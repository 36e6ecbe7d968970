"""Reads and validates the daemon's settings file; reports all faults by path."""

from pathlib import Path
from typing import (
    TYPE_CHECKING,
    Any,
)

import msgspec

from egretshed.errors import SettingsInvalid
from egretshed.records import (
    Fault,
    read_record,
)
from egretshed.settings.schema import Settings

if TYPE_CHECKING:
    from expression import Result

# Sums of decimal fractions are not exact in binary floating point.
ROUNDING_TOLERANCE_S = 1e-6


def read_settings(path: Path) -> Settings:
    """Return the settings from the JSON file at `path`.

    Raises `SettingsInvalid` with all faults in it. The daemon uses this function, which
    needs no import of `expression` at its start.
    """
    try:
        raw = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise _invalid([Fault("$", f"cannot read {path}: {error.strerror}")]) from error
    except msgspec.DecodeError as error:
        raise _invalid([Fault("$", f"not valid JSON: {error}")]) from error
    return _checked(raw)


def load_settings(path: Path) -> "Result[Settings, SettingsInvalid]":
    """Return the settings from the JSON file at `path`, or all faults in it."""
    return _as_result(read_settings, path)


def check_settings(raw: Any) -> "Result[Settings, SettingsInvalid]":
    """Return the settings from decoded JSON, or all faults in it.

    Checks the schema, the ranges of fields and the relations between them.
    """
    return _as_result(_checked, raw)


def _as_result(function, argument: Any) -> "Result[Settings, SettingsInvalid]":
    from expression import (
        Error,
        Ok,
    )

    try:
        return Ok(function(argument))
    except SettingsInvalid as error:
        return Error(error)


def _checked(raw: Any) -> Settings:
    faults: list[Fault] = []
    settings = read_record(raw, Settings, "$", faults)
    if settings is not None:
        faults += _range_faults(settings, "$")
        faults += _relation_faults(settings)
    if settings is None or faults:
        raise _invalid(faults)
    return settings


def _range_faults(section: Any, path: str):
    for name, value in section._asdict().items():
        where = f"{path}.{name}"
        if hasattr(value, "_fields"):
            yield from _range_faults(value, where)
        elif name.endswith("_port") and not 0 <= value <= 65535:
            yield Fault(where, f"port {value} is not between 0 and 65535")
        elif name.endswith(("_s", "_bytes")) and value <= 0:
            yield Fault(where, f"must be greater than 0, got {value}")


def _relation_faults(settings: Settings) -> list[Fault]:
    faults = []
    slots = settings.slots
    if slots.renew_period_s * 2 > slots.loan_duration_s:
        faults.append(
            Fault(
                "$.slots.renew_period_s",
                "must be at most half of loan_duration_s, so that a loan does not "
                "expire after one lost renewal",
            )
        )
    bound_s = settings.membership.detection_bound_s()
    least_s = bound_s + slots.loan_duration_s
    if slots.take_over_wait_s < least_s - ROUNDING_TOLERANCE_S:
        faults.append(
            Fault(
                "$.slots.take_over_wait_s",
                f"must be at least {least_s:g}, the detection bound of membership "
                f"({bound_s:g}) plus loan_duration_s",
            )
        )
    if settings.plans.order_timeout_s * 2 > settings.plans.lease_s:
        faults.append(
            Fault(
                "$.plans.order_timeout_s",
                "must be at most half of lease_s, since an order is sent only if the "
                "lease cannot expire before it times out",
            )
        )
    if not settings.peers.keys or not all(settings.peers.keys):
        faults.append(
            Fault("$.peers.keys", "must have at least one key, and no empty one")
        )
    if not settings.node.node_id:
        faults.append(Fault("$.node.node_id", "must not be empty"))
    return faults


def _invalid(faults: list[Fault]) -> SettingsInvalid:
    return SettingsInvalid(
        f"{len(faults)} faults in the settings",
        faults=[fault._asdict() for fault in faults],
    )
