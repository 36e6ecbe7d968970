#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# With TROUBLE=0 the case runs without its disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.
exec python3 "$folder/run.py"
