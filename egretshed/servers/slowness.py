"""Expected slowness of a server: its own as observed x that of its machine as reported.

Load pattern: servers share their machines with others, so that work takes longer for
some tenths of a second here and there, and a server turns slow for seconds. Many nodes
share the servers, and each hears of one only with its own responses. What the newest
report says beyond the mean of the machine loses weight within tenths of a second, the
mean and the observed times within seconds, so that a server that is well gets work.
"""

import math
from typing import NamedTuple

# Time constant with which the newest figure decays to the mean of its machine.
FIGURE_TIME_CONSTANT_S = 0.3
# Time constant with which the mean of a machine decays to the usual 1.0.
MEAN_TIME_CONSTANT_S = 4.0
# Figures outside these limits count as the nearest one.
SLOWNESS_LIMITS = (0.2, 10.0)


class MachineSlowness(NamedTuple):
    """Reported slowness of the machine of one server; 1.0 is usual.

    `mean` averages the reports, `newest` is `age_s` old.
    """

    mean: float = 1.0
    newest: float = 1.0
    age_s: float = 0.0


def limited(slowness: float) -> float:
    least, most = SLOWNESS_LIMITS
    return min(most, max(least, slowness))


def expected_slowness(machine: MachineSlowness) -> float:
    """Return how long work that starts now is expected to take there, 1.0 as usual.

    For example, with a report of 3.0 on a machine that is mostly as usual::

        expected_slowness(MachineSlowness(1.0, 3.0, 0.05))    # 2.69
        expected_slowness(MachineSlowness(1.0, 3.0, 0.2))     # 2.03
        expected_slowness(MachineSlowness(1.0, 3.0, 0.5))     # 1.38
    """
    usual = 1 + (machine.mean - 1) * math.exp(-machine.age_s / MEAN_TIME_CONSTANT_S)
    weight = math.exp(-machine.age_s / FIGURE_TIME_CONSTANT_S)
    return usual + (machine.newest - usual) * weight


def corrected_slowness(
    observed: float, observed_at: float, trust: float, machine: MachineSlowness
) -> float:
    """Return the expected slowness of a server from its responses and its reports.

    `observed` is the measured over the declared time of earlier work, done while the
    machine reported `observed_at`. What that figure does not explain is the server's
    own slowness, which counts with `trust`, from 1 for a new observation to 0.
    """
    own = 1 + (observed / observed_at - 1) * trust
    return own * expected_slowness(machine)
