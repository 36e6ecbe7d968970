"""Discrete-event simulation of the batching and admission decisions for stages.

The servers follow their declared limits: a call takes a fixed time plus a time per
piece, and results take memory from the start of the call until the next stage has used
them, or until they expire.
"""

import heapq
import itertools
from dataclasses import (
    dataclass,
    field,
)
from typing import NamedTuple

from egretshed.serving.schema import StageLimits
from egretshed.stage_scheduling.admission import (
    PendingStage,
    ServiceLoad,
    WaitingRequest,
    admit,
)
from egretshed.stage_scheduling.batching import (
    StageServerView,
    WaitingJob,
    available_servers,
    call_time_s,
    choose_batch,
    startable_jobs,
    urgency_key,
)
from egretshed.stage_scheduling.graph import (
    StagePlan,
    stages_to_await,
)
from egretshed.stage_scheduling.progress import ProgressTracker


class Arrival(NamedTuple):
    """One request: its arrival, stage graph, and target and deadline from arrival."""

    at_s: float
    plans: tuple[StagePlan, ...]
    target_s: float
    deadline_s: float = 60.0
    priority: int = 0
    kind: str = ""


class Finished(NamedTuple):
    """The end of one request; `is_done` is False if it missed its deadline or a result
    that it needed expired.
    """

    arrival: Arrival
    end_s: float
    is_done: bool


class Policy(NamedTuple):
    """Which decisions are on.

    Without `checks_memory` jobs start in order of urgency, without regard to memory and
    admission. Without `batches_pieces` each call holds one piece.
    """

    checks_memory: bool = True
    batches_pieces: bool = True
    has_admission_control: bool = True
    delays_short_branches: bool = True


class ServiceFigures(NamedTuple):
    """Number of servers of one stage service, and the limits of each."""

    servers: int
    limits: StageLimits


class _Result(NamedTuple):
    server_id: str
    size_bytes: int
    expires_at_s: float


@dataclass
class _Request:
    arrival: Arrival
    pieces_left: dict[int, int]
    results: dict[int, list[_Result]]
    done: set[int] = field(default_factory=set)
    submitted: set[int] = field(default_factory=set)
    freed: set[int] = field(default_factory=set)
    is_over: bool = False

    def followers(self, index: int) -> list[int]:
        return [p.index for p in self.arrival.plans if index in p.after]


