"""Claims, their table rows and the outcomes read from them."""

from typing import (
    Any,
    Literal,
    NamedTuple,
)

from egretshed.platform.interface import Row

# Larger outcomes are put into the object store; the row then has the object key.
MAX_ROW_OUTCOME_BYTES = 64 * 1024

OutcomeState = Literal["running", "done", "unknown", "issued_elsewhere"]


class Claim(NamedTuple):
    """The exclusive right of one process to run one request, once.

    `token` is unique to each attempt to claim. Claims of issued request ids (`issued`)
    have no table row until their outcome is stored.
    """

    customer_id: str
    request_id: str
    node_id: str
    incarnation: int
    token: str
    issued: bool = False

    @property
    def key(self) -> str:
        return claim_key(self.customer_id, self.request_id)


class StoredOutcome(NamedTuple):
    """State of a claimed request; `outcome` is set if `state` is ``done``.

    ``unknown`` means that the claiming process ended without storing an outcome.
    ``issued_elsewhere`` means that only the node `node_id`, which is running, knows the
    state.
    """

    state: OutcomeState
    outcome: dict[str, Any] | None
    node_id: str
    incarnation: int


def claim_key(customer_id: str, request_id: str) -> str:
    """Return the row key, which is unambiguous as customer ids contain no slash."""
    return f"claims/{customer_id}/{request_id}"


def claimed_row_value(claim: Claim) -> dict[str, Any]:
    return {
        "node_id": claim.node_id,
        "incarnation": claim.incarnation,
        "claim_token": claim.token,
        "state": "claimed",
    }


def done_row_value(
    claim: Claim, outcome: Any, object_key: str | None
) -> dict[str, Any]:
    stored = {"object_key": object_key} if object_key else {"outcome": outcome}
    return {**claimed_row_value(claim), "state": "done", **stored}


def is_row_of(claim: Claim, row: Row) -> bool:
    return row.value["claim_token"] == claim.token


def is_done(row: Row) -> bool:
    return row.value["state"] == "done"
