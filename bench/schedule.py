"""Request schedule of a run, generated from a seed before the run starts.

`mix.json` of a deployment has, for each kind, its `share` of the requests and the
length of its prompts, `prompt_characters`.
"""

import random
from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

import msgspec

BURST_SPREAD_S = 1.0
SESSIONS = 4
PROMPT_WORD = "record "


class KindProfile(NamedTuple):
    """Properties of a kind for callers; `max_tokens` is 0 for a plain service."""

    name: str
    deadline_s: float
    max_tokens: int
    share: float
    prompt_characters: int


class PlannedRequest(NamedTuple):
    """A request to send `at_s` seconds after the start of the run."""

    at_s: float
    request_id: str
    customer_id: str
    kind: str
    body: dict[str, Any]


class Burst(NamedTuple):
    """Requests that arrive within one second, such as after a power failure."""

    at_s: float
    requests: int


class Load(NamedTuple):
    """Open-loop load of one run; `rate` is in requests per second."""

    rate: float
    seconds: float
    bursts: tuple[Burst, ...] = ()
    seed: int = 1
    run: str = "run"


class Deployment(NamedTuple):
    """The part of a deployment that callers use."""

    kinds: dict[str, KindProfile]
    customer_shares: dict[str, float]
    customer_keys: dict[str, str]


def read_deployment(folder: Path) -> Deployment:
    kinds = _read(folder / "kinds.json")
    mix = _read(folder / "mix.json")
    customers = _read(folder / "customers.json")
    return Deployment(
        kinds={
            name: KindProfile(
                name,
                kinds[name]["deadline_s"],
                kinds[name].get("max_tokens", 0) if "pipeline" in kinds[name] else 0,
                entry["share"],
                entry["prompt_characters"],
            )
            for name, entry in mix.items()
        },
        customer_shares={name: c["share"] for name, c in customers.items()},
        customer_keys=_read(folder / "sample_keys.json")["customers"],
    )


def plan_requests(deployment: Deployment, load: Load) -> list[PlannedRequest]:
    """Return Poisson arrivals and bursts in time order, determined by the seed."""
    source = random.Random(load.seed)
    times = []
    at_s = 0.0
    while load.rate > 0:
        at_s += source.expovariate(load.rate)
        if at_s >= load.seconds:
            break
        times.append(at_s)
    for burst in load.bursts:
        times += [
            burst.at_s + source.random() * BURST_SPREAD_S for _ in range(burst.requests)
        ]
    return [
        _plan_request(deployment, load, number, at_s, source)
        for number, at_s in enumerate(sorted(times))
    ]


def _plan_request(
    deployment, load: Load, number: int, at_s: float, source
) -> PlannedRequest:
    kind = _choose(source, {name: k.share for name, k in deployment.kinds.items()})
    customer_id = _choose(source, deployment.customer_shares)
    profile = deployment.kinds[kind]
    words = profile.prompt_characters // len(PROMPT_WORD)
    session = f"{customer_id}-{source.randrange(SESSIONS)}"
    return PlannedRequest(
        at_s=at_s,
        request_id=f"{load.run}-{load.seed}-{number}",
        customer_id=customer_id,
        kind=kind,
        body={"prompt": PROMPT_WORD * words, "session": session},
    )


def _choose(source: random.Random, weights: dict[str, float]) -> str:
    return source.choices(list(weights), list(weights.values()))[0]


def _read(file: Path) -> dict[str, Any]:
    return msgspec.json.decode(file.read_bytes())
