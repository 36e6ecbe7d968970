"""Settings that disable single mechanisms of the nodes, to measure their benefit."""

from typing import Any

Sections = dict[str, dict[str, Any]]

# By mechanism, the settings that disable it.
DISABLING_SETTINGS: dict[str, Sections] = {
    "retries": {"retries": {"max_attempts": 1}},
    "retry_budgets": {"retries": {"budget_burst": 1_000_000}},
    "prefix_hints": {"routing": {"prefix_hints": False}},
    "circuit": {"routing": {"circuit": False}},
    "admission": {"admission": {"first_come": True}},
}


def settings_sections(policy: str, without: list[str]) -> Sections:
    """Return the settings sections for a routing policy and disabled mechanisms.

    `without` has keys of `DISABLING_SETTINGS`.
    """
    sections: Sections = {"routing": {"policy": policy}}
    for name in without:
        for section, fields in DISABLING_SETTINGS[name].items():
            sections.setdefault(section, {}).update(fields)
    return sections


def apply_sections(settings: dict[str, Any], sections: Sections) -> dict[str, Any]:
    """Return a copy of `settings` in which the fields of `sections` are replaced."""
    changed = dict(settings)
    for section, fields in sections.items():
        changed[section] = {**changed.get(section, {}), **fields}
    return changed
