"""Registries of named implementations, filled by decorators.

Example::

    POLICIES: Registry[type[Policy]] = Registry("routing policy")

    @POLICIES.register("random")
    class RandomPolicy: ...

    POLICIES.get("random")
"""

from collections.abc import Callable
from typing import (
    Generic,
    TypeVar,
)

from egretshed.errors import NotFound

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind."""

    def __init__(self, kind: str):
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry; raise `NotFound` with the known names."""
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries))
            raise NotFound(f"unknown {self.kind} {name!r}; known: {known}") from None

    def names(self) -> list[str]:
        return sorted(self._entries)
