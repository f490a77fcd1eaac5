"""A TCP relay whose open connections can be made silent for good while new ones work."""
import socket
import threading


class SilentProxy:
    def __init__(self, listen, target):
        self.target = target
        self.connections = []
        self.listener = socket.create_server(listen)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self.target)
            except OSError:
                near.close()
                continue
            silent = threading.Event()
            self.connections.append(silent)
            for source, sink in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.relay, args=(source, sink, silent),
                                 daemon=True).start()

    @staticmethod
    def relay(source, sink, silent):
        """Passes bytes on; a silent connection swallows them, its end included."""
        while True:
            try:
                data = source.recv(65536)
                if not data:
                    break
                if not silent.is_set():
                    sink.sendall(data)
            except OSError:
                break
        if not silent.is_set():
            sink.close()

    def silence(self):
        for silent in self.connections:
            silent.set()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.listener.close()
