"""Mechanisms of the nodes that a run can do without, to see what each one is worth."""

from typing import Any

Sections = dict[str, dict[str, Any]]

# Settings that switch each mechanism off.
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
    """Return `settings` with the fields of `sections` replaced."""
    changed = dict(settings)
    for section, fields in sections.items():
        changed[section] = {**changed.get(section, {}), **fields}
    return changed
