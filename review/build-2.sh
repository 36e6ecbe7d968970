#!/bin/sh
# The stand-ins of these cases are Python and need only the packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -S -m compileall -q standins/users_platform review/common_2
PYTHONPATH=target/deps:. python3 -S -c "import review.common_2.harness"
