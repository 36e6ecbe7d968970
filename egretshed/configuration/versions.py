"""Version records: the content of each accepted change, to apply or to undo it."""

from typing import (
    Any,
    NamedTuple,
)

from egretshed.configuration.schema import (
    ObjectBody,
    ObjectId,
)
from egretshed.errors import ConfigurationInvalid

HEAD_KEY = "configuration/head"
VERSIONS_PREFIX = "configuration/versions/"
OBJECTS_PREFIX = "configuration/objects/"
VERSION_DIGITS = 12

Objects = dict[ObjectId, ObjectBody]
Changes = dict[ObjectId, ObjectBody | None]


class VersionRecord(NamedTuple):
    """One version of the configuration.

    `changes` maps object ids to the new bodies, or to None if the object was removed;
    `previous` maps them to the bodies before the change, or to None if it was added.
    `transaction_id` is unique to the write attempt. `wall_s` is the wall-clock time of
    the writing node, in seconds; it is informative only.
    """

    version: int
    operator: str
    reason: str
    wall_s: float
    changes: Changes
    previous: Changes
    transaction_id: str


def version_key(version: int) -> str:
    return f"{VERSIONS_PREFIX}{version:0{VERSION_DIGITS}d}"


def object_key(object_id: ObjectId) -> str:
    return f"{OBJECTS_PREFIX}{object_id}"


def decode_record(raw: dict[str, Any]) -> VersionRecord:
    """Return the record decoded from a table row or from a peer's delta."""
    return VersionRecord(**{name: raw[name] for name in VersionRecord._fields})


def with_changes(objects: Objects, changes: Changes) -> Objects:
    """Return a copy of `objects` with `changes` applied; None removes an object."""
    merged = {**objects, **changes}
    return {object_id: body for object_id, body in merged.items() if body is not None}


def diff_objects(before: Objects, after: Objects) -> Changes:
    """Return the changes that turn `before` into `after`.

    Example::

        diff_objects({"models/a": {"version": "1"}}, {}) == {"models/a": None}
    """
    return {
        object_id: after.get(object_id)
        for object_id in sorted(before.keys() | after.keys())
        if before.get(object_id) != after.get(object_id)
    }


def validate_changes(objects: Objects, changes: Changes) -> None:
    """Raise `ConfigurationInvalid` for no changes or removal of an unknown object."""
    faults = [
        {"path": object_id, "message": "cannot remove an object that does not exist"}
        for object_id, body in changes.items()
        if body is None and object_id not in objects
    ]
    if not changes:
        faults.append({"path": "$", "message": "the change is empty"})
    if faults:
        raise ConfigurationInvalid(f"{len(faults)} faults in the change", faults=faults)
