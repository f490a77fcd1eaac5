"""Crowds of clients that keep to no limit: what they send, and the connections that send it."""
import selectors
import socket
import time

# A crowd stops sending when no connection has accepted a byte for this long.
QUIET_S = 0.5
# Longest time for which a crowd sends.
SEND_LIMIT_S = 4.0


def head(method, path, fields):
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example"]
    return ("\r\n".join(lines + [f"{name}: {value}" for name, value in fields]) + "\r\n\r\n").encode()


def whole(method, path, body, missing=0, fields=()):
    """A request in one piece, without the last bytes of its body. Connections share the body."""
    return [head(method, path, [*fields, ("Content-Length", len(body))]),
            memoryview(body)[:len(body) - missing]]


def small_pieces(method, path, body, missing, piece=2000):
    content = memoryview(body)[:len(body) - missing]
    return [head(method, path, [("Content-Length", len(body))])] + \
        [content[i:i + piece] for i in range(0, len(content), piece)]


def in_chunks(body, piece=4000):
    """A body in chunked transfer coding, without its last chunk of size zero."""
    parts = (body[start:start + piece] for start in range(0, len(body), piece))
    return b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts)


def chunked(method, path, chunks, missing):
    """A request whose body is given by in_chunks(), without the last bytes."""
    return [head(method, path, [("Transfer-Encoding", "chunked")]),
            memoryview(chunks)[:len(chunks) - missing]]


def endless_extension(method, path, line):
    """A request whose first chunk has an extension that doesn't end."""
    return [head(method, path, [("Transfer-Encoding", "chunked")]), b"1;", memoryview(line)]


def endless_trailers(method, path, trailers):
    """A chunked request with an empty body, whose trailers don't end."""
    return [head(method, path, [("Transfer-Encoding", "chunked")]), b"0\r\n", memoryview(trailers)]


def endless_header_line(method, path, line):
    return [head(method, path, [])[:-2] + b"X-Long: ", memoryview(line)]


def short_fields(method, path, body, missing, fields=700):
    """A request of very many short header fields, without the last bytes of its body."""
    names = [(f"a{i:x}", "") for i in range(fields)]
    return [head(method, path, names + [("Content-Length", len(body))]),
            memoryview(body)[:len(body) - missing]]


class Crowd:
    """Connections that send their pieces, read nothing and stay open until close()."""

    def __init__(self):
        self.sockets = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        for each in self.sockets:
            each.close()
        self.sockets.clear()

    def send(self, address, requests):
        """Opens a connection for each request, given as a list of pieces, and sends them side by side."""
        self.send_all([(address, pieces) for pieces in requests])

    def send_all(self, requests):
        selector = selectors.DefaultSelector()
        for address, pieces in requests:
            host, port = address.split(":")
            connection = socket.socket()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.setblocking(False)
            connection.connect_ex((host, int(port)))
            self.sockets.append(connection)
            selector.register(connection, selectors.EVENT_WRITE, [list(reversed(pieces))])
        end = time.monotonic() + SEND_LIMIT_S
        while selector.get_map() and time.monotonic() < end:
            ready = selector.select(QUIET_S)
            if not ready:
                break
            for key, _ in ready:
                self.send_piece(selector, key)
        selector.close()

    @staticmethod
    def send_piece(selector, key):
        pieces = key.data[0]
        try:
            sent = key.fileobj.send(pieces[-1])
        except BlockingIOError:
            return
        except OSError:
            selector.unregister(key.fileobj)  # Refused or closed by the process.
            return
        if rest := memoryview(pieces.pop())[sent:]:
            pieces.append(rest)
        if not pieces:
            selector.unregister(key.fileobj)
