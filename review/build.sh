#!/bin/sh
# The stand-ins are Python modules: nothing is compiled. This checks that all of them
# can be imported with the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
import standins.users_platform.store
import review.common.backends
import review.common.callers
import review.common.deployment
import review.common.stream_clients
'
