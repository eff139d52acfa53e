"""TCP relay that can stop forwarding without closing connections, for tests.

It runs on a thread of the test process. `silence` stops forwarding on the
connections that are open and keeps both ends open, while new connections work.
This is the effect of a middlebox that lost its connection table.
`set_partitioned` stops forwarding on old and new connections, also without
closing any.
"""

import selectors
import socket
import threading

BUFFER_BYTES = 65536
POLL_S = 0.05


class Relay:
    """Forwards one TCP port to another; a context manager.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self, host: str, target: tuple[str, int]):
        self._target = target
        self._listener = socket.create_server((host, 0))
        self.port = self._listener.getsockname()[1]
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._silent: set[socket.socket] = set()
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._partitioned = False
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def __enter__(self) -> "Relay":
        return self

    def __exit__(self, *exc_info) -> None:
        self._stop.set()
        self._thread.join()
        for sock in (*self._open, self._listener):
            sock.close()
        self._selector.close()

    def silence(self) -> int:
        """Stops forwarding on open connections for good; returns how many."""
        with self._lock:
            silenced = self._open - self._silent
            self._silent |= silenced
            return len(silenced) // 2

    def set_partitioned(self, partitioned: bool) -> None:
        """Starts or ends a partition.

        Connections opened before it ends stay silent.
        """
        with self._lock:
            if partitioned:
                self._silent |= self._open
            self._partitioned = partitioned

    def _run(self) -> None:
        while not self._stop.is_set():
            for key, _ in self._selector.select(POLL_S):
                with self._lock:
                    self._forward(key)

    def _forward(self, key: selectors.SelectorKey) -> None:
        if key.fileobj is self._listener:
            self._accept()
            return
        source, other = key.fileobj, key.data
        if source in self._silent:
            self._selector.unregister(source)
            return
        try:
            data = source.recv(BUFFER_BYTES)
            if data:
                other.sendall(data)
                return
        except OSError:
            pass
        self._close(source, other)

    def _accept(self) -> None:
        client_socket, _ = self._listener.accept()
        self._open.add(client_socket)
        if self._partitioned:
            self._silent.add(client_socket)
            return
        try:
            target_socket = socket.create_connection(self._target, timeout=1)
        except OSError:
            self._open.discard(client_socket)
            client_socket.close()
            return
        self._open.add(target_socket)
        self._selector.register(
            client_socket, selectors.EVENT_READ, target_socket
        )
        self._selector.register(
            target_socket, selectors.EVENT_READ, client_socket
        )

    def _close(self, *pair: socket.socket) -> None:
        for sock in pair:
            if sock in self._open:
                self._open.discard(sock)
                self._silent.discard(sock)
                if sock in self._selector.get_map():
                    self._selector.unregister(sock)
                sock.close()
