#!/usr/bin/env python3
"""Measures what the processes of a fleet take from the system, and how a fleet
bears a limit on the tasks of its user.

Starts gateways of a published store on loopback with the project's stand-ins.
Prints the tasks, descriptors, memory, address space, wake-ups and processor
time of a gateway, and how often processes ended by themselves. Restarts an
ended process after 0.5 s. With --routes, prints how long a gateway takes to
answer callers and operators while it takes in configurations of that size.

The limit on tasks counts all threads of a user and doesn't hold for root, so
with --tasks the gateways run under an unused user id.

usage: tools/measure_processes.py DAEMON STANDINS [--gateways N] [--tasks N]
           [--added N] [--stops SECONDS] [--seconds S] [--seed N] [--routes N]
"""
import argparse
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

UNUSED_USER = 54321
RESTART_DELAY_S = 0.5
TARGETS = 4
PORTS = {"front": 7601, "ready": 7602, "control": 7603, "directory": 7604,
         "admin": 7605}


def host(index):
    return f"127.0.{2 + index // 200}.{1 + index % 200}"


def address(index, port):
    return f"{host(index)}:{PORTS[port]}"


def http(method, where, path, body=None, timeout=2):
    request = urllib.request.Request(
        f"http://{where}{path}", method=method,
        data=None if body is None else body.encode())
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.status


def read_port(process):
    for line in process.stdout:
        word, _, number = line.partition(" ")
        if word == "port":
            return int(number)
    raise RuntimeError("a stand-in printed no port")


class Fleet:
    def __init__(self, arguments):
        self.arguments = arguments
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="flamingoyoke-"))
        self.folder.chmod(0o755)
        self.standins = []
        self.processes = {}
        self.due = {}
        self.ends = []
        self.store = self.start_standin("standin_store")
        for number in range(TARGETS):
            target = f"i-{number}"
            port = self.start_standin("standin_target", "--id", target,
                                      "--service-ms", "20")
            self.put(f"servers/{target}", {
                "address": f"127.0.0.1:{port}", "born": 1000,
                "info": {"service": "orders", "version": "v1", "zone": "a",
                         "slots": 4},
                "status": {"state": "ready", "seq": 1, "warmup_left_ms": 0}})
        self.publish("r1", 1)

    def start_standin(self, name, *arguments):
        process = subprocess.Popen(
            [f"{self.arguments.standins}/{name}", *arguments],
            stdout=subprocess.PIPE, text=True)
        self.standins.append(process)
        return read_port(process)

    def put(self, key, value):
        http("PUT", f"127.0.0.1:{self.store}", f"/control/item?key={key}",
             json.dumps(value))

    def publish(self, version, routes):
        self.put("op/config", {
            "version": version,
            "routes": {f"r{i}": {
                "host": "shop.example", "prefix": f"/book-{i}/",
                "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 1000,
                "priority": 1, "service": "orders", "max_attempts": 2}
                for i in range(routes)},
            "services": {"orders": {"health_path": "/health",
                                    "max_conns": 60}},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576}})

    def start(self, index):
        path = self.folder / f"gateway-{index}.json"
        path.write_text(json.dumps({
            "vm": {"id": host(index), "failure_domain": f"d{index % 4}",
                   "region": "r"},
            "caller": {"address": address(index, "front"),
                       "address_ttl_ms": 500},
            "mesh": {"address": address(index, "control")},
            "admin": {"address": address(index, "admin")},
            "platform": {"address": f"127.0.0.1:{self.store}"},
            "shutdown": {"hard_limit_ms": 6000},
            "log": {"level": "info"},
            "gateway": {"source": "published",
                        "readiness_address": address(index, "ready"),
                        "directory_address": address(index, "directory"),
                        "seeds": [address(i, "control") for i in range(3)],
                        "least_entries": 2}}))
        command = [self.arguments.daemon, "--settings", str(path)]
        if self.arguments.tasks:
            command = ["setpriv", f"--reuid={UNUSED_USER}", "--clear-groups",
                       "prlimit", f"--nproc={self.arguments.tasks}", *command]
        log = open(self.folder / f"gateway-{index}.log", "ab")
        self.processes[index] = subprocess.Popen(command, stdout=log,
                                                 stderr=log)
        log.close()

    def tick(self):
        """Restarts processes that ended."""
        for index, process in self.processes.items():
            if process.poll() is not None and index not in self.due:
                self.ends.append((index, process.returncode))
                self.due[index] = time.monotonic() + RESTART_DELAY_S
        for index, due in list(self.due.items()):
            if time.monotonic() >= due:
                del self.due[index]
                self.start(index)

    def run(self, seconds, stops=0.0, rng=None):
        end = time.monotonic() + seconds
        next_stop = time.monotonic() + stops
        while time.monotonic() < end:
            self.tick()
            if stops and time.monotonic() >= next_stop:
                next_stop += rng.expovariate(1 / stops)
                index = rng.choice(list(self.processes))
                if self.processes[index].poll() is None:
                    self.processes[index].send_signal(signal.SIGTERM)
            time.sleep(0.01)

    def ready(self):
        count = 0
        for index in self.processes:
            try:
                count += http("GET", address(index, "ready"),
                              "/flamingoyoke/ready", timeout=1) == 200
            except (OSError, urllib.error.HTTPError):
                pass
        return count

    def answer_times(self, routes, seconds):
        """Returns sorted answer times in ms by server of the first gateway,
        while a configuration is published each second."""
        times = {"ready": [], "admin": []}
        paths = {"ready": "/flamingoyoke/ready", "admin": "/livez"}
        end = time.monotonic() + seconds
        next_version = time.monotonic()
        version = 2
        while time.monotonic() < end:
            if time.monotonic() >= next_version:
                next_version += 1
                # The store answers before any gateway has read the version.
                self.publish(f"r{version}", routes - version % 2)
                version += 1
            for server, path in paths.items():
                start = time.monotonic()
                http("GET", address(0, server), path)
                times[server].append((time.monotonic() - start) * 1000)
            time.sleep(0.002)
        return {server: sorted(values) for server, values in times.items()}

    def last_lines(self, index):
        lines = (self.folder / f"gateway-{index}.log").read_text().splitlines()
        return lines[-2:]

    def close(self):
        for process in [*self.processes.values(), *self.standins]:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder)


