"""Names of tables and keys that the platform and its operators write."""

OPERATOR_TABLE = "op"
SERVER_TABLE = "servers"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
STATUS_TABLE = "status"
ROLLOUT_PREFIX = "rollout/"


def evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a key of the operators' table takes out.

    Returns None for any other key.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)


def rollout_service(key: str) -> str | None:
    """Return the service of a rollout that a key of the operators' table orders."""
    if not key.startswith(ROLLOUT_PREFIX):
        return None
    return key.removeprefix(ROLLOUT_PREFIX)
