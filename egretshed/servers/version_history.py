"""Software versions that each service has had, as listed and as recorded by others."""

from collections.abc import (
    Callable,
    Iterable,
)

from egretshed.environment import Environment
from egretshed.servers.records import ListedServer
from egretshed.servers.state import ServerState

# Where no earlier node has recorded the versions of a service, no server may be younger
# than this: a younger one may have replaced one of another version.
UNRECORDED_LIFE_S = 20.0


class VersionHistory:
    """Times at which the versions of services were last listed.

    `of_service` returns the servers of a service that are listed now.
    """

    def __init__(
        self, env: Environment, of_service: Callable[[str], Iterable[ServerState]]
    ):
        self.env = env
        self.of_service = of_service
        self._since_s = env.clock.monotonic_s()
        self._seen_s: dict[str, dict[str, float]] = {}
        # Services of which earlier nodes have recorded the versions.
        self._recorded_services: set[str] = set()

    def note_listed(self, listed: ListedServer) -> None:
        """Note the version of an entry that is, or was until now, in the list."""
        seen_s = self._seen_s.setdefault(listed.service, {})
        seen_s[listed.version] = self.env.clock.monotonic_s()

    def note_recorded(self, service: str, seen_s: dict[str, float]) -> None:
        """Add the times at which versions were last listed, from before the start."""
        self._recorded_services.add(service)
        known = self._seen_s.setdefault(service, {})
        for version, at_s in seen_s.items():
            known[version] = max(at_s, known.get(version, at_s))

    def only_version(self, service: str, for_s: float) -> str | None:
        """Return the version that all servers had for the last `for_s` seconds.

        None if there was more than one, or no server is listed. A node that has not
        followed the list for so long relies on the record of those before it. Where
        nothing was recorded it needs servers that are older instead: none of them has
        replaced one of another version meanwhile.
        """
        followed_s = self.env.clock.monotonic_s() - self._since_s
        needed_s = min(for_s, UNRECORDED_LIFE_S)
        if followed_s < needed_s and service not in self._recorded_services:
            oldest_ms = (self.env.clock.wall_s() - needed_s) * 1000
            if any(s.listed.started_ms > oldest_ms for s in self.of_service(service)):
                return None
        listed = {server.listed.version for server in self.of_service(service)}
        oldest_s = self.env.clock.monotonic_s() - for_s
        seen_s = self._seen_s.get(service, {})
        recent = {version for version, at_s in seen_s.items() if at_s > oldest_s}
        return next(iter(listed)) if len(listed) == 1 and recent <= listed else None

    def recent(self, for_s: float) -> dict[str, dict[str, float | None]]:
        """Return the versions of each service in the last `for_s` seconds.

        Each has the time at which it was last listed, None if it is listed now.
        """
        oldest_s = self.env.clock.monotonic_s() - for_s
        found: dict[str, dict[str, float | None]] = {}
        for service, seen_s in self._seen_s.items():
            listed = {s.listed.version for s in self.of_service(service)}
            found[service] = {
                version: None if version in listed else at_s
                for version, at_s in seen_s.items()
                if version in listed or at_s > oldest_s
            }
        return found
