"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio


class Request:
    """One request with its whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers with names in lowercase, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            body = b"".join([chunk async for chunk in read_chunks(reader)])
        else:
            body = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, head[1], body)


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return
        yield data


def encode_head(status, headers):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status, headers, body):
    return encode_head(status, [*headers, ("Content-Length", len(body))]) + body


async def serve(host, port, handler):
    """`handler(request, writer)` writes the answer and returns whether the connection stays."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await handler(request, writer):
                    break
        except OSError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 20)


class Answer:
    """What a client has seen of one request. `whole` is true if the answer is complete."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False


async def call(address, method, target, headers=(), body=b"", seconds=10.0):
    """Makes one request on a connection of its own."""
    result = Answer()

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            if not any(name == "Host" for name, _ in headers):
                lines.append(f"Host: {address[0]}")
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return
            result.headers = head[1]
            result.status = int(head[0].split(" ")[1])
            if head[1].get("transfer-encoding", "").lower() == "chunked":
                async for chunk in read_chunks(reader):
                    result.body += chunk
            else:
                result.body = await reader.readexactly(int(head[1].get("content-length", "0")))
            result.whole = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), seconds)
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    return result
