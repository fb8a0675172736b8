#!/usr/bin/env bash
# After the build of deploy/balancer.toml: the byte code of the stand-ins and of the project's parts that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review gorsefork
