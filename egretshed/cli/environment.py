"""Dependencies of the command-line tool, which tests replace with their own."""

import sys
import time
from collections.abc import (
    Callable,
    Mapping,
)
from typing import (
    NamedTuple,
    TextIO,
)

from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import SimpleAsyncHTTPClient


class CliEnvironment(NamedTuple):
    """Streams, HTTP client, clock and environment variables of one run.

    `now` returns the seconds of a monotonic clock.
    """

    stdout: TextIO
    stderr: TextIO
    http: AsyncHTTPClient
    now: Callable[[], float]
    variables: Mapping[str, str]


def system_environment(variables: Mapping[str, str]) -> CliEnvironment:
    http = SimpleAsyncHTTPClient(force_instance=True)
    return CliEnvironment(sys.stdout, sys.stderr, http, time.monotonic, variables)
