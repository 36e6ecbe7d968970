"""Encodes what a node has seen of a rollout for its reports, and decodes it."""

from collections import Counter

from egretshed.gen.messages.ttypes import RolloutCell
from egretshed.rollouts.evidence import (
    Answers,
    CellKey,
    Evidence,
)


def encode_evidence(evidence: Evidence) -> list[RolloutCell]:
    return [
        RolloutCell(
            key.route,
            key.server_id,
            answers.failures,
            dict(answers.latency_counts),
            dict(answers.running_counts),
        )
        for key, answers in evidence.items()
    ]


def decode_evidence(cells: list[RolloutCell]) -> Evidence:
    return {
        CellKey(cell.route_name, cell.server_id): Answers(
            cell.failures, Counter(cell.latency_counts), Counter(cell.running_counts)
        )
        for cell in cells
    }
