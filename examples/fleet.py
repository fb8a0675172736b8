"""Three ingresses on this machine that find each other, to kill one and watch the others see it.

    .venv/bin/python examples/fleet.py

It writes its files into a folder of its own, says what to type in a second terminal, and ends all three on
Ctrl-C.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parents[1]
FIRST_CLIENTS, FIRST_CONTROL, FIRST_FLEET = 8180, 8190, 7946


def written(folder: Path, number: int) -> dict[str, str]:
    """The files of one ingress; its environment."""
    place = folder / f"n{number}"
    place.mkdir()
    config = json.loads((ROOT / "examples" / "config.json").read_text())
    config.update(name=f"n{number}", listen=f"127.0.0.1:{FIRST_CLIENTS + number}", seed=str(number + 1))
    (place / "config.json").write_text(json.dumps(config))
    (place / "operator.toml").write_text(f"""
[control]
listen = "127.0.0.1:{FIRST_CONTROL + number}"
catch_up_ms = 0

[state]
folder = "{place / "state"}"
sync = "normal"

[fleet]
listen = "127.0.0.1:{FIRST_FLEET + number}"
site = "example"
seeds = ["127.0.0.1:{FIRST_FLEET}"]   # any one that is there
""")
    return {
        **os.environ,
        "PROXY_CONFIG": str(place / "config.json"),
        "PYTHONPATH": str(ROOT),
        "GORSEFORK_OPERATOR": str(place / "operator.toml"),
    }


def main() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        running = []
        for number in range(3):
            with (folder / f"log-{number}").open("wb") as log:
                running.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "gorsefork"], stderr=log, env=written(folder, number)
                    )
                )
        tool, control = "python -m gorsefork fleet", f"--control 127.0.0.1:{FIRST_CONTROL}"
        print("Three ingresses: " + ", ".join(f"n{n} is process {p.pid}" for n, p in enumerate(running)))
        print(f"Their logs are in {folder}. In a second terminal:\n")
        print(f"    {tool} status {control} --control 127.0.0.1:{FIRST_CONTROL + 1}")
        print(f"    {tool} watch {control} &\n    kill -9 {running[2].pid}\n")
        print(f"    python -m gorsefork configuration in-force {control}\n")
        print("n2 is suspect within some 6 s, and unreachable once nobody contradicts. Ctrl-C ends all.")
        sys.stdout.flush()
        try:
            while any(each.poll() is None for each in running):
                time.sleep(0.5)
        except KeyboardInterrupt:
            print("ending")
        finally:
            for each in running:
                each.terminate()
            for each in running:
                each.wait(10)


if __name__ == "__main__":
    main()
