#!/usr/bin/env python3
"""Fails when a source file includes a header of a higher layer.

Also rejects headers of I/O, clock, thread and codec libraries in the core,
table and decision layers, and includes between the folders of two tasks.
"""
import pathlib
import re
import sys

ALLOWED = {
    "core": set(),
    "table": {"core"},
    "decision": {"core", "table"},
    "runtime": {"core"},
    "wire": {"core", "table", "decision"},
    "settings": {"core"},
    "node": {"core", "table", "decision", "runtime", "wire", "settings"},
    "daemon": {"core", "settings", "runtime", "node"},
    "cli": {"core", "table", "settings", "runtime", "node"},
}
PURE_LAYERS = {"core", "table", "decision"}
IMPURE = re.compile(
    r"^(event2?/|evhttp|zmq|google/protobuf|spdlog/|thread$|mutex$|"
    r"condition_variable$|future$|sys/|unistd\.h|time\.h|ctime$|fstream$|"
    r"iostream$|nlohmann/|boost/json|netinet/|arpa/)"
)
# Protocol names of the users' platform. Only platform/ may contain them.
PLATFORM_NAMES = re.compile(
    r"X-Gateway-Signature|X-Expect-Instance|X-Not-Executed|X-Instance-|"
    r"X-Request-(Id|Deadline)|kv-(watch|range|key)|warmup_left_ms|"
    r"X-Key|X-Tenant-Id|api_keys|auth_exempt|rate_per_s|"
    r"traffic_split|slo_ms|FLAMINGOYOKE_BOOT|/flamingoyoke/(ready|resolve)"
)
# Each task folder may include its own headers and those of src/node itself.
TASK_FOLDERS = (
    "node/traffic/",
    "node/control/fleet/",
    "node/control/mesh/",
    "node/control/platform/",
    "node/control/store/",
    "node/observe/admin/",
    "node/observe/telemetry/",
)
INCLUDE = re.compile(r'^\s*#\s*include\s*([<"])([^>"]+)[>"]')


def task_folder_of(path):
    return next((t for t in TASK_FOLDERS if path.startswith(t)), None)


def check_file(root, path):
    relative = path.relative_to(root).as_posix()
    layer = relative.split("/")[0]
    own_task = task_folder_of(relative)
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if PLATFORM_NAMES.search(line):
            yield (
                f"src/{relative}:{number}: a protocol name of the "
                "users' platform outside of platform/"
            )
        match = INCLUDE.match(line)
        if not match:
            continue
        kind, header = match.groups()
        where = f"src/{relative}:{number}"
        if layer in PURE_LAYERS and IMPURE.match(header):
            yield f"{where}: {layer} must not include {header}"
        if kind != '"':
            continue
        target = header.split("/")[0]
        if target != layer and target not in ALLOWED.get(layer, set()):
            yield f"{where}: {layer} must not include {header}"
        other_task = task_folder_of(header)
        if own_task and other_task and own_task != other_task:
            yield f"{where}: a task must not include another task's {header}"


def main():
    root = pathlib.Path(__file__).resolve().parent.parent / "src"
    faults = [
        fault
        for path in sorted(root.rglob("*"))
        if path.suffix in {".h", ".cc"} and ".pb." not in path.name
        for fault in check_file(root, path)
    ]
    print("\n".join(faults) if faults else "No layering violations.")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
