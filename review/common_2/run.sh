#!/bin/sh
# Runs the case in folder review/$1: exits with 1 only if its check found a broken rule.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. python3 -S "review/$1/case.py"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
