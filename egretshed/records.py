"""Validated conversion of decoded JSON into `NamedTuple` records.

msgspec converts only JSON arrays into a `NamedTuple`. Records are JSON objects here, so
this module converts them field by field and leaves all other values to msgspec.
"""

from functools import cache
from typing import (
    Any,
    NamedTuple,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

T = TypeVar("T")


class Fault(NamedTuple):
    """One validation error; `path` is like ``$.slots.loan_duration_s``."""

    path: str
    message: str


def read_record(raw: Any, schema: type[T], path: str, faults: list[Fault]) -> T | None:
    """Return `raw` as a `schema`, or None if it is invalid.

    Each validation error is appended to `faults`.

    Example::

        faults = []
        pool = read_record({"role": "engine"}, Pool, "pools/a", faults)
    """
    if not isinstance(raw, dict):
        faults.append(Fault(path, f"expected an object, got {type(raw).__name__}"))
        return None
    hints = _type_hints(schema)
    faults_before = len(faults)
    for name in sorted(raw.keys() - hints.keys(), key=str):
        faults.append(Fault(f"{path}.{name}", "unknown field"))
    values = {}
    for name, hint in hints.items():
        if name in raw:
            values[name] = _read_value(raw[name], hint, f"{path}.{name}", faults)
        elif name not in schema._field_defaults:
            faults.append(Fault(f"{path}.{name}", "required field is missing"))
    return schema(**values) if len(faults) == faults_before else None


def to_object(value: Any) -> Any:
    """Return a record as JSON objects and arrays, the inverse of `read_record`."""
    if hasattr(value, "_asdict"):
        return {name: to_object(field) for name, field in value._asdict().items()}
    if isinstance(value, (tuple, list)):
        return [to_object(item) for item in value]
    if isinstance(value, dict):
        return {key: to_object(item) for key, item in value.items()}
    return value


@cache
def _type_hints(schema: type) -> dict[str, Any]:
    return get_type_hints(schema)


def _read_value(raw: Any, hint: Any, path: str, faults: list[Fault]) -> Any:
    if hasattr(hint, "_fields"):
        return read_record(raw, hint, path, faults)
    item_type = _record_item_type(hint)
    if item_type is not None and isinstance(raw, list):
        return tuple(
            read_record(item, item_type, f"{path}[{index}]", faults)
            for index, item in enumerate(raw)
        )
    try:
        return msgspec.convert(raw, hint)
    except msgspec.ValidationError as error:
        faults.append(Fault(path, str(error)))
        return None


def _record_item_type(hint: Any) -> type | None:
    """Return the record type if `hint` is ``tuple[Record, ...]``, else None."""
    if get_origin(hint) is tuple and hasattr(get_args(hint)[0], "_fields"):
        return get_args(hint)[0]
    return None
