"""A heartbeat that was held up by a cut makes a draining target ready again."""

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
    for i in range(5):
        await fleet.add_target(Target(record, "i-%d" % i, "stock",
                                      zone="abcd"[i % 4]))
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

        async def until(seconds):
            await asyncio.sleep(max(0, start + seconds - time.monotonic()))

        # srv_cut: the target is cut off from the store for 3.2 s, while
        # requests still reach it. TCP sends a held up segment again 0.2, 0.6,
        # 1.4, 3.0 and 6.2 s after the first time.
        start = time.monotonic()
        held_up = entry(leaving)
        if trouble:
            record("%s is cut off from the store; its heartbeat of seq %d is "
                   "held up" % (leaving.id, held_up["status"]["seq"]))
        else:
            write(leaving, held_up)
        for seconds in (1.5, 3.0):
            await until(seconds)
            value = entry(leaving)
            if not trouble:
                write(leaving, value)
        await until(3.2)
        if trouble:
            record("the cut ends")
        await until(3.4)
        # On a new connection.
        write(leaving, entry(leaving))
        await until(4.0)
        states[leaving.id] = "draining"
        write(leaving, entry(leaving))
        acknowledged = time.monotonic()
        record("the store acknowledged that %s is draining" % leaving.id)
        await until(5.5)
        write(leaving, entry(leaving))
        await until(6.2)
        if trouble:
            record("the heartbeat that was held up arrives")
            write(leaving, held_up)
        await until(7.0)
        write(leaving, entry(leaving))
        await until(9.0)
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
