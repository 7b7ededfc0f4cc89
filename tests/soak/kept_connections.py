"""Client connections that are kept open until the process behind them ends."""

import http.client
import time

# Shorter than the idle timeout of the nodes.
REUSE_SECONDS = 12.0


class KeptConnections:
    """Keeps one connection for each address. Not thread safe."""

    def __init__(self, timeout_seconds):
        self.timeout_seconds = timeout_seconds
        self.connections = {}

    def call(self, address, method, target, body, headers):
        """Sends one request; returns (status, headers, body bytes). Closes a failed connection."""
        connection = self.connection_to(address)
        try:
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            answer = response.status, dict(response.getheaders()), response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            del self.connections[address]
            raise
        self.connections[address] = (connection, time.monotonic())
        return answer

    def connection_to(self, address):
        connection, used_at = self.connections.get(address, (None, 0.0))
        if connection is not None and time.monotonic() - used_at < REUSE_SECONDS:
            return connection
        if connection is not None:
            connection.close()
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=self.timeout_seconds)
        self.connections[address] = (connection, time.monotonic())
        return connection
