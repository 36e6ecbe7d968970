"""Replays arrivals against the stage queue's decisions in virtual time.

The servers are modelled as their declared figures say: a call takes its fixed time and
a time a piece; results take memory from the start of the call until they are fetched.
"""

import heapq
import itertools
from typing import NamedTuple

from egretshed.serving.schema import StageLimits
from egretshed.stagework.queue import (
    StageServerView,
    WaitingPiece,
    call_time_s,
    choose_batch,
    free_servers,
    startable,
    urgency,
)


class Arrival(NamedTuple):
    """One job: so many pieces of one size, wanted by a time."""

    at_s: float
    pieces: int
    result_bytes: int
    target_s: float
    priority: int = 0
    domain: str = ""


class Finished(NamedTuple):
    """One job's end; `far_bytes` were made outside its domain."""

    arrival: Arrival
    end_s: float
    far_bytes: int


class Policy(NamedTuple):
    """Which decisions are on; the plain one batches in order of arrival."""

    starts_by_memory: bool = True
    is_batching: bool = True


class _Job:
    def __init__(self, arrival: Arrival):
        self.arrival = arrival
        self.made: list[tuple[str, int]] = []
        self.far_bytes = 0


def replay(
    arrivals: list[Arrival],
    domains: list[str],
    limits: StageLimits,
    fetch_s: float,
    policy: Policy = Policy(),
    end_s: float = 60.0,
) -> list[Finished]:
    """Return the jobs that ended until `end_s`, in the order of their ends."""
    jobs = {("n", i): _Job(arrival) for i, arrival in enumerate(arrivals)}
    held = dict.fromkeys(range(len(domains)), 0)
    running = dict.fromkeys(range(len(domains)), 0)
    queue: list[WaitingPiece] = []
    finished: list[Finished] = []
    order = itertools.count()
    events = [(a.at_s, next(order), "arrive", ("n", i)) for i, a in enumerate(arrivals)]
    heapq.heapify(events)
    if not policy.is_batching:
        limits = limits._replace(batch_items=1)

    def views() -> list[StageServerView]:
        return [
            StageServerView(
                str(i), domain, limits.result_room_bytes - held[i], running[i], 1.0
            )
            for i, domain in enumerate(domains)
        ]

    def pump(now_s: float) -> None:
        for view in free_servers(views(), limits, len(queue)):
            index = int(view.server_id)
            begun = {p.ticket for p in queue if jobs[p.ticket].made}
            single_s = call_time_s(limits, 1)
            ordered = sorted(queue, key=lambda p: urgency(p, now_s, single_s))
            if policy.starts_by_memory:
                ordered = startable(queue, begun, views(), now_s, single_s)
            batch = choose_batch(ordered, view, set(domains), limits, now_s)
            if not batch:
                continue
            for piece in batch:
                queue.remove(piece)
                jobs[piece.ticket].made.append((view.server_id, piece.result_bytes))
            held[index] += sum(piece.result_bytes for piece in batch)
            running[index] += 1
            took_s = call_time_s(limits, len(batch))
            done = (index, [piece.ticket for piece in batch])
            heapq.heappush(events, (now_s + took_s, next(order), "done", done))

    remaining = {key: job.arrival.pieces for key, job in jobs.items()}
    while events and events[0][0] <= end_s:
        now_s, _, kind, what = heapq.heappop(events)
        if kind == "arrive":
            arrival = jobs[what].arrival
            queue += [
                WaitingPiece(
                    what,
                    segment,
                    now_s,
                    end_s,
                    now_s + arrival.target_s,
                    end_s,
                    arrival.priority,
                    arrival.domain,
                    arrival.result_bytes,
                    arrival.result_bytes,
                )
                for segment in range(arrival.pieces)
            ]
        elif kind == "done":
            index, tickets = what
            running[index] -= 1
            for ticket in tickets:
                job = jobs[ticket]
                if job.arrival.domain not in ("", domains[index]):
                    job.far_bytes += job.arrival.result_bytes
                remaining[ticket] -= 1
                if remaining[ticket] == 0:
                    finished.append(Finished(job.arrival, now_s, job.far_bytes))
                    fetched = (now_s + fetch_s, next(order), "free", ticket)
                    heapq.heappush(events, fetched)
        else:
            for server_id, size in jobs[what].made:
                held[int(server_id)] -= size
        pump(now_s)
    return finished