class _Simulation:
    def __init__(self, arrivals, services, fetch_s, policy, end_s):
        self.services = services
        self.fetch_s = fetch_s
        self.policy = policy
        self.end_s = end_s
        self.requests = {
            ("n", str(i)): _Request(
                arrival,
                {plan.index: plan.piece_count for plan in arrival.plans},
                {plan.index: [] for plan in arrival.plans},
            )
            for i, arrival in enumerate(arrivals)
        }
        self.progress = ProgressTracker()
        self.queues: dict[str, dict] = {name: {} for name in services}
        self.held_bytes = {
            f"{name}/{i}": 0
            for name, figures in services.items()
            for i in range(figures.servers)
        }
        self.running = dict.fromkeys(self.held_bytes, 0)
        self.order = itertools.count()
        self.events: list = []
        self.finished: list[Finished] = []

    def schedule(self, when_s, kind, payload):
        heapq.heappush(self.events, (when_s, next(self.order), kind, payload))

    def run(self) -> list[Finished]:
        for key, request in self.requests.items():
            self.schedule(request.arrival.at_s, "arrive", key)
        while self.events and self.events[0][0] <= self.end_s:
            now_s, _, kind, payload = heapq.heappop(self.events)
            getattr(self, f"on_{kind}")(now_s, payload)
            for service in self.services:
                self.dispatch(service, now_s)
        return self.finished

    def on_arrive(self, now_s, key):
        self.submit_ready(now_s, key)
        deadline_s = self.requests[key].arrival.deadline_s
        self.schedule(now_s + deadline_s, "deadline", key)

    def submit_ready(self, now_s, key):
        request = self.requests[key]
        plans = list(request.arrival.plans)
        for plan in plans:
            awaited = plan.after
            if self.policy.delays_short_branches:
                awaited = stages_to_await(plan, plans)
            if plan.index not in request.submitted and request.done >= set(awaited):
                request.submitted.add(plan.index)
                self.submit(now_s, key, request, plan)

    def submit(self, now_s, key, request, plan):
        arrival = request.arrival
        needs = {
            p.index: PendingStage(p.service, p.piece_count, p.result_bytes)
            for p in arrival.plans
            if p.index not in request.done
        }
        has_begun = bool(request.done)
        deadline_at_s = arrival.at_s + arrival.deadline_s
        self.progress.note_needs(key, needs, has_begun, deadline_at_s)
        job_id = ("n", int(key[1]) * 10 + plan.index)
        self.queues[plan.service][job_id] = WaitingJob(
            job_id=job_id,
            request_key=key,
            segments=tuple(range(plan.piece_count)),
            queued_at_s=now_s,
            deadline_at_s=deadline_at_s,
            target_at_s=arrival.at_s + arrival.target_s,
            must_start_at_s=self.end_s,
            priority=arrival.priority,
            preferred_domain="",
            far_bytes=0,
            result_bytes=plan.result_bytes,
            has_begun=self.progress.has_begun(key),
        )

    def on_done(self, now_s, payload):
        server_id, pieces = payload
        self.running[server_id] -= 1
        for piece in pieces:
            key, index = ("n", str(piece.job_id[1] // 10)), piece.job_id[1] % 10
            request = self.requests[key]
            service = server_id.partition("/")[0]
            ttl_s = self.services[service].limits.result_ttl_s
            result = _Result(server_id, piece.result_bytes, now_s + ttl_s)
            self.schedule(result.expires_at_s, "expire", (key, index, result))
            request.results[index].append(result)
            if request.is_over:
                continue
            self.progress.note_piece_done(key, index)
            request.pieces_left[index] -= 1
            if request.pieces_left[index] == 0:
                self.on_stage_done(now_s, key, request, index)

    def on_stage_done(self, now_s, key, request, index):
        request.done.add(index)
        for plan in request.arrival.plans:
            if plan.index == index:
                for predecessor in plan.after:
                    if request.done >= set(request.followers(predecessor)):
                        self.free(request, predecessor)
        if len(request.done) == len(request.arrival.plans):
            self.schedule(now_s + self.fetch_s, "free", key)
            self.end(request, now_s, True)
            return
        self.submit_ready(now_s, key)

    def end(self, request, now_s, is_done):
        request.is_over = True
        self.finished.append(Finished(request.arrival, now_s, is_done))

    def on_expire(self, now_s, payload):
        """Remove an expired result; a request that still needs it fails."""
        key, index, result = payload
        request = self.requests[key]
        if result not in request.results[index]:
            return
        request.results[index].remove(result)
        self.held_bytes[result.server_id] -= result.size_bytes
        if not request.is_over and index not in request.freed:
            self.drop(now_s, key, request)

    def on_deadline(self, now_s, key):
        if not self.requests[key].is_over:
            self.drop(now_s, key, self.requests[key])

    def drop(self, now_s, key, request):
        for queue in self.queues.values():
            for job_id in [t for t, j in queue.items() if j.request_key == key]:
                del queue[job_id]
        self.progress.drop(key)
        self.end(request, now_s, False)
        for index in request.results:
            self.free(request, index)

    def on_free(self, now_s, key):
        for index in self.requests[key].results:
            self.free(self.requests[key], index)

    def free(self, request, index):
        request.freed.add(index)
        for result in request.results[index]:
            self.held_bytes[result.server_id] -= result.size_bytes
        request.results[index].clear()

    def views(self, service):
        figures = self.services[service]
        limits = figures.limits
        return [
            StageServerView(
                f"{service}/{i}",
                f"d{i}",
                limits.result_capacity_bytes - self.held_bytes[f"{service}/{i}"],
                self.running[f"{service}/{i}"],
                1.0,
            )
            for i in range(figures.servers)
        ]

    def load(self, service):
        figures = self.services[service]
        limits = figures.limits
        call_s = call_time_s(limits, limits.batch_items)
        return ServiceLoad(
            figures.servers * limits.batch_items / call_s,
            call_s,
            self.progress.pending_pieces(service),
        )

    def may_begin(self, now_s):
        waiting = [
            job
            for queue in self.queues.values()
            for job in queue.values()
            if not self.progress.has_begun(job.request_key)
        ]
        if not self.policy.has_admission_control:
            return {job.request_key for job in waiting}
        waiting.sort(key=lambda job: urgency_key(job, now_s, 0.2))
        requests = [
            WaitingRequest(j.request_key, self.progress.needs(j.request_key), 0.0)
            for j in waiting
        ]
        return admit(requests, {name: self.load(name) for name in self.services})

    def ordered(self, service, limits, now_s):
        jobs = self.queues[service].values()
        if not self.policy.checks_memory:
            return sorted(jobs, key=lambda job: urgency_key(job, now_s, 0.2))
        return startable_jobs(
            jobs, self.may_begin(now_s), self.views(service), limits, now_s
        )

    def dispatch(self, service, now_s):
        limits = self.services[service].limits
        if not self.policy.batches_pieces:
            limits = limits._replace(batch_items=1)
        queue = self.queues[service]
        waiting = sum(len(job.segments) for job in queue.values())
        for view in available_servers(self.views(service), limits, waiting):
            ordered = self.ordered(service, limits, now_s)
            batch = choose_batch(ordered, view, set(), limits, now_s)
            if batch:
                self.start_call(now_s, view.server_id, queue, batch, limits)

    def start_call(self, now_s, server_id, queue, batch, limits):
        for piece in batch:
            job = queue.pop(piece.job_id)
            self.progress.mark_begun(job.request_key)
            rest = tuple(s for s in job.segments if s != piece.segment)
            if rest:
                queue[piece.job_id] = job._replace(
                    segments=rest, has_begun=True, is_started=True
                )
            self.held_bytes[server_id] += piece.result_bytes
        self.running[server_id] += 1
        took_s = call_time_s(limits, len(batch))
        self.schedule(now_s + took_s, "done", (server_id, batch))


def simulate(
    arrivals: list[Arrival],
    services: dict[str, ServiceFigures],
    fetch_s: float,
    policy: Policy = Policy(),
    end_s: float = 60.0,
) -> list[Finished]:
    """Simulate until `end_s`; return the ended requests in order of end time.

    The results of a request are freed `fetch_s` after its last stage.
    """
    return _Simulation(arrivals, services, fetch_s, policy, end_s).run()
