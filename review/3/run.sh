#!/usr/bin/env bash
# Plays the case once. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/3/play.py
