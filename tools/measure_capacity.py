#!/usr/bin/env python3
"""Measures processor, memory and network use of a node and fits slopes.

Starts real daemons on loopback with the platform stand-in and varies one
quantity at a time: nodes in the fleet, rows in the table, VMs on the list.
Prints each measured point and, for each slope, a least-squares fit with its
largest residual. With --json it also writes the results to a file.

usage: tools/measure_capacity.py BUILD_FOLDER [--json FILE] [--nodes 4,10,20,40]
"""
import argparse
import json
import os
import pathlib
import socket
import subprocess
import tempfile
import time
import urllib.request

START_LIMIT_S = 60
SETTLE_S = 8
WINDOW_S = 10
TABLE_HEADER = (
    "service,route,targets,slots,connections,home,floor,deadline_ms,"
    "repeatable,key,queue,team_rate,team_burst,long_bytes,long_share,"
    "max_body_bytes,retry,hedge_ms\n"
)
FAILURE_DOMAINS = 4


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def table_of(rows, targets):
    lines = [TABLE_HEADER]
    for row in range(rows):
        cell = ";".join(
            f"127.{1 + row // 250}.{1 + row % 250}.{1 + i}:7000*1@d{i % 4}"
            for i in range(targets)
        )
        lines.append(
            f"s{row},/s{row},{cell},2,300,4,0.5,1000,yes,none,100,0,0,0,0.5,"
            "100000,0.1,0\n"
        )
    return "".join(lines)


def vm_of(name, index, ports):
    return {
        "id": name,
        "failure_domain": f"d{index % FAILURE_DOMAINS}",
        "region": "r",
        "address": f"127.0.0.1:{ports[0]}",
        "mesh_address": f"127.0.0.1:{ports[1]}",
        "state": "live",
    }


def settings_of(vm, admin_port, platform_port):
    return {
        "vm": {key: vm[key] for key in ("id", "failure_domain", "region")},
        "caller": {"address": vm["address"]},
        "mesh": {"address": vm["mesh_address"]},
        "admin": {"address": f"127.0.0.1:{admin_port}"},
        "platform": {"address": f"127.0.0.1:{platform_port}"},
        "log": {"level": "warning"},
    }


def get(port, path):
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}") as answer:
        return answer.read().decode()


def wait_ready(port):
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        try:
            get(port, "/readyz")
            return
        except OSError:
            time.sleep(0.1)
    raise SystemExit(
        f"the VM with admin port {port} is not ready after {START_LIMIT_S} s")


def processor_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(value) for value in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def metric(port, name):
    for line in get(port, "/metrics").splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return 0.0


def control_bytes(port):
    return metric(port, "flamingoyoke_mesh_sent_bytes_total") + metric(
        port, "flamingoyoke_mesh_received_bytes_total"
    )


def measure(build, nodes, rows, targets, listed):
    """Runs one fleet and returns the mean resource use per node."""
    folder = pathlib.Path(tempfile.mkdtemp())
    ports = free_ports(3 * nodes + 1)
    platform_port = ports.pop()
    vms = [
        vm_of(f"vm{i}", i, ports[3 * i:3 * i + 2]) for i in range(nodes)
    ]
    absent = [
        vm_of(f"absent{i}", i, (9, 9)) for i in range(max(0, listed - nodes))
    ]
    (folder / "vms.json").write_text(json.dumps({"vms": vms + absent}))
    (folder / "table.csv").write_text(table_of(rows, targets))
    running = [
        subprocess.Popen(
            [build / "tests/standins/standin_platform",
             "--port", str(platform_port),
             "--value", f"vms={folder}/vms.json",
             "--value", f"table={folder}/table.csv"],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    ]
    try:
        time.sleep(0.3)
        admin = []
        for index, vm in enumerate(vms):
            admin.append(ports[3 * index + 2])
            path = folder / f"{vm['id']}.json"
            path.write_text(
                json.dumps(settings_of(vm, admin[-1], platform_port)))
            running.append(subprocess.Popen(
                [build / "flamingoyoked", "--settings", path],
                stderr=subprocess.DEVNULL))
        for port in admin:
            wait_ready(port)
        time.sleep(SETTLE_S)
        pids = [process.pid for process in running[1:]]
        before = ([processor_s(pid) for pid in pids],
                  [control_bytes(port) for port in admin], time.monotonic())
        time.sleep(WINDOW_S)
        window = time.monotonic() - before[2]
        used = [processor_s(p) - b for p, b in zip(pids, before[0])]
        sent = [control_bytes(p) - b for p, b in zip(admin, before[1])]
        memory = [resident_mb(pid) for pid in pids]
        return {
            "nodes": nodes, "rows": rows, "targets": targets,
            "listed": max(listed, nodes),
            "processor_percent": 100 * sum(used) / len(used) / window,
            "control_bytes_per_s": sum(sent) / len(sent) / window,
            "resident_mb": sum(memory) / len(memory),
            "resident_mb_max": max(memory),
        }
    finally:
        for process in running:
            process.kill()
        for process in running:
            process.wait()


def fit(points, x, y):
    n = len(points)
    xs, ys = [p[x] for p in points], [p[y] for p in points]
    mean_x, mean_y = sum(xs) / n, sum(ys) / n
    spread = sum((a - mean_x) ** 2 for a in xs)
    slope = sum((a - mean_x) * (b - mean_y) for a, b in zip(xs, ys)) / spread
    base = mean_y - slope * mean_x
    residual = max(abs(b - base - slope * a) for a, b in zip(xs, ys))
    return {"of": y, "over": x, "slope": slope, "base": base,
            "largest_residual": residual}


def numbers(text):
    return [int(value) for value in text.split(",")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--nodes", type=numbers, default=[4, 10, 20, 40])
    parser.add_argument("--rows", type=numbers, default=[100, 400, 1000])
    parser.add_argument("--listed", type=numbers, default=[100, 2000, 7100])
    options = parser.parse_args()
    series = {
        "nodes": [(n, 3, 11, 0) for n in options.nodes],
        "rows": [(1, n, 25, 0) for n in options.rows],
        "listed": [(1, 3, 11, n) for n in options.listed],
    }
    result = {}
    for name, runs in series.items():
        points = []
        for run in runs:
            points.append(measure(options.build, *run))
            print(json.dumps(points[-1]), flush=True)
        fits = [
            fit(points, name, of)
            for of in ("processor_percent", "control_bytes_per_s",
                       "resident_mb")
        ]
        for each in fits:
            print(f"{each['of']} = {each['base']:.4g} + {each['slope']:.4g} * "
                  f"{name}, largest residual {each['largest_residual']:.3g}")
        result[name] = {"points": points, "fits": fits}
    if options.json:
        options.json.write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()
