"""HTTP API for operators under ``/v1/operator/``.

Each handler declares the right that it requires. Operators are authenticated by their
key against the configuration in force, so a changed key takes effect without a restart.
"""

from collections.abc import (
    Awaitable,
    Callable,
)
from typing import (
    Any,
    ClassVar,
    NamedTuple,
)

import msgspec
from tornado.web import RequestHandler

from egretshed.configuration.keys import matches_any_digest
from egretshed.configuration.schema import Operator
from egretshed.configuration.validation import build_configuration
from egretshed.environment import Environment
from egretshed.errors import (
    EgretshedError,
    Forbidden,
    InvalidRequest,
    NotFound,
    Unauthorized,
)
from egretshed.logs import log_event
from egretshed.operators.views import (
    diff_objects,
    node_views,
    replica_views,
    status_view,
)
from egretshed.plans.model import Plan
from egretshed.records import to_object
from egretshed.untrusted_json import decode_untrusted

PATH_PREFIX = "/v1/operator"
BOOTSTRAP_OPERATOR = "bootstrap"
BOOTSTRAP_RIGHTS = ("read", "plan", "confirm")
BEARER_PREFIX = "Bearer "
HISTORY_LIMIT = 100


class OperatorServices(NamedTuple):
    """Services of this node that the handlers use.

    `outcomes` returns the known outcomes of a request id: one record for each customer
    that used it, with at least `customer_id` and `outcome`.
    """

    env: Environment
    configuration: Any
    membership: Any
    slots: Any
    plans: Any
    outcomes: Callable[[str], Awaitable[list[dict[str, Any]]]]


def operator_routes(services: OperatorServices) -> list[tuple]:
    """Return the routes of the operator API for a tornado application."""
    handlers: dict[str, type[OperatorHandler]] = {
        "/status": StatusHandler,
        "/nodes": NodesHandler,
        "/replicas": ReplicasHandler,
        "/requests/([^/]+)": RequestOutcomesHandler,
        "/configuration": ConfigurationHandler,
        "/configuration/history": ConfigurationHistoryHandler,
        "/configuration/diff": ConfigurationDiffHandler,
        "/configuration/check": ConfigurationCheckHandler,
        "/plans": PlansHandler,
        "/plans/([^/]+)": PlanHandler,
        "/plans/([^/]+)/confirm": PlanConfirmHandler,
        "/plans/([^/]+)/control": PlanControlHandler,
    }
    return [
        (PATH_PREFIX + path, handler, {"services": services})
        for path, handler in handlers.items()
    ]


