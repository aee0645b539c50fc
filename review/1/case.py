"""A request in the body of a HEAD request is run as a request of its own."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from fleet import Client, Fleet, Target, main, read_head  # noqa: E402

REQUESTS = 6


async def case(record, trouble):
    fleet = Fleet(record, 4)
    fleet.route("stock", "/stock/", "safe", "birgdir", timeout_ms=1000)
    fleet.route("order", "/order/", "unsafe", "pantanir", timeout_ms=1200)
    for service in ("birgdir", "pantanir"):
        for i in range(4):
            await fleet.add_target(Target(
                record, "i-%s-%d" % (service, i), service, zone="abcd"[i]))
    sent = set()
    foreign = []
    try:
        await fleet.start()
        await fleet.wait_ready()
        for number in range(REQUESTS):
            client = Client(fleet, fleet.vms[number % 4])
            await client.connect()
            outer, inner, following = ("%s-%d" % (name, number) for name in (
                "outer", "inner", "following"))
            sent |= {outer, following}
            text = b""
            extra = ""
            if trouble:
                # The body of the client's own request: bytes to be forwarded.
                text = client.head("POST", "/order/x", inner, 2500,
                                   "Content-Length: 5\r\n") + b"sacks"
                extra = "Content-Length: %d\r\n" % len(text)
            record("client sends HEAD /stock/x id=%s with a body of %d bytes "
                   "to %s" % (outer, len(text), client.vm.host))
            client.writer.write(client.head("HEAD", "/stock/x", outer, 2500,
                                            extra) + text)
            head = await asyncio.wait_for(read_head(client.reader), 5)
            record("client got id=%s: %s" % (outer, head and head[0]))
            client.send("GET", "/stock/y", following)
            answer = await asyncio.wait_for(client.receive(following), 5)
            if answer and answer[1].get("x-request-id") != following:
                foreign.append(following)
                record("the answer to id=%s has X-Request-Id %s" % (
                    following, answer[1].get("x-request-id")))
            client.close()
        await asyncio.sleep(0.5)
        runs = [(target.id, run) for target in fleet.targets
                for run in target.runs]
        unasked = [(target, run) for target, run in runs
                   if run[1] not in sent]
        for target, run in unasked:
            record("target %s ran %s %s id=%s, which no client sent" % (
                target, run[2], run[3], run[1]))
        record.result("runs that no client asked for: %d; answers that belong "
                      "to another request: %d" % (len(unasked), len(foreign)))
        return not unasked and not foreign
    finally:
        await fleet.stop()


sys.exit(main(case, sys.argv[1]))
