"""Configuration services with one injected fault each, to test the oracle's checks."""

from egretshed.configuration.schema import EMPTY_CONFIGURATION
from egretshed.configuration.service import ConfigurationService
from egretshed.errors import VersionConflict


class DoesNotReceive(ConfigurationService):
    """After its start, activates only the versions that it wrote itself."""

    def __init__(self, *parts):
        super().__init__(*parts)
        self._propagator.fetch_once = self._fetch_nothing

    async def _fetch_nothing(self, node_id: str) -> bool:
        return False

    async def _poll_table(self) -> None:
        pass


class ForgetsVersion(ConfigurationService):
    """Resets itself to the empty configuration before each poll."""

    async def _poll_table(self) -> None:
        self._active.current = EMPTY_CONFIGURATION
        self._active.objects = {}
        await super()._poll_table()


class HidesConflicts(ConfigurationService):
    async def change(self, base_version, *rest) -> int:
        try:
            return await super().change(base_version, *rest)
        except VersionConflict:
            return base_version + 1


class RefusesAfterWriting(ConfigurationService):
    async def change(self, base_version, *rest) -> int:
        version = await super().change(base_version, *rest)
        raise VersionConflict("refused", version=version)


FAULTS = {
    "does not receive": DoesNotReceive,
    "forgets its version": ForgetsVersion,
    "hides conflicts": HidesConflicts,
    "refuses after writing": RefusesAfterWriting,
}
