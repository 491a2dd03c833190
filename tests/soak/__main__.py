"""The command line of the soak: ``python tests/soak --seed 7 --minutes 2``."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from soak import running

RUN_S = 30.0


def main():
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="play this run only")
    parser.add_argument(
        "--minutes", type=float, default=1.0, help="play fresh seeds so long"
    )
    parser.add_argument(
        "--length", type=float, default=RUN_S, help="seconds with faults"
    )
    parser.add_argument("--processes", type=int, default=14)
    parser.add_argument(
        "--logs", type=pathlib.Path, help="keep the logs of failures here"
    )
    options = parser.parse_args()
    until_s = time.monotonic() + options.minutes * 60
    failed = []
    run_count = 0
    while True:
        seed = options.seed
        if seed is None:
            seed = random.SystemRandom().randrange(1 << 32)
        result = run_one(seed, options)
        run_count += 1
        if result.violations:
            failed.append(seed)
        if options.seed is not None or time.monotonic() > until_s:
            break
    print(f"{run_count} runs, {len(failed)} failed: {failed}")
    sys.exit(bool(failed))


def run_one(seed, options):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = asyncio.run(
        running.run_soak(folder, seed, options.length, options.processes)
    )
    print(
        f"seed {seed}: {result.faults} faults, {result.served} of "
        f"{result.requests} requests served, version "
        f"{result.acknowledged} acknowledged, {len(result.violations)} broken",
        flush=True,
    )
    for line in result.violations[:10]:
        print(f"  {line}", flush=True)
    if result.violations and options.logs is not None:
        shutil.copytree(folder, options.logs / str(seed), dirs_exist_ok=True)
        print(f"  logs in {options.logs / str(seed)}", flush=True)
    shutil.rmtree(folder, ignore_errors=True)
    return result


main()
