"""Operators' HTTP interface under ``/v1/operator/``.

Each handler names the right that it needs; the operator is found by key in the
configuration in force, so that a changed key counts without a restart.
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
    difference,
    node_views,
    replica_views,
    status_view,
)
from egretshed.plans.model import Plan
from egretshed.records import to_object

PREFIX = "/v1/operator"
BOOTSTRAP_OPERATOR = "bootstrap"
BOOTSTRAP_RIGHTS = ("read", "plan", "confirm")
BEARER = "Bearer "
HISTORY_LIMIT = 100


class OperatorServices(NamedTuple):
    """Services of this node that the handlers use.

    `outcomes` returns what is known of a request id: one record per customer that used
    it, each with at least `customer_id` and `outcome`.
    """

    env: Environment
    configuration: Any
    membership: Any
    slots: Any
    plans: Any
    outcomes: Callable[[str], Awaitable[list[dict[str, Any]]]]


def operator_routes(services: OperatorServices) -> list[tuple]:
    """Return the routes for a tornado application."""
    handlers: dict[str, type[OperatorHandler]] = {
        "/status": StatusHandler,
        "/nodes": NodesHandler,
        "/replicas": ReplicasHandler,
        "/requests/([^/]+)": RequestHandlerById,
        "/configuration": ConfigurationHandler,
        "/configuration/history": HistoryHandler,
        "/configuration/diff": DifferenceHandler,
        "/configuration/check": CheckHandler,
        "/plans": PlansHandler,
        "/plans/([^/]+)": PlanHandler,
        "/plans/([^/]+)/confirm": ConfirmHandler,
        "/plans/([^/]+)/control": ControlHandler,
    }
    return [
        (PREFIX + path, handler, {"services": services})
        for path, handler in handlers.items()
    ]


class OperatorHandler(RequestHandler):
    """Authenticates the operator and answers failures as JSON."""

    rights: ClassVar[dict[str, str]] = {"GET": "read"}

    def initialize(self, services: OperatorServices) -> None:
        self.services = services
        self.operator = ""

    def prepare(self) -> None:
        header = self.request.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            raise Unauthorized("an operator key is required")
        key = header.removeprefix(BEARER)
        # Every operator is compared, so that the time does not tell which one matched.
        found = [
            (name, operator.rights)
            for name, operator in self.operators().items()
            if matches_any_digest(key, operator.key_digests)
        ]
        if not found:
            raise Unauthorized("the operator key is not known")
        self.operator, rights = found[0]
        needed = self.rights.get(self.request.method or "")
        if needed is not None and needed not in rights:
            message = f"operator {self.operator} lacks the right {needed}"
            raise Forbidden(message, right=needed)

    def operators(self) -> dict[str, Operator]:
        """Return the declared operators, or who may write the first configuration."""
        configuration = self.services.configuration.current
        if configuration.version > 0:
            return configuration.operators
        settings = self.services.env.settings.configuration
        digests = settings.bootstrap_key_digests
        return {BOOTSTRAP_OPERATOR: Operator(digests, BOOTSTRAP_RIGHTS)}

    def body(self, **types: type) -> dict[str, Any]:
        """Return the JSON body; each named field must be there with its type."""
        try:
            body = msgspec.json.decode(self.request.body)
        except msgspec.DecodeError as error:
            raise InvalidRequest(f"body is not JSON: {error}") from None
        if not isinstance(body, dict):
            raise InvalidRequest("body must be an object")
        for name, type_ in types.items():
            if not isinstance(body.get(name), type_):
                raise InvalidRequest(f"field {name!r} must be a {type_.__name__}")
        return body

    def answer(self, value: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(to_object(value)))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, EgretshedError):
            self.answer(error.to_body(), error.http_status)
        else:
            message = self._reason
            self.answer({"error": "internal", "message": message}, status_code)

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
        self.answer(status_view(self.services))


class NodesHandler(OperatorHandler):
    def get(self) -> None:
        self.answer(node_views(self.services))


class ReplicasHandler(OperatorHandler):
    def get(self) -> None:
        self.answer(replica_views(self.services))


class RequestHandlerById(OperatorHandler):
    async def get(self, request_id: str) -> None:
        records = await self.services.outcomes(request_id)
        if not records:
            raise NotFound(f"request {request_id!r} is not known")
        self.answer(records)


class ConfigurationHandler(OperatorHandler):
    def get(self) -> None:
        configuration = self.services.configuration
        self.answer(
            {
                "version": configuration.current.version,
                "objects": dict(sorted(configuration.objects().items())),
            }
        )


class HistoryHandler(OperatorHandler):
    async def get(self) -> None:
        self.answer(await self.services.configuration.history(HISTORY_LIMIT))


class DifferenceHandler(OperatorHandler):
    async def get(self) -> None:
        configuration = self.services.configuration
        before = await configuration.objects_at(self._version("from"))
        after = await configuration.objects_at(self._version("to"))
        self.answer(difference(before, after))

    def _version(self, name: str) -> int:
        value = self.get_query_argument(name, "")
        if not value.isdecimal():
            raise InvalidRequest(f"query argument {name!r} must be a version number")
        return int(value)


class CheckHandler(OperatorHandler):
    rights = {"POST": "read"}

    def post(self) -> None:
        objects = self.body(objects=dict)["objects"]
        build_configuration(0, objects).default_with(_raise)
        self.answer({"valid": True, "objects": len(objects)})


class PlansHandler(OperatorHandler):
    rights = {"GET": "read", "POST": "plan"}

    async def get(self) -> None:
        self.answer(await self.services.plans.list())

    async def post(self) -> None:
        body = self.body(intent=str, arguments=dict)
        plan: Plan = await self.services.plans.propose(
            body["intent"], body["arguments"], self.operator
        )
        self.answer(plan, 201)


class PlanHandler(OperatorHandler):
    async def get(self, plan_id: str) -> None:
        self.answer(await self.services.plans.show(plan_id))


class ConfirmHandler(OperatorHandler):
    rights = {"POST": "confirm"}

    async def post(self, plan_id: str) -> None:
        body = self.body(digest=str)
        accepted = body.get("accept_low_capacity", False) is True
        plan = await self.services.plans.confirm(
            plan_id, body["digest"], self.operator, accepted
        )
        self.answer(plan)


class ControlHandler(OperatorHandler):
    rights = {"POST": "confirm"}

    async def post(self, plan_id: str) -> None:
        action = self.body(action=str)["action"]
        self.answer(await self.services.plans.control(plan_id, action, self.operator))


def _raise(error: Exception) -> Any:
    raise error
