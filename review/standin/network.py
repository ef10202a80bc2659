"""A network between gateways that a test can cut: one forwarder for each ordered pair of hosts.

A gateway announces the address that it listens on, so each host sees the others under addresses of
the forwarders that lead there. Forwarders translate the addresses in what they pass on. All have
the same length, so nothing else changes.
"""

import asyncio
import base64
import hashlib
import re
import socket
import struct

HOLD_SECONDS = 0.005
MAGIC_BYTES = 4
CHECKSUM_BYTES = 32


def seal(data):
    """Renews the checksum of an object of basilhall, which stands behind its first bytes."""
    payload = data[MAGIC_BYTES + CHECKSUM_BYTES:]
    checksum = hashlib.sha256(payload).hexdigest()[:CHECKSUM_BYTES].encode()
    return data[:MAGIC_BYTES] + checksum + payload


class Network:
    """Hosts are numbered from 1. `port` is the peer port of every host."""

    def __init__(self, hosts, port):
        self.hosts = range(1, hosts + 1)
        self.port = port
        self.cut_hosts = set()
        self.is_changed = asyncio.Event()
        self.servers = []
        # Both ends of the open connections, by the pair of hosts.
        self.connections = {}

    def real(self, host):
        return f"127.0.0.{host}"

    def seen(self, observer, host):
        """The address under which `observer` reaches `host`; observer 0 is the store."""
        return self.real(host) if observer in (0, host) else f"127.1.{observer}.{host}"

    def translate(self, data, source, target):
        table = {
            f"{self.seen(source, host)}:{self.port}".encode():
            f"{self.seen(target, host)}:{self.port}".encode()
            for host in self.hosts
        }
        pattern = re.compile(b"|".join(re.escape(key) for key in table))
        return pattern.sub(lambda match: table[match.group()], data)

    def is_cut(self, one, other):
        return (one in self.cut_hosts) != (other in self.cut_hosts)

    def cut(self, *hosts):
        """Parts these hosts from all others, silently. Without hosts, everything is whole."""
        self.cut_hosts = set(hosts)
        self.is_changed.set()
        self.is_changed = asyncio.Event()

    def reset(self, one, other):
        """Resets the open connections between two hosts. New ones work."""
        pair = frozenset((one, other))
        for writer in self.connections.pop(pair, []):
            if writer.is_closing():
                continue
            # Without this, the end of the connection would be orderly.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

    async def start(self, store, store_port):
        for observer in self.hosts:
            self.servers.append(
                await asyncio.start_server(
                    lambda r, w, o=observer: self._pass_store(r, w, o, store),
                    f"127.2.0.{observer}", store_port, limit=1 << 24,
                )
            )
            for host in self.hosts:
                if host != observer:
                    self.servers.append(
                        await asyncio.start_server(
                            lambda r, w, o=observer, h=host: self._pass_peer(r, w, o, h),
                            self.seen(observer, host), self.port,
                        )
                    )

    async def _pass_peer(self, reader, writer, observer, host):
        await self._until_whole(observer, host)
        try:
            there_reader, there_writer = await asyncio.open_connection(self.real(host), self.port)
        except OSError:
            writer.close()
            return
        pair = frozenset((observer, host))
        self.connections.setdefault(pair, []).extend((writer, there_writer))
        tasks = [
            asyncio.create_task(self._pump(reader, there_writer, observer, host)),
            asyncio.create_task(self._pump(there_reader, writer, host, observer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        writer.close()
        there_writer.close()

    async def _until_whole(self, one, other):
        while self.is_cut(one, other):
            await self.is_changed.wait()

    async def _pump(self, reader, writer, source, target):
        held = b""
        try:
            while True:
                try:
                    data = await asyncio.wait_for(reader.read(65536), HOLD_SECONDS if held else None)
                    if not data:
                        return
                    held += data
                    # An address may continue in what follows.
                    keep = self._partial(held)
                except asyncio.TimeoutError:
                    keep = 0
                await self._until_whole(source, target)
                ready, held = held[: len(held) - keep], held[len(held) - keep:]
                writer.write(self.translate(ready, source, target))
                await writer.drain()
        except OSError:
            return

    @staticmethod
    def _partial(data):
        """Length of the end of `data` that may begin an address."""
        tail = data[-16:]
        at = tail.rfind(b"127.")
        if at >= 0 and len(tail) - at < 15:
            return len(tail) - at
        return next((n for n in (3, 2, 1) if data.endswith(b"127."[:n])), 0)

    async def _pass_store(self, reader, writer, observer, store):
        """Forwards HTTP messages one by one, and translates the data in their JSON bodies."""
        try:
            there_reader, there_writer = await asyncio.open_connection(*store, limit=1 << 24)
        except OSError:
            writer.close()
            return
        try:
            while True:
                await self._pass_message(reader, there_writer, observer, 0)
                await self._pass_message(there_reader, writer, 0, observer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()
        there_writer.close()

    async def _pass_message(self, reader, writer, source, target):
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: *(\d+)", head)
        body = await reader.readexactly(int(length.group(1)) if length else 0)

        def translated(match):
            data = base64.b64decode(match.group(2))
            changed = self.translate(data, source, target)
            if changed != data:
                changed = seal(changed)
            return match.group(1) + base64.b64encode(changed) + b'"'

        body = re.sub(rb'("data": ?")([A-Za-z0-9+/=]+)"', translated, body)
        writer.write(head + body)
        await writer.drain()
