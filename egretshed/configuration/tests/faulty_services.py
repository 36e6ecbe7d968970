"""Configuration services with one deliberate fault each, for tests of the checks."""

from egretshed.configuration.schema import EMPTY_CONFIGURATION
from egretshed.configuration.service import ConfigurationService
from egretshed.errors import VersionConflict


class DoesNotReceive(ConfigurationService):
    """Learns of no version after its start except those that it wrote."""

    def __init__(self, *parts):
        super().__init__(*parts)
        self._propagator.fetch = self._fetch_nothing

    async def _fetch_nothing(self, node_id: str) -> bool:
        return False

    async def _poll(self) -> None:
        pass


class ForgetsVersion(ConfigurationService):
    """Starts again from the empty configuration now and then."""

    async def _poll(self) -> None:
        self._active.current = EMPTY_CONFIGURATION
        self._active.objects = {}
        await super()._poll()


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
