"""Claims, their table rows and what can be read of them."""

from typing import (
    Any,
    Literal,
    NamedTuple,
)

from egretshed.platform.interface import Row

# Larger outcomes go to the object store and the row names the object.
MAX_ROW_OUTCOME_BYTES = 64 * 1024

OutcomeState = Literal["running", "done", "unknown", "issued_elsewhere"]


class Claim(NamedTuple):
    """The exclusive right of one process to run one request, once.

    `token` differs for each attempt to claim; `issued` claims have no table row until
    their outcome is stored.
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
    """What is known of a claimed request; `outcome` is set if `state` is ``done``.

    ``unknown`` means that the claiming process has ended without a stored outcome.
    ``issued_elsewhere`` means that only the live node `node_id` can tell.
    """

    state: OutcomeState
    outcome: dict[str, Any] | None
    node_id: str
    incarnation: int


def claim_key(customer_id: str, request_id: str) -> str:
    """Return the row's key; customer ids contain no slash, so it is unambiguous."""
    return f"claims/{customer_id}/{request_id}"


def claimed_value(claim: Claim) -> dict[str, Any]:
    return {
        "node_id": claim.node_id,
        "incarnation": claim.incarnation,
        "claim_token": claim.token,
        "state": "claimed",
    }


def done_value(claim: Claim, outcome: Any, object_key: str | None) -> dict[str, Any]:
    stored = {"object_key": object_key} if object_key else {"outcome": outcome}
    return {**claimed_value(claim), "state": "done", **stored}


def is_row_of(claim: Claim, row: Row) -> bool:
    return row.value["claim_token"] == claim.token


def is_done(row: Row) -> bool:
    return row.value["state"] == "done"
