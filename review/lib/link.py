"""A link between clients and one VM, with a delay and a small window."""

import asyncio
import collections
import socket
import time


class Link:
    def __init__(self, address, delay_s=0.003, window=4096):
        self.address = address
        self.delay = delay_s
        self.window = window

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.server = server
        return "127.0.0.1", self.port

    async def serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        vm = socket.socket()
        vm.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        vm.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        vm.setblocking(False)
        try:
            await loop.sock_connect(vm, self.address)
        except OSError:
            writer.transport.abort()
            vm.close()
            return
        tasks = [asyncio.ensure_future(self.to_vm(reader, vm)),
                 asyncio.ensure_future(self.to_client(vm, writer))]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        vm.close()
        writer.close()

    async def to_vm(self, reader, vm):
        loop = asyncio.get_running_loop()
        while True:
            data = await reader.read(65536)
            if not data:
                return
            await asyncio.sleep(self.delay)
            try:
                await loop.sock_sendall(vm, data)
            except OSError:
                # The answer may still be on its way.
                await asyncio.sleep(3600)

    async def to_client(self, vm, writer):
        """Passes one window of bytes in each round trip."""
        loop = asyncio.get_running_loop()
        pending = collections.deque()
        while True:
            started = time.monotonic()
            try:
                data = await loop.sock_recv(vm, self.window)
            except OSError:
                data = b""
            await asyncio.sleep(self.delay)
            if not data:
                return
            writer.write(data)
            # The VM learns of the free window after another delay.
            await asyncio.sleep(self.delay)
