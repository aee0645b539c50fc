"""Removed targets stay in use for over 3 s if the VMs that read the store are cut
off from it, while the store and all other VMs are undisturbed."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from fleet import (  # noqa: E402
    Fleet,
    Link,
    Record,
    Store,
    Target,
    config,
    request,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

VMS = 9
# node_cut: a share of 0.35 at most; three of nine VMs are cut off from the store.
CUT_VMS = 3
CUT_S = 5.5
# drain_ms of the site.
DRAIN_S = 2.0
TARGETS = 8
# scale_in: a share of 0.25 at most.
GONE = 2
REQUESTS_PER_S = 60
LENGTH_S = 8


class CountingLink(Link):
    """Tells when its VM last sent a read to the store."""

    last_read = 0.0

    async def _copy(self, reader, writer):
        if writer.get_extra_info("peername")[1] != self.store_port:
            return await super()._copy(reader, writer)
        link = self

        class Watched:
            async def read(self, size):
                data = await reader.read(size)
                if b"/kv-" in data:
                    link.last_read = time.monotonic()
                return data

        return await super()._copy(Watched(), writer)


async def main(record):
    store = Store(record)
    await store.start()
    targets = [
        Target(record, "stock", f"i-{n}", 0.03, 8, "abcd"[n % 4])
        for n in range(TARGETS)
    ]
    for target in targets:
        await target.start()
        store.put("servers/" + target.id, target.entry())
    store.put("op/config", config(1, {"get": route("stock", "/get/")}, ["stock"]))
    fleet = Fleet(record, store, count=VMS)
    links = []
    for vm in fleet.vms:
        link = CountingLink(store.port)
        await link.start()
        vm.store_port = link.port
        links.append(link)
    gone = []
    sent = {}
    statuses = []

    async def get(number, vm):
        request_id = f"get-{number}"
        sent[request_id] = (time.monotonic(), vm.number)
        answer = await request(
            vm.front, "GET", "/get/1", "h.example", request_id, None, 1000, 3
        )
        statuses.append(answer.status if answer else None)

    try:
        fleet.start()
        if not await fleet.wait_ready():
            record("the fleet does not get ready")
            return NOT_RUN
        await asyncio.sleep(6)
        # The VMs that read the store are those that it hears.
        now = time.monotonic()
        readers = [vm for vm in fleet.vms if now - links[vm.number].last_read < 1.5]
        record(f"VMs that read the store: {[vm.number for vm in readers]}")
        if len(readers) > CUT_VMS:
            return NOT_RUN
        calm = [vm for vm in fleet.vms if vm not in readers]
        begin = time.monotonic()
        removed = begin + 1
        is_removed = False
        calls = []
        for number in range(REQUESTS_PER_S * LENGTH_S):
            at = begin + number / REQUESTS_PER_S
            await asyncio.sleep(max(0, at - time.monotonic()))
            now = time.monotonic()
            if now >= removed and not is_removed:
                is_removed = True
                # Those that the VMs in touch use most.
                gone = sorted(targets, key=lambda t: -len(t.runs))[:GONE]
                if TROUBLE:
                    for vm in readers:
                        links[vm.number].is_cut = True
                    record(f"VMs {[vm.number for vm in readers]} lose the store")
                for target in gone:
                    store.put("servers/" + target.id, None)
                removed = time.monotonic()
            if now >= removed + CUT_S:
                for vm in readers:
                    links[vm.number].is_cut = False
            # Requests are sent to VMs that are in touch only.
            calls.append(asyncio.create_task(get(number, calm[number % len(calm)])))
        await asyncio.gather(*calls)
    finally:
        fleet.stop()
    late = []
    for request_id, (at, vm) in sent.items():
        for target in gone:
            if request_id in target.runs and at > removed + DRAIN_S:
                late.append((round(at - removed, 2), vm))
    served = statuses.count(200)
    record(f"{len(sent)} requests, {served} served")
    record(f"late at a removed target: {len(late)}, (s after its removal, vm) {late}")
    if served < len(sent) * 0.9:
        return NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    log = Record(HERE / "record.txt")
    try:
        sys.exit(asyncio.run(main(log)))
    except OSError as error:
        log(f"cannot run: {error}")
        sys.exit(NOT_RUN)
