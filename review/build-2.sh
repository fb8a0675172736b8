#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the program: after the build of the deploy file, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
for case in 6 7 8 9 10; do
    if test -d "review/$case"; then
        .venv/bin/python -m compileall -q --invalidation-mode checked-hash "review/$case"
    fi
done
