"""Settings that can be reloaded while the node runs."""

from typing import Any

from egretshed.settings.schema import Settings


class ReloadableSettings:
    """Has the fields of `Settings`; each access reads the most recently loaded ones.

    Example::

        settings = ReloadableSettings(loaded)
        settings.bounds.drain_ms
        settings.replace(reloaded)
    """

    def __init__(self, settings: Settings):
        self._settings = settings

    def __getattr__(self, name: str) -> Any:
        return getattr(self._settings, name)

    def replace(self, settings: Settings) -> None:
        self._settings = settings

    @property
    def current(self) -> Settings:
        return self._settings
