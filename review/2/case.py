"""After SIGTERM, a VM's answers to pipelining clients are cut off."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import Client, Fleet, Target, main  # noqa: E402
from link import Link  # noqa: E402

# The largest answer to a stock lookup in the site file, and its time of work.
ANSWER = os.urandom(15000).hex().encode()
WORK_S = 0.1
CLIENTS = 28


async def case(record, trouble):
    fleet = Fleet(record, 4)
    fleet.route("look", "/look/", "safe", "orders", timeout_ms=1000)
    work = lambda request_id: (WORK_S, ANSWER)
    for i in range(8):
        await fleet.add_target(Target(record, "i-%d" % i, "orders",
                                      zone="abcd"[i % 4], slots=2, work=work))
    lost = []
    try:
        await fleet.start()
        await fleet.wait_ready()
        vm = fleet.vms[0]
        address = await Link((vm.host, fleet.front)).start()
        clients = []
        for i in range(CLIENTS):
            client = Client(fleet, vm)
            await client.connect(address)
            clients.append(client)
            client.send("GET", "/look/a", "kept-%d" % i)
            await client.receive("kept-%d" % i)
        if trouble:
            vm.signal(signal.SIGTERM)
        await asyncio.sleep(0.2)

        async def use(index, client):
            first, second = "first-%d" % index, "second-%d" % index
            await asyncio.sleep(0.06 * index)
            client.send("GET", "/look/a", first)
            receive = asyncio.ensure_future(client.receive(first))
            # A client that pipelines sends its next request at any time before
            # it has seen the head of the first answer.
            await asyncio.sleep(WORK_S - 0.003 + 0.0007 * index)
            if not client.has_head:
                client.send("GET", "/look/b", second)
            if await receive is None:
                lost.append(first)
            client.close()
        await asyncio.gather(*[use(i, c) for i, c in enumerate(clients)])
        ran = {run[1] for target in fleet.targets for run in target.runs}
        cut = [each for each in lost if each in ran]
        record.result("requests that a target ran and whose connection ended "
                      "without a complete answer: %d %s" % (len(cut), cut))
        return not cut
    finally:
        await fleet.stop()

sys.exit(main(case, sys.argv[1]))
