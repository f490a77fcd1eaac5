"""A TCP proxy on loopback that delays, holds up, silences or resets what passes through it."""
import random
import select
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
POLL_S = 0.05


class Connection:
    """One caller's connection and the one to the server behind the proxy."""

    def __init__(self, caller, server):
        self.caller, self.server = caller, server
        self.delay_s = 0.0
        # Directions whose bytes are held up until a heal.
        self.held = set()
        # A silent connection passes nothing any more, though both ends stay open.
        self.silent = False
        self.closed = False

    def close(self, reset=False):
        self.closed = True
        for end in (self.caller, self.server):
            try:
                if reset:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                end.close()
            except OSError:
                pass  # It was closed by its peer.


class LoopbackProxy:
    """Passes connections from one address on to another, and disturbs them on request."""

    def __init__(self, listen, server):
        self.server = server
        self.connections = []
        self.lock = threading.Lock()
        self.delay_s = 0.0
        self.held = set()
        self.open = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def connect(self, caller):
        try:
            server = socket.create_connection(self.server, timeout=1)
        except OSError:
            connection = Connection(caller, caller)
            connection.close(reset=True)
            return
        for end in (caller, server):
            end.settimeout(None)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(caller, server)
        with self.lock:
            connection.delay_s, connection.held = self.delay_s, set(self.held)
            self.connections = [c for c in self.connections if not c.closed] + [connection]
        threading.Thread(target=self.pump, args=(connection, "to_caller"), daemon=True).start()
        self.pump(connection, "to_server")

    @staticmethod
    def pump(connection, direction):
        source, target = connection.caller, connection.server
        if direction == "to_caller":
            source, target = target, source
        try:
            while not connection.closed:
                if connection.silent or direction in connection.held:
                    time.sleep(POLL_S)
                    continue
                if not select.select([source], [], [], POLL_S)[0]:
                    continue
                data = source.recv(CHUNK_BYTES)
                if not data:
                    break
                time.sleep(connection.delay_s)
                while connection.silent or direction in connection.held:
                    if connection.closed:
                        return
                    time.sleep(POLL_S)
                target.sendall(data)
        except (OSError, ValueError):
            pass  # One end is gone, so the other one is closed.
        connection.close()

    def live(self):
        with self.lock:
            return [c for c in self.connections if not c.closed]

    def delay(self, seconds):
        with self.lock:
            self.delay_s = seconds
        for connection in self.live():
            connection.delay_s = seconds

    def hold(self, directions):
        """Holds up the bytes of new and open connections in these directions."""
        with self.lock:
            self.held = set(directions)
        for connection in self.live():
            connection.held = set(directions)

    def heal(self):
        self.delay(0.0)
        self.hold(())

    def silence(self, share, chance=random):
        """Lets open connections fall silent for good, while new ones work."""
        for connection in self.live():
            connection.silent = connection.silent or chance.random() < share

    def reset(self, share, chance=random):
        for connection in self.live():
            if chance.random() < share:
                connection.close(reset=True)

    def stop(self):
        self.open = False
        self.listener.close()
        for connection in self.live():
            connection.close()
