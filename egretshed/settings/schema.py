"""Schema of the daemon's settings file.

Field names end in their unit. The defaults suit a deployment of 7 to 9 entry VMs.
"""

from typing import NamedTuple


class NodeSettings(NamedTuple):
    """Identity, location and capacity of this VM.

    The VM may use the fraction `core_share` of each of its `cores` processor cores. Its
    process is ended if it uses more than `memory_mb`. It may have `max_descriptors`
    open; 0 is for as many as the process is allowed.
    """

    node_id: str
    failure_domain: str
    region: str
    host: str = "127.0.0.1"
    http_port: int = 0
    peer_port: int = 0
    cores: float = 1.0
    core_share: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 300.0
    max_descriptors: int = 0


class PlatformSettings(NamedTuple):
    """Connection to the platform's services by the registered `adapter`."""

    url: str
    adapter: str = "http_json"
    call_timeout_s: float = 1.0
    key: str = ""


class PeerSettings(NamedTuple):
    """Connections between nodes.

    Messages are signed with the first of `keys` and accepted with any of them.
    """

    keys: tuple[str, ...]
    call_timeout_s: float = 1.0
    connect_timeout_s: float = 1.0
    silence_limit_s: float = 5.0
    max_frame_bytes: int = 4 * 1024 * 1024


class MembershipSettings(NamedTuple):
    probe_period_s: float = 0.5
    probe_timeout_s: float = 0.2
    suspicion_s: float = 1.5
    indirect_probes: int = 2
    vm_list_period_s: float = 2.0
    sync_period_s: float = 30.0
    address_keep_s: float = 5.0
    pause_limit_s: float = 1.0

    def detection_bound_s(self) -> float:
        """Return the part of the failure detection bound independent of the fleet size.

        It is the suspicion time plus four probe periods: the wait for the next probe,
        the probe that fails, its indirect probes, and the check that ends the
        suspicion. `MembershipService.detection_bound_s` adds the time for the update to
        propagate, which depends on the size of the fleet.
        """
        return self.suspicion_s + 4 * self.probe_period_s


class SlotSettings(NamedTuple):
    """Loans of replica slots from a replica's owner to other nodes.

    `loan_duration_s` covers one lost renewal: 0.5 s until the renewal is due, 1 s until
    its call times out, and the next call. `take_over_wait_s`, which a new owner waits
    before it lends, covers the detection bound of membership plus one loan duration:
    the previous owner may still lend for the first, and borrowers may use its last
    loans for the second.
    """

    loan_duration_s: float = 2.0
    renew_period_s: float = 0.5
    take_over_wait_s: float = 5.5
    load_report_period_s: float = 0.5


class RoutingSettings(NamedTuple):
    """`prefix_hints` and `circuit` are switched off only to benchmark their effect."""

    policy: str = "predictive"
    prefix_hints: bool = True
    circuit: bool = True


class AdmissionSettings(NamedTuple):
    """Limits on queued and running requests.

    `first_come` admits requests in order of arrival and refuses none, as a baseline for
    benchmarks.
    """

    queue_requests: int = 512
    running_requests: int = 256
    first_come: bool = False


class RetrySettings(NamedTuple):
    budget_share: float = 0.1
    budget_burst: int = 10
    max_attempts: int = 3
    hedge: bool = False


class ClaimSettings(NamedTuple):
    group_delay_s: float = 0.02
    group_max_claims: int = 100


class StreamSettings(NamedTuple):
    """Buffers of response streams, kept for callers that reconnect."""

    keep_s: float = 60.0
    buffer_bytes: int = 64 * 1024 * 1024
    coalesce_s: float = 0.005
    caller_silence_limit_s: float = 15.0


class HttpSettings(NamedTuple):
    body_limit_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0


class ConfigurationSettings(NamedTuple):
    """Propagation of the configuration.

    `bootstrap_key_digests` are accepted as an operator's keys until version 1 exists.
    """

    poll_period_s: float = 1.0
    freshness_limit_s: float = 4.0
    bootstrap_key_digests: tuple[str, ...] = ()


class PlanSettings(NamedTuple):
    """Execution of plans.

    A node that takes over execution waits `lease_s` plus `order_timeout_s` first.
    """

    lease_s: float = 6.0
    order_timeout_s: float = 2.0
    step_period_s: float = 0.5
    idle_poll_s: float = 2.0
    wait_limit_s: float = 120.0
    order_attempts: int = 5


class ShutdownSettings(NamedTuple):
    limit_s: float = 30.0


class ListenerSettings(NamedTuple):
    """Listen addresses as ``HOST:PORT``.

    The callers' platform connects to all of them except `metrics`.
    """

    callers: str = ""
    readiness: str = ""
    directory: str = ""
    metrics: str = ""


class BoundSettings(NamedTuple):
    """Service levels that the deployment's operators promise to their callers.

    The deployment's platform supplies the values; the defaults are those of the first
    deployments.
    """

    contact_ms: int = 3000
    drain_ms: int = 2000
    shutdown_s: float = 8.0
    configuration_ms: int = 2000
    evacuation_ms: int = 5000
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 54.0
    cold_overshoot: float = 1.5
    cold_tolerance: float = 5.0
    address_keep_limit_s: float = 5.0
    heartbeat_ms: int = 1200
    canary_share: float = 0.1
    canary_tolerance: float = 50.0


class FeedSettings(NamedTuple):
    """`store_readers` nodes read the platform's tables; the others sync from them."""

    store_readers: int = 5


class Settings(NamedTuple):
    """Content of the settings file."""

    node: NodeSettings
    platform: PlatformSettings
    peers: PeerSettings
    membership: MembershipSettings = MembershipSettings()
    slots: SlotSettings = SlotSettings()
    routing: RoutingSettings = RoutingSettings()
    admission: AdmissionSettings = AdmissionSettings()
    retries: RetrySettings = RetrySettings()
    claims: ClaimSettings = ClaimSettings()
    streams: StreamSettings = StreamSettings()
    http: HttpSettings = HttpSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    plans: PlanSettings = PlanSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    listeners: ListenerSettings = ListenerSettings()
    bounds: BoundSettings = BoundSettings()
    feeds: FeedSettings = FeedSettings()
    failure_domain_regions: dict[str, str] = {}
    log_level: str = "INFO"