def usage_of(pid):
    """Returns the figures of one process."""
    base = pathlib.Path(f"/proc/{pid}")
    status = dict(line.split(":", 1)
                  for line in (base / "status").read_text().splitlines())
    switches = {}
    for task in (base / "task").iterdir():
        for line in (task / "status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches"):
                switches[task.name] = int(line.split()[1])
    stat = (base / "stat").read_text().rsplit(")", 1)[1].split()
    return {
        "tasks": int(status["Threads"]),
        "descriptors": len(os.listdir(base / "fd")),
        "resident_kb": int(status["VmRSS"].split()[0]),
        "address_space_kb": int(status["VmPeak"].split()[0]),
        "wakeups": sum(switches.values()),
        "cpu_ms": (int(stat[11]) + int(stat[12])) * 1000
        // os.sysconf("SC_CLK_TCK"),
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("standins")
    parser.add_argument("--gateways", type=int, default=5)
    parser.add_argument("--added", type=int, default=0,
                        help="gateways that join after 5 s")
    parser.add_argument("--tasks", type=int, default=0,
                        help="limit on the threads of all gateways")
    parser.add_argument("--stops", type=float, default=0.0,
                        help="mean time between SIGTERMs in seconds")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--routes", type=int, default=0,
                        help="routes of configurations that are published")
    arguments = parser.parse_args()
    fleet = Fleet(arguments)
    try:
        for index in range(arguments.gateways):
            fleet.start(index)
        fleet.run(5)
        for index in range(arguments.added):
            fleet.start(arguments.gateways + index)
        fleet.run(5)
        print(f"ready after the start: {fleet.ready()} of "
              f"{len(fleet.processes)}")
        running = [p.pid for p in fleet.processes.values()
                   if p.poll() is None]
        if arguments.routes:
            times = fleet.answer_times(arguments.routes, arguments.seconds)
            for server, values in times.items():
                print(f"{server}: {len(values)} answers, median "
                      f"{values[len(values) // 2]:.1f} ms, 99 in 100 within "
                      f"{values[len(values) * 99 // 100]:.1f} ms, slowest "
                      f"{values[-1]:.1f} ms")
        elif running and not arguments.stops:
            before = [usage_of(pid) for pid in running]
            fleet.run(arguments.seconds)
            after = [usage_of(pid) for pid in running
                     if os.path.exists(f"/proc/{pid}/task")]
            for name in ("tasks", "descriptors", "resident_kb",
                         "address_space_kb"):
                values = [each[name] for each in after]
                print(f"{name}: {min(values)} to {max(values)}")
            if len(before) == len(after):
                for name in ("wakeups", "cpu_ms"):
                    rates = [(b[name] - a[name]) / arguments.seconds
                             for a, b in zip(before, after)]
                    print(f"{name} per second: mean "
                          f"{sum(rates) / len(rates):.2f}, most "
                          f"{max(rates):.2f}")
        else:
            fleet.run(arguments.seconds, arguments.stops,
                      random.Random(arguments.seed))
            fleet.run(15)
        print(f"ready at the end: {fleet.ready()} of {len(fleet.processes)}")
        codes = {}
        for index, code in fleet.ends:
            codes.setdefault(code, []).append(index)
        for code, indices in sorted(codes.items()):
            print(f"ended with {code}: {len(indices)} times, "
                  f"{len(set(indices))} gateways")
            if code != 0:
                for line in fleet.last_lines(indices[-1]):
                    print("   ", line)
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
