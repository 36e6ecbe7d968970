"""Settings that can be replaced while the node runs."""

from typing import Any

from egretshed.settings.schema import Settings


class ReloadableSettings:
    """Reads like `Settings`; each access sees the file as last read.

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
