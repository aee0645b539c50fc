"""After a cut of waiting watches, a target whose entry was removed stays in use
longer than drain_ms."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import Client, Fleet, Target, main  # noqa: E402

DRAIN_S = 2.0
# With CUTS=repeated, the cut is repeated every two seconds.
REPEATED = os.environ.get("CUTS") == "repeated"


async def case(record, trouble):
    fleet = Fleet(record, 4)
    fleet.route("stock", "/stock/", "safe", "birgdir", timeout_ms=1000)
    for i in range(4):
        await fleet.add_target(Target(record, "i-%d" % i, "birgdir",
                                      zone="abcd"[i]))
    leaving = fleet.targets[0]
    tasks = []
    try:
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(2)

        async def use(index):
            client = Client(fleet, fleet.vms[index % 4])
            await client.connect()
            number = 0
            while True:
                number += 1
                request_id = "q-%d-%d" % (index, number)
                client.send("GET", "/stock/x", request_id)
                await client.receive(request_id)
                await asyncio.sleep(0.03)
        tasks = [asyncio.ensure_future(use(index)) for index in range(12)]
        await asyncio.sleep(1)

        async def cut_for_a_moment():
            # Each watch that waits at some moment of this time is cut.
            for _ in range(15):
                cut = fleet.store.cut_watches()
                if cut:
                    record("the store cuts %d waiting watches" % cut)
                await asyncio.sleep(0.01)

        if trouble:
            await cut_for_a_moment()
        fleet.store.remove("servers/" + leaving.id)
        acknowledged = time.monotonic()
        record("the store acknowledged that the entry of %s is removed; the "
               "target goes on serving" % leaving.id)
        end = acknowledged + (15 if trouble and REPEATED else 6)
        while time.monotonic() < end:
            await asyncio.sleep(2)
            if trouble and REPEATED:
                await cut_for_a_moment()
        late = [run for run in leaving.runs
                if run[0] > acknowledged + DRAIN_S]
        last = max([run[0] for run in leaving.runs], default=acknowledged)
        record("the last request reached %s %.2f s after the acknowledgement"
               % (leaving.id, last - acknowledged))
        record.result("requests that reached the removed target later than "
                      "%.1f s after the acknowledgement: %d" % (
                          DRAIN_S, len(late)))
        return not late
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()


sys.exit(main(case, sys.argv[1]))
