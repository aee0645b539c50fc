"""A heartbeat that the store applies late makes a draining target ready again."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import Client, Fleet, Target, main  # noqa: E402

DRAIN_S = 2.0
BEAT_S = 1.5


async def case(record, trouble):
    fleet = Fleet(record, 4)
    fleet.route("look", "/look/", "safe", "stock", timeout_ms=1000)
    for i in range(4):
        await fleet.add_target(Target(record, "i-%d" % i, "stock",
                                      zone="abcd"[i]))
    leaving = fleet.targets[0]
    beats = {target.id: 4 for target in fleet.targets}
    states = {target.id: "ready" for target in fleet.targets}

    def entry(target):
        beats[target.id] += 1
        value = target.entry(states[target.id])
        value["status"]["seq"] = beats[target.id]
        return value

    def write(target, value):
        fleet.store.put("servers/" + target.id, value)
        record("store: %s is %s, seq %d, rev %d" % (
            target.id, value["status"]["state"], value["status"]["seq"],
            fleet.store.revision))

    async def beat(target):
        while True:
            await asyncio.sleep(BEAT_S)
            write(target, entry(target))

    tasks = []
    try:
        await fleet.start()
        await fleet.wait_ready()
        start = time.monotonic()
        tasks = [asyncio.ensure_future(beat(target))
                 for target in fleet.targets[1:]]

        async def use(index):
            vm = fleet.vms[index % 4]
            client = Client(fleet, vm)
            await client.connect()
            number = 0
            while True:
                number += 1
                client.send("GET", "/look/x", "q-%d-%d" % (index, number))
                await client.receive("q-%d-%d" % (index, number))
                await asyncio.sleep(0.03)
        tasks += [asyncio.ensure_future(use(index)) for index in range(12)]

        # platform_lost: a write is done 1 to 6 s later and not answered.
        late = entry(leaving)
        record("%s writes seq %d; the store %s" % (
            leaving.id, late["status"]["seq"],
            "loses the answer and does it 5.0 s later" if trouble else
            "does it at once"))
        if not trouble:
            write(leaving, late)
        await asyncio.sleep(1.5)
        write(leaving, entry(leaving))
        await asyncio.sleep(1.5)
        write(leaving, entry(leaving))
        await asyncio.sleep(0.3)
        states[leaving.id] = "draining"
        write(leaving, entry(leaving))
        acknowledged = time.monotonic()
        record("the store acknowledged that %s is draining" % leaving.id)
        await asyncio.sleep(1.5)
        write(leaving, entry(leaving))
        await asyncio.sleep(0.2)
        if trouble:
            write(leaving, late)
        await asyncio.sleep(1.3)
        write(leaving, entry(leaving))
        await asyncio.sleep(1.5)
        late_runs = [run for run in leaving.runs
                     if run[0] > acknowledged + DRAIN_S]
        for run in late_runs[:5]:
            record("%s ran id=%s %.2f s after the acknowledgement" % (
                leaving.id, run[1], run[0] - acknowledged))
        record.result("requests that reached the draining target later than "
                      "%.1f s after the acknowledgement: %d" % (
                          DRAIN_S, len(late_runs)))
        return not late_runs
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()

sys.exit(main(case, sys.argv[1]))
