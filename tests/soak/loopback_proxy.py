"""TCP proxy on loopback that delays, holds back, silences or resets connections on request."""
import random
import select
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
POLL_S = 0.05


class ProxiedConnection:
    """A connection from a caller, and the proxy's connection to the server for it."""

    def __init__(self, caller, server):
        self.caller, self.server = caller, server
        self.delay_s = 0.0
        # Directions in which bytes are held back until clear_faults().
        self.held = set()
        # A silent connection forwards nothing for the rest of its life, though both ends stay open.
        self.silent = False
        self.closed = False

    def close(self, reset=False):
        self.closed = True
        for endpoint in (self.caller, self.server):
            try:
                if reset:
                    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                        struct.pack("ii", 1, 0))
                endpoint.close()
            except OSError:
                pass  # The peer has closed it already.


class LoopbackProxy:
    """Forwards connections from one address to another and injects faults into them."""

    def __init__(self, listen_address, server_address):
        self.server_address = server_address
        self.connections = []
        self.lock = threading.Lock()
        self.delay_s = 0.0
        self.held = set()
        self.accepting = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen_address)
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.accepting:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def connect(self, caller):
        try:
            server = socket.create_connection(self.server_address, timeout=1)
        except OSError:
            connection = ProxiedConnection(caller, caller)
            connection.close(reset=True)
            return
        for endpoint in (caller, server):
            endpoint.settimeout(None)
            endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ProxiedConnection(caller, server)
        with self.lock:
            connection.delay_s, connection.held = self.delay_s, set(self.held)
            self.connections = [c for c in self.connections if not c.closed] + [connection]
        threading.Thread(target=self.forward, args=(connection, "to_caller"), daemon=True).start()
        self.forward(connection, "to_server")

    @staticmethod
    def forward(connection, direction):
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
            pass  # One end failed or was closed; the other one is closed below.
        connection.close()

    def open_connections(self):
        with self.lock:
            return [c for c in self.connections if not c.closed]

    def delay(self, seconds):
        """Delays each received chunk of new and open connections."""
        with self.lock:
            self.delay_s = seconds
        for connection in self.open_connections():
            connection.delay_s = seconds

    def hold(self, directions):
        """Holds back the bytes of new and open connections in these directions."""
        with self.lock:
            self.held = set(directions)
        for connection in self.open_connections():
            connection.held = set(directions)

    def clear_faults(self):
        """Ends delays and holds. Silent connections stay silent."""
        self.delay(0.0)
        self.hold(())

    def silence(self, share, rng=random):
        """Silences a random share of the open connections for good; new connections work."""
        for connection in self.open_connections():
            connection.silent = connection.silent or rng.random() < share

    def reset(self, share, rng=random):
        """Resets a random share of the open connections."""
        for connection in self.open_connections():
            if rng.random() < share:
                connection.close(reset=True)

    def stop(self):
        self.accepting = False
        self.listener.close()
        for connection in self.open_connections():
            connection.close()
