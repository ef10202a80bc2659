"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins and clients of the third review."""

import asyncio


class Message:
    """A request or an answer. `status` is 0 for requests."""

    def __init__(self, start, headers, body=b"", is_complete=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    @property
    def status(self):
        return int(self.start.split(" ")[1]) if self.start.startswith("HTTP/") else 0

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """Returns the start line and the headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.append((name, value.strip()))
    return lines[0], headers


async def read_chunks(reader, on_data=None):
    """Reads a chunked body. Returns (body, is_complete)."""
    body = b""
    try:
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body, True
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            body += data
            if on_data:
                on_data(data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_message(reader, on_data=None):
    """Reads one message; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(*head)
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        message.body, message.is_complete = await read_chunks(reader, on_data)
        return message
    length = message.header("Content-Length")
    if length is not None:
        try:
            message.body = await reader.readexactly(int(length))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            message.body = getattr(error, "partial", b"")
            message.is_complete = False
    return message


def encode(start, headers, body=None):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


def encode_chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


async def close(writer):
    writer.close()
    try:
        await writer.wait_closed()
    except (ConnectionError, OSError):
        pass


class Connection:
    """A client connection that is kept open for many requests."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        ip, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port), limit=1 << 24), 1
        )

    async def send(self, method, target, headers, body=None, seconds=5.0):
        """Returns the answer, or None if the connection ended before its head."""
        if self.writer is None:
            await self.open()
        try:
            self.writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            await asyncio.wait_for(self.writer.drain(), seconds)
            answer = await asyncio.wait_for(read_message(self.reader), seconds)
        except (ConnectionError, asyncio.TimeoutError, OSError):
            answer = None
        is_last = answer is None or not answer.is_complete
        if is_last or (answer.header("Connection") or "").lower() == "close":
            await self.close()
        return answer

    async def close(self):
        if self.writer is not None:
            writer, self.writer = self.writer, None
            await close(writer)
