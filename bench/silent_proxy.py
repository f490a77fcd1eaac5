"""A TCP relay that can permanently stop delivering data on its open connections, without closing
them, while new connections work."""
import socket
import threading


class SilentProxy:
    def __init__(self, listen, target):
        self.target = target
        self.silent_flags = []
        self.listener = socket.create_server(listen)
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        while True:
            try:
                downstream, _ = self.listener.accept()
            except OSError:
                return
            try:
                upstream = socket.create_connection(self.target)
            except OSError:
                downstream.close()
                continue
            silent = threading.Event()
            self.silent_flags.append(silent)
            for source, destination in ((downstream, upstream), (upstream, downstream)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.relay, args=(source, destination, silent),
                                 daemon=True).start()

    @staticmethod
    def relay(source, destination, silent):
        """Forwards data in one direction. Once silent is set it discards the data and does not
        forward the close of the connection."""
        while True:
            try:
                data = source.recv(65536)
                if not data:
                    break
                if not silent.is_set():
                    destination.sendall(data)
            except OSError:
                break
        if not silent.is_set():
            destination.close()

    def silence_connections(self):
        for silent in self.silent_flags:
            silent.set()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.listener.close()
