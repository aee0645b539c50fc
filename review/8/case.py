"""Orders that ran are answered 503, which promises that they did not run."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from fleet import (  # noqa: E402
    Fleet,
    Record,
    Store,
    Target,
    config,
    request,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The order booking service of the small site: 14 targets with two slots.
TARGETS = 14
SLOTS = 2
WORK_S = 0.14
ORDERS_PER_S = 30
LENGTH_S = 14
# srv_grey of the site: 0.14 of the targets fail 0.45 of their requests for 6.5 s.
GREY_SHARE = 0.14
FAILING_SHARE = 0.45
GREY_FROM_S = 3
GREY_FOR_S = 6.5
# Answers that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


class GreyTarget(Target):
    """Runs its requests. While it is grey, it answers some of them 503 without
    X-Not-Executed, as an application does that fails late in its work."""

    is_grey = False

    def respond(self, headers):
        if self.is_grey and random.random() < FAILING_SHARE:
            self.record(f"target {self.id} fails {headers.get('x-request-id')}")
            return self.answer(headers, b"failed", "503 Service Unavailable")
        return super().respond(headers)


async def main(record):
    random.seed(8)
    store = Store(record)
    await store.start()
    targets = [
        GreyTarget(record, "orders", f"i-{n:02}", WORK_S, SLOTS, "abcd"[n % 4])
        for n in range(TARGETS)
    ]
    for target in targets:
        await target.start()
        store.put("servers/" + target.id, target.entry())
    store.put(
        "op/config",
        config(1, {"order": route("orders", "/order/", "unsafe")}, ["orders"]),
    )
    fleet = Fleet(record, store, count=4)
    answers = {}

    async def order(number):
        request_id = f"order-{number}"
        vm = fleet.vms[number % len(fleet.vms)]
        record(f"client sends {request_id} to vm {vm.number}")
        answer = await request(
            vm.front, "POST", "/order/1", "h.example", request_id, b"x" * 4000, 2500, 4
        )
        status = answer.status if answer else None
        signature = answer.headers.get("x-gateway-signature") if answer else None
        record(f"client gets {status} for {request_id}, signature {signature}")
        answers[request_id] = status

    try:
        fleet.start()
        if not await fleet.wait_ready():
            record("the fleet does not get ready")
            return NOT_RUN
        begin = time.monotonic()
        orders = []
        for number in range(ORDERS_PER_S * LENGTH_S):
            at = begin + number / ORDERS_PER_S
            await asyncio.sleep(max(0, at - time.monotonic()))
            now = time.monotonic() - begin
            is_grey = TROUBLE and GREY_FROM_S <= now < GREY_FROM_S + GREY_FOR_S
            for target in targets[: int(GREY_SHARE * TARGETS + 0.5)]:
                target.is_grey = is_grey
            orders.append(asyncio.create_task(order(number)))
        await asyncio.gather(*orders)
    finally:
        fleet.stop()
    runs = {}
    for target in targets:
        for request_id, count in target.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    refused = [i for i, s in answers.items() if s in PROMISES and runs.get(i, 0) > 0]
    twice = [i for i, count in runs.items() if count > 1]
    served = sum(status == 200 for status in answers.values())
    record(f"{len(answers)} orders, {served} served, {len(twice)} ran twice")
    record(f"answered with a promise though they ran: {len(refused)} {refused}")
    if served < len(answers) / 2:
        return NOT_RUN
    return BROKEN if refused or twice else HELD


if __name__ == "__main__":
    log = Record(HERE / "record.txt")
    try:
        sys.exit(asyncio.run(main(log)))
    except OSError as error:
        log(f"cannot run: {error}")
        sys.exit(NOT_RUN)
