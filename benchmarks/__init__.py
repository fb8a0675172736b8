"""Measurements that take longer than CI has. Each ends by itself and prints what it measured."""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).parents[1] / "tests"))  # their stand-ins are the tests' own
