#!/usr/bin/env python3
"""Runs the Criterion programs of build folders and counts their tests.

A failing test that is listed in KNOWN-RED.txt is printed but does not fail the
run; any other failure does. An entry of KNOWN-RED.txt starts with a line
`test: suite::name`.
"""
import pathlib
import re
import subprocess
import sys

TIMEOUT_S = 1500
SYNTHESIS = re.compile(
    r"Tested: (\d+) \| Passing: (\d+) \| Failing: (\d+) \| Crashing: (\d+)"
)
FAILED = re.compile(r"\[(?:FAIL|----)\] (\w+::\w+)")


def known_red(root):
    path = root / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", path.read_text(), re.MULTILINE))


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    known = known_red(root)
    passed = failed = skipped = 0
    unexpected = []
    programs = []
    for build in sys.argv[1:]:
        found = sorted(
            path
            for path in (root / build / "tests").rglob("*_test")
            if path.is_file() and path.stat().st_mode & 0o111
        )
        if not found:
            unexpected.append(f"{build}: no test programs")
        programs += found
    for program in programs:
        run = subprocess.run(
            [str(program), "--color=never", "-j", "4"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=TIMEOUT_S,
            text=True,
            errors="replace",
        )
        match = SYNTHESIS.search(run.stdout)
        if not match:
            print(run.stdout[-4000:])
            unexpected.append(f"{program.name}: no summary")
            continue
        tested, passing, _, _ = map(int, match.groups())
        passed += passing
        red = {name for name in FAILED.findall(run.stdout)}
        skipped += len(red & known)
        bad = red - known
        failed += len(bad)
        if bad or (tested != passing and not red):
            print(run.stdout[-8000:])
            unexpected.extend(sorted(bad) or [f"{program.name}: failing"])
        print(f"{program.name}: {passing} of {tested} passed")
        for name in sorted(red & known):
            print(f"known red, passed over: {name}")
    for name in unexpected:
        print(f"FAILED: {name}")
    failed = max(failed, len(unexpected))
    line = f"{passed} passed, {failed} failed, {skipped} skipped"
    (root / "build").mkdir(exist_ok=True)
    (root / "build" / "test-count.txt").write_text(line + "\n")
    print(line)
    return 1 if failed or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
