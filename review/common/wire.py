"""A small HTTP/1.1 server and client over asyncio, for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import urllib.parse

MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass
class Message:
    """A request or an answer; ``start`` is the words of its first line."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b''
    is_whole: bool = True

    @property
    def path(self) -> str:
        """Return the path of a request, without its query."""
        return self.start[1].partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the arguments in a request's query."""
        return dict(
            urllib.parse.parse_qsl(
                self.start[1].partition('?')[2], keep_blank_values=True
            )
        )

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start[1])


class Channel:
    """One end of a connection; bytes that were read ahead are kept."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.ahead = b''

    async def fill(self) -> bool:
        """Read some bytes; return whether there were any.

        A reset counts as the end.
        """
        try:
            data = await self.reader.read(65_536)
        except ConnectionError:
            return False
        self.ahead += data
        return bool(data)

    async def take(self, count: int) -> bytes:
        """Return that many bytes; fewer if the channel ends before."""
        while len(self.ahead) < count and await self.fill():
            pass
        taken, self.ahead = self.ahead[:count], self.ahead[count:]
        return taken

    async def take_line(self) -> bytes | None:
        """Return a line without its end, or None if the channel ends."""
        while b'\r\n' not in self.ahead:
            if len(self.ahead) > MAX_HEAD_BYTES or not await self.fill():
                return None
        line, _, self.ahead = self.ahead.partition(b'\r\n')
        return line

    async def take_head(self) -> Message | None:
        """Return a message without its body, or None at the end."""
        first = await self.take_line()
        if first is None:
            return None
        headers = {}
        while line := await self.take_line():
            name, _, value = line.decode('latin-1').partition(':')
            headers[name.strip().lower()] = value.strip()
        if line is None:
            return None
        return Message(first.decode('latin-1').split(' ', 2), headers)

    async def take_chunks(
        self, got: Callable[[bytes], None]
    ) -> tuple[bytes, bool]:
        """Return a chunked body and whether it has its end."""
        body = b''
        while True:
            line = await self.take_line()
            if line is None:
                return body, False
            size = int(line.partition(b';')[0], 16)
            data = await self.take(size + 2)
            if len(data) < size + 2:
                return body + data[:size], False
            if not size:
                return body, True
            body += data[:size]
            got(data[:size])

    def abort(self) -> None:
        """Reset the channel."""
        self.writer.transport.abort()


Handler = Callable[[Message, Channel], Awaitable[None]]


async def serve_channel(channel: Channel, handle: Handler) -> None:
    """Serve the requests on one channel, one after the other.

    A handler is cancelled once the other side has closed the channel.
    """
    try:
        while True:
            request = await channel.take_head()
            if request is None:
                break
            if request.headers.get('transfer-encoding') == 'chunked':
                request.body, _ = await channel.take_chunks(lambda _: None)
            else:
                length = int(request.headers.get('content-length', '0'))
                request.body = await channel.take(length)
            task = asyncio.ensure_future(handle(request, channel))
            watch = asyncio.ensure_future(watch_end(channel))
            await asyncio.wait(
                (task, watch), return_when=asyncio.FIRST_COMPLETED
            )
            is_over = watch.done()
            for each in (task, watch):
                each.cancel()
                with contextlib.suppress(
                    asyncio.CancelledError, ConnectionError
                ):
                    await each
            if is_over or channel.writer.is_closing():
                break
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        channel.writer.close()


async def watch_end(channel: Channel) -> None:
    """Return once the other side has closed the channel."""
    while await channel.fill():
        pass


async def listen(host: str, port: int, handle: Handler) -> asyncio.Server:
    """Serve requests at an address; port 0 takes a free one."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # The loop cancels the open channels as it ends.
        with contextlib.suppress(asyncio.CancelledError):
            await serve_channel(Channel(reader, writer), handle)

    return await asyncio.start_server(connected, host, port)


def port_of(server: asyncio.Server) -> int:
    """Return the port at which a server listens."""
    return server.sockets[0].getsockname()[1]


def write_head(channel: Channel, status: int, headers: dict[str, str]) -> None:
    """Write the head of an answer."""
    lines = [f'HTTP/1.1 {status} {"OK" if status < 300 else "No"}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    channel.writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())


async def write_answer(
    channel: Channel, status: int, headers: dict[str, str], body: bytes = b''
) -> None:
    """Write a whole answer with its length."""
    write_head(channel, status, {**headers, 'Content-Length': str(len(body))})
    channel.writer.write(body)
    await channel.writer.drain()


def write_chunk(channel: Channel, data: bytes) -> None:
    """Write a part of a chunked body; an empty one ends it."""
    channel.writer.write(b'%x\r\n%s\r\n' % (len(data), data))


async def ask(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    got: Callable[[bytes], None] = lambda _: None,
) -> Message | None:
    """Send a request on a new channel; return the answer, or None.

    ``got`` is called with each part of a chunked body.
    """
    reader, writer = await asyncio.open_connection(host, port)
    channel = Channel(reader, writer)
    try:
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        answer = await channel.take_head()
        if answer is None:
            return None
        if answer.headers.get('transfer-encoding') == 'chunked':
            answer.body, answer.is_whole = await channel.take_chunks(got)
        elif 'content-length' in answer.headers:
            length = int(answer.headers['content-length'])
            answer.body = await channel.take(length)
            answer.is_whole = len(answer.body) == length
        else:
            while await channel.fill():
                pass
            answer.body = channel.ahead
        return answer
    except ConnectionError:
        return None
    finally:
        writer.close()
