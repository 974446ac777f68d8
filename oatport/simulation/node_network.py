"""A node's clients and servers on the simulated network, in place of `service.network.Network`."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from oatport import wire
from oatport.api.server import BodyTooLargeError, Handler, Response
from oatport.clients.http import ConnectionReuse
from oatport.simulation.body_limits import BodyLimits
from oatport.simulation.network import SimulatedNetwork
from oatport.simulation.virtual_time import Host


class NodeClient:
    """Sends requests of a host to one address (`clients.http.Requester`)."""

    def __init__(self, net: SimulatedNetwork, host: Host, address: str) -> None:
        self._net, self._host, self._address = net, host, address

    async def request(
        self, method: str, path: str, body: Any = None, *, timeout_us: int, query: str = ""
    ) -> tuple[int, Any]:
        """Sends one request and returns its status and body. Raises RequestNotSentError or NoResponseError."""
        return await self._net.request(self._host, self._address, method, path, body, timeout_us, query)


class _Body:
    """Holds a request body, with the interface of `api.server.BodyReader`."""

    def __init__(self, value: Any) -> None:
        self._value = value

    async def read(self) -> Any:
        """Returns the decoded body. Raises InvalidMessageError if there is none."""
        if self._value is None:
            raise wire.InvalidMessageError("empty")
        return self._value


class NodeNetwork:
    """Creates clients and servers for a node, with the interface of `service.network.Network`."""

    def __init__(self, net: SimulatedNetwork, host: Host) -> None:
        self._net, self._host = net, host

    def open(self) -> None:
        """Does nothing: the simulated network needs no setup."""

    @property
    def session(self) -> aiohttp.ClientSession:
        """Raises NotImplementedError: the simulation has no price feeds."""
        raise NotImplementedError("the simulation has no price feeds")

    def client(self, address: str, reuse: ConnectionReuse = ConnectionReuse.KEEP_ALIVE) -> NodeClient:
        """Returns a client that sends this host's requests to an address."""
        return NodeClient(self._net, self._host, address)

    def set_expected_load(self, machines: int, a_second: float) -> None:
        """Does nothing: the simulation has no connection limit."""

    def open_connections(self) -> int:
        """Returns 0: the simulation does not count connections."""
        return 0

    def server(self, address: str, handler: Handler, body_limit: int = wire.MAX_BODY_BYTES) -> _Listener:
        """Returns a server for an address."""
        return _Listener(self._net, self._host, address, handler, body_limit)

    async def close(self) -> None:
        """Does nothing: the simulated network has nothing to close."""


class _Listener:
    """Serves an address with a node's handler, with the interface of `api.server.Server`."""

    def __init__(self, net: SimulatedNetwork, host: Host, address: str, handler: Handler, limit: int) -> None:
        self._net, self._host, self._address, self._handler, self._limit = net, host, address, handler, limit

    async def start(self) -> None:
        # Responses have the same limit where users and workers are served; those between nodes have none.
        response_limit = self._limit if self._limit == wire.MAX_BODY_BYTES else None
        self._net.listen(self._address, self._host, self._serve, BodyLimits(self._limit, response_limit))

    async def close(self) -> None:
        pass

    async def _serve(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        try:
            response = await self._handler(method, path, _Body(body))  # type: ignore[arg-type]
        except BodyTooLargeError:
            response = Response(413)
        except wire.InvalidMessageError as error:
            response = Response(400, {"error": str(error)})
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._net.loop.errors.append(f"{self._host.name} {method} {path}: {error!r}")
            response = Response(500)
        value = response.value
        retry_after = response.headers.get("Retry-After")
        if retry_after is not None and isinstance(value, dict):
            value = {**value, "retryAfter": int(retry_after)}
        return response.status, value
