"""Tracks which requests have begun their stages, and which pieces they still need."""

from collections import Counter
from dataclasses import dataclass

from egretshed.stage_scheduling.admission import PendingStage

RequestKey = tuple[str, str]
# A request that was not dropped by its node is dropped this long after its deadline.
EXPIRY_GRACE_S = 0.5


@dataclass
class _Progress:
    needs: dict[int, PendingStage]  # by stage index
    drop_at_s: float
    has_begun: bool = False


class ProgressTracker:
    """Progress of the requests of all nodes whose stages this owner batches."""

    def __init__(self) -> None:
        self._requests: dict[RequestKey, _Progress] = {}
        self._pending_pieces: Counter[str] = Counter()

    def note_needs(
        self,
        key: RequestKey,
        needs: dict[int, PendingStage],
        has_begun: bool,
        deadline_at_s: float,
    ) -> None:
        """Update the stages that a request still needs, as reported by its node.

        For stages that are known already the count held here is kept: it does not
        include finished pieces that the node has not heard of yet.
        """
        known = self._requests.get(key)
        if known is not None:
            needs = {stage: known.needs.get(stage, n) for stage, n in needs.items()}
            has_begun = has_begun or known.has_begun
        self.drop(key)
        self._requests[key] = _Progress(dict(needs), deadline_at_s + EXPIRY_GRACE_S)
        if has_begun:
            self.mark_begun(key)

    def mark_begun(self, key: RequestKey) -> None:
        """Count a request's pieces as pending, since its first piece has started."""
        progress = self._requests.get(key)
        if progress is None or progress.has_begun:
            return
        progress.has_begun = True
        for need in progress.needs.values():
            self._count(need, 1)

    def is_known(self, key: RequestKey) -> bool:
        return key in self._requests

    def has_begun(self, key: RequestKey) -> bool:
        progress = self._requests.get(key)
        return progress is not None and progress.has_begun

    def note_piece_done(self, key: RequestKey, stage: int) -> None:
        """Record that one piece of a request is finished."""
        progress = self._requests.get(key)
        need = progress and progress.needs.get(stage)
        if not need:
            return
        self._count(need._replace(pieces=1), -1 if progress.has_begun else 0)
        if need.pieces > 1:
            progress.needs[stage] = need._replace(pieces=need.pieces - 1)
            return
        del progress.needs[stage]
        if not progress.needs:
            del self._requests[key]

    def drop(self, key: RequestKey) -> None:
        """Remove a request and what it still needs."""
        progress = self._requests.pop(key, None)
        if progress is not None and progress.has_begun:
            for need in progress.needs.values():
                self._count(need, -1)

    def drop_expired(self, now_s: float) -> None:
        """Drop expired requests, whose nodes stopped without cancelling them."""
        for key, progress in list(self._requests.items()):
            if progress.drop_at_s <= now_s:
                self.drop(key)

    def needs(self, key: RequestKey) -> tuple[PendingStage, ...]:
        """Return what a request still needs, in order of stage index."""
        progress = self._requests.get(key)
        if progress is None:
            return ()
        return tuple(need for _, need in sorted(progress.needs.items()))

    def pending_pieces(self, service: str) -> int:
        """Return the number of pieces that begun requests still need of a service."""
        return self._pending_pieces[service]

    def _count(self, need: PendingStage, sign: int) -> None:
        self._pending_pieces[need.service] += sign * need.pieces
