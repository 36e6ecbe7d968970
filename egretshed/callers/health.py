"""HTTP handlers for liveness, readiness, metrics and unknown paths."""

from collections.abc import Callable

from tornado.web import RequestHandler

from egretshed.environment import Environment


class LiveHandler(RequestHandler):
    def get(self) -> None:
        self.write({"live": True})


class ReadyHandler(RequestHandler):
    """Responds with status 200 while the node accepts new requests, else with 503."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def get(self) -> None:
        ready = self.is_ready()
        self.set_status(200 if ready else 503)
        self.write({"ready": ready})


class MetricsHandler(RequestHandler):
    def initialize(self, env: Environment) -> None:
        self.env = env

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.env.metrics.render())


class UnknownPathHandler(RequestHandler):
    def prepare(self) -> None:
        self.set_status(404)
        self.finish({"error": "not_found", "message": "unknown path"})


def health_routes(env: Environment, is_ready: Callable[[], bool]) -> list[tuple]:
    return [
        (r"/health/live", LiveHandler),
        (r"/health/ready", ReadyHandler, {"is_ready": is_ready}),
        (r"/metrics", MetricsHandler, {"env": env}),
    ]
