#!/usr/bin/env python3
"""Runs clang-tidy over a compile database and skips files that passed before.

usage: lint_cached.py BUILD_FOLDER [FILE...]

A file passed before if clang-tidy found nothing in a file with the same
content, the same project headers, the same checks, the same compiler flags and
the same version of the linter and of the installed packages. Findings are
never cached. The cache is outside of the checkout, so that a fresh clone can
use it.
"""
import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
INCLUDE = re.compile(rb'^\s*#\s*include\s*"([^"]+)"', re.MULTILINE)
# Folders searched for quoted includes, after the folder of the file itself.
INCLUDE_ROOTS = ("src", "generated", "tests", "bench", ".")
# Timeout per file. Heavy headers take about 30 s under full load.
TIMEOUT_S = 600


def cache_folder():
    base = os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache"
    folder = pathlib.Path(base) / "flamingoyoke-lint"
    folder.mkdir(parents=True, exist_ok=True)
    return folder


@functools.lru_cache(maxsize=None)
def read(path):
    return path.read_bytes()


@functools.lru_cache(maxsize=None)
def direct_headers(path):
    headers = []
    for name in INCLUDE.findall(read(path)):
        folders = [path.parent] + [ROOT / root for root in INCLUDE_ROOTS]
        for folder in folders:
            candidate = (folder / name.decode()).resolve()
            if candidate.is_file():
                headers.append(candidate)
                break
    return tuple(headers)


def project_files_of(path):
    seen = {path}
    waiting = [path]
    while waiting:
        for header in direct_headers(waiting.pop()):
            if header not in seen:
                seen.add(header)
                waiting.append(header)
    return sorted(seen)


@functools.lru_cache(maxsize=None)
def environment_key():
    """Hashes the checks, the linter version and the installed libraries."""
    digest = hashlib.sha256()
    digest.update(read(ROOT / ".clang-tidy"))
    for command in (
        ["clang-tidy", "--version"],
        ["dpkg-query", "-W", "-f", "${Package} ${Version}\n", "lib*-dev"],
    ):
        run = subprocess.run(command, stdout=subprocess.PIPE, check=False)
        digest.update(run.stdout)
    return digest.hexdigest()


def key_of(path, command):
    digest = hashlib.sha256()
    digest.update(environment_key().encode())
    # Strip the checkout path, so that other checkouts get the same key.
    digest.update(command.replace(str(ROOT), "").encode())
    for each in project_files_of(path):
        digest.update(str(each.relative_to(ROOT)).encode())
        digest.update(hashlib.sha256(read(each)).digest())
    return digest.hexdigest()


def lint(build, path):
    run = subprocess.run(
        ["clang-tidy", "-p", str(build), "--quiet", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        timeout=TIMEOUT_S,
        text=True,
        errors="replace",
        check=False,
    )
    return run.returncode, run.stdout


def main():
    build = (ROOT / sys.argv[1]).resolve()
    commands = {
        pathlib.Path(entry["file"]).resolve(): entry["command"]
        for entry in json.loads((build / "compile_commands.json").read_text())
    }
    wanted = [pathlib.Path(name).resolve() for name in sys.argv[2:]]
    paths = [path for path in wanted if path in commands]
    folder = cache_folder()
    keys = {path: key_of(path, commands[path]) for path in paths}
    open_paths = [path for path in paths if not (folder / keys[path]).exists()]
    failed = []
    jobs = int(os.environ.get("LINT_JOBS") or os.cpu_count() or 1)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        runs = {pool.submit(lint, build, path): path for path in open_paths}
        for done in concurrent.futures.as_completed(runs):
            path = runs[done]
            code, output = done.result()
            if code == 0 and not output.strip():
                (folder / keys[path]).touch()
                continue
            failed.append(path)
            print(output, flush=True)
    print(
        f"linted {len(open_paths)} files, {len(paths) - len(open_paths)} "
        f"unchanged since they passed, {len(failed)} with findings"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