class OperatorHandler(RequestHandler):
    """Authenticates operators, checks their rights and reports errors as JSON.

    `required_rights` maps HTTP methods to rights.
    """

    required_rights: ClassVar[dict[str, str]] = {"GET": "read"}

    def initialize(self, services: OperatorServices) -> None:
        self.services = services
        self.operator = ""

    def prepare(self) -> None:
        header = self.request.headers.get("Authorization", "")
        if not header.startswith(BEARER_PREFIX):
            raise Unauthorized("an operator key is required as bearer token")
        key = header.removeprefix(BEARER_PREFIX)
        # All operators are compared, so that timing does not reveal which one matches.
        matching = [
            (name, operator.rights)
            for name, operator in self.operators().items()
            if matches_any_digest(key, operator.key_digests)
        ]
        if not matching:
            raise Unauthorized("unknown operator key")
        self.operator, rights = matching[0]
        required = self.required_rights.get(self.request.method or "")
        if required is not None and required not in rights:
            message = f"operator {self.operator} does not have the right {required}"
            raise Forbidden(message, right=required)

    def operators(self) -> dict[str, Operator]:
        """Return the declared operators by name.

        Before the first configuration this is the bootstrap operator, whose keys come
        from the settings.
        """
        configuration = self.services.configuration.current
        if configuration.version > 0:
            return configuration.operators
        settings = self.services.env.settings.configuration
        digests = settings.bootstrap_key_digests
        return {BOOTSTRAP_OPERATOR: Operator(digests, BOOTSTRAP_RIGHTS)}

    def json_body(self, **types: type) -> dict[str, Any]:
        """Return the JSON body, an object with at least the typed fields.

        Raises `InvalidRequest` if a field is missing or has another type.
        """
        try:
            body = decode_untrusted(self.request.body)
        except msgspec.DecodeError as error:
            raise InvalidRequest(f"request body is not JSON: {error}") from None
        if not isinstance(body, dict):
            raise InvalidRequest("request body must be an object")
        for name, type_ in types.items():
            if not isinstance(body.get(name), type_):
                raise InvalidRequest(f"field {name!r} must be a {type_.__name__}")
        return body

    def write_json(self, value: Any, status: int = 200) -> None:
        """Send `value` as JSON and finish the response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(to_object(value)))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, EgretshedError):
            self.write_json(error.to_body(), error.http_status)
        else:
            message = self._reason
            self.write_json({"error": "internal", "message": message}, status_code)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        log_event(
            self.services.env.logger,
            "operator_request_failed",
            path=self.request.path,
            operator=self.operator,
            error=getattr(value, "code", type(value).__name__),
            detail=str(value),
        )


class StatusHandler(OperatorHandler):
    def get(self) -> None:
        self.write_json(status_view(self.services))


class NodesHandler(OperatorHandler):
    def get(self) -> None:
        self.write_json(node_views(self.services))


class ReplicasHandler(OperatorHandler):
    def get(self) -> None:
        self.write_json(replica_views(self.services))


class RequestOutcomesHandler(OperatorHandler):
    async def get(self, request_id: str) -> None:
        records = await self.services.outcomes(request_id)
        if not records:
            raise NotFound(f"request {request_id!r} is unknown")
        self.write_json(records)


class ConfigurationHandler(OperatorHandler):
    def get(self) -> None:
        configuration = self.services.configuration
        self.write_json(
            {
                "version": configuration.current.version,
                "objects": dict(sorted(configuration.objects().items())),
            }
        )


class ConfigurationHistoryHandler(OperatorHandler):
    async def get(self) -> None:
        self.write_json(await self.services.configuration.history(HISTORY_LIMIT))


class ConfigurationDiffHandler(OperatorHandler):
    async def get(self) -> None:
        configuration = self.services.configuration
        before = await configuration.objects_at(self._version("from"))
        after = await configuration.objects_at(self._version("to"))
        self.write_json(diff_objects(before, after))

    def _version(self, name: str) -> int:
        value = self.get_query_argument(name, "")
        if not value.isdecimal():
            raise InvalidRequest(f"query argument {name!r} must be a version number")
        return int(value)


class ConfigurationCheckHandler(OperatorHandler):
    required_rights = {"POST": "read"}

    def post(self) -> None:
        objects = self.json_body(objects=dict)["objects"]
        build_configuration(0, objects).default_with(_raise)
        self.write_json({"valid": True, "objects": len(objects)})


class PlansHandler(OperatorHandler):
    required_rights = {"GET": "read", "POST": "plan"}

    async def get(self) -> None:
        self.write_json(await self.services.plans.list())

    async def post(self) -> None:
        body = self.json_body(intent=str, arguments=dict)
        plan: Plan = await self.services.plans.propose(
            body["intent"], body["arguments"], self.operator
        )
        self.write_json(plan, 201)


class PlanHandler(OperatorHandler):
    async def get(self, plan_id: str) -> None:
        self.write_json(await self.services.plans.show(plan_id))


class PlanConfirmHandler(OperatorHandler):
    required_rights = {"POST": "confirm"}

    async def post(self, plan_id: str) -> None:
        body = self.json_body(digest=str)
        accept_low_capacity = body.get("accept_low_capacity", False) is True
        plan = await self.services.plans.confirm(
            plan_id, body["digest"], self.operator, accept_low_capacity
        )
        self.write_json(plan)


class PlanControlHandler(OperatorHandler):
    required_rights = {"POST": "confirm"}

    async def post(self, plan_id: str) -> None:
        action = self.json_body(action=str)["action"]
        self.write_json(
            await self.services.plans.control(plan_id, action, self.operator)
        )


def _raise(error: Exception) -> Any:
    raise error
